"""Measures a fleet of real processes, for comparison with hollow limiters.

The limiters run in a cluster of the fault-injection harness. Its relay counts their datagrams, the
operating system reports their processor time, and the time of agreement follows from the membership
that each limiter writes to a file.
"""

from __future__ import annotations

import signal
import statistics
import tempfile
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

from hazelhollow.fault_injection.clients import Clients, ClientTarget
from hazelhollow.fault_injection.loopback_cluster import LoopbackCluster
from hazelhollow.fault_injection.plan import Load
from hazelhollow.fault_injection.plan import Plan as HarnessPlan
from hazelhollow.fault_injection.run_files import read_json_lines
from hazelhollow.membership.incarnation import INCARNATIONS_PER_S
from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.scale.comparison_plan import ROLES_WITH_DATAGRAMS, Figures, FleetPlan, Progress
from hazelhollow.scale.errors import MeasurementError
from hazelhollow.scale.load import Population, populate, split
from hazelhollow.scale.measure import datagram_role
from hazelhollow.scale.results import (
    HEADER_BYTES,
    Role,
)
from hazelhollow.scale.settings import document, own_document, route_name
from hazelhollow.scale.topology import make_topology

ALIVE, DEAD = "alive", "dead"
RESTART_TIMEOUT_S = 20.0  # within which all members must see a restarted limiter as alive
CHECK_INTERVAL_S = 0.25  # between checks of the limiters' memberships
END_CHECK_INTERVAL_S = 0.1  # between checks of whether the clients have ended
REAP_INTERVAL_S = 0.01  # between checks of whether a killed process has ended

Membership = Mapping[str, Sequence[Any]]
"""One member's view of the fleet: state and incarnation by limiter number."""


def operator_file(name: str, home: Path) -> str:
    """Returns an operator file like `deploy/fleet.cue` that also enables the membership file."""
    return (
        'package operator\nlog: format: "console"\nfleet: view_file: '
        f'"{view_file(home.parent, name)}"\n'
        "fleet: replicate: {}\nfleet: audit: {}\n"
    )


def view_file(folder: Path, name: str) -> Path:
    """Returns the path of the file to which a limiter writes its membership."""
    return folder / f"{name}.view.jsonl"


class RealFleet(LoopbackCluster):
    """A cluster of the harness whose limiters have the same settings as hollow limiters.

    Attributes:
        population: The tenants.
        datagrams: Datagrams that the limiters sent, by role.
        bytes: Bytes of these datagrams, including headers.
    """

    def __init__(self, scheduler: Scheduler, plan: FleetPlan, folder: Path) -> None:
        self.population: Population = populate(plan.size, plan.terms, plan.seed)
        self._shared = document(plan.size, self.population.quotas, plan.terms)
        self._topology = make_topology(plan.limiters, plan.terms)
        self.datagrams, self.bytes = Counter[Role](), Counter[Role]()
        harness_plan = HarnessPlan(
            name="compare", instances=plan.limiters, hosts=plan.servers, seed=plan.seed
        )
        super().__init__(scheduler, harness_plan, folder, operator=operator_file)
        self.relay.on_datagram = self._count_datagram

    def config(self, number: int, order: int = 0) -> dict[str, Any]:
        """Returns the configuration of a limiter."""
        return super().config(number, order) | {
            "settings": own_document(self._shared, number, self._topology)
        }

    def _count_datagram(self, data: bytes) -> None:
        role = datagram_role(data[:1].decode(errors="replace"))
        self.datagrams[role] += 1
        self.bytes[role] += len(data) + HEADER_BYTES


class RealRun:
    """A run of one real fleet: start, a period without requests, load, and deaths.

    Call `play` once, then `close`.
    """

    def __init__(self, plan: FleetPlan, folder: Path, progress: Progress) -> None:
        self._plan, self._folder, self._progress = plan, folder, progress
        self.scheduler = Scheduler(Clock())
        self.cluster = RealFleet(self.scheduler, plan, folder)
        self._error: BaseException | None = None
        self.figures: Figures = {}

    def play(self) -> Figures:
        """Runs the fleet and returns its figures; raises HarnessError or MeasurementError."""
        self.scheduler.spawn(self._play_and_stop, name="fleet")
        self.scheduler.run()
        if self._error:
            raise self._error
        return self.figures

    def close(self) -> None:
        """Ends all processes and removes the files of the run."""
        self.cluster.close()

    def _play_and_stop(self) -> None:
        try:
            self._play()
        except BaseException as error:
            self._error = error
        finally:
            self.scheduler.stop()

    def _play(self) -> None:
        plan = self._plan
        self._progress(f"{plan.limiters} real limiters start")
        self.cluster.start()
        self.scheduler.sleep(plan.settle_s)
        self.figures["agreed after the start, worst"] = self._agreed_after_start()
        self._progress("at rest")
        self.figures |= self._at_rest()
        self._progress("under load")
        self.figures |= self._under_load()
        deaths = [self._kill_one(number) for number in self._limiters_to_kill()]
        self.figures["agreed after one death, median"] = statistics.mean(
            median for median, _ in deaths
        )
        self.figures["agreed after one death, worst"] = statistics.mean(
            worst for _, worst in deaths
        )

    def _limiters_to_kill(self) -> list[int]:
        return [
            (number + 1) * self._plan.limiters // (self._plan.deaths + 1)
            for number in range(self._plan.deaths)
        ]

    def _agreed_after_start(self) -> float:
        """Returns seconds from the last start until all see all as alive, with no change since."""
        lines = self._membership_lines(self.cluster.names)
        started_at = max(
            _incarnation_start(membership, number)
            for number, membership in enumerate(_latest_memberships(lines))
        )
        expected = {str(number): ALIVE for number in range(self._plan.limiters)}
        return max(settled_at(member_lines, expected) for member_lines in lines) - started_at

    def _at_rest(self) -> Figures:
        cpu = self._processor_s()
        traffic = self._measure_traffic(self._plan.rest_s)
        figures = {f"{what} at rest, {role}": value for (what, role), value in traffic.items()}
        spent = (self._processor_s() - cpu) / self._plan.limiters / self._plan.rest_s
        return {**figures, "processor for control at rest": spent}

    def _under_load(self) -> Figures:
        """Measures gossip traffic under load; other traffic does not depend on the load."""
        begin, end = self.scheduler.clock(), self.scheduler.clock() + 2 * self._plan.rest_s
        with (self._folder / "clients.jsonl").open("wb") as out:
            clients = Clients(self.scheduler, self._plan.seed, out, self._plan.limiters)
            for target, load in self._loads():
                self.scheduler.spawn(clients.run, target, load, begin, end, name="clients")
            self.scheduler.sleep(self._plan.rest_s)
            traffic = self._measure_traffic(self._plan.rest_s)
            while clients.open or self.scheduler.clock() < end:
                self.scheduler.sleep(END_CHECK_INTERVAL_S)
        return {
            f"{what} under load, {role}": value
            for (what, role), value in traffic.items()
            if role is Role.GOSSIP
        }

    def _loads(self) -> Iterable[tuple[ClientTarget, Load]]:
        """Yields the load of each tenant at each limiter: its mean rate, evenly spaced."""
        plan, population = self._plan, self.cluster.population
        parts = split(population, range(plan.limiters), plan.limiters)
        for number, name in enumerate(self.cluster.names):
            target = ClientTarget(name, number, self.cluster.client_address(name))
            total = sum(tenant.base_rate * part for tenant, part in parts[number])
            for tenant, part in parts[number]:
                yield (
                    target,
                    Load(
                        customer=f"{tenant.number:016x}",
                        plan=population.quotas[tenant.quota].name,
                        kind=route_name(tenant.number % plan.routes),
                        rate=plan.requests_per_s * tenant.base_rate * part / total,
                        units=2,
                        first=tenant.first,
                    ),
                )

    def _kill_one(self, number: int) -> tuple[float, float]:
        """Kills a limiter; returns median and worst seconds until the others settle on its death.

        Then restarts it and waits until all members see it as alive.
        """
        name = self.cluster.names[number]
        self._progress(f"{name} is killed")
        killed_at = self.scheduler.clock()
        self.cluster.processes.signal(name, signal.SIGKILL)
        while not self.cluster.processes.reap(name):
            self.scheduler.sleep(REAP_INTERVAL_S)
        self.scheduler.sleep(self._plan.death_s)
        expected = {str(n): DEAD if n == number else ALIVE for n in range(self._plan.limiters)}
        others = [other for other in self.cluster.names if other != name]
        seconds = [
            settled_at(lines, expected) - killed_at for lines in self._membership_lines(others)
        ]
        self.cluster.processes.start(name)
        self.cluster.await_ready([name])
        self._await_all_alive()
        return statistics.median(seconds), max(seconds)

    def _await_all_alive(self) -> None:
        expected = {str(number): ALIVE for number in range(self._plan.limiters)}
        until = self.scheduler.clock() + RESTART_TIMEOUT_S
        while any(
            states(membership) != expected
            for membership in _latest_memberships(self._membership_lines(self.cluster.names))
        ):
            if self.scheduler.clock() > until:
                raise MeasurementError(
                    f"not all members saw a restarted limiter as alive in {RESTART_TIMEOUT_S:g} s"
                )
            self.scheduler.sleep(CHECK_INTERVAL_S)

    def _measure_traffic(self, seconds: float) -> dict[tuple[str, Role], float]:
        """Returns datagrams and bytes (with headers) per second and limiter, by role."""
        datagrams, sizes = Counter(self.cluster.datagrams), Counter(self.cluster.bytes)
        began = self.scheduler.clock()
        self.scheduler.sleep(seconds)
        limiter_s = (self.scheduler.clock() - began) * self._plan.limiters
        rates: dict[tuple[str, Role], float] = {}
        for role in ROLES_WITH_DATAGRAMS:
            rates["datagrams", role] = (self.cluster.datagrams[role] - datagrams[role]) / limiter_s
            rates["bytes", role] = (self.cluster.bytes[role] - sizes[role]) / limiter_s
        return rates

    def _processor_s(self) -> float:
        return sum(self.cluster.processes.cpu_of(name) for name in self.cluster.names)

    def _membership_lines(self, names: Iterable[str]) -> list[list[dict[str, Any]]]:
        return [read_json_lines(view_file(self._folder, name)) for name in names]


def states(membership: Membership) -> dict[str, str]:
    """Returns the state of each limiter, by number."""
    return {number: str(entry[0]) for number, entry in membership.items()}


def settled_at(lines: Sequence[Mapping[str, Any]], expected: Mapping[str, str]) -> float:
    """Returns the Unix time since which a member's states have been the expected ones.

    Args:
        lines: The memberships that the member wrote, in order.
        expected: Expected state of each limiter, by number.

    Raises:
        MeasurementError: The last states are not the expected ones.
    """
    since: float | None = None
    for line in lines:
        matches = states(line["members"]) == expected
        since = (line["t"] if since is None else since) if matches else None
    if since is None:
        raise MeasurementError(
            f"the last states that a member wrote are not those expected: {expected}"
        )
    return since


def _latest_memberships(lines: Iterable[Sequence[Mapping[str, Any]]]) -> list[Membership]:
    return [member_lines[-1]["members"] if member_lines else {} for member_lines in lines]


def _incarnation_start(membership: Membership, number: int) -> float:
    """Returns the Unix time of a member's start, from the incarnation in its own membership."""
    entry = membership.get(str(number))
    if entry is None:
        raise MeasurementError(f"limiter {number} is missing from its own membership")
    return float(entry[1]) / INCARNATIONS_PER_S


def real_figures(plan: FleetPlan, progress: Progress) -> Figures:
    """Returns figures of real processes; raises HarnessError or MeasurementError."""
    run = RealRun(plan, Path(tempfile.mkdtemp(prefix="hazelhollow-compare-")), progress)
    try:
        return run.play()
    finally:
        run.close()
