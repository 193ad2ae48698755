"""Observations of the capacity report: the values of results that count for each quantity."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence

import msgspec

from hazelhollow.scale.report_quantities import (
    ADDED_MEDIAN,
    ADDED_P99,
    CONFIGURATION_EVENTS,
    MEMORY,
    ROLES_WITH_DATAGRAMS,
    Quantity,
    Resource,
    event_quantity,
    role_quantity,
)
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

# The axes along which a role's figures are meaningful. Traffic between limiters does not depend on
# the number of servers. The cost of a request does not depend on the number of limiters played: in
# every run along another axis, the settings name the planned number of limiters.
AXES_OF_ROLE = {
    Role.REQUESTS: (Axis.SERVERS, Axis.ROUTES, Axis.TENANTS, Axis.ALL),
    Role.LIST: (Axis.SERVERS, Axis.ROUTES, Axis.ALL),
    Role.VIEW: (Axis.LIMITERS, Axis.ALL),
    Role.GOSSIP: (Axis.LIMITERS, Axis.TENANTS, Axis.ALL),
    Role.REPLICATION: (Axis.LIMITERS, Axis.ALL),
    Role.AUDIT: (Axis.LIMITERS, Axis.ALL),
    Role.TIMERS: tuple(Axis),
}
MIN_MEASURED_S = 1.0  # a shorter measurement was aborted, and its rates are not valid
# One turn for a request's arrival and one for its answer. A run in which each tenant sends an extra
# request at the start has more turns than its rate accounts for.
MAX_TURNS_PER_REQUEST = 2.0


class Observation(msgspec.Struct, frozen=True):
    """One value of a quantity at one size.

    Attributes:
        axis: The axis that was varied in the run.
        size: The size at which the value was measured.
        value: In the quantity's unit; infinite if some members did not settle within the run.
    """

    axis: Axis
    size: Size
    value: float


def coordinate(size: Size, axis: Axis, planned: Size) -> float:
    """Returns the size along an axis; along `all`, limiters as a fraction of the planned number."""
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


def observations(results: Results, planned: Size) -> Iterator[tuple[Quantity, Observation]]:
    """Returns all observations in results, with their quantities.

    Args:
        results: The results.
        planned: The planned size; the cost of requests is scaled to its request rate.
    """
    for point in results.points:
        yield from _point_observations(point, planned)
    yield from _latencies_at_planned_rate(results.latencies, planned)


def _point_observations(point: Point, planned: Size) -> Iterator[tuple[Quantity, Observation]]:
    for sums in point.roles:
        if point.axis in AXES_OF_ROLE[sums.role]:
            for quantity, value in _role_values(point, sums, planned):
                yield quantity, Observation(point.axis, point.size, value)
    if point.memory_bytes > 0.0:
        yield MEMORY, Observation(point.axis, point.size, point.memory_bytes)
    for event in point.events:
        if point.whole_fleet and _counts_along(event.kind, point.axis):
            for quantity, value in _event_values(event, point.has_valid_times(event)):
                yield quantity, Observation(point.axis, point.size, value)


def _counts_along(kind: EventKind, axis: Axis) -> bool:
    """Whether an event counts along an axis: routes for configuration changes, else limiters."""
    return axis is Axis.ALL or (
        axis is Axis.CONFIGURATION if kind in CONFIGURATION_EVENTS else axis is Axis.LIMITERS
    )


def _role_values(point: Point, sums: RoleSums, planned: Size) -> Iterator[tuple[Quantity, float]]:
    """Returns the figures of one role at one point.

    If only some of the fleet's limiters were played, figures of roles with datagrams do not count,
    as most peers were missing. The turns of gossip are an exception: their length depends on the
    limiter's own tenants.
    """
    peers_missing = sums.role in ROLES_WITH_DATAGRAMS and not point.whole_fleet
    if not peers_missing and point.seconds >= MIN_MEASURED_S:
        yield from _rates(point, sums, planned)
    if sums.calls and (not peers_missing or sums.role is Role.GOSSIP):
        yield role_quantity(sums.role, Resource.LONGEST_TURN), sums.longest_turn_s
        yield role_quantity(sums.role, Resource.TURN_P99), sums.turn_p99_s


def _rates(point: Point, sums: RoleSums, planned: Size) -> Iterator[tuple[Quantity, float]]:
    """Returns means over the measured limiters, per second of the run's clock."""
    limiter_seconds = max(1, point.hollow) * point.seconds
    if sums.role in ROLES_WITH_DATAGRAMS:
        size = sums.bytes_out + HEADER_BYTES * sums.datagrams_out
        yield role_quantity(sums.role, Resource.BYTES_SENT), size / limiter_seconds
    if sums.role is Role.REQUESTS:
        if sums.calls and point.size.requests_per_s:
            turns = min(
                sums.calls / limiter_seconds / point.size.requests_per_s, MAX_TURNS_PER_REQUEST
            )
            request_cpu_s = turns * sums.cpu_s / sums.calls
            yield (
                role_quantity(sums.role, Resource.PROCESSOR),
                planned.requests_per_s * request_cpu_s,
            )
    elif sums.calls or sums.role is not Role.TIMERS:
        yield role_quantity(sums.role, Resource.PROCESSOR), sums.cpu_s / limiter_seconds


def _event_values(event: Event, timed: bool) -> Iterator[tuple[Quantity, float]]:
    """Returns figures of one event; seconds are infinite unless all members agreed in the run."""
    spread = event.until_agreed
    all_agreed = spread.reached == spread.of
    if timed:
        yield (
            event_quantity(event.kind, Resource.SETTLED_P99),
            spread.p99 if all_agreed else math.inf,
        )
        yield (
            event_quantity(event.kind, Resource.SETTLED_WORST),
            spread.worst if all_agreed else math.inf,
        )
    yield event_quantity(event.kind, Resource.WORST_TEN_SECONDS), event.worst_ten_seconds_bytes_mean
    yield event_quantity(event.kind, Resource.WORST_SECOND), event.worst_second_bytes_most


def _latencies_at_planned_rate(
    latencies: Sequence[Latency], planned: Size
) -> Iterator[tuple[Quantity, Observation]]:
    """Returns the latencies at the rate nearest to the planned one, as load affects latency."""
    rate = min(
        (latency.size.requests_per_s for latency in latencies),
        key=lambda rate: abs(rate - planned.requests_per_s),
        default=0.0,
    )
    for latency in latencies:
        if latency.size.requests_per_s == rate:
            yield from _latency_observations(latency, _smallest_measured(latencies))


def _smallest_measured(latencies: Sequence[Latency]) -> tuple[int, int]:
    """Returns the smallest numbers of servers and of routes that were measured."""
    servers = min(latency.size.servers for latency in latencies)
    routes = min(latency.size.routes for latency in latencies)
    return servers, routes


def _latency_observations(
    latency: Latency, smallest: tuple[int, int]
) -> Iterator[tuple[Quantity, Observation]]:
    """Returns observations of one latency, along the axis that it belongs to.

    The axis is the one along which its size is above the smallest; the smallest size itself belongs
    to both axes.
    """
    more_servers, more_routes = (
        latency.size.servers > smallest[0],
        latency.size.routes > smallest[1],
    )
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
