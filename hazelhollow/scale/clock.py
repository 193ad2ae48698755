"""The run's clock: it goes slower than real time, alike in all processes of a run."""

from __future__ import annotations

import select
import time
from collections.abc import Callable
from typing import NamedTuple


class DilatedClock(NamedTuple):
    """Unix time that passes one second for each `dilation` seconds of the machine's monotonic
    clock, which all processes share. `began`: the reading of that clock at which this one shows
    `shows`.
    """

    began: float
    shows: float
    dilation: float
    monotonic: Callable[[], float] = time.monotonic

    def __call__(self) -> float:
        return self.shows + (self.monotonic() - self.began) / self.dilation


class DilatedPoller:
    """`select.epoll` as the scheduler's poller.

    Its pauses, which are the run's, take as much longer as the clock goes slower.
    """

    def __init__(self, dilation: float) -> None:
        self._epoll, self._dilation = select.epoll(), dilation
        self._known = set[int]()

    def register(self, fd: int, events: int, /) -> None:
        if fd in self._known:
            self._epoll.modify(fd, events)
        else:
            self._known.add(fd)
            self._epoll.register(fd, events)

    def unregister(self, fd: int, /) -> None:
        self._known.discard(fd)
        self._epoll.unregister(fd)

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        return self._epoll.poll(timeout / 1000 * self._dilation)

    def close(self) -> None:
        self._epoll.close()
