"""One limiter's audit record: the newest entries in memory, all entries in segments on disk."""

from __future__ import annotations

from collections import deque
from typing import Any

import msgspec

from hazelhollow.configuration.audit.entries import AuditEntry, EntryKind
from hazelhollow.configuration.audit.segments import SegmentWriter

MAX_ENTRIES_IN_MEMORY = 4096
MAX_ANSWER_BYTES = 800_000  # of a running limiter's answer with its record; approximate
# Approximate size of an entry in an answer: without samples and hosts, per sample, per host.
_ENTRY_BYTES, _SAMPLE_BYTES, _HOST_BYTES = 200, 20, 12


class AuditRecord:
    """Keeps entries in memory; `flush` submits new ones for writing to disk.

    Args:
        member: Number of the writer.
        incarnation: Incarnation of the writer.
        segments: Writes the entries to disk; None: memory only.
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
        """Adds an entry; `fields`: further fields of `AuditEntry`."""
        self._serial += 1
        entry = AuditEntry(
            time, self.member, self.incarnation, self._serial, kind, version, reason, **fields
        )
        self.entries.append(entry)
        if self._segments:
            self._unwritten.append(entry)

    def newest(self) -> list[Any]:
        """Returns the newest entries as JSON values, limited to about MAX_ANSWER_BYTES."""
        selected, size = list[Any](), 0
        for entry in reversed(self.entries):
            size += _ENTRY_BYTES
            size += _SAMPLE_BYTES * len(entry.samples) + _HOST_BYTES * len(entry.hosts)
            if size > MAX_ANSWER_BYTES:
                break
            selected.append(msgspec.to_builtins(entry))
        return selected[::-1]

    def flush(self) -> None:
        """Submits new entries for writing; never called while a request is handled."""
        if self._segments and self._unwritten:
            unwritten, self._unwritten = self._unwritten, []
            self._segments.write(unwritten)

    def wait_until_written(self, timeout_s: float = 0.0) -> bool:
        """Waits up to `timeout_s` seconds; returns whether all submitted entries are on disk."""
        return self._segments is None or self._segments.wait_until_written(timeout_s)

    def close(self) -> None:
        """Submits the remaining entries and closes the segment."""
        self.flush()
        if self._segments:
            self._segments.close()
