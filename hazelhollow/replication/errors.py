"""Why a snapshot on disk cannot be used, by whose fault it is."""

from __future__ import annotations


class SnapshotError(Exception):
    """A snapshot that must not be used. The message continues "snapshot PATH ..."."""


class DamagedSnapshotError(SnapshotError):
    """The bytes are not what was written, or were never a snapshot: the disk's or the file's."""


class ForeignSnapshotError(SnapshotError):
    """It was written by another version or another member: the operator mixed up directories."""


class StaleSnapshotError(SnapshotError):
    """It is too old to say anything: this limiter was away for too long."""
