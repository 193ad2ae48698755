"""The clock of a scale run, which may run slower than real time.

A machine that cannot play a large fleet in real time plays it on a dilated clock: all processes
slow their clocks by the same factor. The scheduler uses `DilatedClock` as its clock and
`DilatedPoller` as its poller, so that all timers run on the dilated clock.
"""

from __future__ import annotations

import select
import time
from collections.abc import Callable
from typing import NamedTuple


class DilatedClock(NamedTuple):
    """Unix time that advances by one second in `dilation` seconds of real time.

    Attributes:
        monotonic_start: Reading of the monotonic clock, which all processes share, at which this
            clock starts.
        unix_start: Unix seconds that this clock shows at its start.
        dilation: Real seconds for one second of this clock.
        monotonic: Reads the machine's monotonic clock in seconds.
    """

    monotonic_start: float
    unix_start: float
    dilation: float
    monotonic: Callable[[], float] = time.monotonic

    def __call__(self) -> float:
        """Returns the Unix time of the run in seconds."""
        return self.unix_start + (self.monotonic() - self.monotonic_start) / self.dilation


class DilatedPoller:
    """An epoll poller for the scheduler, with timeouts on the run's clock.

    Args:
        dilation: Real seconds for one second of the run's clock.
    """

    def __init__(self, dilation: float) -> None:
        self._epoll, self._dilation = select.epoll(), dilation
        self._registered = set[int]()

    def register(self, fd: int, events: int, /) -> None:
        """Registers a descriptor, or changes the events that it is registered for."""
        if fd in self._registered:
            self._epoll.modify(fd, events)
        else:
            self._registered.add(fd)
            self._epoll.register(fd, events)

    def unregister(self, fd: int, /) -> None:
        """Removes a descriptor."""
        self._registered.discard(fd)
        self._epoll.unregister(fd)

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Returns the ready descriptors with their events.

        Args:
            timeout: Milliseconds on the run's clock.
        """
        return self._epoll.poll(timeout / 1000 * self._dilation)

    def close(self) -> None:
        """Closes the epoll descriptor."""
        self._epoll.close()
