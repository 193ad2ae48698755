"""Injects a plan's faults into a cluster and records when each begins and ends.

Each event runs in its own task. While a process is affected by one fault, other process faults skip
it: the effects of two simultaneous faults could not be distinguished.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import IO, Any

import msgspec
import orjson

from hazelhollow.fault_injection.errors import HarnessError
from hazelhollow.fault_injection.loopback_cluster import LoopbackCluster
from hazelhollow.fault_injection.plan import LINK_FAULTS, Event, pairs
from hazelhollow.standins.link_faults import LinkFault

DISCOVERY_DELAY_S = 1.5  # until discovery lists that an endpoint has died or is back
END_TIMEOUT_S = 4.0  # for a signalled process to end, before it is killed
POLL_S = 0.02
ENDPOINT_POLL_S = 0.1
SIGNALS = {
    "kill": signal.SIGKILL,
    "pause": signal.SIGSTOP,
    "restart": signal.SIGTERM,
    "old": signal.SIGKILL,
}


class FaultPlayer:
    """Injects the faults of one run.

    Args:
        cluster: the cluster that the faults affect.
        out: receives a JSON line whenever a fault begins or ends.
        progress: called with a text for each event.
        on_error: called with the exception if a fault cannot be injected. The figures would then
            not be those of the plan.
    """

    def __init__(
        self,
        cluster: LoopbackCluster,
        out: IO[bytes],
        progress: Callable[[str], None],
        on_error: Callable[[Exception], None],
    ) -> None:
        self._cluster, self._out = cluster, out
        self._progress, self._on_error = progress, on_error
        self._scheduler, self._processes = cluster.scheduler, cluster.processes
        self._affected = set[str]()  # processes that a fault currently affects
        self._gone = set[str]()  # processes that do not start again
        # Descriptions of processes that ended without a fault, or with an error on SIGTERM.
        self.crashes: list[str] = []

    def record(self, **line: Any) -> None:
        """Writes a line; `t` defaults to the current time."""
        line.setdefault("t", self._scheduler.clock())
        self._out.write(orjson.dumps(line) + b"\n")
        self._out.flush()

    def look_for_crashes(self) -> None:
        """Records processes that have ended without a fault."""
        for name in [*self._cluster.names, *self._cluster.hosts]:
            is_expected = name in self._affected or name in self._gone
            if not is_expected and self._processes.reap(name):
                self._gone.add(name)
                status = self._processes.members[name].status
                self.crashes.append(f"{name} ended by itself with status {status}")

    def play(self, event: Event) -> None:
        """Carries out one event; returns when it is over."""
        try:
            self._play(event)
        except Exception as error:
            self._on_error(error)

    def _play(self, event: Event) -> None:
        name = self._cluster.plan.name
        self._progress(f"{name}: {event.what} {' '.join(event.whom)} for {event.lasts:g} s")
        if event.what in LINK_FAULTS:
            self._inject_link_fault(event)
        elif event.what == "settings":
            self._change_settings(event)
        elif event.what == "discovery_down":
            self._stop_discovery(event)
        else:
            for other in event.whom[1:]:
                single_event = msgspec.structs.replace(event, whom=(other,))
                self._scheduler.spawn(self.play, single_event, name="fault")
            self._inject_process_fault(event, event.whom[0])

    def _stop_discovery(self, event: Event) -> None:
        self._cluster.discovery.set_down(True)
        self.record(what=event.what, whom=["d"], on=True)
        self._scheduler.sleep(event.lasts)
        self._cluster.discovery.set_down(False)
        self.record(what=event.what, whom=["d"], on=False)

    def _change_settings(self, event: Event) -> None:
        revision = int(event.amount)
        for name in event.whom:
            self._cluster.write_files(name, revision)
            # A limiter that is restarting reads its files anyway.
            if self._processes.members[name].running and name not in self._affected:
                self._processes.signal(name, signal.SIGHUP)
        self.record(what="settings", whom=list(event.whom), order=revision)

    def _inject_link_fault(self, event: Event) -> None:
        affected = pairs(self._cluster.plan, event)
        number = self._cluster.relay.begin(_link_fault(event), affected)
        self.record(what=event.what, pairs=affected, number=number, on=True, amount=event.amount)
        self._scheduler.sleep(event.lasts)
        self._cluster.relay.end(number)
        self.record(what=event.what, pairs=affected, number=number, on=False)

    # Processes

    def _inject_process_fault(self, event: Event, name: str) -> None:
        if name in self._affected or not self._processes.members[name].running:
            return
        self._affected.add(name)
        try:
            self.record(what=event.what, whom=[name], on=True)
            if event.what == "pause":
                self._pause(event, name)
            else:
                self._end_and_restart(event, name)
        finally:
            self._affected.discard(name)

    def _pause(self, event: Event, name: str) -> None:
        process = self._processes.members[name]
        incarnation = process.starts
        self._processes.signal(name, SIGNALS["pause"])
        self._scheduler.sleep(event.lasts)
        if process.starts == incarnation and process.running:
            self._processes.signal(name, signal.SIGCONT)
            self.record(what="pause", whom=[name], on=False)

    def _end_and_restart(self, event: Event, name: str) -> None:
        process = self._processes.members[name]
        self._processes.signal(name, SIGNALS[event.what])
        self._await_end(name)
        if name in self._cluster.hosts:
            self._notify_discovery_later(name)
        if event.what == "restart" and process.status:
            self.crashes.append(f"{name} ended with status {process.status} after SIGTERM")
        if event.what == "kill" and not event.lasts:
            self._gone.add(name)
            return
        self._scheduler.sleep(event.lasts)
        if event.what == "old":
            self._cluster.write_files(name, 0)
        self._processes.start(name)
        self._await_ready(name)
        self.record(what=event.what, whom=[name], on=False)

    def _await_end(self, name: str) -> None:
        until = self._scheduler.clock() + END_TIMEOUT_S
        while not self._processes.reap(name):
            if self._scheduler.clock() > until:
                self._processes.signal(name, signal.SIGKILL)
            self._scheduler.sleep(POLL_S)

    def _await_ready(self, name: str) -> None:
        while name in self._cluster.names and not self._cluster.is_ready(name):
            if self._processes.reap(name):
                status = self._processes.members[name].status
                raise HarnessError(f"{name} ended with status {status} while it started")
            self._scheduler.sleep(POLL_S)

    # Updates of the endpoint list in discovery

    def _notify_discovery_later(self, name: str) -> None:
        at = self._scheduler.clock() + DISCOVERY_DELAY_S
        self._scheduler.at(at, self._notify_discovery, name)

    def _notify_discovery(self, name: str) -> None:
        if self._processes.members[name].running:
            started = self._scheduler.clock() - DISCOVERY_DELAY_S
            self._cluster.set_host(name, "up", started)
        elif self._cluster.discovery.hosts[name].state != "gone":
            self._cluster.set_host(name, "gone")
            self._scheduler.spawn(self._notify_when_back, name, name="host back")

    def _notify_when_back(self, name: str) -> None:
        while not self._processes.members[name].running:
            self._scheduler.sleep(ENDPOINT_POLL_S)
        self._notify_discovery_later(name)


def _link_fault(event: Event) -> LinkFault:
    faults = {
        "cut": LinkFault(partitioned=True),
        "stall": LinkFault(stalled=True),
        "reset": LinkFault(reset=True),
        "delay": LinkFault(delay=event.amount),
        "lose": LinkFault(loss=event.amount),
        "double": LinkFault(duplication=event.amount),
        "reorder": LinkFault(reordering=event.amount),
        "thin": LinkFault(max_datagrams_per_s=event.amount),
    }
    return faults[event.what]
