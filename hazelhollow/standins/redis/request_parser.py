"""Parses a connection's bytes into commands.

It accepts arrays of bulk strings and inline commands of one line. Source: the public specification
of the Redis serialization protocol. No I/O.
"""

from __future__ import annotations

import re
import shlex

MAX_ARGUMENTS = 1024 * 1024
MAX_BULK_BYTES = 4 * 1024 * 1024  # length of an argument
MAX_INLINE_BYTES = 64 * 1024  # length of a line
MAX_DIGITS = 10  # characters of a count or a length, including its sign
_COUNT = re.compile(rb"-?[0-9]+")


class ProtocolError(Exception):
    """The received bytes are not a command; the connection must be closed."""


class RequestParser:
    """Buffers the bytes of a command until it is complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Appends received bytes."""
        self._buffer += data

    def clear(self) -> None:
        """Discards the buffered bytes."""
        self._buffer.clear()

    def next(self) -> list[bytes] | None:
        """Returns the next command's arguments.

        The list is empty for an empty line; the result is None while the command is incomplete.

        Raises:
            ProtocolError: the bytes are not a command.
        """
        buffer = self._buffer
        if not buffer:
            return None
        end = buffer.find(b"\n")
        if end < 0:
            if len(buffer) > MAX_INLINE_BYTES:
                raise ProtocolError("Protocol error: too big inline request")
            return None
        if buffer.startswith(b"*"):
            return self._parse_array(end)
        line = bytes(buffer[:end]).rstrip(b"\r")
        del buffer[: end + 1]
        return _parse_inline(line)

    def _parse_array(self, end: int) -> list[bytes] | None:
        buffer = self._buffer
        count = _parse_count(bytes(buffer[1:end]), MAX_ARGUMENTS, "invalid multibulk length")
        at, arguments = end + 1, list[bytes]()
        for _ in range(count):
            end = buffer.find(b"\n", at)
            if end < 0:
                return None
            if buffer[at : at + 1] != b"$":
                raise ProtocolError(f"Protocol error: expected '$', got '{chr(buffer[at])}'")
            size = _parse_count(bytes(buffer[at + 1 : end]), MAX_BULK_BYTES, "invalid bulk length")
            if size < 0:
                raise ProtocolError("Protocol error: invalid bulk length")
            if len(buffer) < end + 1 + size + 2:
                return None
            arguments.append(bytes(buffer[end + 1 : end + 1 + size]))
            at = end + 1 + size + 2
        del buffer[:at]
        return arguments


def _parse_count(text: bytes, maximum: int, error: str) -> int:
    text = text.rstrip(b"\r")
    if not _COUNT.fullmatch(text) or len(text) > MAX_DIGITS or int(text) > maximum:
        raise ProtocolError("Protocol error: " + error)
    return int(text)


def _parse_inline(line: bytes) -> list[bytes]:
    try:
        return [argument.encode("latin-1") for argument in shlex.split(line.decode("latin-1"))]
    except ValueError:
        raise ProtocolError("Protocol error: unbalanced quotes in request") from None
