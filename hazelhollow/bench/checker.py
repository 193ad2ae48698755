"""The rule on limits, worked out from what hosts were sent.

One store of units for each customer, shared by all limiters.

Independent of the accounting under test: it knows when and how much, and nothing of leases.
"""

from __future__ import annotations

from dataclasses import dataclass

SHARE = 0.10  # of the burst, or one of the largest requests, whichever is more ...
WITHIN = 0.150  # ... and what the rate gives in so many seconds


@dataclass
class Bucket:
    """Begins full; `lowest` is how far below nothing it went."""

    rate: float
    burst: float
    at: float
    level: float = 0.0
    lowest: float = 0.0

    def __post_init__(self) -> None:
        self.level = self.burst

    def fill(self, now: float) -> float:
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        return self.level

    def take(self, units: float, now: float) -> None:
        self.fill(now)
        self.level -= units
        self.lowest = min(self.lowest, self.level)

    def over_share(self) -> float:
        """The most by which it was passed, as a share of the burst."""
        return -self.lowest / self.burst

    def broken(self, largest: float) -> bool:
        return -self.lowest > max(SHARE * self.burst, largest) + WITHIN * self.rate
