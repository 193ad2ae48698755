"""What a limiter writes down of its own acts.

Bounded, in memory, and in segments where there is a disk.

A segment is a row of entries, each with its length and checksum, so that a tail that was torn off
shows and the rest is good. A new incarnation begins a new segment; the oldest go when there are too
many.
"""

from __future__ import annotations

import logging
import os
from collections import deque
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Literal
from zlib import crc32

import msgspec

from hazelhollow.storage.writer import DirectWriter, WriteJob, Writer

MOST_KEPT = 4096  # entries in memory
MOST_SEGMENT = 1 << 20  # bytes
MOST_SEGMENTS = 16
HEAD = 8  # bytes before an entry: its length and its checksum
MOST_ENTRY = 1 << 16
MOST_TOLD, ENTRY_SIZE = (
    800_000,
    200,
)  # bytes of what is told when it is asked for; about that many for an entry

What = Literal["settings", "list", "hands", "program", "ruling", "rollout", "heard", "second"]

log = logging.getLogger(__name__)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """`t`: the writer's clock, Unix seconds.

    `what`: `settings`, `list`, `hands`, `program`: it began to act on `version` for the reason
    `why`; `ruling`: its own case (`version` the state); `heard`: it heard for the first time that
    member `other` acts on `version` (all versions, as the view tells them); `second`: `counts` of
    the second before `t`, decided under `version`, the settings, with `hosts` that were sent
    something.

    `rollout`: what became of settings that some members try first (`version` the step).
    `candidate`: the settings are tried.

    `order`: of the settings then. `hosts` of `hands`: those that are out, with 1.
    """

    t: float
    member: int
    incarnation: int
    serial: int
    what: What
    version: str
    why: str = ""
    order: int = 0
    other: int = -1
    counts: dict[str, int] = {}
    hosts: dict[str, int] = {}
    samples: list[str] = []
    candidate: bool = False


def pack(entry: Entry) -> bytes:
    body = msgspec.msgpack.encode(entry)
    return len(body).to_bytes(4, "big") + crc32(body).to_bytes(4, "big") + body


def unpack(data: bytes) -> Iterator[Entry | str]:
    """The entries, and at the end a line about what could not be read, if anything."""
    at, decoder = 0, msgspec.msgpack.Decoder[Entry](Entry)
    while at < len(data):
        length, check = (
            int.from_bytes(data[at : at + 4], "big"),
            int.from_bytes(data[at + 4 : at + HEAD], "big"),
        )
        body = data[at + HEAD : at + HEAD + length]
        if len(body) < length or length > MOST_ENTRY or crc32(body) != check:
            yield f"{len(data) - at} bytes at the end could not be read"
            return
        try:
            yield decoder.decode(body)
        except msgspec.DecodeError as error:
            yield f"an entry at byte {at} is of another form: {error}"
        at += HEAD + length


class Segments:
    """The files of one limiter, written by `writer`.

    A disk that fails costs the record alone: it is said once, and tried again with the next
    segment.
    """

    def __init__(
        self, folder: Path, member: int, incarnation: int, writer: Writer | None = None
    ) -> None:
        self._folder, self._member, self._life = folder, member, incarnation
        self._writer = writer or DirectWriter()
        self._file, self._size, self._number = -1, 0, 0
        self._failed = False

    def write(self, entries: list[Entry]) -> None:
        data = b"".join(pack(entry) for entry in entries)
        self._writer.submit(WriteJob(lambda: self._append(data), len(data)))

    def written(self, within: float) -> bool:
        """Waits until all is written, `within` seconds at most; whether it is."""
        return self._writer.finish(within)

    def close(self) -> None:
        self._writer.submit(WriteJob(self._close))

    def _append(self, data: bytes) -> None:
        try:
            if self._file < 0 or self._size + len(data) > MOST_SEGMENT:
                self._next()
            self._size += os.write(self._file, data)
        except OSError as error:
            if not self._failed:
                log.error("audit: the record cannot be written: %s", error)
            self._failed = True
            self._close()

    def _next(self) -> None:
        self._close()
        self._number += 1
        name = f"audit-{self._member}-{self._life:014d}-{self._number:04d}.seg"
        self._file = os.open(self._folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._size, self._failed = 0, False
        for old in sorted(self._folder.glob(f"audit-{self._member}-*.seg"))[:-MOST_SEGMENTS]:
            old.unlink(missing_ok=True)

    def _close(self) -> None:
        if self._file >= 0:
            os.close(self._file)
        self._file = -1


class Record:
    """Entries in memory, the last of them.

    Those not yet on disk are written by `flush`, never by a request.
    """

    def __init__(self, member: int, incarnation: int, segments: Segments | None = None) -> None:
        self.member, self.incarnation, self._segments = member, incarnation, segments
        self.kept: deque[Entry] = deque(maxlen=MOST_KEPT)
        self._waiting: list[Entry] = []
        self._serial = 0

    def add(self, t: float, what: What, version: str, why: str = "", **more: Any) -> None:
        self._serial += 1
        entry = Entry(t, self.member, self.incarnation, self._serial, what, version, why, **more)
        self.kept.append(entry)
        if self._segments:
            self._waiting.append(entry)

    def last(self) -> list[Any]:
        """The newest entries, as JSON can hold them, within MOST_TOLD bytes or so."""
        found, size = list[Any](), 0
        for entry in reversed(self.kept):
            size += ENTRY_SIZE + 20 * len(entry.samples) + 12 * len(entry.hosts)
            if size > MOST_TOLD:
                break
            found.append(msgspec.to_builtins(entry))
        return found[::-1]

    def flush(self) -> None:
        """Hands the entries over to be written."""
        if self._segments and self._waiting:
            waiting, self._waiting = self._waiting, []
            self._segments.write(waiting)

    def written(self, within: float = 0.0) -> bool:
        """Whether all that was handed over is written, after `within` seconds at most."""
        return self._segments is None or self._segments.written(within)

    def close(self) -> None:
        self.flush()
        if self._segments:
            self._segments.close()
