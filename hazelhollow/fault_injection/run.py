"""One drill.

A fleet comes up, clients ask, the plan's faults happen, and files of all of it are left for the
checker.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any

import msgspec
import orjson

from hazelhollow.fault_injection import audit_comparison, checker
from hazelhollow.fault_injection.clients import Clients, ClientTarget
from hazelhollow.fault_injection.loopback_cluster import CLIENT_PORT, HarnessError, LoopbackCluster
from hazelhollow.fault_injection.plan import (
    LINK_FAULTS,
    Event,
    Plan,
    end_of_last_fault,
    expanded_events,
    newest_revision,
    pairs,
    write,
)
from hazelhollow.fault_injection.settings_probes import SettingsProber
from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.standins.relay import Fault

LISTED_AFTER = 1.5  # seconds until discovery knows that a host has died or is back
END_WITHIN = 4.0  # seconds for requests that are out, and for processes that were told to end
# seconds past the last fault that a drill goes on at least, so that views can settle
SETTLE_WITHIN = 6.0
TICK, TOO_LATE = (
    0.05,
    0.1,
)  # seconds between looks at the drill's own clock; by which it is too late to judge others
GIVE_UP = 0.02  # seconds between looks
SIGNALS = {
    "kill": signal.SIGKILL,
    "pause": signal.SIGSTOP,
    "restart": signal.SIGTERM,
    "old": signal.SIGKILL,
}

Progress = Callable[[str], None]


class FaultInjectionRun:
    """`folder` exists and is empty. `operator` as for World."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        progress: Progress = lambda text: None,
        operator: Callable[[str, Path], str] | None = None,
        keep: bool = False,
    ) -> None:
        self.plan, self.folder, self.progress = plan, folder, progress
        self.scheduler = Scheduler(Clock())
        (folder / "plan.json").write_bytes(write(plan))
        self.cluster = LoopbackCluster(self.scheduler, plan, folder, keep, operator)
        self._faults: IO[bytes] = (folder / "faults.jsonl").open("wb")
        self._relay: IO[bytes] = (folder / "relay.jsonl").open("wb")
        self._requests: IO[bytes] = (folder / "clients.jsonl").open("wb")
        self.clients = Clients(self.scheduler, plan.seed, self._requests, plan.instances)
        self.error: BaseException | None = None
        self.begin = self.cpu_at_begin = 0.0
        self._affected, self._gone = (
            set[str](),
            set[str](),
        )  # processes that a fault is at work on; that it killed for good
        self.crashes: list[str] = []  # processes that ended by themselves, or badly

    def run(self) -> dict[str, Any]:
        """The checker's figures. Raises RigError if the fleet did not come up."""
        self.scheduler.spawn(self._guarded, name="drill")
        try:
            self.scheduler.run()
            self.cluster.stop()
            for file in (self._faults, self._relay, self._requests):
                file.close()
            if self.error:
                raise self.error
            return (
                checker.check(self.folder)
                | audit_comparison.compare(self.folder)
                | {"crashes": len(self.crashes), "crashed": self.crashes}
                | self._cost()
            )
        finally:
            self.cluster.close()

    def _guarded(self) -> None:
        try:
            self._play()
        except BaseException as error:
            self.error = error
        finally:
            self.scheduler.stop()

    def _play(self) -> None:
        plan, cluster = self.plan, self.cluster
        self.progress(f"{plan.name}: {plan.instances} limiters and {plan.hosts} hosts start")
        cluster.start()
        self.begin = self.scheduler.clock() + 0.2
        self.cpu_at_begin = sum(cluster.processes.cpu_of(name) for name in cluster.names)
        self._note(what="load", t=self.begin, until=self.begin + plan.seconds, whom=[])
        for name in cluster.names:
            target = ClientTarget(name, cluster.names.index(name), cluster.client_address(name))
            for load in plan.load:
                self.scheduler.spawn(
                    self.clients.run,
                    target,
                    load,
                    self.begin,
                    self.begin + plan.seconds,
                    name="clients",
                )
        self.scheduler.spawn_supervised(self._count, "count")
        self.scheduler.spawn_supervised(self._watch_itself, "watch itself")
        if newest_revision(plan):
            self._probe_settings(newest_revision(plan))
        for event in expanded_events(plan):
            self.scheduler.at(self.begin + event.at, self.scheduler.spawn, self._happen, event)
        end = self.begin + max(
            plan.seconds, end_of_last_fault(plan) + SETTLE_WITHIN if plan.events else 0.0
        )
        while (now := self.scheduler.clock()) < end:
            self.progress(
                f"{plan.name}: {now - self.begin:5.1f} of {end - self.begin:.0f} s, "
                f"{self.clients.sent} requests"
            )
            self.scheduler.sleep(min(1.0, end - now))
            self._look_for_crashes()
        while self.clients.open and self.scheduler.clock() < end + END_WITHIN:
            self.scheduler.sleep(GIVE_UP)
        self.cluster.relay.heal()

    def _probe_settings(self, order: int) -> None:
        """From outside, past the relay: whether each limiter serves, and by which settings."""
        rows: IO[bytes] = (self.folder / "probes.jsonl").open("wb")
        for number, name in enumerate(self.cluster.names):
            target = ClientTarget(name, number, self.cluster.own(number + 1, CLIENT_PORT))
            self.scheduler.spawn(
                SettingsProber(self.scheduler, target, order, rows, self.plan.instances).run,
                name="probe",
            )

    def _cost(self) -> dict[str, Any]:
        """CPU and memory of the limiters, and how late the drill's own clients were."""
        incarnations = [self.cluster.processes.members[name] for name in self.cluster.names]
        cpu, sent = (
            sum(one.cpu for one in incarnations) - self.cpu_at_begin,
            max(1, self.clients.sent),
        )
        return {
            "cpu_per_request_us": round(1e6 * cpu / sent, 1),
            "cpu_per_request_ratio": None,
            "most_memory_mb": round(max(one.most_kb for one in incarnations) / 1024, 1),
            "drill_late_s": round(self.clients.most_late, 3),
        }

    def _note(self, **line: Any) -> None:
        line.setdefault("t", self.scheduler.clock())
        self._faults.write(orjson.dumps(line) + b"\n")
        self._faults.flush()

    def _watch_itself(self) -> None:
        """When the drill itself was late.

        What it measured then may be the machine's doing, not the limiters'.
        """
        while True:
            due = self.scheduler.clock() + TICK
            self.scheduler.sleep(TICK)
            late = self.scheduler.clock() - due
            if late > TOO_LATE:
                self._note(what="late", t=due + late, late=round(late, 3), whom=[])

    def _look_for_crashes(self) -> None:
        processes = self.cluster.processes
        for name in [*self.cluster.names, *self.cluster.hosts]:
            if name not in self._affected and name not in self._gone and processes.reap(name):
                self._gone.add(name)
                self.crashes.append(
                    f"{name} ended by itself with status {processes.members[name].status}"
                )

    # Faults

    def _happen(self, event: Event) -> None:
        """A fault that cannot be made ends the drill: its figures would be of another plan."""
        try:
            self._make(event)
        except Exception as error:
            self.error = self.error or error
            self.scheduler.stop()

    def _make(self, event: Event) -> None:
        self.progress(
            f"{self.plan.name}: {event.what} {' '.join(event.whom)} for {event.lasts:g} s"
        )
        if event.what in LINK_FAULTS:
            self._links(event)
        elif event.what == "settings":
            self._settings(event)
        elif event.what == "discovery_down":
            self.cluster.discovery.set_down(True)
            self._note(what=event.what, whom=["d"], on=True)
            self.scheduler.sleep(event.lasts)
            self.cluster.discovery.set_down(False)
            self._note(what=event.what, whom=["d"], on=False)
        else:
            for name in event.whom[1:]:
                self.scheduler.spawn(
                    self._happen, msgspec.structs.replace(event, whom=(name,)), name="fault"
                )
            self._process(event, event.whom[0])

    def _settings(self, event: Event) -> None:
        for name in event.whom:
            self.cluster.write_files(name, int(event.amount))
            if (
                self.cluster.processes.members[name].running and name not in self._affected
            ):  # one that is starting reads them anyway
                self.cluster.processes.signal(name, signal.SIGHUP)
        self._note(what="settings", whom=list(event.whom), order=int(event.amount))

    def _links(self, event: Event) -> None:
        fault = {
            "cut": Fault(cut=True),
            "stall": Fault(stalled=True),
            "reset": Fault(reset=True),
            "delay": Fault(delay=event.amount),
            "lose": Fault(lose=event.amount),
            "double": Fault(double=event.amount),
            "reorder": Fault(reorder=event.amount),
            "thin": Fault(thin=event.amount),
        }[event.what]
        hit = pairs(self.plan, event)
        number = self.cluster.relay.begin(fault, hit)
        self._note(what=event.what, pairs=hit, number=number, on=True, amount=event.amount)
        self.scheduler.sleep(event.lasts)
        self.cluster.relay.end(number)
        self._note(what=event.what, pairs=hit, number=number, on=False)

    def _process(self, event: Event, name: str) -> None:
        """One that another fault has in hand already is left to it."""
        one = self.cluster.processes.members[name]
        if name in self._affected or not one.running:
            return
        self._affected.add(name)
        try:
            self._hit(event, name)
        finally:
            self._affected.discard(name)

    def _hit(self, event: Event, name: str) -> None:
        processes, one = self.cluster.processes, self.cluster.processes.members[name]
        self._note(what=event.what, whom=[name], on=True)
        incarnation = one.starts
        processes.signal(name, SIGNALS[event.what])
        if event.what == "pause":
            self.scheduler.sleep(event.lasts)
            if one.starts == incarnation and one.running:
                processes.signal(name, signal.SIGCONT)
                self._note(what="pause", whom=[name], on=False)
            return
        until = self.scheduler.clock() + END_WITHIN
        while not processes.reap(name):
            if self.scheduler.clock() > until:
                processes.signal(name, signal.SIGKILL)
            self.scheduler.sleep(GIVE_UP)
        if name in self.cluster.hosts:
            self.scheduler.at(self.scheduler.clock() + LISTED_AFTER, self._list_host, name)
        if event.what == "restart" and one.status:
            self.crashes.append(f"{name} ended with status {one.status} when told to end")
        if event.what == "kill" and not event.lasts:
            self._gone.add(name)
            return
        self.scheduler.sleep(event.lasts)
        if event.what == "old":
            self.cluster.write_files(name, 0)
        processes.start(name)
        while name in self.cluster.names and not self.cluster.call(name, "check").startswith(
            b"done"
        ):
            if processes.reap(name):
                raise HarnessError(f"{name} ended with status {one.status} while it started")
            self.scheduler.sleep(GIVE_UP)
        self._note(what=event.what, whom=[name], on=False)

    def _list_host(self, name: str) -> None:
        """What discovery learns of a host's incarnation."""
        one, host = self.cluster.processes.members[name], self.cluster.discovery.hosts[name]
        if one.running:
            self.cluster.set_host(name, "up", self.scheduler.clock() - LISTED_AFTER)
        elif host.state != "gone":
            self.cluster.set_host(name, "gone")
            self.scheduler.spawn(self._until_back, name, name="host back")

    def _until_back(self, name: str) -> None:
        while not self.cluster.processes.members[name].running:
            self.scheduler.sleep(0.1)
        self.scheduler.at(self.scheduler.clock() + LISTED_AFTER, self._list_host, name)

    def _count(self) -> None:
        """What crossed between limiters, second by second."""
        before: dict[str, Any] = {}
        while True:
            self.scheduler.sleep(1.0)
            counts = {
                k: v
                for k, v in self.cluster.relay.counts().items()
                if set(k.split(">")) <= set(self.cluster.names)
            }
            now = {
                kind: sum(count[kind] for count in counts.values())
                for kind in ("passed", "lost", "bytes")
            }
            if before:
                row = {
                    "t": self.scheduler.clock(),
                    "members": sum(
                        self.cluster.processes.members[n].running for n in self.cluster.names
                    ),
                }
                row["datagrams"] = now["passed"] + now["lost"] - before["passed"] - before["lost"]
                row["bytes"] = now["bytes"] - before["bytes"]
                self._relay.write(orjson.dumps(row) + b"\n")
            before = now
