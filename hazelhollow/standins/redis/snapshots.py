"""Copies of a server's data over time, for restarts that come back with old data."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from hazelhollow.standins.redis.keyspace import Keyspace
from hazelhollow.standins.redis.values import Database

SNAPSHOT_EVERY = 1.0  # seconds
MAX_SNAPSHOTS = 64


class Snapshot(NamedTuple):
    """All data as it was at a time."""

    at: float
    data: list[Database]


class SnapshotHistory:
    """The latest snapshots. Off until something will need them."""

    def __init__(self, enabled: bool) -> None:
        self.enabled = enabled
        self._snapshots: deque[Snapshot] = deque(maxlen=MAX_SNAPSHOTS)

    def record(self, keyspace: Keyspace, now: float) -> None:
        """Takes a snapshot, where one is due."""
        if self.enabled and (not self._snapshots or now - self._snapshots[-1].at >= SNAPSHOT_EVERY):
            self._snapshots.append(Snapshot(now, keyspace.snapshot()))

    def latest_before(self, at: float) -> list[Database] | None:
        """The data as it was then.

        The oldest there is where none is so old; nothing where there is none.
        """
        old = [snapshot for snapshot in self._snapshots if snapshot.at <= at]
        if old:
            return old[-1].data
        return self._snapshots[0].data if self._snapshots else None
