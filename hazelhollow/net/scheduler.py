"""Greenlets over select.poll.

Tasks that wait for sockets, for a time or to be woken, and a heap of timers.
"""

from __future__ import annotations

import heapq
import logging
import select
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import greenlet

READABLE, WRITABLE = select.POLLIN, select.POLLOUT
SOCKET_ERROR = select.POLLERR | select.POLLHUP | select.POLLNVAL
# the other side has ended its sending, also where bytes lie before that end
PEER_CLOSED = select.POLLRDHUP
TIMED_OUT, WOKEN = 0, -1  # what `wait` gives beside poll's bits
LONGEST = 1.0  # seconds in poll at most
STILL = 0.5  # seconds by which a turn must be late for the process to have stood still
RESTART = 0.1  # seconds before a lasting task that failed begins anew

log = logging.getLogger(__name__)


class Clock:
    """Unix time in seconds: read once, then carried on by the monotonic clock.

    Limiters share their periods and `since_ms` is Unix time, so it must be the wall's time. But a
    wall clock can be set back, and the decision module must never see time go back.
    """

    def __init__(
        self, wall: Callable[[], float] = time.time, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        self._monotonic = monotonic
        self._offset = wall() - monotonic()

    def __call__(self) -> float:
        return self._offset + self._monotonic()


class Poller(Protocol):
    def register(self, fd: int, events: int, /) -> None: ...
    def unregister(self, fd: int, /) -> None: ...
    def poll(self, timeout: float, /) -> list[tuple[int, int]]: ...


class Timer:
    __slots__ = ("when", "call", "args")

    def __init__(self, when: float, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.when, self.args = when, args
        self.call: Callable[..., object] | None = call

    def cancel(self) -> None:
        self.call, self.args = None, ()


class Task:
    """One greenlet, and what it waits for."""

    __slots__ = ("let", "waiting", "result", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.let: Any = None
        self.waiting = False
        self.result = 0


class Scheduler:
    def __init__(self, clock: Callable[[], float], poller: Poller | None = None) -> None:
        self.clock = clock
        self.started_turn = self._polled = clock()
        self._poll: Poller = poller or select.poll()
        self._interest: dict[int, int] = {}  # what poll is asked, by descriptor
        self._waiters: dict[int, Task] = {}
        self._ready: deque[Task] = deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._serial = 0
        self._later: list[Callable[[], object]] = []
        self._hub = greenlet.getcurrent()
        self._current: Task | None = None
        self._stopped = False
        self._looked = self._polled  # when it was last looked whether the process had stood still
        # Called after a time in which the process stood still, before any task reads what came
        # meanwhile.
        self.on_process_pause: Callable[[], object] | None = None

    # What tasks call

    def spawn(self, run: Callable[..., object], *args: Any, name: str = "task") -> Task:
        task = Task(name)
        task.let = greenlet.greenlet(lambda _: self._contain(name, run, args), self._hub)
        task.waiting = True
        self.wake(task)
        return task

    def spawn_supervised(self, run: Callable[[], object], name: str) -> Task:
        """A task without which the limiter is of no use: after an error it begins anew."""
        return self.spawn(self._last, run, name, name=name)

    def _last(self, run: Callable[[], object], name: str) -> None:
        while True:
            self._contain(name, run, ())
            self.sleep(RESTART)

    def current(self) -> Task:
        assert self._current is not None
        return self._current

    def wait(self, fd: int = -1, events: int = 0, until: float | None = None) -> int:
        """Until the descriptor is ready (poll's bits), the time has come (TIMEOUT) or a wake-up
        (WOKEN).
        """
        task = self.current()
        if fd >= 0:
            self._waiters[fd] = task
            if self._interest.get(fd) != events:
                self._interest[fd] = events
                self._poll.register(fd, events)
        timer = self.at(until, self._expire, task) if until is not None else None
        task.waiting = True
        result: int = self._hub.switch()
        if timer:
            timer.cancel()
        if fd >= 0 and self._waiters.get(fd) is task:
            # poll goes on watching; `_collect` stops it if nobody waits any more
            del self._waiters[fd]
        return result

    def sleep(self, seconds: float) -> None:
        self.wait(until=self.clock() + seconds)

    def wake(self, task: Task, result: int = WOKEN) -> None:
        """A task that does not wait, or was woken already, is left alone."""
        if task.waiting:
            task.waiting, task.result = False, result
            self._ready.append(task)

    def listen_also_for(self, fd: int, events: int) -> None:
        """Adds to what a waiting task waits for, and takes nothing from it."""
        known = self._interest.get(fd, 0)
        if fd in self._waiters and known | events != known:
            self._interest[fd] = known | events
            self._poll.register(fd, known | events)

    def time_since_poll(self) -> float:
        """Seconds since sockets were looked at last.

        What has happened on them since is not known here.
        """
        return self.clock() - self._polled

    def unregister(self, fd: int) -> None:
        """To be called before a descriptor is closed: its number may come again at once."""
        if self._interest.pop(fd, None) is not None:
            self._poll.unregister(fd)
        self._waiters.pop(fd, None)

    def at(self, when: float, call: Callable[..., object], *args: Any) -> Timer:
        timer = Timer(when, call, args)
        self._serial += 1
        heapq.heappush(self._timers, (when, self._serial, timer))
        return timer

    def at_end_of_turn(self, call: Callable[[], object]) -> None:
        """At the end of this turn, before poll."""
        self._later.append(call)

    # The loop

    def stop(self) -> None:
        self._stopped = True

    def run(self) -> None:
        while not self._stopped:
            self.turn()

    def turn(self, longest: float = LONGEST) -> None:
        """What is due, then poll once."""
        now = self.clock()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.call:
                self._contain("timer", timer.call, timer.args)
        self._run()
        self._collect(longest)
        self._run()

    def _run(self) -> None:
        self._run_ready()
        while self._later:
            calls, self._later = self._later, []
            for call in calls:
                self._contain("end of turn", call, ())
            self._run_ready()

    def _run_ready(self) -> None:
        while self._ready:
            self._notice_standstill()
            task = self._ready.popleft()
            self._current = task
            task.let.switch(task.result)
            self._current = None

    def _collect(self, longest: float) -> None:
        now = self.clock()
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        due = self._timers[0][0] - now if self._timers else longest
        pause = 0.0 if self._stopped else max(0.0, min(due, longest))
        before = self._polled
        ready = self._poll.poll(pause * 1000)
        self._polled = self.clock()
        self._notice_standstill(expected=pause)
        # What is readable at once may have come any time since the last poll; else it has come just
        # now.
        self.started_turn = before if self._polled - now < 0.0005 else self._polled
        for fd, bits in ready:
            task = self._waiters.get(fd)
            if task is None:
                self._interest.pop(fd, None)
                self._poll.unregister(fd)
            else:
                self.wake(task, bits)

    def _notice_standstill(self, expected: float = 0.0) -> None:
        """The process may be stopped at any point of a turn, not in poll alone.

        Without this, what came meanwhile would be read by what was known before. `expected`:
        seconds that it meant to pause.
        """
        if self.on_process_pause is None:
            return
        since, self._looked = self._looked, self.clock()
        if self._looked - since - expected > STILL:
            self._contain("stood still", self.on_process_pause, ())

    def _expire(self, task: Task) -> None:
        self.wake(task, TIMED_OUT)

    def _contain(self, name: str, run: Callable[..., object], args: tuple[Any, ...]) -> None:
        """An error in one task ends that task alone."""
        try:
            run(*args)
        except Exception:
            log.exception("error in %s", name)
