"""Plans of scale runs: typed records, read from TOML.

`read` validates a plan completely: it rejects one that cannot be played, with the location of the
error. `Plan.points` yields the points that the coordinator plays. The names of the fields are those
in the TOML files.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from hazelhollow.control_budget.budget import MIN_BYTES_PER_S
from hazelhollow.scale.errors import PlanError
from hazelhollow.scale.results import Axis, EventKind, Size

PLANS_FOLDER = Path(__file__).parent / "plans"  # of the plans that come with the program
MAX_WORKERS = 16
MAX_LIMITERS = 1000
MIN_WINDOW_S = 1.0
# Events that undo another one, with the event that must come before them.
PREREQUISITE_EVENT = {
    EventKind.ZONE_BACK: EventKind.ZONE_LOST,
    EventKind.REGION_HEALED: EventKind.REGION_CUT,
}
# The field of `Size` that grows along each axis.
FIELD_OF_AXIS = {
    Axis.SERVERS: "servers",
    Axis.ROUTES: "routes",
    Axis.TENANTS: "tenants",
    Axis.LIMITERS: "limiters",
}


class PlannedEvent(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An event of a point.

    Attributes:
        kind: What happens.
        window_s: Seconds of the run's clock for which its effects are observed, until the next
            event.
    """

    kind: EventKind
    window_s: float

    def __post_init__(self) -> None:
        if self.window_s < MIN_WINDOW_S:
            raise ValueError(f"window_s: must be at least {MIN_WINDOW_S:g} s")


class FleetTerms(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How the fleet is laid out and set up.

    Attributes:
        regions: Number of regions.
        zones: Number of zones in all regions together.
        racks: Number of racks in all zones together.
        spread_least: Fewest limiters that serve one tenant; 0: half of the fleet.
        spread_most: Most limiters that serve one tenant; 0: the entire fleet.
        inbox_per_s: The settings' `inbox_per_s`: gossip datagrams a second for one limiter.
        service_s: Mean service time of a modelled server in seconds.
        restart_s: Seconds from a limiter's end to its next start.
        sealed: Whether datagrams are authenticated.
        replicate: Whether quota counts are replicated.
        audit: Whether configuration is distributed and audited.
        control_bytes_per_s: Budget of a limiter's control traffic, including headers; 0: none.
    """

    regions: int = 3
    zones: int = 6
    racks: int = 60
    spread_least: int = 0
    spread_most: int = 0
    inbox_per_s: float = 60.0
    service_s: float = 0.02
    restart_s: float = 1.0
    sealed: bool = True
    replicate: bool = True
    audit: bool = True
    control_bytes_per_s: float = 0.0

    def __post_init__(self) -> None:
        if not 0 < self.regions <= self.zones <= self.racks or self.zones % self.regions:
            raise ValueError(
                "regions, zones, racks: must satisfy 0 < regions <= zones <= racks, with zones a "
                "multiple of regions"
            )
        if not 0 <= self.spread_least <= self.spread_most:
            raise ValueError("spread_least: must be 0 to spread_most")
        if self.control_bytes_per_s and self.control_bytes_per_s < MIN_BYTES_PER_S:
            raise ValueError(f"control_bytes_per_s: must be 0 or at least {MIN_BYTES_PER_S:g}")
        if min(self.inbox_per_s, self.service_s, self.restart_s) <= 0:
            raise ValueError("inbox_per_s, service_s, restart_s: must be above 0")


class AxisPlan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The points of one axis: the base size with one value changed, or the sizes of the axis `all`.

    Attributes:
        axis: What grows.
        values: Values of the axis's field; empty for the axis `all`.
        sizes: Sizes of the axis `all`; empty for other axes.
        base: Base size, in place of the plan's.
        fleet: How the fleet is set up, in place of the plan's terms.
        present: Number of limiters that are played, of those that the settings name; 0: all.
        settle_s: Seconds from the start of the limiters to the measurement.
        seconds: Length of the measurement.
        dilation: Real seconds for one second of the run's clock; 0: as many as the workers need.
        every_tenant_first: Whether each tenant sends one request to each of its limiters right
            before the measurement.
        events: Events after the measurement.
        most_real_s: Real seconds after which a point ends, even if it is incomplete.
    """

    axis: Axis
    values: tuple[int, ...] = ()
    sizes: tuple[Size, ...] = ()
    base: Size | None = None
    fleet: FleetTerms | None = None
    present: int = 0
    settle_s: float = 5.0
    seconds: float = 10.0
    dilation: float = 0.0
    every_tenant_first: bool = False
    events: tuple[PlannedEvent, ...] = ()
    most_real_s: float = 600.0

    def __post_init__(self) -> None:
        needs_sizes = self.axis is Axis.ALL
        if bool(self.sizes) != needs_sizes or bool(self.values) == needs_sizes:
            raise ValueError(
                f"axis {self.axis.value}: give {'sizes' if needs_sizes else 'values'} alone"
            )
        if any(value < 1 for value in self.values):
            raise ValueError("values: each must be at least 1")
        if self.settle_s <= 0 or self.seconds <= 0 or self.most_real_s <= 0 or self.dilation < 0:
            raise ValueError(
                "settle_s, seconds, most_real_s: must be above 0, and dilation at least 0"
            )
        if self.events and self.every_tenant_first:
            raise ValueError(
                "events: not allowed with every_tenant_first, whose duration is not planned"
            )
        earlier = set[EventKind]()
        for event in self.events:
            if event.kind is EventKind.START:
                raise ValueError("events: start is always the first and is not named")
            prerequisite = PREREQUISITE_EVENT.get(event.kind)
            if prerequisite and prerequisite not in earlier:
                raise ValueError(
                    f"events: {event.kind.value} without {prerequisite.value} before it"
                )
            earlier.add(event.kind)


class Plan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plan of a scale run.

    Attributes:
        name: The plan's name.
        seed: Seed of all random draws.
        base: The size of which each axis changes one value.
        axes: The axes to measure.
        planned: The size to design for.
        workers: Number of processes that share the limiters.
        fleet: How the fleet is set up.
    """

    name: str
    seed: int
    base: Size
    axes: tuple[AxisPlan, ...]
    planned: Size
    workers: int = 3
    fleet: FleetTerms = FleetTerms()

    def __post_init__(self) -> None:
        if not 1 <= self.workers <= MAX_WORKERS:
            raise ValueError(f"workers: must be 1 to {MAX_WORKERS}")
        for point in self.points():
            if not 2 <= point.size.limiters <= MAX_LIMITERS:
                raise ValueError(f"limiters: {point.size.limiters} is not 2 to {MAX_LIMITERS}")
            if point.terms.present > point.size.limiters:
                raise ValueError(
                    f"present: {point.terms.present} of {point.size.limiters} limiters"
                )
            if (
                min(point.size.servers, point.size.routes, point.size.tenants) < 1
                or point.size.requests_per_s < 0
            ):
                raise ValueError(
                    "base, sizes: servers, routes and tenants must be at least 1, and "
                    "requests_per_s at least 0"
                )

    def points(self) -> Iterator[PlannedPoint]:
        """Yields all points, axis by axis, in the order of the plan."""
        for terms in self.axes:
            for size in terms.sizes or [self._size_of(terms, value) for value in terms.values]:
                yield PlannedPoint(terms.axis, size, terms, terms.fleet or self.fleet)

    def _size_of(self, terms: AxisPlan, value: int) -> Size:
        name = FIELD_OF_AXIS.get(terms.axis, "routes")  # a configuration grows by its routes
        return msgspec.structs.replace(terms.base or self.base, **{name: value})


class PlannedPoint(msgspec.Struct, frozen=True):
    """One point to measure: its size, the plan of its axis, and how the fleet is set up."""

    axis: Axis
    size: Size
    terms: AxisPlan
    fleet: FleetTerms


def read(text: str, source: str) -> Plan:
    """Parses a plan; errors name `source`. Raises PlanError."""
    try:
        plan: Plan = msgspec.toml.decode(text, type=Plan)
    except (msgspec.DecodeError, ValueError) as error:
        raise PlanError(f"{source}: {error}") from error
    return plan


def load(name: str) -> Plan:
    """Loads a plan by the name of one that comes with the program, or by path. Raises PlanError."""
    path = PLANS_FOLDER / f"{name}.toml"
    if not path.exists():
        path = Path(name)
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        available = ", ".join(sorted(file.stem for file in PLANS_FOLDER.glob("*.toml")))
        raise PlanError(
            f"{name}: cannot be read ({error}); plans that come with the program: {available}"
        ) from error
    return read(text, str(path))
