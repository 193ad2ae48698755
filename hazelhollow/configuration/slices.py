"""Work on documents that is too long for one turn of the event loop, cut into steps.

No I/O, no clock.

Each class here is made of what it works on, and does one step with each call of `step`, until that
says that it is done.
"""

from __future__ import annotations

import base64
import zlib
from collections import deque
from collections.abc import Mapping
from typing import Any, Protocol

import orjson

from hazelhollow.configuration.difference import Change, Pair, compare

COMPARED_A_STEP = 200  # places of two documents
PACKED_A_STEP = 1 << 14  # bytes of JSON


class Work(Protocol):
    def step(self) -> bool:
        """Does a part of it; whether all is done."""


class Comparison:
    """What has changed between two documents.

    `changes` once it is done, in the order in which they are to be made.
    """

    def __init__(self, base: Mapping[str, Any], new: Mapping[str, Any]) -> None:
        self.changes = list[Change]()
        self._pairs = deque([Pair(base, new, [])])

    def step(self) -> bool:
        for _ in range(min(COMPARED_A_STEP, len(self._pairs))):
            self._pairs.extend(compare(self._pairs.popleft(), self.changes))
        return not self._pairs


class Packing:
    """Anything that JSON can hold as compressed text, in pieces of `size` characters.

    `pieces` once it is done.
    """

    def __init__(self, value: Any, size: int) -> None:
        self.pieces = list[str]()
        self._size = size
        self._left: bytes | None = None
        self._value = value
        self._compressor, self._packed = zlib.compressobj(9), bytearray()

    def step(self) -> bool:
        if self._left is None:
            self._left = orjson.dumps(self._value, option=orjson.OPT_SORT_KEYS)
            self._value = None
        part, self._left = self._left[:PACKED_A_STEP], self._left[PACKED_A_STEP:]
        self._packed += self._compressor.compress(part)
        if self._left:
            return False
        self._packed += self._compressor.flush()
        text = base64.b64encode(self._packed).decode()
        self.pieces = [text[at : at + self._size] for at in range(0, len(text), self._size)]
        return True


def finished(work: Work) -> None:
    """Does all of it at once."""
    while not work.step():
        pass
