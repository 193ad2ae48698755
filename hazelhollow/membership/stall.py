"""Detects that this process was paused: a paused machine, a stopped process, a slow disk.

A stalled member must not judge others by timers that expired while it could not receive, and must
not admit work on outdated knowledge, since the others may consider it dead.
"""

from __future__ import annotations

from enum import Enum, auto

from hazelhollow.membership.timing import LATE_TICK_S, PROBE_INTERVAL_S, STALL_S


class Lateness(Enum):
    """How late a tick was."""

    ON_TIME = auto()
    LATE = auto()
    STALLED = auto()


class StallDetector:
    """Compares each tick with its due time. `now` is the time of the start in seconds."""

    def __init__(self, now: float) -> None:
        self._last_tick = now

    def tick(self, now: float) -> Lateness:
        """Records a tick and returns how late it was."""
        delay_s, self._last_tick = now - self._last_tick - PROBE_INTERVAL_S, now
        if delay_s > STALL_S:
            return Lateness.STALLED
        return Lateness.LATE if delay_s > LATE_TICK_S else Lateness.ON_TIME

    def is_stalled(self, now: float) -> bool:
        """Whether the next tick is so late that it must be handled before anything else."""
        return now - self._last_tick > PROBE_INTERVAL_S + STALL_S
