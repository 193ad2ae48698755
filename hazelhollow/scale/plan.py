"""Plans of scale runs: typed records, read from TOML.

Reading validates a plan completely: one that cannot be played is rejected with the place of the
fault. `Plan.points` turns a plan into the points that the coordinator plays. Names of fields are
those of the TOML files.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from hazelhollow.control_budget.budget import MIN_BYTES_PER_S
from hazelhollow.scale.errors import PlanError
from hazelhollow.scale.results import Axis, EventKind, Size

FOLDER = Path(__file__).parent / "plans"  # the plans that come with the program
MAX_WORKERS = 16
MAX_LIMITERS = 1000
MIN_WINDOW_S = 1.0
# Events that undo another one, which must come before them.
PAIRS = {EventKind.ZONE_BACK: EventKind.ZONE_LOST, EventKind.REGION_HEALED: EventKind.REGION_CUT}
# The field of a size that grows along an axis.
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
        window_s: Seconds of the run's clock for which its effects are observed; the next event
            follows them.
    """

    kind: EventKind
    window_s: float

    def __post_init__(self) -> None:
        if self.window_s < MIN_WINDOW_S:
            raise ValueError(f"window_s: less than {MIN_WINDOW_S:g} s")


class FleetTerms(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How the fleet is laid out and set up.

    Attributes:
        regions: Number of regions.
        zones: Number of zones in all regions together.
        racks: Number of racks in all zones together.
        spread_least: Fewest limiters that serve one tenant; 0: half of the fleet.
        spread_most: Most limiters that serve one tenant; 0: the whole fleet.
        inbox_per_s: The settings' `inbox_per_s`: gossip datagrams a second for one limiter.
        service_s: Mean seconds that a modelled server takes.
        restart_s: Seconds from a limiter's end to its next start.
        sealed: Whether datagrams are authenticated.
        replicate: Whether quota counts are replicated.
        audit: Whether configuration is distributed and audited.
        control_bytes_per_s: Budget of a limiter's control traffic, headers included; 0: none.
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
                "regions, zones, racks: each must hold at least one of the next, all alike many"
            )
        if not 0 <= self.spread_least <= self.spread_most:
            raise ValueError("spread_least: above spread_most, or below nothing")
        if self.control_bytes_per_s and self.control_bytes_per_s < MIN_BYTES_PER_S:
            raise ValueError(f"control_bytes_per_s: less than {MIN_BYTES_PER_S:g}")
        if min(self.inbox_per_s, self.service_s, self.restart_s) <= 0:
            raise ValueError("inbox_per_s, service_s, restart_s: not above zero")


class AxisPlan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The points of one axis: the base with one value changed or, for `all`, the sizes named.

    Attributes:
        axis: What grows.
        values: Values of the axis's field; none for the axis `all`.
        sizes: Sizes of the axis `all`; none for others.
        base: Size to change, in place of the plan's.
        fleet: How the fleet is set up, in place of the plan's.
        present: Limiters that are played, of those that the settings name; 0: all.
        settle_s: Seconds from the start of the limiters to the measurement.
        seconds: Length of the measurement.
        dilation: Real seconds for one second of the run's clock; 0: as many as the workers need.
        every_tenant_first: Each tenant sends one request to each of its limiters right before the
            measurement.
        events: Events after the measurement.
        most_real_s: Real seconds after which a point ends, complete or not.
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
            raise ValueError("values: one is below 1")
        if self.settle_s <= 0 or self.seconds <= 0 or self.most_real_s <= 0 or self.dilation < 0:
            raise ValueError("settle_s, seconds, most_real_s: not above zero, or dilation below it")
        if self.events and self.every_tenant_first:
            raise ValueError(
                "events: none where every_tenant_first, which takes as long as it takes"
            )
        seen = set[EventKind]()
        for event in self.events:
            if event.kind is EventKind.START:
                raise ValueError("events: start is always the first and is not named")
            undone = PAIRS.get(event.kind)
            if undone and undone not in seen:
                raise ValueError(f"events: {event.kind.value} without {undone.value} before it")
            seen.add(event.kind)


class Plan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plan of a scale run.

    Attributes:
        name: The plan's name.
        seed: Of all random draws.
        base: The size that axes change.
        axes: What is measured.
        planned: The size to design for.
        workers: Processes that share the limiters.
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
            raise ValueError(f"workers: not 1 to {MAX_WORKERS}")
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
                    "base, sizes: servers, routes or tenants below 1, or requests_per_s below 0"
                )

    def points(self) -> Iterator[PlannedPoint]:
        """All points, axis by axis, in the order of the plan."""
        for terms in self.axes:
            for size in terms.sizes or [self._size_of(terms, value) for value in terms.values]:
                yield PlannedPoint(terms.axis, size, terms, terms.fleet or self.fleet)

    def _size_of(self, terms: AxisPlan, value: int) -> Size:
        name = FIELD_OF_AXIS.get(terms.axis, "routes")  # routes are what grows of a configuration
        return msgspec.structs.replace(terms.base or self.base, **{name: value})


class PlannedPoint(msgspec.Struct, frozen=True):
    """One point to be measured: its size, the plan of its axis, and how the fleet is set up."""

    axis: Axis
    size: Size
    terms: AxisPlan
    fleet: FleetTerms


def read(text: str, source: str) -> Plan:
    """Reads a plan from its text; `source` is named in errors. Raises PlanError."""
    try:
        plan: Plan = msgspec.toml.decode(text, type=Plan)
    except (msgspec.DecodeError, ValueError) as error:
        raise PlanError(f"{source}: {error}") from error
    return plan


def load(name: str) -> Plan:
    """Reads a plan by its name, if it comes with the program, or by its path. Raises PlanError."""
    path = FOLDER / f"{name}.toml"
    if not path.exists():
        path = Path(name)
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        known = ", ".join(sorted(file.stem for file in FOLDER.glob("*.toml")))
        raise PlanError(f"{name}: no such plan ({error}); there are {known}") from error
    return read(text, str(path))
