"""How long to wait before the next try of something that failed.

No clock and no random numbers of its own.
"""

from __future__ import annotations

MAX_DOUBLINGS = 30  # keeps the float finite; the bound of the wait is reached long before


class Backoff:
    """An exponential backoff with jitter.

    The wait doubles with each failure up to a bound, and is drawn between half and all of that, so
    that limiters which lost the same service together do not come back together.
    """

    def __init__(self, min_wait: float, max_wait: float) -> None:
        """The first wait and the bound of all, in seconds."""
        self.min_wait, self.max_wait, self.failures = min_wait, max_wait, 0

    def next_wait(self, draw: float) -> float:
        """Counts a failure; gives the seconds to wait. `draw`: a random number from 0 to 1."""
        wait = min(self.min_wait * 2.0 ** min(self.failures, MAX_DOUBLINGS), self.max_wait)
        self.failures += 1
        return wait * (0.5 + 0.5 * draw)

    def reset(self) -> None:
        """It has worked."""
        self.failures = 0
