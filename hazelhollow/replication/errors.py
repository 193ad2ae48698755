"""Reasons why a snapshot on disk cannot be used, by their cause."""

from __future__ import annotations


class SnapshotError(Exception):
    """The snapshot must not be used. The message continues the log line "snapshot PATH ..."."""


class DamagedSnapshotError(SnapshotError):
    """The bytes are not those that were written, or the file never was a snapshot."""


class ForeignSnapshotError(SnapshotError):
    """The file is of another version or member, as when an operator mixes up directories."""


class StaleSnapshotError(SnapshotError):
    """The snapshot is too old to be of use: this limiter was down for too long."""
