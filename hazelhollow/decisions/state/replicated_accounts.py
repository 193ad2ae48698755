"""Replication of accounts: exports the counts of closed periods and merges those of other members.

This is the interface of an engine to the `replication` package
(`DecisionEngine.replicated_accounts`). That package reads accounts here, receives counts that have
grown as `ReplicateCount` actions, and delivers the state of peers as `AccountReplicated` events.
"""

from __future__ import annotations

from itertools import islice

from hazelhollow.decisions.actions import Action, ReplicateCount
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.events import AccountReplicated, ReplicatedCount
from hazelhollow.decisions.settings import Plan, Settings
from hazelhollow.decisions.startup_quota import StartupQuota
from hazelhollow.decisions.state.accounts import Account, key_of
from hazelhollow.decisions.state.customer_accounts import CustomerAccounts
from hazelhollow.decisions.state.period_charges import ClosedCount

MAX_COUNTS_A_ROUND = 45  # target number of grown counts replicated in one gossip round


class ReplicatedAccounts:
    """The accounts of one limiter as members replicate them.

    Attributes:
        unclosed: Names of accounts with charges in open periods, the most recently visited last.
    """

    def __init__(
        self, context: DecisionContext, accounts: CustomerAccounts, startup: StartupQuota
    ) -> None:
        self._context, self._accounts, self._startup = context, accounts, startup
        self.unclosed: dict[str, None] = {}
        # The period of the current pass over `unclosed`, and the accounts left to visit in it.
        self._visited_period = self._remaining_visits = 0

    # Reading

    @property
    def settings(self) -> Settings:
        """The current settings."""
        return self._context.settings

    @property
    def plans(self) -> dict[str, Plan]:
        """The plans by name. Callers must not modify the result."""
        return self._context.plans

    @property
    def accounts(self) -> dict[str, Account]:
        """The accounts by name. Callers must not modify the result."""
        return self._accounts.by_name

    @property
    def incarnation(self) -> str:
        """The name of this incarnation of the limiter; "" before its first event."""
        return self._context.incarnation

    @property
    def now(self) -> float:
        """The time of the latest event."""
        return self._context.now

    def name_of(self, key: str, plan: Plan) -> str:
        """Returns the name of the account with that key and plan."""
        return self._accounts.name_of(key, plan)

    def names_below_full(self) -> list[str]:
        """Returns the accounts whose quota is not full, the lowest share of the burst first."""
        now = self._context.now
        shares_left = {
            name: account.quota.refill(now) / account.plan.burst
            for name, account in self._accounts.by_name.items()
            if account.plan.burst and account.set_size
        }
        return sorted(
            (name for name, share in shares_left.items() if share < 1.0),
            key=shares_left.__getitem__,
        )

    def copy_of(self, name: str) -> AccountReplicated | None:
        """Returns a complete copy of an account for a member that has just started.

        None if there is no such account, its set is not known, or counts are not replicated.
        """
        context, account = self._context, self._accounts.by_name.get(name)
        if account is None or account.charges.closed_counts is None or not account.set_size:
            return None
        account.charges.advance(context.period)
        counts = self._counts_with_open_periods(account)
        # Counts with charges in open periods come first: gossip is carrying the same charges.
        counts.sort(key=lambda c: c.previous_units + c.current_units, reverse=True)
        receives_all = account.receives_all_charges(context.settings.limiter_id)
        bucket = account.quota if receives_all else account.announced
        level = bucket.refill(context.now) - account.debt
        # The copy excludes charges of later periods, reported by peers whose clocks are ahead.
        level += sum(
            units
            for (_, period), units in account.charges.reported.items()
            if period > context.period
        )
        return AccountReplicated(
            key_of(name),
            account.plan.name,
            account.set_start,
            account.set_size,
            tuple(counts),
            level,
            context.period,
        )

    # Exporting counts

    def mark_charged(self, account: Account) -> None:
        """Records that any limiter charged an account: its count grows when the period closes."""
        if account.charges.closed_counts is not None:
            self.unclosed[account.name] = None

    def drain_grown_counts(self, limit: int = MAX_COUNTS_A_ROUND) -> list[Action]:
        """Returns and clears the counts that have grown by the charges of closed periods.

        Each account is visited once per period, the one that has waited longest first. The visits
        stop once there are `limit` counts; the next call continues with the remaining accounts.
        """
        grown_counts = list[Action]()
        if not self._context.counts_replicated:
            return grown_counts
        if self._visited_period < self._context.period:
            self._visited_period, self._remaining_visits = self._context.period, len(self.unclosed)
        for name in list(islice(self.unclosed, min(limit, self._remaining_visits))):
            if len(grown_counts) >= limit:
                break
            self._remaining_visits -= 1
            del self.unclosed[name]
            account = self._accounts.by_name.get(name)
            if account is not None:
                grown_counts += self._drain_account(account)
        return grown_counts

    def _drain_account(self, account: Account) -> list[Action]:
        """Returns and clears the grown counts of one account.

        They include counts of other members, as those reported them: if such a member has died, no
        other source has its count, and if it is alive, its own count is the same.
        """
        charges, actions = account.charges, list[Action]()
        if account.set_size:
            charges.advance(self._context.period)
            grown, charges.newly_closed = charges.newly_closed, set()
            for incarnation in grown:
                count = (
                    self._reported_count(account, incarnation)
                    if incarnation
                    else self._own_count(account)
                )
                if count.since:
                    actions.append(
                        ReplicateCount(
                            key_of(account.name),
                            account.plan.name,
                            account.set_start,
                            account.set_size,
                            count,
                        )
                    )
        if not account.set_size or charges.own or charges.reported:
            self.unclosed[account.name] = None  # visited again in the next period, after the others
        return actions

    def _own_count(self, account: Account) -> ReplicatedCount:
        """Returns the count of this limiter's charges in closed periods."""
        charges, context = account.charges, self._context
        return ReplicatedCount(
            context.settings.limiter_id,
            context.incarnation,
            charges.since,
            charges.own_last_period or charges.since,
            charges.own_closed,
        )

    def _reported_count(self, account: Account, incarnation: str) -> ReplicatedCount:
        """Returns the count of another incarnation's charges in closed periods, as reported."""
        member, _, name = incarnation.partition(".")
        counts = account.charges.closed_counts or {}
        return ReplicatedCount(int(member), name, *counts.get(incarnation, ClosedCount()))

    def _counts_with_open_periods(self, account: Account) -> list[ReplicatedCount]:
        """Returns all counts of an account together with the units of its open periods."""
        charges, period = account.charges, self._context.period
        counts = [
            self._own_count(account)._replace(
                previous_units=charges.own.get(period - 1, 0.0),
                current_units=charges.own.get(period, 0.0),
            )
        ]
        reporting = (incarnation for incarnation, _ in charges.reported)
        for incarnation in dict.fromkeys([*(charges.closed_counts or ()), *reporting]):
            counts.append(
                self._reported_count(account, incarnation)._replace(
                    previous_units=charges.reported.get((incarnation, period - 1), 0.0),
                    current_units=charges.reported.get((incarnation, period), 0.0),
                )
            )
        return counts

    # Merging

    def merge(self, event: AccountReplicated) -> None:
        """Merges other members' state of an account, or completes the catch-up.

        An event without a key means that the catch-up is complete, one with a level is a peer's
        copy of an account, and one without a level holds counts of closed periods.
        """
        context, accounts = self._context, self._accounts
        plan = context.plans.get(event.plan_name)
        account = accounts.by_name.get(accounts.name_of(event.key, plan)) if plan else None
        if not event.key:
            self._startup.complete_catch_up(accounts.by_name.values())
        if plan is None or not 0 < event.set_size <= context.settings.limiter_count:
            return
        if event.level is not None:
            account = accounts.get(event.key, plan, event.set_start, event.set_size)
            if not account.caught_up and account.charges.closed_counts is not None:
                self._catch_up(account, event)
            return
        for count in event.counts:
            refilled = plan.rate * (context.now - count.since)
            if account is None and count.total > refilled:
                # The charges exceed the refill since then: a new account would start with too much.
                account = accounts.get(event.key, plan, event.set_start, event.set_size)
                account.charges.complete_since = count.since
            else:
                refilled = 0.0
            if (
                account
                and account.charges.closed_counts is not None
                and account.receives_all_charges(context.settings.limiter_id)
            ):
                account.refill(context.now, context.period)
                incarnation = f"{count.member}.{count.incarnation}"
                closed = ClosedCount(count.since, count.through, count.total)
                added = account.charges.merge_count(incarnation, closed)
                account.charge_unreported(count.member, added - refilled)

    def _catch_up(self, account: Account, event: AccountReplicated) -> None:
        """Adopts a peer's copy of an account, less charges known only here."""
        assert event.level is not None
        account.caught_up = True
        self.mark_charged(account)
        if not account.receives_all_charges(self._context.settings.limiter_id):
            account.announced.level = event.level
            account.announced.updated_at, account.has_announcement = self._context.now, True
            account.quota.level = min(event.level, account.quota.capacity)
            return
        charges = account.charges
        own = charges.own_closed + sum(charges.own.values())
        level, own, closed_excess = self._merge_peer_counts(account, event, own)
        in_copy = {f"{count.member}.{count.incarnation}" for count in event.counts}
        reported_excess = sum(
            units
            for (incarnation, period), units in charges.reported.items()
            if incarnation not in in_copy or not event.period - 1 <= period <= event.period
        )
        account.quota.level = min(
            level - own - closed_excess - reported_excess, account.quota.capacity
        )

    def _merge_peer_counts(
        self, account: Account, event: AccountReplicated, own: float
    ) -> tuple[float, float, float]:
        """Merges the counts in a peer's copy of an account.

        `own` is all that this limiter charged.

        Returns:
            The level of the copy, less the units reported here for its open periods that the copy
            does not include; the units of `own` that the copy does not include; and the units of
            closed periods counted here that the copy does not include.
        """
        charges, context = account.charges, self._context
        assert charges.closed_counts is not None and event.level is not None
        level, closed_excess = event.level, 0.0
        own_incarnation = f"{context.settings.limiter_id}.{context.incarnation}"
        for count in event.counts:
            incarnation = f"{count.member}.{count.incarnation}"
            if count.since:
                charges.complete_since = min(charges.complete_since, count.since)
            if incarnation == own_incarnation:
                own -= count.total + count.previous_units + count.current_units
                continue
            since, through, total = charges.closed_counts.get(incarnation, ClosedCount())
            sent_total, sent_through = count.total, count.through
            closed_at_peer = [
                period
                for reporter, period in charges.reported
                if reporter == incarnation and period < event.period - 1
            ]
            for period in closed_at_peer:
                through = max(through, period)
                total += charges.reported.pop((incarnation, period))
            open_at_peer = (
                (event.period - 1, count.previous_units),
                (event.period, count.current_units),
            )
            for period, units in open_at_peer:
                if period < context.period - 1:  # closed here since the copy was made
                    sent_total += units
                    sent_through = period if units else sent_through
                    continue
                reported = charges.reported.get((incarnation, period), 0.0)
                level -= max(0.0, reported - units)
                charges.reported[incarnation, period] = max(units, reported)
            closed_excess += max(0.0, total - sent_total)
            charges.closed_counts[incarnation] = ClosedCount(
                max(since, count.since), max(through, sent_through), max(total, sent_total)
            )
        return level, own, closed_excess
