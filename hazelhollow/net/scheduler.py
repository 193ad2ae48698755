"""The event loop: greenlets over `select.poll`, timers, and the one clock.

A task is a greenlet that waits for a descriptor, for a time or to be woken. Everything runs on one
thread, so tasks share state without locks and yield only in `wait` and `sleep`.

One turn: timers that are due, tasks that are ready, calls for the end of the turn, one poll, and
the tasks that the poll made ready. An error in a task or timer is logged and ends that one alone.
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
# The other side has closed its sending side, also where unread bytes lie before that end.
PEER_CLOSED = select.POLLRDHUP
TIMED_OUT, WOKEN = 0, -1  # what `wait` returns beside poll's bits

MAX_POLL_S = 1.0
PROCESS_PAUSE_S = 0.5  # by which a turn must be late for the process to have been paused
RESTART_DELAY_S = 0.1  # before a supervised task that failed begins anew
IMMEDIATE_POLL_S = 0.0005  # a poll that took less found what was ready before it

log = logging.getLogger(__name__)


class Clock:
    """Unix time in seconds: read once, then carried on by the monotonic clock.

    Limiters share their periods, and discovery's `since_ms` is Unix time, so it has to be the wall
    clock's. But a wall clock can be set back, and the decision engine must never see time go back.
    """

    def __init__(
        self, wall: Callable[[], float] = time.time, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        self._monotonic = monotonic
        self._offset = wall() - monotonic()

    def __call__(self) -> float:
        """Now."""
        return self._offset + self._monotonic()


class Poller(Protocol):
    """The part of `select.poll` objects that the scheduler uses."""

    def register(self, fd: int, events: int, /) -> None:
        """Watches a descriptor, or changes what it is watched for."""

    def unregister(self, fd: int, /) -> None:
        """Watches it no more."""

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Blocks for so many milliseconds at most; gives ready descriptors and their bits."""


class Timer:
    """A call at a time, until it is made or cancelled."""

    __slots__ = ("when", "call", "args")

    def __init__(self, when: float, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.when, self.args = when, args
        self.call: Callable[..., object] | None = call

    def cancel(self) -> None:
        """The call is not made; what it would hold in memory is let go of."""
        self.call, self.args = None, ()


class Task:
    """One greenlet, and what it waits for."""

    __slots__ = ("greenlet", "waiting", "result", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.greenlet: Any = None
        self.waiting = False
        self.result = 0  # of its wait


class Scheduler:
    """The loop and what waits in it.

    Attributes:
        clock: The time, in seconds.
        arrived_since: What is read in this turn has come at this time or later.
        on_process_pause: Called when the process was paused (SIGSTOP, a busy machine), before any
            task reads what came meanwhile.
    """

    def __init__(self, clock: Callable[[], float], poller: Poller | None = None) -> None:
        self.clock = clock
        self.arrived_since = self._polled_at = clock()
        self._poll: Poller = poller or select.poll()
        self._interest: dict[int, int] = {}  # what poll is asked for, by descriptor
        self._waiters: dict[int, Task] = {}
        self._ready: deque[Task] = deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_serial = 0  # keeps timers of one instant in their order
        self._end_of_turn: list[Callable[[], object]] = []
        self._loop = greenlet.getcurrent()
        self._current: Task | None = None
        self._stopped = False
        self._pause_checked_at = self._polled_at
        self.on_process_pause: Callable[[], object] | None = None

    # What tasks call

    def spawn(self, run: Callable[..., object], *args: Any, name: str = "task") -> Task:
        """Starts a task in this turn. An error in it is logged and ends it."""
        task = Task(name)
        task.greenlet = greenlet.greenlet(lambda _: self._contain(name, run, args), self._loop)
        task.waiting = True
        self.wake(task)
        return task

    def spawn_supervised(self, run: Callable[[], object], name: str) -> Task:
        """Starts a task that the limiter needs while it serves: after an error it runs anew."""
        return self.spawn(self._supervise, run, name, name=name)

    def _supervise(self, run: Callable[[], object], name: str) -> None:
        while True:
            self._contain(name, run, ())
            self.sleep(RESTART_DELAY_S)

    def current(self) -> Task:
        """The task that runs. To be called from a task only."""
        assert self._current is not None
        return self._current

    def wait(self, fd: int = -1, events: int = 0, until: float | None = None) -> int:
        """Blocks the current task.

        Args:
            fd: A descriptor to watch; one task at a time waits for one.
            events: Poll's bits to watch it for.
            until: A time at which the wait ends.

        Returns:
            Poll's bits, TIMED_OUT, or WOKEN if `wake` was called.
        """
        task = self.current()
        if fd >= 0:
            self._waiters[fd] = task
            if self._interest.get(fd) != events:
                self._interest[fd] = events
                self._poll.register(fd, events)
        timer = self.at(until, self._expire, task) if until is not None else None
        task.waiting = True
        result: int = self._loop.switch()
        if timer:
            timer.cancel()
        if fd >= 0 and self._waiters.get(fd) is task:
            # poll goes on watching; `_collect` stops it if nobody waits any more
            del self._waiters[fd]
        return result

    def sleep(self, seconds: float) -> None:
        """Blocks the current task for that time, unless it is woken."""
        self.wait(until=self.clock() + seconds)

    def wake(self, task: Task, result: int = WOKEN) -> None:
        """Ends a task's wait; a task that does not wait, or was woken already, is left alone."""
        if task.waiting:
            task.waiting, task.result = False, result
            self._ready.append(task)

    def add_interest(self, fd: int, events: int) -> None:
        """Adds to what a waiting task waits for, and takes nothing from it."""
        known = self._interest.get(fd, 0)
        if fd in self._waiters and known | events != known:
            self._interest[fd] = known | events
            self._poll.register(fd, known | events)

    def time_since_poll(self) -> float:
        """Seconds since the last poll. What has happened on sockets since is not known here."""
        return self.clock() - self._polled_at

    def unregister(self, fd: int) -> None:
        """Watches a descriptor no more.

        To be called before it is closed: the system may give its number to the next one at once.
        """
        if self._interest.pop(fd, None) is not None:
            self._poll.unregister(fd)
        self._waiters.pop(fd, None)

    def at(self, when: float, call: Callable[..., object], *args: Any) -> Timer:
        """Calls at that time, or in the next turn if it has passed."""
        timer = Timer(when, call, args)
        self._timer_serial += 1
        heapq.heappush(self._timers, (when, self._timer_serial, timer))
        return timer

    def at_end_of_turn(self, call: Callable[[], object]) -> None:
        """Calls when the tasks that are ready have run, before poll."""
        self._end_of_turn.append(call)

    # The loop

    def stop(self) -> None:
        """Ends `run` after this turn."""
        self._stopped = True

    def run(self) -> None:
        """Runs until `stop`."""
        while not self._stopped:
            self.turn()

    def turn(self, longest: float = MAX_POLL_S) -> None:
        """One turn. `longest`: seconds that its poll may block."""
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
        while self._end_of_turn:
            calls, self._end_of_turn = self._end_of_turn, []
            for call in calls:
                self._contain("end of turn", call, ())
            self._run_ready()

    def _run_ready(self) -> None:
        while self._ready:
            self._check_for_pause()
            task = self._ready.popleft()
            self._current = task
            task.greenlet.switch(task.result)
            self._current = None

    def _collect(self, longest: float) -> None:
        """Polls, and makes the tasks ready whose descriptors are."""
        now = self.clock()
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        due = self._timers[0][0] - now if self._timers else longest
        pause = 0.0 if self._stopped else max(0.0, min(due, longest))
        before = self._polled_at
        ready = self._poll.poll(pause * 1000)
        self._polled_at = self.clock()
        self._check_for_pause(expected=pause)
        # What a poll finds at once may have come any time since the last poll; what it had to wait
        # for has come just now.
        found_at_once = self._polled_at - now < IMMEDIATE_POLL_S
        self.arrived_since = before if found_at_once else self._polled_at
        for fd, bits in ready:
            task = self._waiters.get(fd)
            if task is None:
                self._interest.pop(fd, None)
                self._poll.unregister(fd)
            else:
                self.wake(task, bits)

    def _check_for_pause(self, expected: float = 0.0) -> None:
        """Notices that the process was paused, which may happen at any point of a turn.

        Without this, what came meanwhile would be read as if it had come now. `expected`: seconds
        that the process meant to block.
        """
        if self.on_process_pause is None:
            return
        since, self._pause_checked_at = self._pause_checked_at, self.clock()
        if self._pause_checked_at - since - expected > PROCESS_PAUSE_S:
            self._contain("process pause", self.on_process_pause, ())

    def _expire(self, task: Task) -> None:
        self.wake(task, TIMED_OUT)

    def _contain(self, name: str, run: Callable[..., object], args: tuple[Any, ...]) -> None:
        """An error in one task ends that task alone."""
        try:
            run(*args)
        except Exception:
            log.exception("error in %s", name)
