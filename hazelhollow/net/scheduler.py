"""The event loop: greenlets over `select.poll`, timers, and the process's clock.

A task is a greenlet that waits for a descriptor, for a time or to be woken. Everything runs on one
thread, so tasks share state without locks and yield only in `wait` and `sleep`.

One turn runs the timers that are due, the tasks that are ready, the end-of-turn callbacks, one poll
and the tasks that the poll made ready. An error in a task or a timer is logged and ends only that
task or timer.
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
# The peer has shut down its sending side. Poll reports this even while unread bytes remain.
PEER_CLOSED = select.POLLRDHUP
TIMED_OUT, WOKEN = 0, -1  # results of `wait` that are not poll event bits

MAX_POLL_S = 1.0
PROCESS_PAUSE_S = 0.5  # a turn that is late by more counts as a process pause
RESTART_DELAY_S = 0.1  # before a supervised task that ended is restarted
FAILED_POLL_PAUSE_S = 0.005
IMMEDIATE_POLL_S = 0.0005  # a poll that took less time found events that were already pending

log = logging.getLogger(__name__)


class Clock:
    """Unix time in seconds: read once, then advanced by the monotonic clock.

    The time is based on the wall clock, because limiters share their periods and discovery's
    `since_ms` is Unix time. A wall clock can be set back, however, and the decision engine must
    never see time go backwards.
    """

    def __init__(
        self, wall: Callable[[], float] = time.time, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        self._monotonic = monotonic
        self._offset = wall() - monotonic()

    def __call__(self) -> float:
        """Returns the current time."""
        return self._offset + self._monotonic()


class Poller(Protocol):
    """The part of `select.poll` objects that the scheduler uses."""

    def register(self, fd: int, events: int, /) -> None:
        """Registers a descriptor, or changes the events that it is watched for."""

    def unregister(self, fd: int, /) -> None:
        """Stops watching a descriptor."""

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Blocks for at most `timeout` ms; returns the ready descriptors with their event bits."""


class Timer:
    """A callback scheduled for a time; it can be cancelled."""

    __slots__ = ("when", "call", "args")

    def __init__(self, when: float, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.when, self.args = when, args
        self.call: Callable[..., object] | None = call

    def cancel(self) -> None:
        """Cancels the callback and drops its references, so that its arguments can be freed."""
        self.call, self.args = None, ()


class Task:
    """One greenlet and the state of its wait."""

    __slots__ = ("greenlet", "waiting", "result", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.greenlet: Any = None
        self.waiting = False
        self.result = 0  # of its last wait


class Scheduler:
    """The event loop with its tasks and timers.

    Attributes:
        clock: Returns the time in seconds.
        arrived_since: The earliest time at which data read in this turn can have arrived.
        on_process_pause: Called after a process pause (SIGSTOP, a busy machine), before any task
            reads the data that arrived during the pause.
    """

    def __init__(self, clock: Callable[[], float], poller: Poller | None = None) -> None:
        self.clock = clock
        self.arrived_since = self._polled_at = clock()
        self._poll: Poller = poller or select.poll()
        self._interest: dict[int, int] = {}  # event bits registered with poll, by descriptor
        self._waiters: dict[int, Task] = {}
        self._ready: deque[Task] = deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_serial = 0  # keeps timers for the same time in order of creation
        self._end_of_turn: list[Callable[[], object]] = []
        self._loop = greenlet.getcurrent()
        self._current: Task | None = None
        self._stopped = False
        self._pause_checked_at = self._polled_at
        self.on_process_pause: Callable[[], object] | None = None

    # Called by tasks

    def spawn(self, run: Callable[..., object], *args: Any, name: str = "task") -> Task:
        """Starts a task in this turn. An error in it is logged and ends the task."""
        task = Task(name)
        task.greenlet = greenlet.greenlet(
            lambda _: self._run_logging_errors(name, run, args), self._loop
        )
        task.waiting = True
        self.wake(task)
        return task

    def spawn_supervised(self, run: Callable[[], object], name: str) -> Task:
        """Starts a task that must run while the limiter serves.

        It is restarted RESTART_DELAY_S after it ends or fails.
        """
        return self.spawn(self._supervise, run, name, name=name)

    def _supervise(self, run: Callable[[], object], name: str) -> None:
        while True:
            self._run_logging_errors(name, run, ())
            self.sleep(RESTART_DELAY_S)

    def current(self) -> Task:
        """Returns the running task. Must be called from a task."""
        assert self._current is not None
        return self._current

    def wait(self, fd: int = -1, events: int = 0, until: float | None = None) -> int:
        """Blocks the current task.

        Args:
            fd: A descriptor to watch. Only one task at a time may wait for a descriptor.
            events: The poll event bits to watch it for.
            until: The time at which the wait ends.

        Returns:
            The poll event bits, TIMED_OUT, or WOKEN if `wake` was called.
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
            # The descriptor stays registered; `_poll_descriptors` unregisters it if no task waits.
            del self._waiters[fd]
        return result

    def sleep(self, seconds: float) -> None:
        """Blocks the current task for `seconds`, or until it is woken."""
        self.wait(until=self.clock() + seconds)

    def wake(self, task: Task, result: int = WOKEN) -> None:
        """Ends a task's wait; does nothing if the task is not waiting or was already woken."""
        if task.waiting:
            task.waiting, task.result = False, result
            self._ready.append(task)

    def add_interest(self, fd: int, events: int) -> None:
        """Adds events to those that a waiting task waits for on a descriptor."""
        registered = self._interest.get(fd, 0)
        if fd in self._waiters and registered | events != registered:
            self._interest[fd] = registered | events
            self._poll.register(fd, registered | events)

    def time_since_poll(self) -> float:
        """Returns the seconds since the last poll; socket events since then have not been seen."""
        return self.clock() - self._polled_at

    def unregister(self, fd: int) -> None:
        """Stops watching a descriptor.

        Must be called before the descriptor is closed, because the system may reuse its number at
        once.
        """
        if self._interest.pop(fd, None) is not None:
            self._poll.unregister(fd)
        self._waiters.pop(fd, None)

    def at(self, when: float, call: Callable[..., object], *args: Any) -> Timer:
        """Schedules a callback for that time, or for the next turn if the time has passed."""
        timer = Timer(when, call, args)
        self._timer_serial += 1
        heapq.heappush(self._timers, (when, self._timer_serial, timer))
        return timer

    def at_end_of_turn(self, call: Callable[[], object]) -> None:
        """Schedules a callback for this turn, after its ready tasks and before its poll."""
        self._end_of_turn.append(call)

    # The loop

    def stop(self) -> None:
        """Makes `run` return after the current turn."""
        self._stopped = True

    def run(self) -> None:
        """Runs turns until `stop` is called."""
        while not self._stopped:
            self.turn()

    def turn(self, longest: float = MAX_POLL_S) -> None:
        """Runs one turn. `longest`: the maximum time in seconds for which its poll blocks."""
        now = self.clock()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.call:
                self._run_logging_errors("timer", timer.call, timer.args)
        self._run()
        self._poll_descriptors(longest)
        self._run()

    def _run(self) -> None:
        self._run_ready()
        while self._end_of_turn:
            calls, self._end_of_turn = self._end_of_turn, []
            for call in calls:
                self._run_logging_errors("end of turn", call, ())
            self._run_ready()

    def _run_ready(self) -> None:
        while self._ready:
            self._check_for_pause()
            task = self._ready.popleft()
            self._current = task
            task.greenlet.switch(task.result)
            self._current = None

    def _poll_descriptors(self, longest: float) -> None:
        """Polls, and wakes the tasks whose descriptors are ready."""
        now = self.clock()
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        due = self._timers[0][0] - now if self._timers else longest
        poll_s = 0.0 if self._stopped else max(0.0, min(due, longest))
        previous_poll_at = self._polled_at
        try:
            ready = self._poll.poll(poll_s * 1000)
        except OSError:  # no memory for a moment: the next turn polls again
            log.warning("poll failed, trying again", exc_info=True)
            time.sleep(FAILED_POLL_PAUSE_S)
            ready = []
        self._polled_at = self.clock()
        self._check_for_pause(expected=poll_s)
        # Events that a poll returns at once may have occurred at any time since the previous poll;
        # events that it had to wait for have just occurred.
        found_immediately = self._polled_at - now < IMMEDIATE_POLL_S
        self.arrived_since = previous_poll_at if found_immediately else self._polled_at
        for fd, bits in ready:
            task = self._waiters.get(fd)
            if task is None:
                self._interest.pop(fd, None)
                self._poll.unregister(fd)
            else:
                self.wake(task, bits)

    def _check_for_pause(self, expected: float = 0.0) -> None:
        """Detects a process pause, which may happen at any point of a turn.

        Without this check, data that arrived during the pause would be treated as if it had just
        arrived. `expected`: the time in seconds for which the process intended to block.
        """
        if self.on_process_pause is None:
            return
        last_check, self._pause_checked_at = self._pause_checked_at, self.clock()
        if self._pause_checked_at - last_check - expected > PROCESS_PAUSE_S:
            self._run_logging_errors("process pause", self.on_process_pause, ())

    def _expire(self, task: Task) -> None:
        self.wake(task, TIMED_OUT)

    def _run_logging_errors(
        self, name: str, run: Callable[..., object], args: tuple[Any, ...]
    ) -> None:
        """Runs a call and logs an error in it, so that it does not end the event loop."""
        try:
            run(*args)
        except Exception:
            log.exception("error in %s", name)
