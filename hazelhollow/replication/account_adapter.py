"""Translates between the decision engine's accounts and replication's messages and snapshots.

This is the only module of replication that reads the engine's accounts. It also makes the events
that report others' counts to the engine, and changes nothing itself.

The engine counts in units (float) and by plan names, replication in tenths of a unit (int) and by
tags of plan names. A plan's tag does not depend on which other plans a member's settings list.
"""

from __future__ import annotations

from typing import NamedTuple
from zlib import crc32

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.decisions.state.accounts import key_of
from hazelhollow.decisions.state.replicated_accounts import ReplicatedAccounts
from hazelhollow.replication.catch_up import ReceivedAccount
from hazelhollow.replication.count_table import CountRow, CountValue
from hazelhollow.replication.messages import AccountCopy, RecentCount
from hazelhollow.replication.outbox import LocalMember
from hazelhollow.replication.snapshot import SavedAccount

TENTHS_PER_UNIT = 10
PLAN_TAGS = 36**3


def plan_tag(name: str) -> str:
    """Returns the tag that denotes a plan in messages: a hash of its name."""
    return base36(crc32(name.encode()) % PLAN_TAGS)


def _tenths(units: float) -> int:
    return round(TENTHS_PER_UNIT * units)


class RankedAccount(NamedTuple):
    """An account to be saved, and the share of its burst that is left: 0 to 1, negative in debt."""

    share_left: float
    account: SavedAccount


class EngineAccounts:
    """The accounts of one engine. An `AccountSource` for catch-up.

    An account has a name in the engine and a key in messages (`customer`), which differ only if two
    customers have the same key.
    """

    def __init__(self, engine: ReplicatedAccounts) -> None:
        self._engine = engine
        self.limiter_id = engine.settings.limiter_id
        self.limiter_count = engine.settings.limiter_count
        self._plan_names = {plan_tag(name): name for name in engine.plans}

    def __len__(self) -> int:
        """Returns the number of accounts."""
        return len(self._engine.accounts)

    @property
    def incarnation(self) -> str:
        """The incarnation that this member's gossip carries; empty before the first event."""
        return self._engine.incarnation

    def account_names(self) -> list[str]:
        """Returns the names of the present accounts, which any event may change."""
        return list(self._engine.accounts)

    def plan(self, name: str) -> api.Plan | None:
        """Returns the plan of that name, or None if these settings have none."""
        return self._engine.plans.get(name)

    def total_debt(self) -> float:
        """Returns the units that all customers used beyond their quotas and that refills repay."""
        return sum(account.debt for account in self._engine.accounts.values())

    # For members that catch up

    def customers_below_full(self) -> list[str]:
        """Returns the customers whose budget is not full, those with the least left first."""
        return self._engine.names_below_full()

    def account(self, customer: str) -> AccountCopy | None:
        """Returns a copy of a customer's account, or None if the engine has forgotten it."""
        copy = self._engine.copy_of(customer)
        if copy is None or copy.level is None:
            return None
        plan = self._engine.plans[copy.plan_name]
        counts = tuple(
            RecentCount(
                count.member,
                count.incarnation,
                CountValue(count.since, count.through, _tenths(count.total)),
                _tenths(count.previous_units),
                _tenths(count.current_units),
            )
            for count in copy.counts
        )
        spent = max(0, _tenths(plan.burst - copy.level))
        tag = plan_tag(copy.plan_name)
        return AccountCopy(customer, tag, copy.set_start, copy.set_size, spent, counts)

    # Counts

    def row_of(self, action: api.ReplicateCount, local: LocalMember) -> CountRow:
        """Returns the counter that the engine reports.

        It is first-hand if it belongs to `local`; others are sums of gossip.
        """
        count = action.replicated_count
        is_own = (count.member, count.incarnation) == (local.number, local.incarnation)
        value = CountValue(count.since, count.through, _tenths(count.total), int(is_own))
        return CountRow(
            action.key,
            plan_tag(action.plan_name),
            action.set_start,
            action.set_size,
            count.member,
            count.incarnation,
            value,
        )

    def event_for_row(self, row: CountRow) -> api.AccountReplicated | None:
        """Returns the event for another member's counter, or None if its plan is not configured."""
        name = self._plan_names.get(row.plan_tag)
        if name is None:
            return None
        value = row.value
        count = api.ReplicatedCount(
            row.member,
            row.incarnation,
            value.since,
            value.through,
            value.total / TENTHS_PER_UNIT,
        )
        return api.AccountReplicated(row.customer, name, row.set_start, row.set_size, (count,))

    def event_for_account(self, received: ReceivedAccount) -> api.AccountReplicated | None:
        """Returns the event for an account of a catch-up, or None if its plan is not configured."""
        account = received.account
        name = self._plan_names.get(account.plan_tag)
        if name is None:
            return None
        counts = tuple(
            api.ReplicatedCount(
                count.member,
                count.incarnation,
                count.value.since,
                count.value.through,
                count.value.total / TENTHS_PER_UNIT,
                count.in_next_period / TENTHS_PER_UNIT,
                count.in_second_period / TENTHS_PER_UNIT,
            )
            for count in account.counts
        )
        level = self._engine.plans[name].burst - account.spent / TENTHS_PER_UNIT
        return api.AccountReplicated(
            account.customer,
            name,
            account.set_start,
            account.set_size,
            counts,
            level,
            received.period,
        )

    # Snapshots

    def event_for_saved(
        self, saved_account: SavedAccount, level: float, period: int
    ) -> api.AccountReplicated:
        """Returns the event for an account of a snapshot, with `level` units left.

        The incarnations that have charged the account since are listed without amounts, since the
        snapshot does not include their charges.
        """
        current = self._engine.copy_of(saved_account.customer)
        counts = (
            tuple(
                api.ReplicatedCount(count.member, count.incarnation, 0, 0, 0.0)
                for count in current.counts
            )
            if current
            else ()
        )
        return api.AccountReplicated(
            saved_account.customer,
            saved_account.plan_name,
            saved_account.set_start,
            saved_account.set_size,
            counts,
            level,
            period,
        )

    def ranked_account(self, name: str) -> RankedAccount | None:
        """Returns an account whose budget is not full; None for others and forgotten ones."""
        account = self._engine.accounts.get(name)
        if account is None or not account.plan.burst or not account.set_size:
            return None
        share_left = account.quota.refill(self._engine.now) / account.plan.burst
        if share_left >= 1.0:
            return None
        return RankedAccount(
            share_left, self.saved_account(name, account.quota.level - account.debt)
        )

    def saved_account(self, name: str, level: float) -> SavedAccount:
        """Returns an existing account in the form of snapshots, with `level` units left."""
        account = self._engine.accounts[name]
        return SavedAccount(
            key_of(name), account.plan.name, account.set_start, account.set_size, level
        )

    def name_of(self, saved_account: SavedAccount, plan: api.Plan) -> str:
        """Returns the name that an account of a snapshot has, or would get, in the engine."""
        return self._engine.name_of(saved_account.customer, plan)

    def charged_plan(self, name: str) -> api.Plan | None:
        """Returns the plan of an account; None if it or its set of limiters is not known."""
        account = self._engine.accounts.get(name)
        return account.plan if account and account.set_size else None

    def charged_units(self, name: str) -> float:
        """Returns the units that this incarnation has charged, plus others' that it received."""
        account = self._engine.accounts.get(name)
        if account is None:
            return 0.0
        charges = account.charges
        counts = (charges.closed_counts or {}).values()
        closed = charges.own_closed + sum(count.total for count in counts)
        return closed + charges.open_total()
