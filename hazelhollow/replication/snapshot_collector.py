"""What a snapshot says of the customers, gathered in slices. No I/O, no clock.

A slice is as old as the turn that it was gathered in, and the snapshot as the last one: what came
in meanwhile is not counted.
"""

from __future__ import annotations

from heapq import nsmallest
from itertools import islice

from hazelhollow.decisions.state.accounts import Account, key_of
from hazelhollow.decisions.state.replicated_accounts import ReplicatedAccounts
from hazelhollow.replication.snapshot import MOST, SavedAccount

A_SLICE = 100  # customers


class SnapshotCollector:
    """Of the customers of `memory` whose budget is not full, those with the least left."""

    def __init__(self, memory: ReplicatedAccounts) -> None:
        self._memory = memory
        self._names = iter(list(memory.accounts))
        # the part of the burst that is left, and the customer
        self._found = list[tuple[float, SavedAccount]]()

    def step(self) -> bool:
        """Goes through one slice; whether all have been gone through."""
        slice_ = list(islice(self._names, A_SLICE))
        for name in slice_:
            account = self._memory.accounts.get(name)
            if account is not None:  # else it was forgotten meanwhile
                self._look_at(name, account)
        return len(slice_) < A_SLICE

    def finish(self) -> None:
        """Goes through all that are left at once."""
        while not self.step():
            pass

    def left(self) -> list[SavedAccount]:
        """Those with the least left first."""
        return [left for _, left in nsmallest(MOST, self._found, key=lambda one: one[0])]

    def _look_at(self, name: str, account: Account) -> None:
        if not account.plan.burst or not account.set_size:
            return
        part = account.quota.refill(self._memory.now) / account.plan.burst
        if part < 1.0:
            level = account.quota.level - account.debt
            self._found.append(
                (
                    part,
                    SavedAccount(
                        key_of(name), account.plan.name, account.set_start, account.set_size, level
                    ),
                )
            )
