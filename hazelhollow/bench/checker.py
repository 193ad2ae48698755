"""The rule on limits, computed from what endpoints received.

One token bucket for each limit of a customer, shared by all limiters. It is independent of the
accounting under test: it knows when how many units were sent, and nothing of leases.
"""

from __future__ import annotations

from dataclasses import dataclass

# A limit is broken by more than this share of its burst or one largest request, whichever is more,
TOLERATED_BURST_SHARE = 0.10
# and what its rate gives in this time.
TOLERATED_RATE_S = 0.150


@dataclass
class Bucket:
    """An exact token bucket that begins full and may go below zero.

    Args:
        rate: Units that come in each second.
        burst: Units that it holds at most.
        at: Seconds; the instant of its start, later of its last refill.
        level: Units in it now.
        lowest: The lowest level so far, 0 if it never went below zero.
    """

    rate: float
    burst: float
    at: float
    level: float = 0.0
    lowest: float = 0.0

    def __post_init__(self) -> None:
        self.level = self.burst

    def refill(self, now: float) -> float:
        """Add what came in until `now`; returns the level."""
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        return self.level

    def take(self, units: float, now: float) -> None:
        """Take units, also those that are not there."""
        self.refill(now)
        self.level -= units
        self.lowest = min(self.lowest, self.level)

    def overshoot_share(self) -> float:
        """The most by which the limit was passed, as a share of the burst."""
        return -self.lowest / self.burst

    def is_broken(self, largest_request: float) -> bool:
        """Whether the limit was passed by more than is tolerated."""
        tolerated = max(TOLERATED_BURST_SHARE * self.burst, largest_request)
        return -self.lowest > tolerated + TOLERATED_RATE_S * self.rate
