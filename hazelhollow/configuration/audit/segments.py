"""The files of one limiter's audit record.

Each incarnation begins a new segment; the oldest segments are deleted beyond MAX_SEGMENTS.
"""

from __future__ import annotations

import errno
import logging
import os
from collections import deque
from pathlib import Path

from hazelhollow.configuration.audit.entries import AuditEntry, encode_entry
from hazelhollow.storage.writer import DirectWriter, WriteJob, Writer

MAX_SEGMENT_BYTES = 1 << 20
MAX_WAITING_BYTES = 1 << 20  # of entries that cannot be written
MAX_SEGMENTS = 16  # of one limiter

log = logging.getLogger(__name__)


class SegmentWriter:
    """Writes one limiter's segments.

    A failing disk affects the record only: entries wait, up to MAX_WAITING_BYTES, the failure is
    logged once, and the next write opens a new segment and begins with them.

    Args:
        folder: Folder of the segments.
        member: Number of the limiter.
        incarnation: Incarnation of the limiter.
        writer: Executes the writes; None: they are executed at once.
    """

    def __init__(
        self, folder: Path, member: int, incarnation: int, writer: Writer | None = None
    ) -> None:
        self._folder, self._member, self._incarnation = folder, member, incarnation
        self._writer = writer or DirectWriter()
        self._file = -1  # descriptor of the open segment; -1: none
        self._size, self._number = 0, 0  # of the open segment
        self._failed = False
        self._waiting: deque[bytes] = deque()

    def write(self, entries: list[AuditEntry]) -> None:
        """Submits entries for writing."""
        data = b"".join(encode_entry(entry) for entry in entries)
        self._writer.submit(WriteJob(lambda: self._append(data), len(data)))

    def wait_until_written(self, timeout_s: float) -> bool:
        """Waits up to `timeout_s` seconds; returns whether all entries are written."""
        return self._writer.finish(timeout_s)

    def close(self) -> None:
        """Closes the open segment once all entries are written."""
        self._writer.submit(WriteJob(self._close))

    def _append(self, data: bytes) -> None:
        self._waiting.append(data)
        while sum(map(len, self._waiting)) > MAX_WAITING_BYTES:
            self._waiting.popleft()
        try:
            while self._waiting:
                self._write(self._waiting[0])
                self._waiting.popleft()
            self._failed = False
        except OSError as error:
            if not self._failed:
                log.error("audit: the record cannot be written, entries wait: %s", error)
            self._failed = True
            self._close()

    def _write(self, data: bytes) -> None:
        """Writes entries completely; torn ones are written again to the next segment."""
        if self._file < 0 or self._size + len(data) > MAX_SEGMENT_BYTES:
            self._open_next()
        size = os.write(self._file, data)
        self._size += size
        if size < len(data):
            raise OSError(errno.ENOSPC, f"{size} of {len(data)} bytes written")

    def _open_next(self) -> None:
        self._close()
        self._number += 1
        name = f"audit-{self._member}-{self._incarnation:014d}-{self._number:04d}.seg"
        self._file = os.open(self._folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._size = 0
        for old in sorted(self._folder.glob(f"audit-{self._member}-*.seg"))[:-MAX_SEGMENTS]:
            old.unlink(missing_ok=True)

    def _close(self) -> None:
        if self._file >= 0:
            os.close(self._file)
        self._file = -1
