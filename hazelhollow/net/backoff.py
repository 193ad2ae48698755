"""How long to wait before asking again what did not answer. No clock and no chance of its own."""

from __future__ import annotations


class Backoff:
    """Seconds to wait before the next attempt.

    Doubled each time up to a bound, and drawn between half and whole of that, so that limiters
    which lost the same service together do not come back together.
    """

    def __init__(self, least: float, most: float) -> None:
        self.least, self.most, self.failures = least, most, 0

    def next(self, draw: float) -> float:
        """`draw`: a random number from 0 to 1."""
        wait = min(self.least * 2.0 ** min(self.failures, 30), self.most)
        self.failures += 1
        return wait * (0.5 + 0.5 * draw)

    def worked(self) -> None:
        self.failures = 0
