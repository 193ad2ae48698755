"""The decision engine's accounts in replication's terms: the one module that knows the engine.

The engine counts in units (float) and by plan names, replication in tenths of a unit (int) and by
tags of plan names, which are the same at members whose settings list other plans beside. Reads the
engine's accounts, and gives the events by which the engine learns of others' counts; changes
nothing itself.
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
    """A plan's name in messages."""
    return base36(crc32(name.encode()) % PLAN_TAGS)


def _tenths(units: float) -> int:
    return round(TENTHS_PER_UNIT * units)


class RankedAccount(NamedTuple):
    """An account to be saved, and which part of its burst is left: 0 to 1, below 0 in debt."""

    share_left: float
    account: SavedAccount


class EngineAccounts:
    """The accounts of one engine. An `AccountSource` for catch-up.

    An account has a name in the engine and a key in messages (`customer`), which differ only where
    two customers have one key.
    """

    def __init__(self, engine: ReplicatedAccounts) -> None:
        self._engine = engine
        self.limiter_id = engine.settings.limiter_id
        self.limiter_count = engine.settings.limiter_count
        self._plan_names = {plan_tag(name): name for name in engine.plans}

    def __len__(self) -> int:
        """How many accounts there are."""
        return len(self._engine.accounts)

    @property
    def incarnation(self) -> str:
        """The incarnation that gossip tells; empty before the engine's first event."""
        return self._engine.incarnation

    def names(self) -> list[str]:
        """The accounts' names, which change with every event."""
        return list(self._engine.accounts)

    def plan(self, name: str) -> api.Plan | None:
        """The plan of that name; None where these settings have none."""
        return self._engine.plans.get(name)

    def total_debt(self) -> float:
        """Units of all customers that went beyond their quotas and are to be paid back."""
        return sum(account.debt for account in self._engine.accounts.values())

    # For members that catch up

    def customers_below_full(self) -> list[str]:
        """Customers whose budget is not full, those with the least left first."""
        return self._engine.names_below_full()

    def account(self, customer: str) -> AccountCopy | None:
        """All that is known of a customer; None where it was forgotten."""
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
        """The counter that the engine reports: of `local`, or another's as it was heard."""
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
        """A counter that others know; None where these settings do not have its plan."""
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
        """An account of a catch-up; None where these settings do not have its plan."""
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
        self, saved: SavedAccount, level: float, period: int
    ) -> api.AccountReplicated:
        """An account of a snapshot, with `level` units left.

        The incarnations that have charged it since are named without amounts: the snapshot knows
        nothing of what they charged.
        """
        known = self._engine.copy_of(saved.customer)
        counts = (
            tuple(
                api.ReplicatedCount(count.member, count.incarnation, 0, 0, 0.0)
                for count in known.counts
            )
            if known
            else ()
        )
        return api.AccountReplicated(
            saved.customer,
            saved.plan_name,
            saved.set_start,
            saved.set_size,
            counts,
            level,
            period,
        )

    def ranked(self, name: str) -> RankedAccount | None:
        """An account whose budget is not full; None for others and where it was forgotten."""
        account = self._engine.accounts.get(name)
        if account is None or not account.plan.burst or not account.set_size:
            return None
        share_left = account.quota.refill(self._engine.now) / account.plan.burst
        if share_left >= 1.0:
            return None
        return RankedAccount(share_left, self.saved(name, account.quota.level - account.debt))

    def saved(self, name: str, level: float) -> SavedAccount:
        """A known account as snapshots have it, with `level` units left."""
        account = self._engine.accounts[name]
        return SavedAccount(
            key_of(name), account.plan.name, account.set_start, account.set_size, level
        )

    def name_of(self, saved: SavedAccount, plan: api.Plan) -> str:
        """What an account of a snapshot is, or would be, called in the engine."""
        return self._engine.name_of(saved.customer, plan)

    def charged_plan(self, name: str) -> api.Plan | None:
        """The plan of a known account whose set of limiters is known."""
        account = self._engine.accounts.get(name)
        return account.plan if account and account.set_size else None

    def charged(self, name: str) -> float:
        """Units that this incarnation has charged a customer, and heard of others' charges."""
        account = self._engine.accounts.get(name)
        if account is None:
            return 0.0
        charges = account.charges
        counts = (charges.closed_counts or {}).values()
        closed = charges.own_closed + sum(count.total for count in counts)
        return closed + charges.open_total()
