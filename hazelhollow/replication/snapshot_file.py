"""A limiter's snapshot on disk, in a directory that outlives its process.

Written whole beside the old file and renamed over it, so a reader meets the old or the new, never a
part. A file that cannot be used is renamed to `NAME.bad` and logged: it is never trusted, and never
keeps the limiter from starting.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path

from hazelhollow.replication import snapshot as snapshots
from hazelhollow.replication.errors import SnapshotError
from hazelhollow.replication.snapshot import Snapshot
from hazelhollow.storage.writer import DirectWriter, WriteJob, Writer

log = logging.getLogger(__name__)


class SnapshotFile:
    """The file `replica-MEMBER` in `directory`.

    `writer` does the writing, by default at once; of snapshots that wait for it only the newest is
    written.
    """

    def __init__(self, directory: Path, member: int, writer: Writer | None = None) -> None:
        self.path, self.member = directory / f"replica-{member}", member
        self._writer = writer or DirectWriter()
        self._failure_logged = False

    def load(self, now: float) -> Snapshot | None:
        """The snapshot; None where there is none, or none that can be used."""
        try:
            return snapshots.decode(self.path.read_bytes(), self.member, now)
        except FileNotFoundError:
            return None
        except (OSError, SnapshotError) as error:
            self._set_aside(error)
            return None

    def _set_aside(self, reason: Exception) -> None:
        bad_path = self.path.with_name(self.path.name + ".bad")
        log.warning("snapshot %s %s; it is set aside as %s", self.path, reason, bad_path.name)
        try:
            os.replace(self.path, bad_path)
        except OSError as error:
            log.warning("snapshot %s cannot be set aside: %s", self.path, error)

    def save(self, snapshot: Snapshot) -> None:
        """Has it written. If the disk takes nothing, the old snapshot stays and that is logged."""
        data = snapshots.encode(snapshot)
        self._writer.submit(WriteJob(lambda: self._write(data), len(data), self.path.name))

    def _write(self, data: bytes) -> None:
        part = self.path.with_name(f"{self.path.name}.{os.getpid()}.part")
        try:
            part.write_bytes(data)
            os.replace(part, self.path)
            self._failure_logged = False
        except OSError as error:
            if not self._failure_logged:
                log.error("snapshot %s cannot be written: %s", self.path, error)
            self._failure_logged = True
