"""RESP2, the protocol of Redis: a bounded incremental parser, and the encoders. No socket.

| first byte | value | in Python |
| --- | --- | --- |
| `+` | status line | `SimpleString` |
| `-` | error line | `ErrorReply` |
| `:` | number | int; None if it cannot be read |
| `$` | string with its length | bytes; None for the null string |
| `*` | array with its length | list; None for the null array |
"""

from __future__ import annotations

import re
from typing import Final, Union

from hazelhollow.net.errors import ProtocolError, RingBufferFullError
from hazelhollow.net.ring_buffer import RingBuffer

MAX_STRING_BYTES = 64 * 1024
MAX_VALUE_BYTES = MAX_STRING_BYTES + 8 * 1024  # of the strings of one command or answer together
MAX_ARRAY_ITEMS = 64  # commands and answers have five at most
MAX_ARRAY_DEPTH = 4
MAX_LINE_BYTES = 4 * 1024
MAX_BUFFERED_BYTES = 2 * MAX_STRING_BYTES  # received and not parsed yet


class SimpleString(bytes):
    """A status line: `+OK`."""


class ErrorReply(bytes):
    """An error line: `-ERR ...`."""


class NeedMoreData:
    """What the parser returns while no value is complete."""


class _Header:
    """What a line stands for that is followed by a string or by the items of an array."""


Value = Union[bytes, int, None, list["Value"]]
NEED_MORE_DATA: Final = NeedMoreData()
_HEADER: Final = _Header()
_NUMBER = re.compile(rb"-?[0-9]{1,19}")
_ASTERISK = 42


class Parser:
    """Fed bytes as they come, split anywhere; returns complete values in their order.

    Attributes:
        ring: What was received and not parsed yet.
    """

    __slots__ = ("ring", "_string_length", "_stack", "_string_bytes")

    def __init__(self) -> None:
        self.ring = RingBuffer(MAX_BUFFERED_BYTES)
        self._string_length = -1  # of the string whose bytes come next; -1 if a line does
        self._stack: list[tuple[list[Value], int]] = []  # open arrays and their lengths
        self._string_bytes = 0  # of strings in them

    def feed(self, data: bytes) -> None:
        """Takes bytes.

        Raises:
            ProtocolError: Too much waits to be parsed.
        """
        try:
            self.ring.write(data)
        except RingBufferFullError:
            raise ProtocolError("too much at once") from None

    def pending_bytes(self) -> int:
        """Bytes received that are no part of a complete value yet."""
        return len(self.ring) + self._string_bytes

    def idle(self) -> bool:
        """Whether nothing of a next value has come."""
        return not self.ring and not self._stack and self._string_length < 0

    def next(self) -> Value | NeedMoreData:
        """The next value, if it is complete.

        Raises:
            ProtocolError: What came is not RESP, or too large; the parser is of no use then.
        """
        if not self.ring:
            return NEED_MORE_DATA
        if self._string_length < 0 and not self._stack:
            strings = self._take_plain_array()
            if strings is not None:
                return strings
        while True:
            value = self._take_line() if self._string_length < 0 else self._take_string()
            if isinstance(value, NeedMoreData):
                return value
            if isinstance(value, _Header):
                continue
            while self._stack:
                items, count = self._stack[-1]
                items.append(value)
                if len(items) < count:
                    break
                self._stack.pop()
                value = items
            else:
                self._string_bytes = 0
                return value

    def _take_plain_array(self) -> list[Value] | None:
        """Takes everything that came, if it is one array of strings; else takes nothing.

        That is the usual case for commands, and this needs a quarter of the steps.
        """
        view = self.ring.peek()
        size = len(view)
        if size != len(self.ring) or size > MAX_LINE_BYTES or view[0] != _ASTERISK:
            return None
        parts = bytes(view).split(b"\r\n")
        strings = parts[2::2]
        if (
            parts[-1]
            or len(parts) != 2 * len(strings) + 2
            or not 0 < len(strings) <= MAX_ARRAY_ITEMS
        ):
            return None
        if parts[0] != b"*%d" % len(strings) or parts[1:-1:2] != [
            b"$%d" % len(string) for string in strings
        ]:
            return None
        self.ring.clear()
        return list(strings)

    def _take_string(self) -> bytes | NeedMoreData:
        if len(self.ring) < self._string_length + 2:
            return NEED_MORE_DATA
        data = self.ring.consume(self._string_length + 2)
        if data[-2:] != b"\r\n":
            raise ProtocolError("a string without its end")
        self._string_length = -1
        return data[:-2]

    def _take_line(self) -> Value | NeedMoreData | _Header:
        at = self.ring.find(b"\r\n")
        if at < 0 and len(self.ring) <= MAX_LINE_BYTES:
            return NEED_MORE_DATA
        if not 0 < at <= MAX_LINE_BYTES:
            raise ProtocolError("an empty line or too long a one")
        line = self.ring.consume(at + 2)[:-2]
        kind = line[:1]
        if kind == b"$":
            return self._open_string(line)
        if kind == b"*":
            return self._open_array(line)
        if kind == b"+":
            return SimpleString(line[1:])
        if kind == b"-":
            return ErrorReply(line[1:])
        if kind == b":":
            # One that cannot be read is complete on its line all the same, and spoils nothing
            # beside it: no number.
            return int(line[1:]) if _NUMBER.fullmatch(line, 1) else None
        raise ProtocolError("an unknown type")

    def _open_string(self, line: bytes) -> None | _Header:
        self._string_length = _length(line, MAX_STRING_BYTES)
        if self._stack:
            self._string_bytes += max(self._string_length, 0)
        if self._string_bytes > MAX_VALUE_BYTES:  # many strings, each of which may be large
            raise ProtocolError("too much in one array")
        return _HEADER if self._string_length >= 0 else None

    def _open_array(self, line: bytes) -> list[Value] | None | _Header:
        count = _length(line, MAX_ARRAY_ITEMS)
        if count <= 0:
            return [] if count == 0 else None
        if len(self._stack) == MAX_ARRAY_DEPTH:
            raise ProtocolError("arrays too deep")
        self._stack.append(([], count))
        return _HEADER


def _length(line: bytes, most: int) -> int:
    """The length that a header gives; -1 stands for the null string or array."""
    if not _NUMBER.fullmatch(line, 1):
        raise ProtocolError("not a number")
    number = int(line[1:])
    if not -1 <= number <= most:
        raise ProtocolError("a length out of range")
    return number


def encode_bulk_string(value: bytes) -> bytes:
    """A string with its length."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_command(arguments: list[bytes]) -> bytes:
    """An array of arguments."""
    return b"*%d\r\n" % len(arguments) + b"".join(
        [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    )
