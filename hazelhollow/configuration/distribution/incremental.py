"""Work on documents that is too long for one turn of the event loop, divided into steps.

Each class is constructed with its input; each call of `step` does a part of the work, until it
returns True. The module does no I/O and reads no clock.
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

PLACES_PER_STEP = 200  # of two documents that are being compared
PACKED_BYTES_PER_STEP = 1 << 14  # of JSON
MAX_DOCUMENT_BYTES = 4 << 20  # of JSON; limits what a compressed text can unpack to


class IncrementalWork(Protocol):
    """Work that is done step by step."""

    def step(self) -> bool:
        """Does a part of the work; returns whether all is done."""


class DeltaComputation:
    """Computes the delta between two documents; `changes` is complete once it is done."""

    def __init__(self, base: Mapping[str, Any], new: Mapping[str, Any]) -> None:
        self.changes = list[Change]()
        self._places = deque([Place(base, new, [])])

    def step(self) -> bool:
        """Compares up to PLACES_PER_STEP places; returns whether all are compared."""
        for _ in range(min(PLACES_PER_STEP, len(self._places))):
            self._places.extend(compare_place(self._places.popleft(), self.changes))
        return not self._places


class DocumentPacking:
    """Compresses a JSON value to text, in pieces of `size` characters.

    `pieces` is empty until the work is done.
    """

    def __init__(self, value: Any, size: int) -> None:
        self.pieces = list[str]()
        self._size = size
        self._uncompressed: bytes | None = None
        self._value = value
        self._compressor, self._packed = zlib.compressobj(9), bytearray()

    def step(self) -> bool:
        """Compresses up to PACKED_BYTES_PER_STEP bytes; returns whether all are compressed."""
        if self._uncompressed is None:
            self._uncompressed = orjson.dumps(self._value, option=orjson.OPT_SORT_KEYS)
            self._value = None
        part = self._uncompressed[:PACKED_BYTES_PER_STEP]
        self._uncompressed = self._uncompressed[PACKED_BYTES_PER_STEP:]
        self._packed += self._compressor.compress(part)
        if self._uncompressed:
            return False
        self._packed += self._compressor.flush()
        text = base64.b64encode(self._packed).decode()
        self.pieces = [text[at : at + self._size] for at in range(0, len(text), self._size)]
        return True


def unpack(text: str) -> Any:
    """Returns the value that `DocumentPacking` compressed; None if the text cannot be read."""
    try:
        unpacked = zlib.decompressobj().decompress(
            base64.b64decode(text, validate=True), MAX_DOCUMENT_BYTES
        )
        return orjson.loads(unpacked)
    except (binascii.Error, zlib.error, orjson.JSONDecodeError):
        return None


def run_to_end(work: IncrementalWork) -> None:
    """Does all steps of the work at once."""
    while not work.step():
        pass
