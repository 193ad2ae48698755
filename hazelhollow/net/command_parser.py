"""Parses clients' commands incrementally and strictly; no I/O.

    COMMAND = "*" COUNT CRLF ARGUMENT{COUNT}
    ARGUMENT = "$" LENGTH CRLF BYTES CRLF
    COUNT = "1".."9" DIGITS                 at most MAX_ARGUMENTS
    LENGTH = "0" | "1".."9" DIGITS          at most MAX_ARGUMENT_BYTES

Bytes are refused as soon as no continuation could make them a command, also in the middle of a
line: a request is not forwarded if the bytes behind it, as far as they were read, are unreadable.

| state | expects | next |
| --- | --- | --- |
| BETWEEN | the count of a command | LENGTH |
| LENGTH | the length of an argument | BYTES |
| BYTES | the bytes of an argument and CRLF | LENGTH; after the last one BETWEEN: a command |
"""

from __future__ import annotations

import re
from collections.abc import Callable

from hazelhollow.net.errors import ProtocolError, RingBufferFullError
from hazelhollow.net.ring_buffer import RingBuffer

MAX_ARGUMENT_BYTES = 64 * 1024
MAX_COMMAND_BYTES = MAX_ARGUMENT_BYTES + 8 * 1024  # all arguments of one command together
MAX_ARGUMENTS = 64  # commands have at most five
MAX_BUFFERED_BYTES = 2 * MAX_ARGUMENT_BYTES
MAX_HEADER_BYTES = 32  # of a count or a length, with its type byte
MAX_PLAIN_COMMAND_BYTES = 4 * 1024  # that are parsed in one step
BETWEEN_ARGUMENTS = -1  # as `_length`: a header follows

_NUMBER = re.compile(rb"0|[1-9][0-9]*")
_BEGINNING_OF_NUMBER = re.compile(rb"((0|[1-9][0-9]{0,4})\r?)?")


class CommandParser:
    """Turns received bytes into commands; after a ProtocolError it cannot be used any more."""

    __slots__ = ("_ring", "_arguments", "_count", "_length", "_command_bytes")

    def __init__(self, on_resize: Callable[[int], object] | None = None) -> None:
        """`on_resize`: told by how many bytes the memory of the buffer grows or shrinks."""
        self._ring = RingBuffer(MAX_BUFFERED_BYTES, on_resize)
        self._arguments: list[bytes] = []  # of the command that is being parsed
        self._count = 0  # of its arguments; 0 between commands
        self._length = BETWEEN_ARGUMENTS  # of the argument whose bytes follow
        self._command_bytes = 0  # of the arguments whose lengths are known

    def room(self) -> int:
        """Returns how many bytes may be fed now."""
        return self._ring.room()

    def pending_bytes(self) -> int:
        """Returns how many bytes were received that do not belong to a complete command yet."""
        return len(self._ring) + sum(map(len, self._arguments))

    def is_between_commands(self) -> bool:
        """Whether no part of a next command has been received."""
        return not self._ring and not self._count

    def clear(self) -> None:
        """Drops what was received."""
        self._ring.clear()
        self._arguments, self._count, self._length = [], 0, BETWEEN_ARGUMENTS

    def copy(self) -> CommandParser:
        """Returns a parser in the same state, with buffers of its own."""
        other = CommandParser()
        other._ring.write(self._ring.to_bytes())
        other._arguments, other._count = list(self._arguments), self._count
        other._length, other._command_bytes = self._length, self._command_bytes
        return other

    def feed(self, data: bytes) -> None:
        """Buffers received bytes; raises ProtocolError if there are too many."""
        try:
            self._ring.write(data)
        except RingBufferFullError:
            raise ProtocolError("too many unparsed bytes") from None

    def next(self) -> list[bytes] | None:
        """Returns the arguments of the next command; None if it is not complete.

        Raises:
            ProtocolError: The bytes are no command, and cannot become one.
        """
        if not self._ring:
            return None
        if not self._count:
            arguments = self._parse_plain_command()
            if arguments:
                return arguments
            count = self._read_header(b"*", 1, MAX_ARGUMENTS)
            if count is None:
                return None
            self._count, self._command_bytes = count, 0
        while len(self._arguments) < self._count:
            if not self._parse_argument():
                return None
        arguments, self._arguments, self._count = self._arguments, [], 0
        return arguments

    def _parse_plain_command(self) -> list[bytes] | None:
        """Parses the buffered bytes if they are exactly one short command, else returns None.

        This is the usual case, and needs a quarter of the steps of the general one.
        """
        view = self._ring.peek()
        if len(view) != len(self._ring) or len(view) > MAX_PLAIN_COMMAND_BYTES:
            return None
        parts = bytes(view).split(b"\r\n")
        arguments = parts[2::2]
        is_array = len(parts) == 2 * len(arguments) + 2 and not parts[-1]
        if not is_array or not 0 < len(arguments) <= MAX_ARGUMENTS:
            return None
        if parts[0] != b"*%d" % len(arguments) or parts[1:-1:2] != [
            b"$%d" % len(argument) for argument in arguments
        ]:
            return None
        self._ring.clear()
        return arguments

    def _parse_argument(self) -> bool:
        """Parses one argument, or its header; returns whether it was complete."""
        if self._length < 0:
            length = self._read_header(b"$", 0, MAX_ARGUMENT_BYTES)
            if length is None:
                return False
            self._command_bytes += length
            if self._command_bytes > MAX_COMMAND_BYTES:
                raise ProtocolError("the arguments of one command are too large in total")
            self._length = length
        received = len(self._ring)
        if received < self._length + 2:
            if received > self._length and self._ring.byte_at(self._length) != b"\r":
                raise ProtocolError("argument not terminated by CRLF")
            return False
        data = self._ring.consume(self._length + 2)
        if data[-2:] != b"\r\n":
            raise ProtocolError("argument not terminated by CRLF")
        self._length = BETWEEN_ARGUMENTS
        self._arguments.append(data[:-2])
        return True

    def _read_header(self, type_byte: bytes, least: int, most: int) -> int | None:
        """Reads a line with a number from `least` to `most`; returns None if it is not complete."""
        if not self._ring:
            return None
        if self._ring.byte_at(0) != type_byte:
            raise ProtocolError(f"unknown type byte {self._ring.byte_at(0)!r}")
        at = self._ring.find(b"\r\n", MAX_HEADER_BYTES + 2)
        if at < 0:
            start = bytes(self._ring.peek()[1 : MAX_HEADER_BYTES + 1])
            if not _BEGINNING_OF_NUMBER.fullmatch(start):
                raise ProtocolError(f"not a length: {start!r}")
            return None
        text = self._ring.consume(at + 2)[1:-2]
        if not _NUMBER.fullmatch(text):
            raise ProtocolError("length is not a number in RESP's form")
        number = int(text)
        if not least <= number <= most:
            raise ProtocolError(f"length {number} out of range, at most {most}")
        return number
