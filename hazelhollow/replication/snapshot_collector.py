"""Collects the accounts of a snapshot in slices, so that no turn of the event loop is long.

No I/O, no clock. A slice is as old as the turn in which it was collected, while the snapshot is
dated when the last one was: what comes in meanwhile is not counted.
"""

from __future__ import annotations

from heapq import nsmallest
from itertools import islice

from hazelhollow.replication.account_adapter import EngineAccounts, RankedAccount
from hazelhollow.replication.snapshot import MAX_CUSTOMERS, SavedAccount

SLICE_CUSTOMERS = 100


class SnapshotCollector:
    """Of the accounts whose budget is not full, those with the least left."""

    def __init__(self, accounts: EngineAccounts) -> None:
        self._accounts = accounts
        self._names = iter(accounts.names())
        self._found = list[RankedAccount]()

    def step(self) -> bool:
        """Goes through one slice; gives whether all have been gone through."""
        names = list(islice(self._names, SLICE_CUSTOMERS))
        for name in names:
            ranked = self._accounts.ranked(name)
            if ranked is not None:
                self._found.append(ranked)
        return len(names) < SLICE_CUSTOMERS

    def finish(self) -> None:
        """Goes through the rest at once."""
        while not self.step():
            pass

    def saved_accounts(self) -> list[SavedAccount]:
        """MAX_CUSTOMERS at most, those with the smallest part of their burst left first."""
        lowest = nsmallest(MAX_CUSTOMERS, self._found, key=lambda ranked: ranked.share_left)
        return [ranked.account for ranked in lowest]
