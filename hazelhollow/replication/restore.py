"""Derives the levels of accounts from the snapshot of an earlier incarnation.

This module does no I/O and receives times as arguments.

The rule (`guaranteed_level`): after an orderly shutdown of all members a customer has what was left
plus the refill since then. After a kill it is not known when the members died, nor how long they
had been without processor time before that while others admitted requests. So all that was left,
and all refill until the start, may have been used; the refill only repays a debt.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from hazelhollow.decisions import interface as api
from hazelhollow.replication.account_adapter import EngineAccounts
from hazelhollow.replication.snapshot import MAX_CUSTOMERS, SavedAccount, Snapshot


def guaranteed_level(level: float, plan: api.Plan, snapshot: Snapshot, now: float) -> float:
    """Returns the units certainly left at `now`, of a customer with `level` in `snapshot`."""
    refilled = plan.rate * max(0.0, now - snapshot.taken_at)
    return min(level + refilled, plan.burst if snapshot.is_final else 0.0)


@dataclass
class RestorePoint:
    """The snapshot of the previous incarnation, if there is one, and when this one started."""

    snapshot: Snapshot | None = None
    started_at: float = 0.0

    def level_at_start(self, saved_account: SavedAccount, plan: api.Plan) -> float:
        """Returns the units that were left of a customer when this incarnation started."""
        assert self.snapshot is not None
        return guaranteed_level(saved_account.level, plan, self.snapshot, self.started_at)

    def restored_accounts(
        self, accounts: EngineAccounts, now: float
    ) -> Iterator[api.AccountReplicated]:
        """Yields the events that restore the snapshot's customers, if there is no source.

        The engine must handle each event before the next one is requested, since that may refer to
        the account that the first one opened.
        """
        for saved_account in self.snapshot.accounts if self.snapshot else ():
            plan = accounts.plan(saved_account.plan_name)
            if plan:
                refilled = plan.rate * (now - self.started_at)
                level = min(plan.burst, self.level_at_start(saved_account, plan) + refilled)
                yield accounts.event_for_saved(saved_account, level, int(now))

    def accounts_before_complete(self, accounts: EngineAccounts, now: float) -> list[SavedAccount]:
        """Returns the accounts to save before catch-up is complete.

        Their levels are those of the previous snapshot, plus the refill and less the charges since.
        Until it is complete each member admits its cautious share, whatever was left. The shares of
        all members add up to one burst, which may be used before the next snapshot, so at least one
        burst is subtracted.
        """
        remaining, restored_names = list[SavedAccount](), set[str]()
        since_start = now - self.started_at
        for saved_account in self.snapshot.accounts if self.snapshot else ():
            plan = accounts.plan(saved_account.plan_name)
            if plan:
                name = accounts.name_of(saved_account, plan)
                restored_names.add(name)
                charged_units = max(plan.burst, accounts.charged_units(name))
                level = (
                    self.level_at_start(saved_account, plan)
                    + plan.rate * since_start
                    - charged_units
                )
                remaining.append(
                    SavedAccount(
                        saved_account.customer,
                        saved_account.plan_name,
                        saved_account.set_start,
                        saved_account.set_size,
                        level,
                    )
                )
        for name in accounts.account_names():
            charged_units, plan = accounts.charged_units(name), accounts.charged_plan(name)
            if name not in restored_names and charged_units and plan:
                level = plan.burst + plan.rate * since_start - charged_units
                remaining.append(accounts.saved_account(name, level))
        return remaining[:MAX_CUSTOMERS]
