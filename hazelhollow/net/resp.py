"""RESP2 both ways: a bounded, incremental parser that knows no socket, and the encoders."""

from __future__ import annotations

import re
from typing import Final, Union

from hazelhollow.net.ring import Ring, RingFull

MOST_BYTES = 64 * 1024  # of one value
MOST_WHOLE = MOST_BYTES + 8 * 1024  # of one command or answer, arrays and all
MOST_ITEMS = 64  # of one array; commands and answers have five at most
MOST_DEPTH = 4
MOST_LINE = 4 * 1024
MOST_BUFFERED = 2 * MOST_BYTES  # received and not parsed yet


class ProtocolError(Exception):
    """What arrived is not of the protocol, or too large for it."""


class Simple(bytes):
    """A status line: `+OK`."""


class Fault(bytes):
    """An error line: `-ERR ...`."""


class More:
    """What the parser gives while no value is whole."""


Value = Union[bytes, int, None, list["Value"]]
MORE: Final = More()
_NUMBER = re.compile(rb"-?[0-9]{1,19}")


class Parser:
    """Fed bytes as they come, split anywhere; gives whole values in their order."""

    __slots__ = ("ring", "_bulk", "_stack", "_taken")

    def __init__(self) -> None:
        self.ring = Ring(MOST_BUFFERED)
        self._bulk = -1  # length of the string whose bytes come next
        self._stack: list[tuple[list[Value], int]] = []  # unfinished arrays and their lengths
        self._taken = 0  # bytes of strings in them

    def feed(self, data: bytes) -> None:
        try:
            self.ring.write(data)
        except RingFull:
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
        if len(view) != len(self.ring) or len(view) > MOST_LINE or view[0] != 42:  # `*`
            return None
        parts = bytes(view).split(b"\r\n")
        words = parts[2::2]
        if parts[-1] or len(parts) != 2 * len(words) + 2 or not words or len(words) > MOST_ITEMS:
            return None
        if parts[0] != b"*%d" % len(words) or parts[1:-1:2] != [
            b"$%d" % len(word) for word in words
        ]:
            return None
        self.ring.clear()
        return list(words)

    def next(self) -> Value | More:
        ring = self.ring
        if not ring:
            return MORE
        if self._bulk < 0 and not self._stack:
            words = self._whole()
            if words is not None:
                return words
        while True:
            value: Value
            if self._bulk >= 0:
                if len(ring) < self._bulk + 2:
                    return MORE
                data = ring.take(self._bulk + 2)
                if data[-2:] != b"\r\n":
                    raise ProtocolError("a string without its end")
                self._bulk, value = -1, data[:-2]
            else:
                at = ring.find(b"\r\n")
                if at < 0 and len(ring) <= MOST_LINE:
                    return MORE
                if not 0 < at <= MOST_LINE:
                    raise ProtocolError("an empty line or too long a one")
                line = ring.take(at + 2)[:-2]
                kind = line[:1]
                if kind == b"$":
                    self._bulk = _length(line, MOST_BYTES)
                    self._taken += max(self._bulk, 0) if self._stack else 0
                    if self._taken > MOST_WHOLE:  # many strings, each of which may be large
                        raise ProtocolError("too much in one array")
                    if self._bulk >= 0:
                        continue
                    value = None
                elif kind == b"*":
                    count = _length(line, MOST_ITEMS)
                    if count > 0:
                        if len(self._stack) == MOST_DEPTH:
                            raise ProtocolError("arrays too deep")
                        self._stack.append(([], count))
                        continue
                    value = [] if count == 0 else None
                elif kind == b"+":
                    value = Simple(line[1:])
                elif kind == b"-":
                    value = Fault(line[1:])
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


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(words: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join([b"$%d\r\n%b\r\n" % (len(w), w) for w in words])
