"""One member of the model: the engine's account of one customer, and the table of counts."""

from __future__ import annotations

import math
from random import Random
from typing import Any

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.startup_quota import StartupQuota
from hazelhollow.decisions.state.accounts import Account, Opening
from hazelhollow.decisions.state.customer_accounts import CustomerAccounts
from hazelhollow.decisions.state.replicated_accounts import ReplicatedAccounts
from hazelhollow.replication.count_table import CountRow, CountTable, CountValue

CUSTOMER, PLAN = "abc", "p"
BURST = 1000.0  # units
RATE = 1e-9  # units per second; so low that the account does not refill during a run
MAX_CLOSED_COUNTS = 1000  # drained at once; more than a run of the model produces
COUNT_STEPS_PER_UNIT = 10  # replicated counts are in tenths of a unit

MemberIncarnation = tuple[int, str]


class ModelAccounts(CustomerAccounts):
    """Accounts that start full if the member is complete, and that do not refill."""

    def __init__(self, context: DecisionContext, startup: StartupQuota, is_complete: bool) -> None:
        super().__init__(context, startup)
        self._starts_full = is_complete

    def get(self, key: str, plan: api.Plan, set_start: int, set_size: int) -> Account:
        """Returns the account of the only customer, created at its first use."""
        context = self._context
        account = self.by_name.get(key)
        if account is None:
            level = plan.burst if self._starts_full else plan.burst / set_size
            opening = Opening(level, context.now, context.now, False, True)
            account = self.by_name[key] = Account(plan, CUSTOMER, opening)
            account.place_set(set_start, set_size, context.settings)
        account.charges.advance(context.period)
        return account


class ModelMember:
    """One incarnation of a member.

    Args:
        number: The member's number.
        members: Number of members in the model.
        period: The second in which the incarnation starts.
        incarnation: The incarnation's name.
        is_complete: Whether the member starts with complete state; if not, it has to catch up.
    """

    def __init__(
        self, number: int, members: int, period: int, incarnation: str, is_complete: bool
    ) -> None:
        plan = api.Plan(PLAN, rate=RATE, burst=BURST, excess_cost=1.0)
        request_class = api.RequestClass("c", 1.0, 3.0, 1.0, "safe")
        settings = api.Settings(number, members, (request_class,), (plan,), peers=True)
        self.context = DecisionContext(settings, Random(0))
        self.context.counts_replicated, self.context.incarnation = True, incarnation
        self.context.started_at = float(period)
        startup = StartupQuota(self.context)
        self._accounts = ModelAccounts(self.context, startup, is_complete)
        self._replicated = ReplicatedAccounts(self.context, self._accounts, startup)
        self.counts, self.is_complete = CountTable(), is_complete
        # The highest count, in units, that was ever reported to this member for an incarnation.
        self.highest_reported: dict[MemberIncarnation, float] = {}
        self.begin_period(period)
        if is_complete:
            startup.complete_since = -math.inf
            self.account()

    @property
    def incarnation(self) -> MemberIncarnation:
        """The member's number and its incarnation's name."""
        return self.context.settings.limiter_id, self.context.incarnation

    def begin_period(self, period: int) -> None:
        """Advances the clock and stores the counts of periods that have closed."""
        self.context.now, self.context.period = float(period), period
        self.counts.advance(period)
        for action in self._replicated.drain_grown_counts(MAX_CLOSED_COUNTS):
            if isinstance(action, api.ReplicateCount):
                self._store_count(action.replicated_count, action.set_size)

    def _store_count(self, count: api.ReplicatedCount, set_size: int) -> None:
        is_own = (count.member, count.incarnation) == self.incarnation
        value = CountValue(
            count.since, count.through, round(COUNT_STEPS_PER_UNIT * count.total), int(is_own)
        )
        self.counts.merge_in(
            CountRow(CUSTOMER, PLAN, 0, set_size, count.member, count.incarnation, value)
        )

    def account(self) -> Account:
        """Returns the engine's account of the customer and marks its counts for replication."""
        account = self._accounts.by_name.get(CUSTOMER)
        if account is None:
            set_size = self.context.settings.limiter_count
            account = self._accounts.get(CUSTOMER, self.context.plans[PLAN], 0, set_size)
        account.charges.advance(self.context.period)
        self._replicated.mark_charged(account)
        return account

    def charge(self) -> None:
        """Charges one unit."""
        account = self.account()
        account.quota.level -= account.charges.charge(1.0, self.context.period)

    def receive_gossip(self, sender: str, units_by_period: dict[int, float]) -> None:
        """Merges another member's charges by period."""
        account = self.account()
        for period, units in units_by_period.items():
            account.quota.level -= account.charges.merge_report(sender, period, units)

    def receive_rows(self, rows: list[CountRow]) -> None:
        """Merges rows of another member's table of counts."""
        for row in rows:
            origin = row.member, row.incarnation
            units = row.value.total / COUNT_STEPS_PER_UNIT
            self.highest_reported[origin] = max(self.highest_reported.get(origin, 0.0), units)
            is_new = origin != self.incarnation and self.counts.merge_in(row)
            if is_new and self.is_complete:
                self._merge_row(row)

    def copy_of_account(self) -> api.AccountReplicated | None:
        """Returns the account as it is sent to a member that is catching up."""
        return self._replicated.copy_of(CUSTOMER)

    def catch_up(self, copy: api.AccountReplicated) -> None:
        """Merges another member's account; this member is complete afterwards."""
        self._replicated.merge(copy)
        self.is_complete = True
        self._replicated.merge(api.AccountReplicated(""))
        for row in self.counts.rows(CUSTOMER):
            if (row.member, row.incarnation) != self.incarnation:
                self._merge_row(row)

    def _merge_row(self, row: CountRow) -> None:
        value = row.value
        count = api.ReplicatedCount(
            row.member,
            row.incarnation,
            value.since,
            value.through,
            value.total / COUNT_STEPS_PER_UNIT,
        )
        self._replicated.merge(api.AccountReplicated(CUSTOMER, PLAN, 0, row.set_size, (count,)))

    def used(self) -> float:
        """Returns the units that this member accounts for as used."""
        account = self.account()
        return BURST - (account.quota.level - account.debt)

    def snapshot(self) -> tuple[Any, ...]:
        """Returns a value that differs between any two distinguishable states of the member."""
        account = self.account()
        charges = account.charges
        return (
            round(account.quota.level - account.debt, 3),
            self.is_complete,
            account.caught_up,
            charges.own_closed,
            charges.complete_since,
            tuple(sorted(charges.own.items())),
            tuple(sorted(charges.reported.items())),
            tuple(sorted((charges.closed_counts or {}).items())),
            tuple(sorted((r.member, r.incarnation, r.value) for r in self.counts.rows(CUSTOMER))),
        )
