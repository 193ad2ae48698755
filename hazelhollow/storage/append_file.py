"""A file that grows by whole records."""

from __future__ import annotations

import logging
import os
from pathlib import Path

from hazelhollow.storage.writer import DirectWriter, WriteJob, Writer

log = logging.getLogger(__name__)


class AppendFile:
    """Opened with the first record.

    If it can't be opened or written, that is logged once and tried again with the next.
    """

    def __init__(self, path: Path, writer: Writer | None = None) -> None:
        self.path = path
        self._writer = writer or DirectWriter()
        self._file = -1
        self._failed = False

    def append(self, record: bytes) -> None:
        self._writer.submit(WriteJob(lambda: self._append(record), len(record)))

    def _append(self, record: bytes) -> None:
        try:
            if self._file < 0:
                self._file = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
            os.write(self._file, record)
            self._failed = False
        except OSError as error:
            if not self._failed:
                log.error("%s cannot be written: %s", self.path, error)
            self._failed = True
