"""A token bucket: units that come in at a rate, up to a capacity."""

from __future__ import annotations


class TokenBucket:
    """Units that come in evenly; the level may go below zero.

    `level` is as old as `updated_at`; call `refill` before it is read.

    Attributes:
        rate: Units a second.
        capacity: The most units that it holds.
        level: Units, at `updated_at`.
        updated_at: The instant of the last refill.
    """

    __slots__ = ("rate", "capacity", "level", "updated_at")

    def __init__(self, rate: float, capacity: float, level: float, now: float) -> None:
        self.rate, self.capacity, self.level, self.updated_at = rate, capacity, level, now

    def refill(self, now: float) -> float:
        """Adds what has come in until now, and returns the level. An earlier `now` adds nothing."""
        self.level = min(self.capacity, self.level + self.rate * max(0.0, now - self.updated_at))
        self.updated_at = now
        return self.level
