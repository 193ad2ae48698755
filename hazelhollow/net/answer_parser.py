"""Parses an endpoint's answers incrementally and strictly; no I/O.

    ANSWER  = "*3" CRLF VALUE FIGURES REPORT    served
            | "-" CODE [" " TEXT] CRLF          rejected (`BUSY`) or failed
    VALUE   = BULK                              never null
    FIGURES = BULK | NULL | UNREADABLE          usage figures
    REPORT  = BULK | NULL | UNREADABLE          load report
    BULK    = "$" LENGTH CRLF BYTES CRLF
    NULL    = "$-1" CRLF
    LENGTH  = "0" | "1".."9" DIGITS             no sign, no leading zero
    UNREADABLE = ":" TEXT CRLF                  counts as null: the platform calls such answers good

Everything else is malformed: other types, other counts, text that only looks like a number. A value
is returned piece by piece, so that its length is bounded by RESP2 alone.

| state | expects | next |
| --- | --- | --- |
| START | `*3` or an error line | VALUE_LENGTH; after an error line START |
| VALUE_LENGTH | the length of the value | VALUE: `ValueStarted` |
| VALUE | bytes of the value, `ValueData` for each piece, and its CRLF | FIGURES |
| FIGURES, REPORT | a string or null | REPORT; after the report START: `AnswerCompleted` |
"""

from __future__ import annotations

import re
from enum import Enum, auto
from typing import NamedTuple, Union

from hazelhollow.net.errors import ProtocolError

MAX_VALUE_BYTES = 512 * 1024 * 1024  # RESP2's own limit for a string
MAX_FIGURES_BYTES = 4 * 1024  # of the usage figures, and of the load report
MAX_LINE_BYTES = 4 * 1024

_LENGTH_LINE = re.compile(rb"\$(0|[1-9][0-9]{0,9})")
_UNREADABLE_LINE = re.compile(rb":[ -~]*")
_ERROR_LINE = re.compile(rb"-([A-Z][A-Z0-9_]*( [ -~]*)?)")


class ValueStarted(NamedTuple):
    """The value begins; `length` is its size in bytes."""

    length: int


class ValueData(NamedTuple):
    """A piece of the value."""

    data: bytes


class AnswerCompleted(NamedTuple):
    """The answer is complete; figures and report are empty if they are null."""

    figures: bytes
    report: bytes


class ErrorReceived(NamedTuple):
    """A complete error line, without its first byte."""

    line: bytes


AnswerEvent = Union[ValueStarted, ValueData, AnswerCompleted, ErrorReceived]


class _State(Enum):
    START = auto()
    VALUE_LENGTH = auto()
    VALUE = auto()
    FIGURES = auto()
    REPORT = auto()


_TYPE_BYTES = {
    _State.START: b"*-",
    _State.VALUE_LENGTH: b"$",
    _State.FIGURES: b"$:",
    _State.REPORT: b"$:",
}


class AnswerParser:
    """Turns received bytes into events.

    After a `ProtocolError` the parser cannot be used any more.
    """

    __slots__ = ("_buffer", "_state", "_value_left", "_string_length", "_figures")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._state = _State.START
        self._value_left = 0  # bytes of the value that have not been returned
        self._string_length = -1  # of the figures or report whose bytes follow; -1: a line follows
        self._figures = b""

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self._buffer += data

    def is_idle(self) -> bool:
        """Whether no part of a next answer has been received."""
        return self._state is _State.START and not self._buffer

    def has_value_data(self) -> bool:
        """Whether received bytes of the value have not been returned yet."""
        return self._state is _State.VALUE and self._value_left > 0 and bool(self._buffer)

    def next_event(self, max_data: int) -> AnswerEvent | None:
        """Returns the next event; None if it needs more bytes, or more of `max_data`.

        `max_data` is the largest number of bytes of the value that may be returned now.

        Raises:
            ProtocolError: The bytes are no answer.
        """
        while self._buffer:
            state = self._state
            if state is _State.VALUE:
                if self._value_left:
                    return self._take_value(max_data)
                if not self._skip_value_end():
                    return None
            elif state in (_State.FIGURES, _State.REPORT):
                string = self._read_optional_string()
                if string is None:
                    return None
                if state is _State.REPORT:
                    self._state = _State.START
                    return AnswerCompleted(self._figures, string)
                self._figures, self._state = string, _State.REPORT
            else:
                line = self._read_line()
                if line is None:
                    return None
                event = self._start(line) if state is _State.START else self._start_value(line)
                if event is not None:
                    return event
        return None

    def _start(self, line: bytes) -> ErrorReceived | None:
        if line == b"*3":
            self._state = _State.VALUE_LENGTH
            return None
        error = _ERROR_LINE.fullmatch(line)
        if not error:
            raise ProtocolError(f"neither an array of three items nor an error: {line[:40]!r}")
        return ErrorReceived(error[1])

    def _start_value(self, line: bytes) -> ValueStarted:
        length = _read_length(line, MAX_VALUE_BYTES)
        self._value_left, self._state = length, _State.VALUE
        return ValueStarted(length)

    def _take_value(self, max_data: int) -> ValueData | None:
        size = min(len(self._buffer), self._value_left, max_data)
        if size <= 0:
            return None
        data = self._take(size)
        self._value_left -= size
        return ValueData(data)

    def _skip_value_end(self) -> bool:
        if len(self._buffer) < 2:
            if self._buffer != b"\r":
                raise ProtocolError("value not terminated by CRLF")
            return False
        if self._take(2) != b"\r\n":
            raise ProtocolError("value not terminated by CRLF")
        self._state = _State.FIGURES
        return True

    def _read_optional_string(self) -> bytes | None:
        """Returns a string, empty for null; None if it is not complete yet."""
        if self._string_length < 0:
            line = self._read_line()
            if line is None:
                return None
            if line == b"$-1" or _UNREADABLE_LINE.fullmatch(line):
                return b""
            self._string_length = _read_length(line, MAX_FIGURES_BYTES)
        if len(self._buffer) < self._string_length + 2:
            return None
        data = self._take(self._string_length + 2)
        if data[-2:] != b"\r\n":
            raise ProtocolError("string not terminated by CRLF")
        self._string_length = -1
        return data[:-2]

    def _read_line(self) -> bytes | None:
        at = self._buffer.find(b"\r\n", 0, MAX_LINE_BYTES + 2)
        if at >= 0:
            return self._take(at + 2)[:-2]
        if len(self._buffer) > MAX_LINE_BYTES + 1:
            raise ProtocolError(f"line longer than {MAX_LINE_BYTES} bytes")
        if self._buffer[0] not in _TYPE_BYTES[self._state]:
            raise ProtocolError(f"unexpected type byte {bytes(self._buffer[:1])!r}")
        return None

    def _take(self, size: int) -> bytes:
        data = bytes(memoryview(self._buffer)[:size])
        del self._buffer[:size]
        return data


def _read_length(line: bytes, max_length: int) -> int:
    match = _LENGTH_LINE.fullmatch(line)
    if not match:
        raise ProtocolError(f"not the length of a string: {line[:40]!r}")
    length = int(match[1])
    if length > max_length:
        raise ProtocolError(f"length {length} out of range, at most {max_length}")
    return length
