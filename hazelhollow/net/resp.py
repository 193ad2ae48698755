"""RESP2 both ways: a bounded, incremental parser that knows no socket, and the encoders."""

from __future__ import annotations

import re
from typing import Final, Union

from hazelhollow.net.ring_buffer import RingBuffer, RingBufferFullError

MAX_STRING_BYTES = 64 * 1024  # of one value
MAX_VALUE_BYTES = MAX_STRING_BYTES + 8 * 1024  # of one command or answer, arrays and all
MAX_ARRAY_ITEMS = 64  # of one array; commands and answers have five at most
MAX_ARRAY_DEPTH = 4
MAX_LINE_BYTES = 4 * 1024
MAX_BUFFERED_BYTES = 2 * MAX_STRING_BYTES  # received and not parsed yet


class ProtocolError(Exception):
    """What arrived is not of the protocol, or too large for it."""


class SimpleString(bytes):
    """A status line: `+OK`."""


class ErrorReply(bytes):
    """An error line: `-ERR ...`."""


class NeedMoreData:
    """What the parser gives while no value is whole."""


Value = Union[bytes, int, None, list["Value"]]
NEED_MORE_DATA: Final = NeedMoreData()
_NUMBER = re.compile(rb"-?[0-9]{1,19}")


class Parser:
    """Fed bytes as they come, split anywhere; gives whole values in their order."""

    __slots__ = ("ring", "_bulk", "_stack", "_taken")

    def __init__(self) -> None:
        self.ring = RingBuffer(MAX_BUFFERED_BYTES)
        self._bulk = -1  # length of the string whose bytes come next
        self._stack: list[tuple[list[Value], int]] = []  # unfinished arrays and their lengths
        self._taken = 0  # bytes of strings in them

    def feed(self, data: bytes) -> None:
        try:
            self.ring.write(data)
        except RingBufferFullError:
            raise ProtocolError("too much at once") from None

    def held(self) -> int:
        """Bytes received that no whole value has been made of yet."""
        return len(self.ring) + self._taken

    def idle(self) -> bool:
        """Between values: nothing of the next one has come."""
        return not self.ring and not self._stack and self._bulk < 0

    def _whole(self) -> list[Value] | None:
        """The usual case, all that has come is one array of plain strings, in a quarter of the
        steps.
        """
        view = self.ring.peek()
        if len(view) != len(self.ring) or len(view) > MAX_LINE_BYTES or view[0] != 42:  # `*`
            return None
        parts = bytes(view).split(b"\r\n")
        words = parts[2::2]
        if (
            parts[-1]
            or len(parts) != 2 * len(words) + 2
            or not words
            or len(words) > MAX_ARRAY_ITEMS
        ):
            return None
        if parts[0] != b"*%d" % len(words) or parts[1:-1:2] != [
            b"$%d" % len(word) for word in words
        ]:
            return None
        self.ring.clear()
        return list(words)

    def next(self) -> Value | NeedMoreData:
        ring = self.ring
        if not ring:
            return NEED_MORE_DATA
        if self._bulk < 0 and not self._stack:
            words = self._whole()
            if words is not None:
                return words
        while True:
            value: Value
            if self._bulk >= 0:
                if len(ring) < self._bulk + 2:
                    return NEED_MORE_DATA
                data = ring.take(self._bulk + 2)
                if data[-2:] != b"\r\n":
                    raise ProtocolError("a string without its end")
                self._bulk, value = -1, data[:-2]
            else:
                at = ring.find(b"\r\n")
                if at < 0 and len(ring) <= MAX_LINE_BYTES:
                    return NEED_MORE_DATA
                if not 0 < at <= MAX_LINE_BYTES:
                    raise ProtocolError("an empty line or too long a one")
                line = ring.take(at + 2)[:-2]
                kind = line[:1]
                if kind == b"$":
                    self._bulk = _length(line, MAX_STRING_BYTES)
                    self._taken += max(self._bulk, 0) if self._stack else 0
                    if self._taken > MAX_VALUE_BYTES:  # many strings, each of which may be large
                        raise ProtocolError("too much in one array")
                    if self._bulk >= 0:
                        continue
                    value = None
                elif kind == b"*":
                    count = _length(line, MAX_ARRAY_ITEMS)
                    if count > 0:
                        if len(self._stack) == MAX_ARRAY_DEPTH:
                            raise ProtocolError("arrays too deep")
                        self._stack.append(([], count))
                        continue
                    value = [] if count == 0 else None
                elif kind == b"+":
                    value = SimpleString(line[1:])
                elif kind == b"-":
                    value = ErrorReply(line[1:])
                elif kind == b":":
                    # Unreadable, it is still whole on its line and ruins nothing beside it: no
                    # number.
                    value = int(line[1:]) if _NUMBER.fullmatch(line, 1) else None
                else:
                    raise ProtocolError("an unknown type")
            while self._stack:
                items, count = self._stack[-1]
                items.append(value)
                if len(items) < count:
                    break
                self._stack.pop()
                value = items
            else:
                self._taken = 0
                return value


def _length(line: bytes, most: int) -> int:
    """A length; -1 stands for the null string or array."""
    if not _NUMBER.fullmatch(line, 1):
        raise ProtocolError("not a number")
    number = int(line[1:])
    if not -1 <= number <= most:
        raise ProtocolError("a length out of range")
    return number


def encode_bulk_string(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_command(words: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join([b"$%d\r\n%b\r\n" % (len(w), w) for w in words])
