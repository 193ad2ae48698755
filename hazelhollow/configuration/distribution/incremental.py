"""Work on documents that is too long for one turn of the event loop, cut into steps.

Each class is made of what it works on and does a part with each call of `step`, until that returns
True. No I/O, no clock.
"""

from __future__ import annotations

import base64
import binascii
import zlib
from collections import deque
from collections.abc import Mapping
from typing import Any, Protocol

import orjson

from hazelhollow.configuration.distribution.delta import Change, Place, compare_place

PLACES_PER_STEP = 200  # of two documents that are compared
PACKED_BYTES_PER_STEP = 1 << 14  # of JSON
MAX_DOCUMENT_BYTES = 4 << 20  # of JSON, whatever the compressed text would unpack to


class IncrementalWork(Protocol):
    """Something that is done step by step."""

    def step(self) -> bool:
        """Does a part of it; whether all is done."""


class DeltaComputation:
    """Computes the delta between two documents; `changes` is complete once it is done."""

    def __init__(self, base: Mapping[str, Any], new: Mapping[str, Any]) -> None:
        self.changes = list[Change]()
        self._places = deque([Place(base, new, [])])

    def step(self) -> bool:
        """Compares up to PLACES_PER_STEP places; whether all are compared."""
        for _ in range(min(PLACES_PER_STEP, len(self._places))):
            self._places.extend(compare_place(self._places.popleft(), self.changes))
        return not self._places


class DocumentPacking:
    """Makes compressed text of anything that JSON can hold, in pieces of `size` characters.

    `pieces` is empty until it is done.
    """

    def __init__(self, value: Any, size: int) -> None:
        self.pieces = list[str]()
        self._size = size
        self._unpacked: bytes | None = None
        self._value = value
        self._compressor, self._packed = zlib.compressobj(9), bytearray()

    def step(self) -> bool:
        """Compresses up to PACKED_BYTES_PER_STEP; whether all is compressed."""
        if self._unpacked is None:
            self._unpacked = orjson.dumps(self._value, option=orjson.OPT_SORT_KEYS)
            self._value = None
        part = self._unpacked[:PACKED_BYTES_PER_STEP]
        self._unpacked = self._unpacked[PACKED_BYTES_PER_STEP:]
        self._packed += self._compressor.compress(part)
        if self._unpacked:
            return False
        self._packed += self._compressor.flush()
        text = base64.b64encode(self._packed).decode()
        self.pieces = [text[at : at + self._size] for at in range(0, len(text), self._size)]
        return True


def unpack(text: str) -> Any:
    """What `DocumentPacking` made this text of; None for a text that cannot be read."""
    try:
        unpacked = zlib.decompressobj().decompress(
            base64.b64decode(text, validate=True), MAX_DOCUMENT_BYTES
        )
        return orjson.loads(unpacked)
    except (binascii.Error, zlib.error, orjson.JSONDecodeError):
        return None


def run_to_end(work: IncrementalWork) -> None:
    """Does all of it at once."""
    while not work.step():
        pass
