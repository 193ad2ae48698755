"""Exponential backoff: how long to wait before an operation that failed is retried.

The module uses neither a clock nor a random number generator; callers pass what it needs.
"""

from __future__ import annotations

MAX_DOUBLINGS = 30  # keeps the float finite; the maximum wait is reached long before


class Backoff:
    """An exponential backoff with jitter.

    The wait doubles with each failure up to a maximum. The actual wait is chosen at random between
    half of that value and all of it, so that limiters that lost the same service at the same time
    do not retry at the same time.
    """

    def __init__(self, min_wait: float, max_wait: float) -> None:
        """`min_wait` is the first wait, `max_wait` the upper bound of all waits, in seconds."""
        self.min_wait, self.max_wait, self.failures = min_wait, max_wait, 0

    def next_wait(self, draw: float) -> float:
        """Counts a failure; returns the seconds to wait. `draw`: a random number from 0 to 1."""
        wait = min(self.min_wait * 2.0 ** min(self.failures, MAX_DOUBLINGS), self.max_wait)
        self.failures += 1
        return wait * (0.5 + 0.5 * draw)

    def reset(self) -> None:
        """Resets the wait after a success."""
        self.failures = 0
