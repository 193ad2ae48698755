"""One call at a limiter's operator address, for command lines: it blocks."""

from __future__ import annotations

import socket

from hazelhollow.platform_config import parse_address

TIMEOUT_S = 2.0  # to connect, and between two parts of the answer
READ_CHUNK_BYTES = 1 << 16


class NoAnswerError(Exception):
    """Nobody answered at that address; the text is one plain line that says why."""


def ask(host_and_port: str, call: str) -> bytes:
    """The complete answer to one call.

    Raises:
        NoAnswerError: Nobody answered, or the address is none.
    """
    try:
        with socket.create_connection(parse_address(host_and_port), timeout=TIMEOUT_S) as sock:
            sock.sendall(call.encode() + b"\n")
            answer = b"".join(iter(lambda: sock.recv(READ_CHUNK_BYTES), b""))
    except (OSError, ValueError) as error:
        raise NoAnswerError(f"{host_and_port}: {error}") from None
    if not answer:
        raise NoAnswerError(f"{host_and_port}: an empty answer")
    return answer
