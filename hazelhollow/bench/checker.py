"""Checks whether limits held, from the units that were sent to endpoints.

There is one token bucket per limit of a customer, shared by all limiters. It is independent of the
accounting under test: it sees the time and the units of each request, but no leases.
"""

from __future__ import annotations

from dataclasses import dataclass

# A limit is broken if it is exceeded by more than this share of its burst or one largest request,
# whichever is greater,
TOLERATED_BURST_SHARE = 0.10
# plus the units that its rate adds in this time.
TOLERATED_RATE_S = 0.150


@dataclass
class Bucket:
    """An exact token bucket that starts full and whose level may become negative.

    Args:
        rate: Units added per second.
        burst: Capacity in units.
        at: Time of the last refill in seconds; initially the start.
        level: Units available now.
        lowest: The lowest level so far; 0 if it never became negative.
    """

    rate: float
    burst: float
    at: float
    level: float = 0.0
    lowest: float = 0.0

    def __post_init__(self) -> None:
        self.level = self.burst

    def refill(self, now: float) -> float:
        """Adds the units due by `now` and returns the level."""
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        return self.level

    def take(self, units: float, now: float) -> None:
        """Takes units, even if the level becomes negative."""
        self.refill(now)
        self.level -= units
        self.lowest = min(self.lowest, self.level)

    def overshoot_share(self) -> float:
        """Returns the greatest overshoot of the limit, as a share of the burst."""
        return -self.lowest / self.burst

    def is_broken(self, largest_request: float) -> bool:
        """Whether the limit was exceeded by more than the tolerance."""
        tolerated = max(TOLERATED_BURST_SHARE * self.burst, largest_request)
        return -self.lowest > tolerated + TOLERATED_RATE_S * self.rate
