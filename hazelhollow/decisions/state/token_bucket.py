"""A token bucket, which refills at a constant rate up to its capacity."""

from __future__ import annotations


class TokenBucket:
    """A bucket whose level may be negative.

    `level` is the value at `updated_at`: call `refill` before reading it.

    Attributes:
        rate: Units added per second.
        capacity: The highest level that a refill reaches.
        level: Units at `updated_at`.
        updated_at: The time of the last refill.
    """

    __slots__ = ("rate", "capacity", "level", "updated_at")

    def __init__(self, rate: float, capacity: float, level: float, now: float) -> None:
        self.rate, self.capacity, self.level, self.updated_at = rate, capacity, level, now

    def refill(self, now: float) -> float:
        """Adds the units accrued until `now` and returns the level.

        A `now` before the last refill adds nothing.
        """
        self.level = min(self.capacity, self.level + self.rate * max(0.0, now - self.updated_at))
        self.updated_at = now
        return self.level
