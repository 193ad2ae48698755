"""A limiter's snapshot on disk, in a directory that outlives its process.

A snapshot is written completely to a temporary file, which then replaces the old file by a rename.
So a reader finds the old or the new snapshot, never a part of one. A file that cannot be used is
renamed to `NAME.bad` and logged: it is never used, and never prevents the limiter from starting.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path

from hazelhollow.replication import snapshot as snapshots
from hazelhollow.replication.errors import SnapshotError
from hazelhollow.replication.snapshot import Snapshot
from hazelhollow.storage.writer import DirectWriter, WriteJob, Writer

READ_ATTEMPTS = 3

log = logging.getLogger(__name__)


class SnapshotFile:
    """The file `replica-MEMBER` in `directory`.

    `writer` does the writing; by default the caller's thread does it at once. Only the newest of
    the snapshots that wait for the writer is written.
    """

    def __init__(self, directory: Path, member: int, writer: Writer | None = None) -> None:
        self.path, self.member = directory / f"replica-{member}", member
        self._writer = writer or DirectWriter()
        self._failure_logged = False

    def load(self, now: float) -> Snapshot | None:
        """Returns the snapshot; None if there is none, or it cannot be used and was set aside."""
        try:
            return snapshots.decode(self._read(), self.member, now)
        except FileNotFoundError:
            return None
        except OSError as error:
            # The disk may recover, and then the next start needs the file.
            log.warning("snapshot %s cannot be read and is not used: %s", self.path, error)
            return None
        except SnapshotError as error:
            self._set_aside(error)
            return None

    def _read(self) -> bytes:
        """Returns the file's bytes; tries again if the disk fails for a moment."""
        for _ in range(READ_ATTEMPTS - 1):
            try:
                return self.path.read_bytes()
            except FileNotFoundError:
                raise
            except OSError:
                continue
        return self.path.read_bytes()

    def _set_aside(self, reason: Exception) -> None:
        bad_path = self.path.with_name(self.path.name + ".bad")
        log.warning(
            "snapshot %s %s; it is not used and set aside as %s", self.path, reason, bad_path.name
        )
        try:
            os.replace(self.path, bad_path)
        except OSError as error:
            log.warning("snapshot %s cannot be renamed to %s: %s", self.path, bad_path.name, error)

    def save(self, snapshot: Snapshot) -> None:
        """Submits the snapshot to the writer.

        If it cannot be written, the old snapshot stays and the failure is logged.
        """
        data = snapshots.encode(snapshot)
        self._writer.submit(WriteJob(lambda: self._write(data), len(data), self.path.name))

    def _write(self, data: bytes) -> None:
        temporary_path = self.path.with_name(f"{self.path.name}.{os.getpid()}.part")
        try:
            temporary_path.write_bytes(data)
            os.replace(temporary_path, self.path)
            self._failure_logged = False
        except OSError as error:
            if not self._failure_logged:
                log.error(
                    "snapshot %s cannot be written, any previous one stays: %s", self.path, error
                )
            self._failure_logged = True
