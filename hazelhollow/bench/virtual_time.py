"""Virtual time: the clock and the event queue of a simulation."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any


class Timeline:
    """A clock that jumps from one scheduled call to the next.

    Calls that are due at the same time run in the order in which they were scheduled.

    Args:
        start: The initial time, in seconds.
    """

    def __init__(self, start: float) -> None:
        self.now = start
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0

    def next_serial(self) -> int:
        """Returns the next number of the series that also orders calls due at the same time."""
        self._serial += 1
        return self._serial

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules `call(*args)`; a time in the past means now."""
        heapq.heappush(self._queue, (max(when, self.now), self.next_serial(), call, args))

    def next_at(self) -> float:
        """Returns the time of the next call, or infinity if none is scheduled."""
        return self._queue[0][0] if self._queue else math.inf

    def run_next(self) -> None:
        """Advances the clock to the next call and runs it."""
        self.now, _, call, args = heapq.heappop(self._queue)
        call(*args)

    def run_until(self, end: float) -> None:
        """Runs all calls due up to and including `end` and sets the clock to `end`."""
        while self.next_at() <= end:
            self.run_next()
        self.now = end
