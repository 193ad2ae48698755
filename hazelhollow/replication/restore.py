"""What the figures of a snapshot are worth to a later incarnation. No I/O; times are given.

The rule (`guaranteed_level`): after an orderly end of all a customer has what was left and what has
come in since. After a kill nobody knows when the members died, nor how long they had waited for
their processors before while others admitted requests. So all that was left, and all that came in
until the start, may have been used; what came in only pays back what was a debt.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from hazelhollow.decisions import interface as api
from hazelhollow.replication.account_adapter import EngineAccounts
from hazelhollow.replication.snapshot import MAX_CUSTOMERS, SavedAccount, Snapshot


def guaranteed_level(level: float, plan: api.Plan, snapshot: Snapshot, now: float) -> float:
    """Units that are left at `now` for certain, of a customer of whom `snapshot` says `level`."""
    refilled = plan.rate * max(0.0, now - snapshot.taken_at)
    return min(level + refilled, plan.burst if snapshot.is_final else 0.0)


@dataclass
class RestorePoint:
    """The snapshot of the incarnation before, if there is one, and when this one began."""

    snapshot: Snapshot | None = None
    began_at: float = 0.0

    def level_at_start(self, saved: SavedAccount, plan: api.Plan) -> float:
        """Units that were left of a customer when this incarnation began."""
        assert self.snapshot is not None
        return guaranteed_level(saved.level, plan, self.snapshot, self.began_at)

    def restored_accounts(
        self, accounts: EngineAccounts, now: float
    ) -> Iterator[api.AccountReplicated]:
        """The events that restore the snapshot's customers where nobody knows more.

        Each is to be handled before the next is made, which may name the account that it opened.
        """
        for saved in self.snapshot.accounts if self.snapshot else ():
            plan = accounts.plan(saved.plan_name)
            if plan:
                refilled = plan.rate * (now - self.began_at)
                level = min(plan.burst, self.level_at_start(saved, plan) + refilled)
                yield accounts.event_for_saved(saved, level, int(now))

    def accounts_before_complete(self, accounts: EngineAccounts, now: float) -> list[SavedAccount]:
        """What a member saves that is not complete: its snapshot, less what was charged since.

        Until then each member admits its cautious share, whatever was left. Those of all members
        come to one burst, which may be used before the next snapshot: at least that is taken off.
        """
        found, seen = list[SavedAccount](), set[str]()
        since_start = now - self.began_at
        for saved in self.snapshot.accounts if self.snapshot else ():
            plan = accounts.plan(saved.plan_name)
            if plan:
                name = accounts.name_of(saved, plan)
                seen.add(name)
                charged = max(plan.burst, accounts.charged(name))
                level = self.level_at_start(saved, plan) + plan.rate * since_start - charged
                found.append(
                    SavedAccount(
                        saved.customer, saved.plan_name, saved.set_start, saved.set_size, level
                    )
                )
        for name in accounts.names():
            charged, plan = accounts.charged(name), accounts.charged_plan(name)
            if name not in seen and charged and plan:
                level = plan.burst + plan.rate * since_start - charged
                found.append(accounts.saved(name, level))
        return found[:MAX_CUSTOMERS]
