"""One limiter's audit record: the newest entries in memory, all of them in segments on disk."""

from __future__ import annotations

from collections import deque
from typing import Any

import msgspec

from hazelhollow.configuration.audit.entries import AuditEntry, EntryKind
from hazelhollow.configuration.audit.segments import SegmentWriter

MAX_ENTRIES_IN_MEMORY = 4096
MAX_ANSWER_BYTES = 800_000  # of what a running limiter tells of its record, about
# The size of an entry in an answer, about: without samples and hosts, for each sample, each host.
_ENTRY_BYTES, _SAMPLE_BYTES, _HOST_BYTES = 200, 20, 12


class AuditRecord:
    """Entries in memory; `flush` hands those that are new over to be written to disk.

    Args:
        member: the writer's number.
        incarnation: the writer's incarnation.
        segments: where entries are written; None: memory only.
    """

    def __init__(
        self, member: int, incarnation: int, segments: SegmentWriter | None = None
    ) -> None:
        self.member, self.incarnation, self._segments = member, incarnation, segments
        self.entries: deque[AuditEntry] = deque(maxlen=MAX_ENTRIES_IN_MEMORY)
        self._unwritten: list[AuditEntry] = []
        self._serial = 0

    def add(
        self, time: float, kind: EntryKind, version: str, reason: str = "", **fields: Any
    ) -> None:
        """Adds an entry; `fields`: further ones of `AuditEntry`."""
        self._serial += 1
        entry = AuditEntry(
            time, self.member, self.incarnation, self._serial, kind, version, reason, **fields
        )
        self.entries.append(entry)
        if self._segments:
            self._unwritten.append(entry)

    def newest(self) -> list[Any]:
        """The newest entries in the form of JSON, about MAX_ANSWER_BYTES at most."""
        found, size = list[Any](), 0
        for entry in reversed(self.entries):
            size += _ENTRY_BYTES
            size += _SAMPLE_BYTES * len(entry.samples) + _HOST_BYTES * len(entry.hosts)
            if size > MAX_ANSWER_BYTES:
                break
            found.append(msgspec.to_builtins(entry))
        return found[::-1]

    def flush(self) -> None:
        """Hands new entries over to be written; never called for a request."""
        if self._segments and self._unwritten:
            unwritten, self._unwritten = self._unwritten, []
            self._segments.write(unwritten)

    def wait_until_written(self, timeout_s: float = 0.0) -> bool:
        """Whether all that was handed over is on disk, after `timeout_s` seconds at most."""
        return self._segments is None or self._segments.wait_until_written(timeout_s)

    def close(self) -> None:
        """Writes what is left and closes the segment."""
        self.flush()
        if self._segments:
            self._segments.close()
