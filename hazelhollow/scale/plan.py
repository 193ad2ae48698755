"""Plans of scale runs: typed records, read from TOML.

A plan that cannot be played is refused with the place of the trouble.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from hazelhollow.control_budget.budget import MIN_BYTES_PER_S
from hazelhollow.scale.errors import PlanError
from hazelhollow.scale.results import Axis, EventKind, Size

FOLDER = Path(__file__).parent / "plans"
MAX_WORKERS = 16
MAX_LIMITERS = 1000
MIN_WINDOW_S = 1.0
PAIRS = {EventKind.ZONE_BACK: EventKind.ZONE_LOST, EventKind.REGION_HEALED: EventKind.REGION_CUT}
FIELD_OF_AXIS = {
    Axis.SERVERS: "servers",
    Axis.ROUTES: "routes",
    Axis.TENANTS: "tenants",
    Axis.LIMITERS: "limiters",
}


class PlannedEvent(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`window_s`.

    Seconds of the run's clock for which its effects are watched; the next event comes after them.
    """

    kind: EventKind
    window_s: float

    def __post_init__(self) -> None:
        if self.window_s < MIN_WINDOW_S:
            raise ValueError(f"window_s: less than {MIN_WINDOW_S:g} s")


class FleetTerms(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How the fleet is laid out and set.

    `spread_least`, `spread_most`: limiters that serve one tenant (0: half of the fleet, and all of
    it); `service_s`: mean seconds that a modelled server takes; `control_bytes_per_s`: budget of a
    limiter's control traffic, headers included (0: none).
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
    """The points of one axis: the base with one value changed, or, for `all`, the sizes named.

    `base`, `fleet`: in place of the plan's. `present`: limiters that are played, of the fleet that
    the settings tell (0: all of it). `settle_s`: before measuring, from the start of all.
    `dilation`: seconds of real time for one of the run's clock; 0: so much that the workers keep
    up. `every_tenant_first`: each tenant asks once at each of its limiters right before measuring.
    `most_real_s`: after which a point ends, whatever is missing then.
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
        open_pairs = set[EventKind]()
        for event in self.events:
            if event.kind is EventKind.START:
                raise ValueError("events: start is always the first and is not named")
            first = PAIRS.get(event.kind)
            if first and first not in open_pairs:
                raise ValueError(f"events: {event.kind.value} without {first.value} before it")
            open_pairs.add(event.kind)


class Plan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`workers`: processes that share the limiters."""

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
            for size in terms.sizes or [self._grown(terms, value) for value in terms.values]:
                yield PlannedPoint(terms.axis, size, terms, terms.fleet or self.fleet)

    def _grown(self, terms: AxisPlan, value: int) -> Size:
        name = FIELD_OF_AXIS.get(
            terms.axis, "routes"
        )  # of a configuration, what grows are its routes
        return msgspec.structs.replace(terms.base or self.base, **{name: value})


class PlannedPoint(msgspec.Struct, frozen=True):
    """One size to be measured, and how."""

    axis: Axis
    size: Size
    terms: AxisPlan
    fleet: FleetTerms


def read(text: str, source: str) -> Plan:
    """A plan from its text; raises PlanError."""
    try:
        plan: Plan = msgspec.toml.decode(text, type=Plan)
    except (msgspec.DecodeError, ValueError) as error:
        raise PlanError(f"{source}: {error}") from error
    return plan


def load(name: str) -> Plan:
    """A plan by the name of one that comes with the program, or by its path; raises PlanError."""
    path = FOLDER / f"{name}.toml"
    if not path.exists():
        path = Path(name)
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        known = ", ".join(sorted(one.stem for one in FOLDER.glob("*.toml")))
        raise PlanError(f"{name}: no such plan ({error}); there are {known}") from error
    return read(text, str(path))
