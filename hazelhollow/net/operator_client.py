"""One call at a limiter's operator address, for command lines: it blocks."""

from __future__ import annotations

import socket

from hazelhollow.platform_config import address

WITHIN = 2.0  # seconds to connect, and between two parts of the answer
CHUNK = 1 << 16


class NoAnswerError(Exception):
    """Nobody answered at that address; its text is one plain line that says why."""


def ask(host_and_port: str, words: str) -> bytes:
    """The whole answer to one call. Raises NoAnswerError."""
    try:
        with socket.create_connection(address(host_and_port), timeout=WITHIN) as sock:
            sock.sendall(words.encode() + b"\n")
            answer = b"".join(iter(lambda: sock.recv(CHUNK), b""))
    except (OSError, ValueError) as error:
        raise NoAnswerError(f"{host_and_port}: {error}") from None
    if not answer:
        raise NoAnswerError(f"{host_and_port}: an empty answer")
    return answer
