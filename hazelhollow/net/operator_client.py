"""A blocking client for a limiter's operator address, for use by command-line tools."""

from __future__ import annotations

import socket

from hazelhollow.platform_config import parse_address

TIMEOUT_S = 2.0  # to connect, and for each read of the answer
READ_CHUNK_BYTES = 1 << 16


class NoAnswerError(Exception):
    """A call got no answer; the message is one line that gives the address and the reason."""


def ask(host_and_port: str, call: str) -> bytes:
    """Makes one call and returns the complete answer.

    Raises:
        NoAnswerError: There was no answer, or the address is invalid.
    """
    try:
        with socket.create_connection(parse_address(host_and_port), timeout=TIMEOUT_S) as sock:
            sock.sendall(call.encode() + b"\n")
            answer = b"".join(iter(lambda: sock.recv(READ_CHUNK_BYTES), b""))
    except (OSError, ValueError) as error:
        raise NoAnswerError(f"{host_and_port}: {error}") from None
    if not answer:
        raise NoAnswerError(f"{host_and_port}: the limiter closed the connection without an answer")
    return answer
