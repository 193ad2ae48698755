"""Keys, their values and their expiry. No I/O; the clock is a parameter.

The keyspace is written for tests: it uses plain dictionaries in one process, with bounded sizes.
The commands that operate on it are functions in `*_commands.py`.
"""

from __future__ import annotations

import copy
import heapq
import random
from collections.abc import Callable

from hazelhollow.standins.redis.values import (
    WRONG_TYPE,
    CommandError,
    Database,
    Entry,
    Hash,
    SortedSet,
    Value,
)

DATABASES = 16
RUN_ID_BITS = 160


def empty_databases() -> list[Database]:
    """Returns the databases of an empty server."""
    return [Database() for _ in range(DATABASES)]


class Keyspace:
    """One server's data.

    `clock` returns seconds; `clock_skew` is added to it, so that the server's clock can jump.
    """

    def __init__(self, clock: Callable[[], float], seed: int = 0) -> None:
        self._clock, self._random = clock, random.Random(seed)
        self.clock_skew = 0.0
        self.databases = empty_databases()
        self.run_id = self._new_run_id()
        self.readonly = self.out_of_memory = False
        self.changes = 0  # number of changes; each gives a key its new version, for WATCH
        self.frozen_time: float | None = None  # the time while a script runs
        self.started_at = self.now()
        self._expiries: list[tuple[float, int, bytes]] = []  # heap of time, database and key

    # Time and expiry

    def now(self) -> float:
        """Returns the server's time in seconds; it does not advance while a script runs."""
        return self._clock() + self.clock_skew if self.frozen_time is None else self.frozen_time

    def purge(self) -> None:
        """Removes the keys that have expired."""
        now = self.now()
        while self._expiries and self._expiries[0][0] <= now:
            _, database, key = heapq.heappop(self._expiries)
            entry = self.databases[database].entries.get(key)
            if entry and entry.expires_at is not None and entry.expires_at <= now:
                self.remove(database, key)

    def expire(self, database: int, key: bytes, at: float) -> None:
        """Sets the expiry time of an existing key."""
        self.databases[database].entries[key].expires_at = at
        heapq.heappush(self._expiries, (at, database, key))

    # Keys

    def find(self, database: int, key: bytes) -> Entry | None:
        """Returns the entry of a key; None if the key does not exist or has expired."""
        entry = self.databases[database].entries.get(key)
        if entry and entry.expires_at is not None and entry.expires_at <= self.now():
            self.remove(database, key)
            return None
        return entry

    def remove(self, database: int, key: bytes) -> bool:
        """Removes a key; returns whether it existed."""
        if self.databases[database].entries.pop(key, None) is None:
            return False
        self.changes += 1
        return True

    def put(self, database: int, key: bytes, value: Value, keep_expiry: bool = True) -> None:
        """Stores a value that may have been changed in place; an empty collection is removed."""
        if isinstance(value, dict) and not value:
            self.remove(database, key)
            return
        self.changes += 1
        entry = self.databases[database].entries.get(key)
        if entry and keep_expiry:
            entry.value, entry.version = value, self.changes
        else:
            self.databases[database].entries[key] = Entry(value, None, self.changes)

    def flush(self, databases: range) -> None:
        """Empties the given databases."""
        for database in databases:
            self.databases[database] = Database()
        self.changes += 1

    def version(self, database: int, key: bytes) -> int:
        """Returns the version of a key; 0 if it does not exist."""
        entry = self.find(database, key)
        return entry.version if entry else 0

    def string(self, database: int, key: bytes) -> bytes | None:
        """Returns a string's value, or None if the key does not exist.

        Raises:
            CommandError: the key holds another type.
        """
        entry = self.find(database, key)
        if entry is None:
            return None
        if not isinstance(entry.value, bytes):
            raise CommandError(WRONG_TYPE)
        return entry.value

    def hash(self, database: int, key: bytes) -> Hash:
        """Returns a hash, or a new one if the key does not exist; changes must be stored by `put`.

        Raises:
            CommandError: the key holds another type.
        """
        entry = self.find(database, key)
        if entry is None:
            return {}
        if isinstance(entry.value, bytes | SortedSet):
            raise CommandError(WRONG_TYPE)
        return entry.value

    def sorted_set(self, database: int, key: bytes) -> SortedSet:
        """Returns a sorted set, or a new one if the key does not exist.

        Changes must be stored by `put`.

        Raises:
            CommandError: the key holds another type.
        """
        entry = self.find(database, key)
        if entry is None:
            return SortedSet()
        if not isinstance(entry.value, SortedSet):
            raise CommandError(WRONG_TYPE)
        return entry.value

    # Snapshots and restarts

    def snapshot(self) -> list[Database]:
        """Returns a copy of all data."""
        return copy.deepcopy(self.databases)

    def restart(self, data: list[Database] | None = None) -> None:
        """Simulates a new process with a new run id and either no data or that of a snapshot."""
        self.databases = copy.deepcopy(data) if data is not None else empty_databases()
        self._expiries = [
            (entry.expires_at, number, key)
            for number, database in enumerate(self.databases)
            for key, entry in database.entries.items()
            if entry.expires_at is not None
        ]
        heapq.heapify(self._expiries)
        self.run_id, self.started_at = self._new_run_id(), self.now()
        self.changes += 1

    def _new_run_id(self) -> str:
        return f"{self._random.getrandbits(RUN_ID_BITS):040x}"
