"""The state of one stand-in server that its commands read and change."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from hazelhollow.standins.redis.cluster import Cluster
from hazelhollow.standins.redis.engine import Engine
from hazelhollow.standins.redis.faults import FaultSchedule
from hazelhollow.standins.redis.scripts import Scripts
from hazelhollow.standins.redis.session import Session
from hazelhollow.standins.redis.snapshots import SnapshotHistory


class ServerState:
    """One server's data, scripts, faults, sessions and counters; `clock` returns seconds."""

    def __init__(
        self,
        clock: Callable[[], float],
        seed: int,
        password: bytes,
        faults: FaultSchedule,
        snapshots: SnapshotHistory,
    ) -> None:
        self.clock, self.password = clock, password
        self.engine = Engine(clock, seed)
        self.scripts = Scripts(self.engine)
        self.faults, self.snapshots = faults, snapshots
        self.cluster: Cluster | None = None
        self.sessions: dict[int, Session] = {}
        self.calls: Counter[str] = Counter()  # calls by command name
