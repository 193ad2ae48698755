"""One fault-injection run: starts a cluster, sends load, injects faults and checks the results.

The run writes everything that the checker needs to files in its folder; `checker.py` lists them.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import IO, Any

import orjson

from hazelhollow.fault_injection import audit_comparison, checker
from hazelhollow.fault_injection.addresses import CLIENT_PORT
from hazelhollow.fault_injection.clients import Clients, ClientTarget
from hazelhollow.fault_injection.fault_player import FaultPlayer
from hazelhollow.fault_injection.loopback_cluster import LoopbackCluster, OperatorFile
from hazelhollow.fault_injection.plan import (
    Plan,
    end_of_last_fault,
    expanded_events,
    newest_revision,
    write,
)
from hazelhollow.fault_injection.settings_probes import ProbeOptions, SettingsProber
from hazelhollow.net.scheduler import Clock, Scheduler

OPEN_REQUESTS_TIMEOUT_S = 4.0  # for requests that are open at the end of the run
SETTLE_S = 6.0  # minimum time after the last fault, so that the memberships can converge
LOAD_DELAY_S = 0.2  # between the start of the cluster and the load
WATCHDOG_INTERVAL_S = 0.05
MAX_LATENESS_S = 0.1  # if this process is later than this, its measurements are unreliable
POLL_S = 0.02
COUNT_INTERVAL_S = 1.0

Progress = Callable[[str], None]


def _no_progress(_: str) -> None:
    pass


class FaultInjectionRun:
    """One run of a plan; `run` may be called once.

    Args:
        plan: the plan to play.
        folder: an empty directory for the run's files.
        progress: called with progress messages.
        operator: as for `LoopbackCluster`.
        keep: keeps the folder when the run ends.
    """

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        progress: Progress = _no_progress,
        operator: OperatorFile | None = None,
        keep: bool = False,
    ) -> None:
        self.plan, self.folder, self.progress = plan, folder, progress
        self.scheduler = Scheduler(Clock())
        (folder / "plan.json").write_bytes(write(plan))
        self.cluster = LoopbackCluster(self.scheduler, plan, folder, keep, operator)
        self._fault_lines: IO[bytes] = (folder / "faults.jsonl").open("wb")
        self._relay_lines: IO[bytes] = (folder / "relay.jsonl").open("wb")
        self._request_lines: IO[bytes] = (folder / "clients.jsonl").open("wb")
        self.clients = Clients(self.scheduler, plan.seed, self._request_lines, plan.instances)
        self.faults = FaultPlayer(self.cluster, self._fault_lines, progress, self._fail)
        self.error: BaseException | None = None
        self.begin = self.cpu_at_begin = 0.0

    @property
    def crashes(self) -> list[str]:
        """Processes that ended without a fault, or with an error on SIGTERM."""
        return self.faults.crashes

    def run(self) -> dict[str, Any]:
        """Plays the plan and returns the checker's figures.

        Raises:
            HarnessError: the cluster did not start, or a process did not restart.
        """
        self.scheduler.spawn(self._play_and_stop, name="drill")
        try:
            self.scheduler.run()
            self.cluster.stop()
            for file in (self._fault_lines, self._relay_lines, self._request_lines):
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

    def _play_and_stop(self) -> None:
        try:
            self._play()
        except BaseException as error:
            self.error = error
        finally:
            self.scheduler.stop()

    def _fail(self, error: Exception) -> None:
        """Ends the run because a fault could not be injected."""
        self.error = self.error or error
        self.scheduler.stop()

    def _play(self) -> None:
        plan, cluster = self.plan, self.cluster
        self.progress(f"{plan.name}: {plan.instances} limiters and {plan.hosts} hosts start")
        cluster.start()
        self.begin = self.scheduler.clock() + LOAD_DELAY_S
        self.cpu_at_begin = sum(cluster.processes.cpu_of(name) for name in cluster.names)
        self.faults.record(what="load", t=self.begin, until=self.begin + plan.seconds, whom=[])
        self._spawn_clients()
        self.scheduler.spawn_supervised(self._count_datagrams, "count")
        self.scheduler.spawn_supervised(self._watch_lateness, "watch itself")
        if newest_revision(plan):
            self._probe_settings(newest_revision(plan))
        for event in expanded_events(plan):
            self.scheduler.at(self.begin + event.at, self.scheduler.spawn, self.faults.play, event)
        settled = end_of_last_fault(plan) + SETTLE_S if plan.events else 0.0
        end = self.begin + max(plan.seconds, settled)
        while (now := self.scheduler.clock()) < end:
            self.progress(
                f"{plan.name}: {now - self.begin:5.1f} of {end - self.begin:.0f} s, "
                f"{self.clients.sent} requests"
            )
            self.scheduler.sleep(min(1.0, end - now))
            self.faults.look_for_crashes()
        while self.clients.open and self.scheduler.clock() < end + OPEN_REQUESTS_TIMEOUT_S:
            self.scheduler.sleep(POLL_S)
        self.cluster.relay.heal()

    def _spawn_clients(self) -> None:
        for number, name in enumerate(self.cluster.names):
            target = ClientTarget(name, number, self.cluster.client_address(name))
            for load in self.plan.load:
                end = self.begin + self.plan.seconds
                self.scheduler.spawn(
                    self.clients.run, target, load, self.begin, end, name="clients"
                )

    def _probe_settings(self, revision: int) -> None:
        """Starts probes that bypass the relay, so that link faults do not affect them."""
        lines: IO[bytes] = (self.folder / "probes.jsonl").open("wb")
        options = ProbeOptions(revision, self.plan.instances)
        for number, name in enumerate(self.cluster.names):
            target = ClientTarget(name, number, self.cluster.own(number + 1, CLIENT_PORT))
            prober = SettingsProber(self.scheduler, target, options, lines)
            self.scheduler.spawn(prober.run, name="probe")

    def _cost(self) -> dict[str, Any]:
        """Returns the CPU time and memory of the limiters, and the clients' maximum lateness."""
        limiters = [self.cluster.processes.members[name] for name in self.cluster.names]
        cpu = sum(limiter.cpu for limiter in limiters) - self.cpu_at_begin
        max_memory_kb = max(limiter.max_memory_kb for limiter in limiters)
        return {
            "cpu_per_request_us": round(1e6 * cpu / max(1, self.clients.sent), 1),
            "cpu_per_request_ratio": None,
            "most_memory_mb": round(max_memory_kb / 1024, 1),
            "drill_late_s": round(self.clients.max_lateness, 3),
        }

    def _watch_lateness(self) -> None:
        """Records when this process was late.

        Failures that it measured at such a time may be due to the machine's load.
        """
        while True:
            due = self.scheduler.clock() + WATCHDOG_INTERVAL_S
            self.scheduler.sleep(WATCHDOG_INTERVAL_S)
            late = self.scheduler.clock() - due
            if late > MAX_LATENESS_S:
                self.faults.record(what="late", t=due + late, late=round(late, 3), whom=[])

    def _count_datagrams(self) -> None:
        """Writes the datagrams and bytes between limiters once a second."""
        before: dict[str, int] = {}
        while True:
            self.scheduler.sleep(COUNT_INTERVAL_S)
            now = self._datagram_totals()
            if before:
                running = [self.cluster.processes.members[n].running for n in self.cluster.names]
                row = {
                    "t": self.scheduler.clock(),
                    "members": sum(running),
                    "datagrams": now["passed"] + now["lost"] - before["passed"] - before["lost"],
                    "bytes": now["bytes"] - before["bytes"],
                }
                self._relay_lines.write(orjson.dumps(row) + b"\n")
            before = now

    def _datagram_totals(self) -> dict[str, int]:
        names = set(self.cluster.names)
        counts = [
            count
            for direction, count in self.cluster.relay.counts().items()
            if set(direction.split(">")) <= names
        ]
        return {kind: sum(count[kind] for count in counts) for kind in ("passed", "lost", "bytes")}
