"""Collects the accounts of a snapshot in slices, so that no turn of the event loop takes long.

This module does no I/O and reads no clock. A slice has the levels of the turn in which it was
collected, while the snapshot has the time of the last slice: refill in between is not counted.
"""

from __future__ import annotations

from heapq import nsmallest
from itertools import islice

from hazelhollow.replication.account_adapter import EngineAccounts, RankedAccount
from hazelhollow.replication.snapshot import MAX_CUSTOMERS, SavedAccount

SLICE_CUSTOMERS = 100


class SnapshotCollector:
    """Finds the accounts with the least left among those whose budget is not full."""

    def __init__(self, accounts: EngineAccounts) -> None:
        self._accounts = accounts
        self._remaining_names = iter(accounts.account_names())
        self._below_full = list[RankedAccount]()

    def step(self) -> bool:
        """Collects one slice and returns whether it was the last."""
        names = list(islice(self._remaining_names, SLICE_CUSTOMERS))
        for name in names:
            ranked_account = self._accounts.ranked_account(name)
            if ranked_account is not None:
                self._below_full.append(ranked_account)
        return len(names) < SLICE_CUSTOMERS

    def finish(self) -> None:
        """Collects all remaining slices at once."""
        while not self.step():
            pass

    def saved_accounts(self) -> list[SavedAccount]:
        """Returns at most MAX_CUSTOMERS accounts, the smallest share of their burst left first."""
        lowest = nsmallest(
            MAX_CUSTOMERS, self._below_full, key=lambda ranked_account: ranked_account.share_left
        )
        return [ranked_account.account for ranked_account in lowest]
