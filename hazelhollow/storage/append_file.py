"""A file to which complete records are appended."""

from __future__ import annotations

import errno
import logging
import os
from collections import deque
from pathlib import Path

from hazelhollow.storage.writer import DirectWriter, WriteJob, Writer

MAX_WAITING_BYTES = 1 << 20  # of records that cannot be written

log = logging.getLogger(__name__)


class AppendFile:
    """The file `path`, which is opened when the first record is written.

    `writer` does the writing; by default the caller's thread does it at once. The first of several
    failures to open or write the file is logged. Records that cannot be written wait, up to
    MAX_WAITING_BYTES, and are written before the next one; beyond that the oldest are lost.
    """

    def __init__(self, path: Path, writer: Writer | None = None) -> None:
        self.path = path
        self._writer = writer or DirectWriter()
        self._descriptor = -1
        self._failure_logged = False
        self._waiting: deque[bytes] = deque()
        self._torn = False  # whether the file ends in the middle of a record

    def append(self, record: bytes) -> None:
        """Submits the record to the writer, which keeps the order of the records."""
        self._writer.submit(WriteJob(lambda: self._append(record), len(record)))

    def _append(self, record: bytes) -> None:
        self._waiting.append(record)
        while sum(map(len, self._waiting)) > MAX_WAITING_BYTES:
            self._waiting.popleft()
        try:
            if self._descriptor < 0:
                flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
                self._descriptor = os.open(self.path, flags, 0o644)
            while self._waiting:
                self._write(self._waiting[0])
                self._waiting.popleft()
            self._failure_logged = False
        except OSError as error:
            if not self._failure_logged:
                log.error("%s cannot be written, records wait: %s", self.path, error)
            self._failure_logged = True

    def _write(self, record: bytes) -> None:
        """Writes a record completely; a torn one is ended and written again. Raises OSError."""
        data = b"\n" + record if self._torn else record
        size = os.write(self._descriptor, data)
        self._torn = 0 < size < len(data) or (self._torn and size == 0)
        if size < len(data):
            raise OSError(errno.ENOSPC, f"{size} of {len(data)} bytes written")
