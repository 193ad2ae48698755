"""The clock of a scale run: it runs slower than real time, by the same factor in all processes.

A machine that cannot play a large fleet in real time plays it on a dilated clock. `DilatedClock` is
the scheduler's clock and `DilatedPoller` its poller, so that all timers follow.
"""

from __future__ import annotations

import select
import time
from collections.abc import Callable
from typing import NamedTuple


class DilatedClock(NamedTuple):
    """Unix time that advances by one second in `dilation` seconds of real time.

    Attributes:
        began: Reading of the monotonic clock, which all processes share, at which this one starts.
        shows: Unix seconds that this clock shows at `began`.
        dilation: Real seconds for one second of this clock.
        monotonic: Reads the machine's monotonic clock in seconds.
    """

    began: float
    shows: float
    dilation: float
    monotonic: Callable[[], float] = time.monotonic

    def __call__(self) -> float:
        """Unix seconds of the run now."""
        return self.shows + (self.monotonic() - self.began) / self.dilation


class DilatedPoller:
    """`select.epoll` as the scheduler's poller, with timeouts in the run's time.

    Args:
        dilation: Real seconds for one second of the run's clock.
    """

    def __init__(self, dilation: float) -> None:
        self._epoll, self._dilation = select.epoll(), dilation
        self._registered = set[int]()

    def register(self, fd: int, events: int, /) -> None:
        """Watches a descriptor, or changes the events that it is watched for."""
        if fd in self._registered:
            self._epoll.modify(fd, events)
        else:
            self._registered.add(fd)
            self._epoll.register(fd, events)

    def unregister(self, fd: int, /) -> None:
        """Stops watching a descriptor."""
        self._registered.discard(fd)
        self._epoll.unregister(fd)

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Descriptors that are ready, with their events; `timeout`: milliseconds of the run."""
        return self._epoll.poll(timeout / 1000 * self._dilation)

    def close(self) -> None:
        """Closes the epoll descriptor."""
        self._epoll.close()
