"""A file to which whole records are appended."""

from __future__ import annotations

import logging
import os
from pathlib import Path

from hazelhollow.storage.writer import DirectWriter, WriteJob, Writer

log = logging.getLogger(__name__)


class AppendFile:
    """The file `path`, opened with the first record; `writer` does the writing, by default at once.

    A failure to open or write it is logged once; the next record is tried again, those that failed
    are lost.
    """

    def __init__(self, path: Path, writer: Writer | None = None) -> None:
        self.path = path
        self._writer = writer or DirectWriter()
        self._descriptor = -1
        self._failure_logged = False

    def append(self, record: bytes) -> None:
        """Has the record written after those before it."""
        self._writer.submit(WriteJob(lambda: self._append(record), len(record)))

    def _append(self, record: bytes) -> None:
        try:
            if self._descriptor < 0:
                flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
                self._descriptor = os.open(self.path, flags, 0o644)
            os.write(self._descriptor, record)
            self._failure_logged = False
        except OSError as error:
            if not self._failure_logged:
                log.error("%s cannot be written: %s", self.path, error)
            self._failure_logged = True
