"""Charges of closed periods, as counts that members replicate: what is given and what is taken.

This is what the `replication` package may use of an engine (`DecisionEngine.replicated_accounts`):
it reads accounts here, gets grown counts as `ReplicateCount` actions, and brings what peers know
as `AccountReplicated` events.
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

MAX_COUNTS_A_ROUND = 45  # grown counts handed on in one gossip round


class ReplicatedAccounts:
    """The accounts of one limiter as members replicate them.

    Attributes:
        unclosed: Names of accounts with charges in open periods; those looked at last stand last.
    """

    def __init__(
        self, context: DecisionContext, accounts: CustomerAccounts, startup: StartupQuota
    ) -> None:
        self._context, self._accounts, self._startup = context, accounts, startup
        self.unclosed: dict[str, None] = {}
        # The period in which accounts are looked at, and how many still are to be in it.
        self._looked_period = self._to_look_at = 0

    # Reading

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self._context.settings

    @property
    def plans(self) -> dict[str, Plan]:
        """The plans by name. Not to be changed."""
        return self._context.plans

    @property
    def accounts(self) -> dict[str, Account]:
        """The accounts by name. Not to be changed."""
        return self._accounts.by_name

    @property
    def incarnation(self) -> str:
        """The name of this run of the limiter; "" before its first event."""
        return self._context.incarnation

    @property
    def now(self) -> float:
        """The instant of the latest event."""
        return self._context.now

    def name_of(self, key: str, plan: Plan) -> str:
        """The name of the account of that key and plan."""
        return self._accounts.name_of(key, plan)

    def names_below_full(self) -> list[str]:
        """Accounts whose quota is not full, those with the least part left first."""
        now = self._context.now
        parts = {
            name: account.quota.refill(now) / account.plan.burst
            for name, account in self._accounts.by_name.items()
            if account.plan.burst and account.set_size
        }
        return sorted((name for name, part in parts.items() if part < 1.0), key=parts.__getitem__)

    def copy_of(self, name: str) -> AccountReplicated | None:
        """All that is known of an account, for a member that has just begun; None if nothing is."""
        context, account = self._context, self._accounts.by_name.get(name)
        if account is None or account.charges.closed_counts is None or not account.set_size:
            return None
        account.charges.advance(context.period)
        counts = self._counts_with_open_periods(account)
        # What gossip is on its way with, too, goes first.
        counts.sort(key=lambda c: c.previous_units + c.current_units, reverse=True)
        hears_all = account.hears_all_charges(context.settings.limiter_id)
        bucket = account.quota if hears_all else account.announced
        level = bucket.refill(context.now) - account.debt
        # Periods of a clock that is ahead are not part of it.
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

    # Giving

    def mark_charged(self, account: Account) -> None:
        """The account was charged, here or elsewhere: its count grows once the period closes."""
        if account.charges.closed_counts is not None:
            self.unclosed[account.name] = None

    def drain_grown_counts(self, limit: int = MAX_COUNTS_A_ROUND) -> list[Action]:
        """The counts that have grown by periods that are closed now.

        Each account is looked at once a period, those that waited longest first, and no more of
        them once there are `limit` counts. What is left comes with the next call.
        """
        found = list[Action]()
        if not self._context.counts_replicated:
            return found
        if self._looked_period < self._context.period:
            self._looked_period, self._to_look_at = self._context.period, len(self.unclosed)
        for name in list(islice(self.unclosed, min(limit, self._to_look_at))):
            if len(found) >= limit:
                break
            self._to_look_at -= 1
            del self.unclosed[name]
            account = self._accounts.by_name.get(name)
            if account is not None:
                found += self._grown_counts(account)
        return found

    def _grown_counts(self, account: Account) -> list[Action]:
        """Those of one account.

        Others' counts too, as they were reported: of a member that has died nobody else can tell
        them, and of one that goes on they are what it tells itself.
        """
        charges, found = account.charges, list[Action]()
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
                    found.append(
                        ReplicateCount(
                            key_of(account.name),
                            account.plan.name,
                            account.set_start,
                            account.set_size,
                            count,
                        )
                    )
        if not account.set_size or charges.own or charges.reported:
            self.unclosed[account.name] = None  # in the next period again, after the others
        return found

    def _own_count(self, account: Account) -> ReplicatedCount:
        """This limiter's charges of closed periods."""
        charges, context = account.charges, self._context
        return ReplicatedCount(
            context.settings.limiter_id,
            context.incarnation,
            charges.since,
            charges.own_last_period or charges.since,
            charges.own_closed,
        )

    def _reported_count(self, account: Account, incarnation: str) -> ReplicatedCount:
        """The same of another incarnation, as it was reported."""
        member, _, name = incarnation.partition(".")
        counts = account.charges.closed_counts or {}
        return ReplicatedCount(int(member), name, *counts.get(incarnation, ClosedCount()))

    def _counts_with_open_periods(self, account: Account) -> list[ReplicatedCount]:
        """All counts of an account, with the units of its open periods."""
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

    # Taking

    def merge(self, event: AccountReplicated) -> None:
        """Takes what other members know of an account, or that the catch-up is complete."""
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
            come_in = plan.rate * (context.now - count.since)
            if account is None and count.total > come_in:
                # More than has come in again since: an account opened now would have too much.
                account = accounts.get(event.key, plan, event.set_start, event.set_size)
                account.charges.complete_since = count.since
            else:
                come_in = 0.0
            if (
                account
                and account.charges.closed_counts is not None
                and account.hears_all_charges(context.settings.limiter_id)
            ):
                account.refill(context.now, context.period)
                incarnation = f"{count.member}.{count.incarnation}"
                closed = ClosedCount(count.since, count.through, count.total)
                added = account.charges.merge_count(incarnation, closed)
                account.charge_unheard(count.member, added - come_in)

    def _catch_up(self, account: Account, event: AccountReplicated) -> None:
        """Takes all that a peer knew, less what has come to be known here beyond that."""
        assert event.level is not None
        account.caught_up = True
        self.mark_charged(account)
        if not account.hears_all_charges(self._context.settings.limiter_id):
            account.announced.level = event.level
            account.announced.updated_at, account.has_announcement = self._context.now, True
            account.quota.level = min(event.level, account.quota.capacity)
            return
        charges = account.charges
        own = charges.own_closed + sum(charges.own.values())
        level, own, known = self._merge_peer_counts(account, event, own)
        named = {f"{count.member}.{count.incarnation}" for count in event.counts}
        beyond = sum(
            units
            for (incarnation, period), units in charges.reported.items()
            if incarnation not in named or not event.period - 1 <= period <= event.period
        )
        account.quota.level = min(level - own - known - beyond, account.quota.capacity)

    def _merge_peer_counts(
        self, account: Account, event: AccountReplicated, own: float
    ) -> tuple[float, float, float]:
        """Takes the counts of a catch-up.

        Returns the level that was sent, less what they say of open periods beyond what was
        reported; what this limiter charged that the peer did not know (`own` in all); and what has
        closed here since.
        """
        charges, context = account.charges, self._context
        assert charges.closed_counts is not None and event.level is not None
        level, known = event.level, 0.0
        this = f"{context.settings.limiter_id}.{context.incarnation}"
        for count in event.counts:
            incarnation = f"{count.member}.{count.incarnation}"
            if count.since:
                charges.complete_since = min(charges.complete_since, count.since)
            if incarnation == this:
                own -= count.total + count.previous_units + count.current_units
                continue
            since, through, total = charges.closed_counts.get(incarnation, ClosedCount())
            sent_total, sent_through = count.total, count.through
            closed_at_peer = [
                period
                for who, period in charges.reported
                if who == incarnation and period < event.period - 1
            ]
            for period in closed_at_peer:
                through = max(through, period)
                total += charges.reported.pop((incarnation, period))
            open_at_peer = (
                (event.period - 1, count.previous_units),
                (event.period, count.current_units),
            )
            for period, units in open_at_peer:
                if period < context.period - 1:  # closed here meanwhile
                    sent_total += units
                    sent_through = period if units else sent_through
                    continue
                reported = charges.reported.get((incarnation, period), 0.0)
                level -= max(0.0, reported - units)
                charges.reported[incarnation, period] = max(units, reported)
            known += max(0.0, total - sent_total)
            charges.closed_counts[incarnation] = ClosedCount(
                max(since, count.since), max(through, sent_through), max(total, sent_total)
            )
        return level, own, known
