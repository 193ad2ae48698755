"""The units of one limit of one customer that this limiter may spend.

Its own bucket, leases, and a fallback. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hazelhollow.decisions.state.token_bucket import TokenBucket

SPENDING_STEP = 0.1  # seconds of spending that are reported to the store as one step
MOST_SPENDING_STEPS = 6
ROUNDING = 1e-5  # units; the store's numbers are texts with six decimals


class SpendingStep(NamedTuple):
    """Units spent out of leases up to the time `until` (seconds of the limiter's clock)."""

    until: float
    units: float


@dataclass
class LeasePool:
    """One limit of one customer at this limiter.

    `rate` (units a second) and `burst` (units) are the shared pool's.
    """

    base: TokenBucket
    rate: float
    burst: float
    leased: float = 0.0  # units on lease that are not spent yet
    spent_from_leases: float = 0.0  # units since this limiter's process began
    # the even share of the pool, while the store cannot be reached
    fallback: TokenBucket | None = None
    # not yet reported to the store
    recent_spending: list[SpendingStep] = field(default_factory=list)

    def available(self) -> float:
        """Units that may be spent now."""
        return self.base.level + self.leased + (self.fallback.level if self.fallback else 0.0)

    def take(self, units: float, now: float) -> None:
        """Spends units.

        From leases first, since those end, then from the fallback; the base owes the rest.
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
        """Adds to the fallback.

        With `restart`, or where there is none, begins one that was empty at `isolated_since`.
        """
        if self.fallback is None or restart:
            self.fallback = TokenBucket(
                self.rate / limiters, self.burst / limiters, 0.0, isolated_since
            )
        self.fallback.refill(now)

    def add_grant(self, held: float, kept: float, granted: float, expired: bool) -> float:
        """Applies the store's answer to a call that reported `held` units.

        Gives the units that the store had lost. `expired`: what was held when the call was written
        has ended since.
        """
        lost = 0.0
        if not expired and kept < held - ROUNDING:
            lost = held - kept  # what was spent of it meanwhile is owed
            self.leased -= lost
            if self.leased < 0:
                self.base.level += self.leased
                self.leased = 0.0
        self.leased += granted
        return lost

    def forget_spending(self, until: float) -> None:
        """The store has heard of what was spent by then."""
        self.recent_spending = [step for step in self.recent_spending if step.until > until]

    def _record_spending(self, units: float, now: float) -> None:
        """Merges into few steps, each dated by its last part.

        The store may refill for what it knows to be spent.
        """
        steps = self.recent_spending
        if steps and now - steps[-1].until < SPENDING_STEP:
            units += steps.pop().units
        steps.append(SpendingStep(now, units))
        if len(steps) > MOST_SPENDING_STEPS:
            oldest, second = steps[0], steps[1]
            steps[:2] = [SpendingStep(second.until, oldest.units + second.units)]
