"""Periodic copies of a server's data, for simulated restarts with old data."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from hazelhollow.standins.redis.keyspace import Keyspace
from hazelhollow.standins.redis.values import Database

SNAPSHOT_INTERVAL_S = 1.0
MAX_SNAPSHOTS = 64


class Snapshot(NamedTuple):
    """A copy of all data, and the time at which it was made."""

    at: float
    data: list[Database]


class SnapshotHistory:
    """The latest snapshots; none are taken unless `enabled`."""

    def __init__(self, enabled: bool) -> None:
        self.enabled = enabled
        self._snapshots: deque[Snapshot] = deque(maxlen=MAX_SNAPSHOTS)

    def record(self, keyspace: Keyspace, now: float) -> None:
        """Takes a snapshot if one is due."""
        if self.enabled and (
            not self._snapshots or now - self._snapshots[-1].at >= SNAPSHOT_INTERVAL_S
        ):
            self._snapshots.append(Snapshot(now, keyspace.snapshot()))

    def latest_before(self, at: float) -> list[Database] | None:
        """Returns the data of the latest snapshot that was taken at or before `at`.

        If all snapshots are later, returns the oldest one; if there is none, None.
        """
        old = [snapshot for snapshot in self._snapshots if snapshot.at <= at]
        if old:
            return old[-1].data
        return self._snapshots[0].data if self._snapshots else None
