"""When endpoints started, by this process's clock, although a wall clock may have been stepped.

Discovery tells a start as Unix time. The process's own clock follows the wall clock of its start
and the monotonic clock since then, so that a step before the start shifts all of discovery's times:
with a clock that is an hour ahead, an endpoint that has just started seems to have run for an hour,
and would not be spared while it warms up. Two facts show it:

- no endpoint starts in the future: a later start means that this clock is behind by at least that;
- an endpoint that discovery names for the first time while it is being followed started recently.

A step of less than MAX_TELL_DELAY_S cannot be told from a list that comes late.

No I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

MAX_TELL_DELAY_S = 6.0  # from a start until discovery tells it, as the platform states
MAX_POLL_S = 2.0  # between two answers of discovery; what is longer is a gap


class StartTimes:
    """Converts discovery's start times; the same start always gives the same result."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._correction = 0.0  # added to discovery's times
        self._latest = 0.0  # the latest start that discovery has told
        self._known: dict[str, tuple[float, float]] = {}  # told and converted start, by name
        self._heard_at: float | None = None  # when discovery last answered; None before
        self._gap = math.inf  # for which discovery had not answered before this list

    def begin_list(self, told: Iterable[float], cached: bool) -> None:
        """Begins a list or a change with these start times (0: long ago).

        `cached`: whether it is the list of the configuration file, which may be old.
        """
        now = self._clock()
        latest = max(told, default=0.0)
        if latest + self._correction > now:
            self._correction = now - latest
        if self._heard_at is not None:
            self._gap = max(now - self._heard_at - MAX_POLL_S, 0.0)
        if not cached:
            self._heard_at = now

    def convert(self, name: str, told: float) -> float:
        """Returns when an endpoint started, by the process's clock; 0 means long ago."""
        known = self._known.get(name)
        if known and known[0] == told:
            return known[1]
        started = self._convert_new(told) if told else 0.0
        self._known[name] = told, started
        self._latest = max(self._latest, told)
        return started

    def _convert_new(self, told: float) -> float:
        now, started = self._clock(), told + self._correction
        if now - started <= self._gap + MAX_TELL_DELAY_S:
            return started
        if told > self._latest:  # the newest of all: this clock is ahead
            self._correction = now - told
        return now

    def forget(self, name: str) -> None:
        """Forgets an endpoint that is gone."""
        self._known.pop(name, None)
