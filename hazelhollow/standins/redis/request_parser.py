"""Parses a connection's bytes into commands.

Source: the public page on the Redis serialization protocol; arrays of bulk strings and inline
commands of one line. No I/O.
"""

from __future__ import annotations

import re
import shlex

MAX_ARGUMENTS = 1024 * 1024
MAX_BULK = 4 * 1024 * 1024  # bytes of an argument
MAX_INLINE = 64 * 1024  # bytes of a line
MAX_DIGITS = 10  # of a count or a length, with its sign
_COUNT = re.compile(rb"-?[0-9]+")


class ProtocolError(Exception):
    """Bytes that are no command. After it the connection ends."""


class RequestParser:
    """Buffers the bytes of a command until it is complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Bytes as they come."""
        self._buffer += data

    def clear(self) -> None:
        """Forgets what has come."""
        self._buffer.clear()

    def next(self) -> list[bytes] | None:
        """The next command's arguments.

        Empty for an empty line; None while the command is not complete.

        Raises:
            ProtocolError: the bytes are no command; the connection is to be closed.
        """
        buffer = self._buffer
        if not buffer:
            return None
        end = buffer.find(b"\n")
        if end < 0:
            if len(buffer) > MAX_INLINE:
                raise ProtocolError("Protocol error: too big inline request")
            return None
        if buffer.startswith(b"*"):
            return self._array(end)
        line = bytes(buffer[:end]).rstrip(b"\r")
        del buffer[: end + 1]
        return _inline_arguments(line)

    def _array(self, end: int) -> list[bytes] | None:
        buffer = self._buffer
        count = _parse_count(bytes(buffer[1:end]), MAX_ARGUMENTS, "invalid multibulk length")
        at, arguments = end + 1, list[bytes]()
        for _ in range(count):
            end = buffer.find(b"\n", at)
            if end < 0:
                return None
            if buffer[at : at + 1] != b"$":
                raise ProtocolError(f"Protocol error: expected '$', got '{chr(buffer[at])}'")
            size = _parse_count(bytes(buffer[at + 1 : end]), MAX_BULK, "invalid bulk length")
            if size < 0:
                raise ProtocolError("Protocol error: invalid bulk length")
            if len(buffer) < end + 1 + size + 2:
                return None
            arguments.append(bytes(buffer[end + 1 : end + 1 + size]))
            at = end + 1 + size + 2
        del buffer[:at]
        return arguments


def _parse_count(text: bytes, most: int, error: str) -> int:
    text = text.rstrip(b"\r")
    if not _COUNT.fullmatch(text) or len(text) > MAX_DIGITS or int(text) > most:
        raise ProtocolError("Protocol error: " + error)
    return int(text)


def _inline_arguments(line: bytes) -> list[bytes]:
    try:
        return [argument.encode("latin-1") for argument in shlex.split(line.decode("latin-1"))]
    except ValueError:
        raise ProtocolError("Protocol error: unbalanced quotes in request") from None
