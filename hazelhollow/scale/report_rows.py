"""What the runs say at the planned size.

Each quantity, fitted along each axis, with the mark that tells how it is known.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from enum import StrEnum

import msgspec

from hazelhollow.scale import budgets
from hazelhollow.scale.budgets import Budget
from hazelhollow.scale.report_fit import Fit, Sample, fit
from hazelhollow.scale.results import (
    HEADER_BYTES,
    Axis,
    Event,
    EventKind,
    Latency,
    Point,
    Results,
    Role,
    RoleSums,
    Size,
)

CONTROL_ROLES = (Role.LIST, Role.VIEW, Role.GOSSIP, Role.REPLICATION, Role.AUDIT, Role.TIMERS)
CONFIGURATION_EVENTS = (EventKind.CONFIGURATION_WHOLE, EventKind.CONFIGURATION_ONE_ROUTE)
PROCESS = "process"  # what belongs to a limiter as a whole
# Along which axes a role's figures say something. What members tell each other does not follow the
# servers; a request's cost does not follow the limiters, of which its settings name as many as
# planned in every run that grows something else.
AXES_OF_ROLE = {
    Role.REQUESTS: (Axis.SERVERS, Axis.ROUTES, Axis.TENANTS, Axis.ALL),
    Role.LIST: (Axis.SERVERS, Axis.ROUTES, Axis.ALL),
    Role.VIEW: (Axis.LIMITERS, Axis.ALL),
    Role.GOSSIP: (Axis.LIMITERS, Axis.TENANTS, Axis.ALL),
    Role.REPLICATION: (Axis.LIMITERS, Axis.ALL),
    Role.AUDIT: (Axis.LIMITERS, Axis.ALL),
    Role.TIMERS: tuple(Axis),
}
# roles that send datagrams to members
ROLES_WITH_DATAGRAMS = (Role.VIEW, Role.GOSSIP, Role.REPLICATION, Role.AUDIT)
LEAST_SECONDS = 1.0  # of measuring, below which a run was broken off and has no rates
# its arrival and its answer; a run that has each tenant ask once at first has more turns than its
# rate says
TURNS_OF_A_REQUEST = 2.0
SINGLE_AXES = (Axis.LIMITERS, Axis.SERVERS, Axis.ROUTES, Axis.TENANTS)


class Resource(StrEnum):
    """What a quantity is measured in."""

    PROCESSOR = "processor"
    BYTES_SENT = "bytes sent"
    BYTES_RECEIVED = "bytes received"
    MEMORY = "memory"
    LONGEST_TURN = "longest turn"
    TURN_P99 = "turn, 99 in 100"
    ADDED_MEDIAN = "added to a request, median"
    ADDED_P99 = "added to a request, 99 in 100"
    SETTLED_P99 = "seconds until settled, 99 in 100"
    SETTLED_WORST = "seconds until settled, worst"
    WORST_TEN_SECONDS = "bytes in the worst ten seconds, mean member"
    WORST_SECOND = "bytes in the worst second, worst member"


class Mark(StrEnum):
    """How a figure at the planned size is known."""

    MEASURED = "measured at size"
    EXTRAPOLATED = "extrapolated"
    MODELLED = "modelled"
    UNKNOWN = "not known"


class Quantity(msgspec.Struct, frozen=True):
    """`part`: a role, an event or the whole process."""

    part: str
    resource: Resource
    unit: str
    budget: Budget | None = None

    @property
    def name(self) -> str:
        return f"{self.part}: {self.resource}"


class Observation(msgspec.Struct, frozen=True):
    """One value of a quantity at one size.

    Infinite for what some members did not reach within the run.
    """

    axis: Axis
    size: Size
    value: float


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """A figure at the planned size, in the unit of its quantity; None where it is not known.

    `factor`: how far the planned size lies beyond the greatest one measured, 1 where it does not.
    """

    value: float | None
    mark: Mark
    factor: float = 1.0
    without: tuple[Axis, ...] = ()  # axes along which nothing was measured
    rate: float = 0.0  # the most requests a second and limiter in the runs; 0: not said


class Slope(msgspec.Struct, frozen=True):
    """A quantity along one axis, the rest held.

    `figure` has that axis alone at the planned size.
    """

    axis: Axis
    curve: Fit
    held: float  # the size along this axis in the runs along the others
    figure: Figure


class Row(msgspec.Struct, frozen=True):
    """All that is known of one quantity."""

    quantity: Quantity
    observations: tuple[Observation, ...]
    slopes: tuple[Slope, ...]
    figure: Figure
    never_from: float | None = (
        None  # the least fraction of the plan at which it was not reached within the run
    )

    def seen_above(self, limit: float, planned: Size) -> float | None:
        """The least fraction of the plan at which a run gave more than the limit.

        None where none did.
        """
        above = [_fraction(one, planned) for one in self.observations if one.value > limit]
        return min(above, default=None)

    def at(self, fraction: float, planned: Size) -> float | None:
        """The value with every axis at that fraction of the plan.

        The dearer of the axes added up and of the runs in which all grew together. None without a
        slope.
        """
        if self.never_from is not None and fraction >= self.never_from:
            return math.inf
        return _value(self.slopes, fraction, planned)


class Known(msgspec.Struct, frozen=True):
    """The rows of one set of results, by quantity."""

    planned: Size
    rows: tuple[Row, ...]

    def row(self, quantity: Quantity) -> Row | None:
        return next((row for row in self.rows if row.quantity == quantity), None)


def coordinate(size: Size, axis: Axis, planned: Size) -> float:
    """The size along that axis.

    All together: the fraction of the plan that the number of limiters is.
    """
    if axis is Axis.ALL:
        return size.limiters / planned.limiters
    if axis is Axis.CONFIGURATION:
        return float(size.routes)
    return float(
        {
            Axis.LIMITERS: size.limiters,
            Axis.SERVERS: size.servers,
            Axis.ROUTES: size.routes,
            Axis.TENANTS: size.tenants,
        }[axis]
    )


def analyse(results: Sequence[Results], planned: Size = budgets.PLANNED) -> Known:
    """Rows for each quantity that the results or a budget name, in the order of roles, events and
    latency.
    """
    found: dict[Quantity, list[Observation]] = {quantity: [] for quantity in _expected()}
    for one in results:
        for quantity, observation in _observations(one, planned):
            found.setdefault(quantity, []).append(observation)
    return Known(planned, tuple(_row(quantity, seen, planned) for quantity, seen in found.items()))


# Quantities


def role_quantity(role: Role, resource: Resource) -> Quantity:
    """The quantity of a role, with the budget that it draws on."""
    control = role in CONTROL_ROLES
    if resource is Resource.PROCESSOR:
        return Quantity(
            role, resource, "core", budgets.CONTROL_CPU if control else budgets.REQUEST_CPU
        )
    if resource in (Resource.BYTES_SENT, Resource.BYTES_RECEIVED):
        sent = resource is Resource.BYTES_SENT and control
        return Quantity(role, resource, "B/s", budgets.CONTROL_BYTES if sent else None)
    # beside the longest one it says how often, not whether
    rare = resource is Resource.TURN_P99 and control
    return Quantity(role, resource, "s", None if rare else budgets.TURN)


def event_quantity(kind: EventKind, resource: Resource) -> Quantity:
    """The quantity of an event; those of changes of configuration have a budget."""
    if resource is Resource.WORST_SECOND:
        return Quantity(kind, resource, "B/s")
    if resource is Resource.WORST_TEN_SECONDS:
        return Quantity(kind, resource, "B/s", budgets.WORST_BYTES)
    limits = {
        Resource.SETTLED_P99: budgets.CHANGE_P99,
        Resource.SETTLED_WORST: budgets.CHANGE_WORST,
    }
    return Quantity(kind, resource, "s", limits[resource] if kind in CONFIGURATION_EVENTS else None)


MEMORY = Quantity(PROCESS, Resource.MEMORY, "B", budgets.CONTROL_MEMORY)
ADDED_MEDIAN = Quantity(PROCESS, Resource.ADDED_MEDIAN, "s")
ADDED_P99 = Quantity(PROCESS, Resource.ADDED_P99, "s", budgets.ADDED_LATENCY)


def _expected() -> Iterator[Quantity]:
    """Quantities that have a row even where nothing was measured."""
    for role in Role:
        if role is Role.TIMERS:
            continue  # the roles' own timers count as theirs
        yield role_quantity(role, Resource.PROCESSOR)
        if role in ROLES_WITH_DATAGRAMS:
            yield role_quantity(role, Resource.BYTES_SENT)
        yield role_quantity(role, Resource.LONGEST_TURN)
        yield role_quantity(role, Resource.TURN_P99)
    yield MEMORY
    yield ADDED_MEDIAN
    yield ADDED_P99
    for kind in EventKind:
        yield event_quantity(kind, Resource.SETTLED_P99)
        yield event_quantity(kind, Resource.SETTLED_WORST)
        yield event_quantity(kind, Resource.WORST_TEN_SECONDS)
        yield event_quantity(kind, Resource.WORST_SECOND)


# Observations


def _observations(results: Results, planned: Size) -> Iterator[tuple[Quantity, Observation]]:
    for point in results.points:
        yield from _of_point(point, planned)
    yield from _of_latencies(results.latencies, planned)


def _of_point(point: Point, planned: Size) -> Iterator[tuple[Quantity, Observation]]:
    for sums in point.roles:
        if point.axis in AXES_OF_ROLE[sums.role]:
            for quantity, value in _of_role(point, sums, planned):
                yield quantity, Observation(point.axis, point.size, value)
    if point.memory_bytes > 0.0:
        yield MEMORY, Observation(point.axis, point.size, point.memory_bytes)
    for event in point.events:
        if point.whole_fleet and _belongs(event.kind, point.axis):
            for quantity, value in _of_event(event, point.timed(event)):
                yield quantity, Observation(point.axis, point.size, value)


def _belongs(kind: EventKind, axis: Axis) -> bool:
    """Changes of configuration are grown by routes, everything else by limiters."""
    return axis is Axis.ALL or (
        axis is Axis.CONFIGURATION if kind in CONFIGURATION_EVENTS else axis is Axis.LIMITERS
    )


def _of_role(point: Point, sums: RoleSums, planned: Size) -> Iterator[tuple[Quantity, float]]:
    """A few members of many tell nothing of what they would tell the others.

    But for the gossip's turns, in which it goes through its tenants.
    """
    alone = sums.role in ROLES_WITH_DATAGRAMS and not point.whole_fleet
    if not alone and point.seconds >= LEAST_SECONDS:
        yield from _rates(point, sums, planned)
    if sums.calls and (not alone or sums.role is Role.GOSSIP):
        yield role_quantity(sums.role, Resource.LONGEST_TURN), sums.longest_turn_s
        yield role_quantity(sums.role, Resource.TURN_P99), sums.turn_p99_s


def _rates(point: Point, sums: RoleSums, planned: Size) -> Iterator[tuple[Quantity, float]]:
    """Means over the measured limiters, a second of the run's clock."""
    limiter_seconds = max(1, point.hollow) * point.seconds
    if sums.role in ROLES_WITH_DATAGRAMS:
        size = sums.bytes_out + HEADER_BYTES * sums.datagrams_out
        yield role_quantity(sums.role, Resource.BYTES_SENT), size / limiter_seconds
    if sums.role is Role.REQUESTS:
        if sums.calls and point.size.requests_per_s:
            turns = min(
                sums.calls / limiter_seconds / point.size.requests_per_s, TURNS_OF_A_REQUEST
            )
            each = turns * sums.cpu_s / sums.calls
            yield role_quantity(sums.role, Resource.PROCESSOR), planned.requests_per_s * each
    elif sums.calls or sums.role is not Role.TIMERS:
        yield role_quantity(sums.role, Resource.PROCESSOR), sums.cpu_s / limiter_seconds


def _of_event(event: Event, timed: bool) -> Iterator[tuple[Quantity, float]]:
    """A spread that not all members reached has no end within the run."""
    spread = event.until_agreed
    whole = spread.reached == spread.of
    if timed:
        yield event_quantity(event.kind, Resource.SETTLED_P99), spread.p99 if whole else math.inf
        yield (
            event_quantity(event.kind, Resource.SETTLED_WORST),
            spread.worst if whole else math.inf,
        )
    yield event_quantity(event.kind, Resource.WORST_TEN_SECONDS), event.worst_ten_seconds_bytes_mean
    yield event_quantity(event.kind, Resource.WORST_SECOND), event.worst_second_bytes_most


def _of_latencies(
    latencies: Sequence[Latency], planned: Size
) -> Iterator[tuple[Quantity, Observation]]:
    """Those at the rate next to the planned one: at others a limiter is less busy."""
    rate = min(
        (one.size.requests_per_s for one in latencies),
        key=lambda rate: abs(rate - planned.requests_per_s),
        default=0.0,
    )
    for latency in latencies:
        if latency.size.requests_per_s == rate:
            yield from _of_latency(latency, _least(latencies))


def _least(latencies: Sequence[Latency]) -> tuple[int, int]:
    return min(one.size.servers for one in latencies), min(one.size.routes for one in latencies)


def _of_latency(latency: Latency, least: tuple[int, int]) -> Iterator[tuple[Quantity, Observation]]:
    """The axis is told by what is more than the least measured. The least itself lies on both."""
    more_servers, more_routes = latency.size.servers > least[0], latency.size.routes > least[1]
    axes = {
        (True, True): (Axis.ALL,),
        (True, False): (Axis.SERVERS,),
        (False, True): (Axis.ROUTES,),
        (False, False): (Axis.SERVERS, Axis.ROUTES),
    }[more_servers, more_routes]
    for axis in axes:
        median = latency.limiter_median_s - latency.direct_median_s
        p99 = latency.limiter_p99_s - latency.direct_p99_s
        yield ADDED_MEDIAN, Observation(axis, latency.size, median)
        yield ADDED_P99, Observation(axis, latency.size, p99)
        if latency.limiter_memory_bytes:
            yield MEMORY, Observation(axis, latency.size, latency.limiter_memory_bytes)


# Rows


def _row(quantity: Quantity, seen: Sequence[Observation], planned: Size) -> Row:
    reached = [one for one in seen if math.isfinite(one.value)]
    slopes = tuple(_slopes(reached, planned))
    never = [_fraction(one, planned) for one in seen if not math.isfinite(one.value)]
    if not never:
        return Row(
            quantity, tuple(seen), slopes, _figure(reached, slopes, follows(quantity), planned)
        )
    least = min(never)
    mark = Mark.MEASURED if max(never) >= 1.0 else Mark.EXTRAPOLATED
    figure = Figure(value=math.inf, mark=mark, factor=max(1.0, 1.0 / max(never)))
    return Row(quantity, tuple(seen), slopes, figure, least)


def _fraction(observation: Observation, planned: Size) -> float:
    """Of the plan that the observation has along its axis."""
    axis = observation.axis
    return coordinate(observation.size, axis, planned) / coordinate(planned, axis, planned)


def _slopes(seen: Sequence[Observation], planned: Size) -> Iterator[Slope]:
    by_axis: dict[Axis, list[Observation]] = defaultdict(list)
    for observation in seen:
        by_axis[observation.axis].append(observation)
    for axis in Axis:
        samples = [
            Sample(coordinate(one.size, axis, planned), one.value) for one in by_axis.get(axis, ())
        ]
        curve = fit(samples)
        if curve is not None:
            held = _held(axis, seen, curve, planned)
            yield Slope(axis, curve, held, _along(axis, curve, samples, planned))


def _held(axis: Axis, seen: Iterable[Observation], curve: Fit, planned: Size) -> float:
    """The commonest size along this axis in the runs along other ones.

    Without such runs the least measured.
    """
    others = Counter(
        coordinate(one.size, axis, planned) for one in seen if one.axis not in (axis, Axis.ALL)
    )
    return others.most_common(1)[0][0] if others and axis is not Axis.ALL else curve.least


def _along(axis: Axis, curve: Fit, samples: Sequence[Sample], planned: Size) -> Figure:
    target = coordinate(planned, axis, planned)
    at_size = [sample.value for sample in samples if sample.size == target]
    if at_size:
        return Figure(value=sum(at_size) / len(at_size), mark=Mark.MEASURED)
    if curve.most >= target:
        return Figure(value=curve.at(target), mark=Mark.MEASURED)
    return Figure(value=curve.at(target), mark=Mark.EXTRAPOLATED, factor=target / curve.most)


def follows(quantity: Quantity) -> tuple[Axis, ...]:
    """The axes that its figure at the planned size needs."""
    if quantity.part in CONFIGURATION_EVENTS:
        return Axis.LIMITERS, Axis.ROUTES
    if quantity.part in set(EventKind):
        return (Axis.LIMITERS,)
    role_axes = next(
        (axes for role, axes in AXES_OF_ROLE.items() if role == quantity.part), SINGLE_AXES
    )
    return tuple(axis for axis in SINGLE_AXES if axis in role_axes)


def _figure(
    seen: Sequence[Observation], slopes: Sequence[Slope], axes: Sequence[Axis], planned: Size
) -> Figure:
    without = tuple(axis for axis in axes if not _covers(axis, seen, slopes, planned))
    rate = max((one.size.requests_per_s for one in seen), default=0.0)
    known = tuple(axis for axis in axes if axis not in without)
    whole = [one.value for one in seen if known and _reaches(one.size, known, planned)]
    if whole:
        return Figure(value=max(whole), mark=Mark.MEASURED, without=without, rate=rate)
    value = _value(slopes, 1.0, planned)
    if value is None:
        return Figure(value=None, mark=Mark.UNKNOWN, without=without)
    factor = max(slope.figure.factor for slope in slopes)
    mark = Mark.MODELLED if len(slopes) > 1 else slopes[0].figure.mark
    return Figure(value=value, mark=mark, factor=factor, without=without, rate=rate)


def _covers(
    axis: Axis, seen: Sequence[Observation], slopes: Sequence[Slope], planned: Size
) -> bool:
    """Whether the figure says something of that axis.

    It has a slope, or the runs held it at the planned size.
    """
    same = (axis, Axis.ALL, Axis.CONFIGURATION) if axis is Axis.ROUTES else (axis, Axis.ALL)
    return any(slope.axis in same for slope in slopes) or (
        bool(seen)
        and all(
            coordinate(one.size, axis, planned) >= coordinate(planned, axis, planned)
            for one in seen
        )
    )


def _reaches(size: Size, axes: Sequence[Axis], planned: Size) -> bool:
    return all(
        coordinate(size, axis, planned) >= coordinate(planned, axis, planned) for axis in axes
    )


def _value(slopes: Sequence[Slope], fraction: float, planned: Size) -> float | None:
    """Each axis adds what it grows by from where it was held to the dearest of the values there.

    Runs along one axis may ask less than those along another. Axes that grew together stand for
    themselves.
    """
    values = []
    single = [slope for slope in slopes if slope.axis is not Axis.ALL]
    if single:
        base = max(slope.curve.at(slope.held) for slope in single)
        growth = sum(
            slope.curve.growth(_scaled(slope.axis, fraction, planned), slope.held)
            for slope in single
        )
        values.append(max(0.0, base + growth))
    values += [slope.curve.at(fraction) for slope in slopes if slope.axis is Axis.ALL]
    return max(values) if values else None


def _scaled(axis: Axis, fraction: float, planned: Size) -> float:
    return max(1.0, fraction * coordinate(planned, axis, planned))
