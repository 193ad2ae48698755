"""A view of a process's shared scheduler for one incarnation of a hollow limiter.

The callback of every timer is measured as the role of the object that set the timer. Callbacks are
dropped once the incarnation has ended.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hazelhollow.configuration.driver import ConfigurationDriver
from hazelhollow.membership.driver import MembershipDriver
from hazelhollow.net.connection_pool import ConnectionPool
from hazelhollow.net.engine_driver import EngineDriver
from hazelhollow.net.scheduler import Scheduler, Timer
from hazelhollow.replication.driver import ReplicationDriver
from hazelhollow.scale.measure import Meter
from hazelhollow.scale.results import Role

ROLE_BY_DRIVER: tuple[tuple[type, Role], ...] = (
    (MembershipDriver, Role.VIEW),
    (ReplicationDriver, Role.REPLICATION),
    (ConfigurationDriver, Role.AUDIT),
    (ConnectionPool, Role.REQUESTS),
)


def timer_role(call: Callable[..., object]) -> Role:
    """Returns the role that a timer's callback is measured as, by the object that set the timer."""
    owner = getattr(call, "__self__", None)
    # The engine has a single timer, which sends gossip; all other timers of its driver belong to
    # requests.
    if isinstance(owner, EngineDriver):
        return Role.GOSSIP if getattr(call, "__name__", "") == "_timer_fired" else Role.REQUESTS
    return next((role for kind, role in ROLE_BY_DRIVER if isinstance(owner, kind)), Role.TIMERS)


class IncarnationScheduler(Scheduler):
    """The shared scheduler as one incarnation uses it.

    Measures every callback, and makes none once `alive` is false.

    Args:
        shared: The scheduler of the process.
        meter: The meter of the process.
    """

    def __init__(self, shared: Scheduler, meter: Meter) -> None:
        self._shared, self._meter = shared, meter
        self.clock, self.on_process_pause = shared.clock, None
        self.alive = True

    def __getattr__(self, name: str) -> Any:
        """Delegates attributes that this object lacks, such as the last poll's time."""
        return getattr(self._shared, name)

    def at(self, when: float, call: Callable[..., object], *args: Any) -> Timer:
        """Schedules a callback for a time, as `Scheduler.at` does."""
        return self._shared.at(when, self._call_if_alive, timer_role(call), call, args)

    def time_since_poll(self) -> float:
        """Returns the seconds since the shared loop last polled."""
        return self._shared.time_since_poll()

    def _call_if_alive(
        self, role: Role, call: Callable[..., object], args: tuple[Any, ...]
    ) -> None:
        if self.alive:
            self._meter.measure_call(role, call, *args)

    def later(self, call: Callable[[], object]) -> None:
        """Schedules a callback for the end of the current turn of the loop."""
        self._shared.at_end_of_turn(lambda: self._call_if_alive(Role.REQUESTS, call, ()))
