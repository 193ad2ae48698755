"""A file to which complete records are appended."""

from __future__ import annotations

import logging
import os
from pathlib import Path

from hazelhollow.storage.writer import DirectWriter, WriteJob, Writer

log = logging.getLogger(__name__)


class AppendFile:
    """The file `path`, which is opened when the first record is written.

    `writer` does the writing; by default the caller's thread does it at once. The first of several
    failures to open or write the file is logged. A record that cannot be written is lost, and
    writing is tried again with the next one.
    """

    def __init__(self, path: Path, writer: Writer | None = None) -> None:
        self.path = path
        self._writer = writer or DirectWriter()
        self._descriptor = -1
        self._failure_logged = False

    def append(self, record: bytes) -> None:
        """Submits the record to the writer, which keeps the order of the records."""
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
                log.error(
                    "%s cannot be written, %d bytes are lost: %s", self.path, len(record), error
                )
            self._failure_logged = True
