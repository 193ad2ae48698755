"""The same figures from a fleet of real processes and from hollow limiters, at a size at which all
can be real.

Both are told the same settings and asked the same by the same tenants. What is compared: datagrams
and bytes a second by role and processor time for control while nobody asks, the gossip under load,
and seconds until all agree after a start and after one death.
"""

from __future__ import annotations

import signal
import statistics
import tempfile
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from hazelhollow.fault_injection.clients import Clients, ClientTarget
from hazelhollow.fault_injection.errors import HarnessError
from hazelhollow.fault_injection.loopback_cluster import LoopbackCluster
from hazelhollow.fault_injection.plan import Load
from hazelhollow.fault_injection.plan import Plan as HarnessPlan
from hazelhollow.fault_injection.run_files import rows
from hazelhollow.membership.incarnation import INCARNATIONS_PER_S
from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.scale.coordinator import Coordinator
from hazelhollow.scale.errors import MeasurementError, RunError
from hazelhollow.scale.load import Population, populate, split
from hazelhollow.scale.measure import datagram_role
from hazelhollow.scale.plan import AxisPlan, FleetTerms, Plan, PlannedEvent, PlannedPoint
from hazelhollow.scale.results import (
    HEADER_BYTES,
    Axis,
    Comparison,
    Event,
    EventKind,
    Point,
    Role,
    Size,
)
from hazelhollow.scale.settings import document, own_document, route_name
from hazelhollow.scale.topology import make_topology

MARGIN = 0.25  # by which real and hollow figures may differ, as a part of the real one
HOLLOW_START_S = (
    # over which hollow limiters start; agreement counts from its end, as from the last real start
    0.25
)
QUIET_RATE = 0.001  # requests a second: nobody asks
CONTROL_ROLES = (Role.VIEW, Role.GOSSIP, Role.REPLICATION, Role.AUDIT, Role.TIMERS)
ROLES_WITH_DATAGRAMS = (Role.VIEW, Role.GOSSIP, Role.REPLICATION, Role.AUDIT)
ALIVE, DEAD = "alive", "dead"
BACK_WITHIN_S = 20.0  # for a limiter that was killed, until all hold it as alive again

Progress = Callable[[str], None]
View = Mapping[str, Sequence[Any]]  # state and incarnation by number, as a limiter writes them down
Figures = dict[str, float]
UNITS = {
    "datagrams": "/s",
    "bytes": "B/s",
    "processor": "core",
    "agreed": "s",
}  # by the first word of a figure's name


class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """`settle_s`.

    From the start until measuring; `rest_s`: of each measurement; `deaths`: limiters killed, one
    after another, each watched for `death_s`.
    """

    limiters: int = 12
    servers: int = 2
    routes: int = 4
    tenants: int = 24
    requests_per_s: float = 10.0
    settle_s: float = 6.0
    rest_s: float = 10.0
    deaths: int = 3
    death_s: float = 8.0
    seed: int = 1

    @property
    def size(self) -> Size:
        return Size(
            limiters=self.limiters,
            servers=self.servers,
            routes=self.routes,
            tenants=self.tenants,
            requests_per_s=self.requests_per_s,
        )

    @property
    def terms(self) -> FleetTerms:
        """A rack for each limiter, so that a lost rack is one death.

        Each tenant at all limiters; no keys.
        """
        return FleetTerms(
            regions=1,
            zones=1,
            racks=self.limiters,
            spread_least=self.limiters,
            spread_most=self.limiters,
            sealed=False,
        )


def compare(plan: FleetPlan, progress: Progress) -> tuple[Comparison, ...]:
    """Plays both. Raises RealError."""
    try:
        real = real_figures(plan, progress)
        hollow = hollow_figures(plan, progress)
    except (HarnessError, RunError) as error:
        raise MeasurementError(str(error)) from error
    return comparisons(real, hollow)


def comparisons(real: Figures, hollow: Figures) -> tuple[Comparison, ...]:
    """Of each figure that both have, in the order of the real ones."""
    return tuple(
        Comparison(
            figure=name, unit=UNITS[name.split()[0]], real=value, hollow=hollow[name], margin=MARGIN
        )
        for name, value in real.items()
        if name in hollow
    )


# Real processes


def operator_file(name: str, home: Path) -> str:
    """What `deploy/fleet.cue` switches on, with the view written to where its agreement is read."""
    return (
        'package operator\nlog: format: "console"\nfleet: view_file: '
        f'"{view_file(home.parent, name)}"\n'
        "fleet: replicate: {}\nfleet: audit: {}\n"
    )


def view_file(folder: Path, name: str) -> Path:
    """Where a limiter writes its view."""
    return folder / f"{name}.view.jsonl"


class RealFleet(LoopbackCluster):
    """A harness whose limiters are told the settings that hollow ones are."""

    def __init__(self, scheduler: Scheduler, plan: FleetPlan, folder: Path) -> None:
        self.population: Population = populate(plan.size, plan.terms, plan.seed)
        self._shared = document(plan.size, self.population.quotas, plan.terms)
        self._topology = make_topology(plan.limiters, plan.terms)
        self.datagrams, self.bytes = Counter[Role](), Counter[Role]()
        harness_plan = HarnessPlan(
            name="compare", instances=plan.limiters, hosts=plan.servers, seed=plan.seed
        )
        super().__init__(scheduler, harness_plan, folder, operator=operator_file)
        self.relay.on_datagram = self._passed

    def config(self, number: int, order: int = 0) -> dict[str, Any]:
        """What that limiter is told."""
        return super().config(number, order) | {
            "settings": own_document(self._shared, number, self._topology)
        }

    def _passed(self, data: bytes) -> None:
        role = datagram_role(data[:1].decode(errors="replace"))
        self.datagrams[role] += 1
        self.bytes[role] += len(data) + HEADER_BYTES


class RealRun:
    """One fleet through a start, rest, load and deaths; `play` once, then `close`."""

    def __init__(self, plan: FleetPlan, folder: Path, progress: Progress) -> None:
        self._plan, self._folder, self._progress = plan, folder, progress
        self.scheduler = Scheduler(Clock())
        self.cluster = RealFleet(self.scheduler, plan, folder)
        self._error: BaseException | None = None
        self.figures: Figures = {}

    def play(self) -> Figures:
        """Raises RigError or RealError."""
        self.scheduler.spawn(self._guarded, name="fleet")
        self.scheduler.run()
        if self._error:
            raise self._error
        return self.figures

    def close(self) -> None:
        """No process, socket or file is left."""
        self.cluster.close()

    def _guarded(self) -> None:
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
        found = [self._one_death(number) for number in self._victims()]
        self.figures["agreed after one death, median"] = statistics.mean(
            median for median, _ in found
        )
        self.figures["agreed after one death, worst"] = statistics.mean(worst for _, worst in found)

    def _victims(self) -> list[int]:
        return [
            (number + 1) * self._plan.limiters // (self._plan.deaths + 1)
            for number in range(self._plan.deaths)
        ]

    def _agreed_after_start(self) -> float:
        """Seconds from the last member's start until the last one holds all as alive for good."""
        lines = self._lines(self.cluster.names)
        begun = max(
            _incarnation_start(view, number) for number, view in enumerate(_last_views(lines))
        )
        whole = {str(number): ALIVE for number in range(self._plan.limiters)}
        return max(settled(one, whole) for one in lines) - begun

    def _at_rest(self) -> Figures:
        cpu = self._processor_s()
        counted = self._count(self._plan.rest_s)
        figures = {f"{what} at rest, {role}": value for (what, role), value in counted.items()}
        spent = (self._processor_s() - cpu) / self._plan.limiters / self._plan.rest_s
        return {**figures, "processor for control at rest": spent}

    def _under_load(self) -> Figures:
        """The gossip alone: what else is said does not follow the load."""
        begin, end = self.scheduler.clock(), self.scheduler.clock() + 2 * self._plan.rest_s
        with (self._folder / "clients.jsonl").open("wb") as out:
            clients = Clients(self.scheduler, self._plan.seed, out, self._plan.limiters)
            for target, load in self._loads():
                self.scheduler.spawn(clients.run, target, load, begin, end, name="clients")
            self.scheduler.sleep(self._plan.rest_s)
            counted = self._count(self._plan.rest_s)
            while clients.open or self.scheduler.clock() < end:
                self.scheduler.sleep(0.1)
        return {
            f"{what} under load, {role}": value
            for (what, role), value in counted.items()
            if role is Role.GOSSIP
        }

    def _loads(self) -> Iterable[tuple[ClientTarget, Load]]:
        """The tenants of each limiter at their mean rates, evenly spaced."""
        plan, population = self._plan, self.cluster.population
        parts = split(population, range(plan.limiters), plan.limiters)
        for number, name in enumerate(self.cluster.names):
            target = ClientTarget(name, number, self.cluster.client_address(name))
            whole = sum(tenant.asks * part for tenant, part in parts[number])
            for tenant, part in parts[number]:
                yield (
                    target,
                    Load(
                        customer=f"{tenant.number:016x}",
                        plan=population.quotas[tenant.quota].name,
                        kind=route_name(tenant.number % plan.routes),
                        rate=plan.requests_per_s * tenant.asks * part / whole,
                        units=2,
                        first=tenant.first,
                    ),
                )

    def _one_death(self, number: int) -> tuple[float, float]:
        """Median and worst seconds until the others hold it as dead for good.

        It is back and known when this ends.
        """
        name = self.cluster.names[number]
        self._progress(f"{name} is killed")
        at = self.scheduler.clock()
        self.cluster.processes.signal(name, signal.SIGKILL)
        while not self.cluster.processes.reap(name):
            self.scheduler.sleep(0.01)
        self.scheduler.sleep(self._plan.death_s)
        whole = {str(n): DEAD if n == number else ALIVE for n in range(self._plan.limiters)}
        others = [one for one in self.cluster.names if one != name]
        seconds = [settled(lines, whole) - at for lines in self._lines(others)]
        self.cluster.processes.start(name)
        self.cluster.await_ready([name])
        self._await_all_alive()
        return statistics.median(seconds), max(seconds)

    def _await_all_alive(self) -> None:
        whole = {str(number): ALIVE for number in range(self._plan.limiters)}
        until = self.scheduler.clock() + BACK_WITHIN_S
        while any(states(view) != whole for view in _last_views(self._lines(self.cluster.names))):
            if self.scheduler.clock() > until:
                raise MeasurementError(
                    f"a limiter that was started again was not known within {BACK_WITHIN_S:g} s"
                )
            self.scheduler.sleep(0.25)

    def _count(self, seconds: float) -> dict[tuple[str, Role], float]:
        """Datagrams and bytes a second and limiter by role, headers included."""
        datagrams, sizes = Counter(self.cluster.datagrams), Counter(self.cluster.bytes)
        began = self.scheduler.clock()
        self.scheduler.sleep(seconds)
        each = (self.scheduler.clock() - began) * self._plan.limiters
        found: dict[tuple[str, Role], float] = {}
        for role in ROLES_WITH_DATAGRAMS:
            found["datagrams", role] = (self.cluster.datagrams[role] - datagrams[role]) / each
            found["bytes", role] = (self.cluster.bytes[role] - sizes[role]) / each
        return found

    def _processor_s(self) -> float:
        return sum(self.cluster.processes.cpu_of(name) for name in self.cluster.names)

    def _lines(self, names: Iterable[str]) -> list[list[dict[str, Any]]]:
        return [rows(view_file(self._folder, name)) for name in names]


def states(view: View) -> dict[str, str]:
    """States by number."""
    return {number: str(entry[0]) for number, entry in view.items()}


def settled(lines: Sequence[Mapping[str, Any]], wanted: Mapping[str, str]) -> float:
    """When the view became what is wanted, for good, in Unix seconds.

    Raises RealError if it is not so at the end.
    """
    since: float | None = None
    for line in lines:
        right = states(line["members"]) == wanted
        since = (line["t"] if since is None else since) if right else None
    if since is None:
        raise MeasurementError("a limiter did not come to hold what is so")
    return since


def _last_views(lines: Iterable[Sequence[Mapping[str, Any]]]) -> list[View]:
    return [one[-1]["members"] if one else {} for one in lines]


def _incarnation_start(view: View, number: int) -> float:
    """When that member's incarnation began, in Unix seconds, as its own view has it."""
    entry = view.get(str(number))
    if entry is None:
        raise MeasurementError(f"limiter {number} does not know itself")
    return float(entry[1]) / INCARNATIONS_PER_S


def real_figures(plan: FleetPlan, progress: Progress) -> Figures:
    """Of real processes. Raises RigError or RealError."""
    run = RealRun(plan, Path(tempfile.mkdtemp(prefix="hazelhollow-compare-")), progress)
    try:
        return run.play()
    finally:
        run.close()


# Hollow limiters


def hollow_figures(plan: FleetPlan, progress: Progress) -> Figures:
    """Of hollow limiters.

    At rest with a death, by as many seeds as there are deaths, and under load. Raises RunError or
    RealError.
    """
    quiet = [
        _played(plan, QUIET_RATE, plan.seed + number, progress, death=True)
        for number in range(plan.deaths)
    ]
    loaded = _played(plan, plan.requests_per_s, plan.seed, progress, death=False)
    return {
        **figures_at_rest(quiet[0]),
        **{
            name: value
            for name, value in _traffic(loaded, "under load").items()
            if name.endswith(Role.GOSSIP)
        },
        "agreed after the start, worst": agreed(quiet[0], EventKind.START).until_agreed.worst
        - HOLLOW_START_S,
        "agreed after one death, median": statistics.mean(
            _death(point).until_agreed.median for point in quiet
        ),
        "agreed after one death, worst": statistics.mean(
            _death(point).until_agreed.worst for point in quiet
        ),
    }


def figures_at_rest(point: Point) -> Figures:
    """Traffic by role, and the processor time of all roles of control."""
    each = point.hollow * point.seconds
    control = sum(sums.cpu_s for sums in point.roles if sums.role in CONTROL_ROLES)
    return {**_traffic(point, "at rest"), "processor for control at rest": control / each}


def _traffic(point: Point, when: str) -> Figures:
    each = point.hollow * point.seconds
    found: Figures = {}
    for sums in point.roles:
        if sums.role in ROLES_WITH_DATAGRAMS:
            found[f"datagrams {when}, {sums.role}"] = sums.datagrams_out / each
            size = sums.bytes_out + HEADER_BYTES * sums.datagrams_out
            found[f"bytes {when}, {sums.role}"] = size / each
    return found


def agreed(point: Point, kind: EventKind) -> Event:
    """The event of that kind, once all members have agreed. Raises RealError if they have not."""
    event = next((one for one in point.events if one.kind is kind), None)
    if event is None or event.until_agreed.reached < event.until_agreed.of:
        raise MeasurementError(f"hollow limiters did not agree after {kind}")
    return event


def _death(point: Point) -> Event:
    return agreed(point, EventKind.RACK_LOST)


def _played(plan: FleetPlan, rate: float, seed: int, progress: Progress, death: bool) -> Point:
    events = (PlannedEvent(kind=EventKind.RACK_LOST, window_s=plan.death_s),) if death else ()
    axis = AxisPlan(
        axis=Axis.LIMITERS,
        values=(plan.limiters,),
        settle_s=plan.settle_s if death else plan.settle_s + plan.rest_s,
        seconds=plan.rest_s,
        dilation=1.0,
        events=events,
    )
    size = msgspec.structs.replace(plan.size, requests_per_s=rate)
    whole = Plan(
        name="compare",
        seed=seed,
        base=size,
        axes=(axis,),
        planned=size,
        workers=2,
        fleet=plan.terms,
    )
    progress(f"{plan.limiters} hollow limiters, {rate:g} requests/s, seed {seed}")
    return Coordinator(whole, progress).play(PlannedPoint(Axis.LIMITERS, size, axis, plan.terms))
