"""RESP2, the protocol of Redis: an incremental parser with size limits, and encoders.

The module is independent of sockets. Its grammar is RESP2's and nothing more: a length has no sign
and no leading zero (`-1` alone stands for null), and a line contains neither CR nor LF.
`SimpleString` and `ErrorReply` are bytes for convenience; whoever needs a length-prefixed string
compares the type itself (`is_bulk_string`).

| first byte | value | in Python |
| --- | --- | --- |
| `+` | status line | `SimpleString` |
| `-` | error line | `ErrorReply` |
| `:` | number | int; None if it is malformed |
| `$` | length-prefixed string | bytes; None for the null string |
| `*` | length-prefixed array | list; None for the null array |
"""

from __future__ import annotations

import re
from typing import Final, TypeGuard, Union

from hazelhollow.net.errors import ProtocolError, RingBufferFullError
from hazelhollow.net.ring_buffer import RingBuffer

MAX_STRING_BYTES = 64 * 1024
MAX_VALUE_BYTES = MAX_STRING_BYTES + 8 * 1024  # all strings of one command or answer together
MAX_ARRAY_ITEMS = 64  # commands and answers have at most five
MAX_ARRAY_DEPTH = 4
MAX_LINE_BYTES = 4 * 1024
MAX_BUFFERED_BYTES = 2 * MAX_STRING_BYTES  # received but not parsed yet


class SimpleString(bytes):
    """A status line: `+OK`."""


class ErrorReply(bytes):
    """An error line: `-ERR ...`."""


class NeedMoreData:
    """Returned by the parser while no value is complete."""


class _Header:
    """The result of a line that is followed by a string or by the items of an array."""


Value = Union[bytes, int, None, list["Value"]]
NEED_MORE_DATA: Final = NeedMoreData()
_HEADER: Final = _Header()
_NUMBER = re.compile(rb"[+-]?[0-9]{1,19}")
_LENGTH = re.compile(rb"-1|0|[1-9][0-9]{0,18}")
_ASTERISK = 42


class Parser:
    """Parses bytes that arrive split at any point; returns complete values in order.

    Attributes:
        ring: Bytes received but not parsed yet.
    """

    __slots__ = ("ring", "_string_length", "_stack", "_string_bytes")

    def __init__(self) -> None:
        self.ring = RingBuffer(MAX_BUFFERED_BYTES)
        self._string_length = -1  # of the string whose bytes follow; -1 if a line follows
        self._stack: list[tuple[list[Value], int]] = []  # incomplete arrays and their lengths
        self._string_bytes = 0  # total size of the strings in these arrays

    def feed(self, data: bytes) -> None:
        """Buffers received bytes.

        Raises:
            ProtocolError: More than MAX_BUFFERED_BYTES wait to be parsed.
        """
        try:
            self.ring.write(data)
        except RingBufferFullError:
            raise ProtocolError("too many unparsed bytes") from None

    def pending_bytes(self) -> int:
        """Returns how many bytes were received that do not belong to a complete value yet."""
        return len(self.ring) + self._string_bytes

    def idle(self) -> bool:
        """Whether no part of a next value has been received."""
        return not self.ring and not self._stack and self._string_length < 0

    def next(self) -> Value | NeedMoreData:
        """Returns the next value, or NEED_MORE_DATA if it is not complete.

        Raises:
            ProtocolError: The input is not RESP or too large; the parser cannot be used any more.
        """
        if not self.ring:
            return NEED_MORE_DATA
        if self._string_length < 0 and not self._stack:
            strings = self._parse_plain_array()
            if strings is not None:
                return strings
        while True:
            value = self._parse_line() if self._string_length < 0 else self._parse_string()
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

    def _parse_plain_array(self) -> list[Value] | None:
        """Parses the buffered bytes if they are exactly one array of strings, else returns None.

        This is the usual case for commands, and needs a quarter of the steps of the general parser.
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

    def _parse_string(self) -> bytes | NeedMoreData:
        if len(self.ring) < self._string_length + 2:
            return NEED_MORE_DATA
        data = self.ring.consume(self._string_length + 2)
        if data[-2:] != b"\r\n":
            raise ProtocolError("string not terminated by CRLF")
        self._string_length = -1
        return data[:-2]

    def _parse_line(self) -> Value | NeedMoreData | _Header:
        at = self.ring.find(b"\r\n")
        if at < 0 and len(self.ring) <= MAX_LINE_BYTES:
            return NEED_MORE_DATA
        if not 0 < at <= MAX_LINE_BYTES:
            raise ProtocolError("line empty or too long")
        line = self.ring.consume(at + 2)[:-2]
        if b"\n" in line or b"\r" in line:
            raise ProtocolError("line contains CR or LF")
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
            # A malformed number still ends with its line, so it is returned as None and does not
            # invalidate the values next to it.
            return int(line[1:]) if _NUMBER.fullmatch(line, 1) else None
        raise ProtocolError(f"unknown type byte {kind!r}")

    def _open_string(self, line: bytes) -> None | _Header:
        self._string_length = _length(line, MAX_STRING_BYTES)
        if self._stack:
            self._string_bytes += max(self._string_length, 0)
        if self._string_bytes > MAX_VALUE_BYTES:  # many strings within the limit of one string
            raise ProtocolError("the strings of one array are too large in total")
        return _HEADER if self._string_length >= 0 else None

    def _open_array(self, line: bytes) -> list[Value] | None | _Header:
        count = _length(line, MAX_ARRAY_ITEMS)
        if count <= 0:
            return [] if count == 0 else None
        if len(self._stack) == MAX_ARRAY_DEPTH:
            raise ProtocolError("arrays nested too deeply")
        self._stack.append(([], count))
        return _HEADER


def _length(line: bytes, max_length: int) -> int:
    """Returns the length in a header line; -1 stands for the null string or array."""
    if not _LENGTH.fullmatch(line, 1):
        raise ProtocolError("length is not a number in RESP's form")
    number = int(line[1:])
    if number > max_length:
        raise ProtocolError(f"length {number} out of range, at most {max_length}")
    return number


def is_bulk_string(value: Value) -> TypeGuard[bytes]:
    """Whether a value is a length-prefixed string, and not a line of text."""
    return type(value) is bytes


def encode_bulk_string(value: bytes) -> bytes:
    """Encodes a length-prefixed string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def frame_bulk_string(value: bytearray) -> None:
    """Turns a value into its encoding in place: a copy of a long one would double its memory."""
    value[:0] = b"$%d\r\n" % len(value)
    value += b"\r\n"


def encode_command(arguments: list[bytes]) -> bytes:
    """Encodes a command as an array of its arguments."""
    return b"*%d\r\n" % len(arguments) + b"".join(
        [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    )
