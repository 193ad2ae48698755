"""Virtual time: the clock and the event queue of a simulated run."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any


class Timeline:
    """A clock that jumps from one scheduled call to the next.

    Calls that are due at the same instant run in the order in which they were scheduled.

    Args:
        start: The first instant, in seconds.
    """

    def __init__(self, start: float) -> None:
        self.now = start
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0

    def take_serial(self) -> int:
        """The next number of the series that also orders simultaneous calls."""
        self._serial += 1
        return self._serial

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule `call(*args)`; an instant that has passed means now."""
        heapq.heappush(self._queue, (max(when, self.now), self.take_serial(), call, args))

    def next_at(self) -> float:
        """The instant of the next call; infinity if there is none."""
        return self._queue[0][0] if self._queue else math.inf

    def run_next(self) -> None:
        """Move the clock to the next call and make it."""
        self.now, _, call, args = heapq.heappop(self._queue)
        call(*args)

    def run_until(self, end: float) -> None:
        """Make all calls up to and including `end`, where the clock then stands."""
        while self.next_at() <= end:
            self.run_next()
        self.now = end
