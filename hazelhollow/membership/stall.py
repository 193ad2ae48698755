"""Whether this process itself stood still: a paused machine, a stopped process, a slow disk.

A stalled member must not judge others by timers that ran out while it could not read, and must not
admit work on what it knew before: the others may consider it dead.
"""

from __future__ import annotations

from enum import Enum, auto

from hazelhollow.membership.timing import LATE_TICK_S, PROBE_INTERVAL_S, STALL_S


class Lateness(Enum):
    """How a tick came."""

    ON_TIME = auto()
    LATE = auto()
    STALLED = auto()


class StallDetector:
    """Compares the time of each tick with when it was due. `now`: of the start, in seconds."""

    def __init__(self, now: float) -> None:
        self._last_tick = now

    def tick(self, now: float) -> Lateness:
        """A tick has come."""
        late, self._last_tick = now - self._last_tick - PROBE_INTERVAL_S, now
        if late > STALL_S:
            return Lateness.STALLED
        return Lateness.LATE if late > LATE_TICK_S else Lateness.ON_TIME

    def is_stalled(self, now: float) -> bool:
        """Whether the next tick is so late that it must come before anything else."""
        return now - self._last_tick > PROBE_INTERVAL_S + STALL_S
