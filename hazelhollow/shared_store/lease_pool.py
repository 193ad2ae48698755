"""The units of one limit of one customer that this limiter may spend. No I/O, no clock.

The units come from this limiter's part of the base (a local token bucket), from leases, and, while
the limiter is isolated from the store, from a fallback bucket.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hazelhollow.decisions.state.token_bucket import TokenBucket

SPENDING_STEP_S = 0.1  # spending within this time is reported to the store as one step
MAX_SPENDING_STEPS = 6
ROUNDING_UNITS = 1e-5  # tolerance; the store's numbers are decimal texts with six digits


class SpendingStep(NamedTuple):
    """Units spent from leases up to the time `until` (in seconds of the limiter's clock)."""

    until: float
    units: float


@dataclass
class LeasePool:
    """One limit of one customer at this limiter.

    `rate` (units per second) and `burst` (units) are those of the pool that all limiters share.
    """

    base: TokenBucket
    rate: float
    burst: float
    leased: float = 0.0  # units on lease that are not spent yet
    spent_from_leases: float = 0.0  # total units since the start of this process
    # This limiter's even share of the pool, while the store cannot be reached.
    fallback: TokenBucket | None = None
    # Spending that has not been reported to the store.
    recent_spending: list[SpendingStep] = field(default_factory=list)

    def available(self) -> float:
        """Returns the units that may be spent now."""
        return self.base.level + self.leased + (self.fallback.level if self.fallback else 0.0)

    def charge(self, units: float, now: float) -> None:
        """Spends units: from leases first, since leases expire, then from the fallback.

        The remainder is charged to the base, whose level may fall below 0.
        """
        from_lease = min(units, self.leased)
        self.leased -= from_lease
        self.spent_from_leases += from_lease
        units -= from_lease
        if from_lease:
            self._record_spending(from_lease, now)
        if self.fallback and units > 0:
            from_fallback = min(units, max(self.fallback.level, 0.0))
            self.fallback.level -= from_fallback
            units -= from_fallback
        self.base.level -= units

    def refill_fallback(
        self, limiters: int, isolated_since: float, now: float, restart: bool
    ) -> None:
        """Refills the fallback, this limiter's even share of the pool among `limiters`.

        Creates one that was empty at `isolated_since` if there is none or `restart` is set.
        """
        if self.fallback is None or restart:
            self.fallback = TokenBucket(
                self.rate / limiters, self.burst / limiters, 0.0, isolated_since
            )
        self.fallback.refill(now)

    def add_grant(self, leased: float, confirmed: float, granted: float, expired: bool) -> float:
        """Applies the store's answer to a call that reported `leased` units on lease.

        Args:
            leased: Units on lease that the call reported.
            confirmed: Units of these that the store still records as leased.
            granted: Units that the store has newly leased.
            expired: Whether the reported lease has ended since the call was written.

        Returns:
            The reported units that the store no longer recorded as leased.
        """
        lost = 0.0
        if not expired and confirmed < leased - ROUNDING_UNITS:
            lost = leased - confirmed
            # Lost units that have been spent since the call was written are charged to the base.
            self.leased -= lost
            if self.leased < 0:
                self.base.level += self.leased
                self.leased = 0.0
        self.leased += granted
        return lost

    def drop_reported_spending(self, until: float) -> None:
        """Drops the steps up to `until`, which have been reported to the store."""
        self.recent_spending = [step for step in self.recent_spending if step.until > until]

    def _record_spending(self, units: float, now: float) -> None:
        """Records spending in at most MAX_SPENDING_STEPS steps, each dated by its last part.

        The store refills the pool from the time of a step: a later time is safe, an earlier one
        could admit more than the limit.
        """
        steps = self.recent_spending
        if steps and now - steps[-1].until < SPENDING_STEP_S:
            units += steps.pop().units
        steps.append(SpendingStep(now, units))
        if len(steps) > MAX_SPENDING_STEPS:
            oldest, second = steps[0], steps[1]
            steps[:2] = [SpendingStep(second.until, oldest.units + second.units)]
