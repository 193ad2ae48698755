"""Keys, their values and their expiry. No I/O; the clock is given.

Written for tests: plain dictionaries, one process, bounded sizes. The commands that work on it are
functions in `*_commands.py`.
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
    """The databases of a server that holds nothing."""
    return [Database() for _ in range(DATABASES)]


class Keyspace:
    """One server's data.

    `clock` gives seconds; `clock_skew` is added to it, so that the server's clock can jump.
    """

    def __init__(self, clock: Callable[[], float], seed: int = 0) -> None:
        self._clock, self._random = clock, random.Random(seed)
        self.clock_skew = 0.0
        self.databases = empty_databases()
        self.run_id = self._new_run_id()
        self.readonly = self.out_of_memory = False
        self.changes = 0  # keys changed, for WATCH: a new version for each
        self.frozen_time: float | None = None  # the time that a script sees
        self.started_at = self.now()
        self._expiries: list[tuple[float, int, bytes]] = []  # a heap: when, database, key

    # Time and expiry

    def now(self) -> float:
        """Seconds of the server's clock; it stands still while a script runs."""
        return self._clock() + self.clock_skew if self.frozen_time is None else self.frozen_time

    def purge(self) -> None:
        """Removes the keys whose time has come."""
        now = self.now()
        while self._expiries and self._expiries[0][0] <= now:
            _, database, key = heapq.heappop(self._expiries)
            entry = self.databases[database].entries.get(key)
            if entry and entry.expires_at is not None and entry.expires_at <= now:
                self.remove(database, key)

    def expire(self, database: int, key: bytes, at: float) -> None:
        """Sets when a key that is there ends."""
        self.databases[database].entries[key].expires_at = at
        heapq.heappush(self._expiries, (at, database, key))

    # Keys

    def find(self, database: int, key: bytes) -> Entry | None:
        """The entry of a key that has not ended."""
        entry = self.databases[database].entries.get(key)
        if entry and entry.expires_at is not None and entry.expires_at <= self.now():
            self.remove(database, key)
            return None
        return entry

    def remove(self, database: int, key: bytes) -> bool:
        """Removes a key; whether it was there."""
        if self.databases[database].entries.pop(key, None) is None:
            return False
        self.changes += 1
        return True

    def put(self, database: int, key: bytes, value: Value, keep_expiry: bool = True) -> None:
        """Stores a value that may have been changed in place; an empty collection is no key."""
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
        """Empties some of the databases."""
        for database in databases:
            self.databases[database] = Database()
        self.changes += 1

    def version(self, database: int, key: bytes) -> int:
        """The number of a key's last change; 0 for one that is not there."""
        entry = self.find(database, key)
        return entry.version if entry else 0

    def string(self, database: int, key: bytes) -> bytes | None:
        """A string's value. Raises `CommandError` for a key of another type, as the next two do."""
        entry = self.find(database, key)
        if entry is None:
            return None
        if not isinstance(entry.value, bytes):
            raise CommandError(WRONG_TYPE)
        return entry.value

    def hash(self, database: int, key: bytes) -> Hash:
        """A hash, or a new one where there is none. What is changed in it must be `put`."""
        entry = self.find(database, key)
        if entry is None:
            return {}
        if isinstance(entry.value, bytes | SortedSet):
            raise CommandError(WRONG_TYPE)
        return entry.value

    def sorted_set(self, database: int, key: bytes) -> SortedSet:
        """A sorted set, or a new one where there is none. What is changed in it must be `put`."""
        entry = self.find(database, key)
        if entry is None:
            return SortedSet()
        if not isinstance(entry.value, SortedSet):
            raise CommandError(WRONG_TYPE)
        return entry.value

    # The server's process

    def snapshot(self) -> list[Database]:
        """A copy of all data."""
        return copy.deepcopy(self.databases)

    def restart(self, data: list[Database] | None = None) -> None:
        """A new process with a new run id: empty, or with what a snapshot held."""
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
