"""Observations of the capacity report: which values of results count for which quantity."""

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
# the servers. The cost of a request does not depend on the limiters, as the settings name as many
# as planned in every run that grows something else.
AXES_OF_ROLE = {
    Role.REQUESTS: (Axis.SERVERS, Axis.ROUTES, Axis.TENANTS, Axis.ALL),
    Role.LIST: (Axis.SERVERS, Axis.ROUTES, Axis.ALL),
    Role.VIEW: (Axis.LIMITERS, Axis.ALL),
    Role.GOSSIP: (Axis.LIMITERS, Axis.TENANTS, Axis.ALL),
    Role.REPLICATION: (Axis.LIMITERS, Axis.ALL),
    Role.AUDIT: (Axis.LIMITERS, Axis.ALL),
    Role.TIMERS: tuple(Axis),
}
MIN_SECONDS = 1.0  # of measuring; a shorter run was broken off and has no rates
# A request's arrival and its answer. A run in which each tenant sends a request at first has more
# turns than its rate explains.
TURNS_OF_A_REQUEST = 2.0


class Observation(msgspec.Struct, frozen=True):
    """One value of a quantity at one size.

    Attributes:
        axis: What grew in the run.
        size: The size.
        value: In the quantity's unit; infinite for what some members did not reach in the run.
    """

    axis: Axis
    size: Size
    value: float


def coordinate(size: Size, axis: Axis, planned: Size) -> float:
    """The size along an axis; for the axis `all`, the number of limiters as a part of the plan."""
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
    """All observations in results, with their quantities.

    Args:
        results: The results.
        planned: The size to design for; requests count at its rate.
    """
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
            for quantity, value in _of_event(event, point.has_valid_times(event)):
                yield quantity, Observation(point.axis, point.size, value)


def _belongs(kind: EventKind, axis: Axis) -> bool:
    """Whether an event's figures count: changes of settings grow by routes, others by limiters."""
    return axis is Axis.ALL or (
        axis is Axis.CONFIGURATION if kind in CONFIGURATION_EVENTS else axis is Axis.LIMITERS
    )


def _of_role(point: Point, sums: RoleSums, planned: Size) -> Iterator[tuple[Quantity, float]]:
    """Figures of one role at one point.

    Where only a few limiters of many were played, those of roles with datagrams do not count, as
    most peers were missing; only the turns of gossip do, which go through the limiter's tenants.
    """
    alone = sums.role in ROLES_WITH_DATAGRAMS and not point.whole_fleet
    if not alone and point.seconds >= MIN_SECONDS:
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
            request_cpu_s = turns * sums.cpu_s / sums.calls
            yield (
                role_quantity(sums.role, Resource.PROCESSOR),
                planned.requests_per_s * request_cpu_s,
            )
    elif sums.calls or sums.role is not Role.TIMERS:
        yield role_quantity(sums.role, Resource.PROCESSOR), sums.cpu_s / limiter_seconds


def _of_event(event: Event, timed: bool) -> Iterator[tuple[Quantity, float]]:
    """Figures of one event; seconds are infinite where not all members agreed within the run."""
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


def _of_latencies(
    latencies: Sequence[Latency], planned: Size
) -> Iterator[tuple[Quantity, Observation]]:
    """Latencies at the rate that is nearest to the plan; at others a limiter is less busy."""
    rate = min(
        (latency.size.requests_per_s for latency in latencies),
        key=lambda rate: abs(rate - planned.requests_per_s),
        default=0.0,
    )
    for latency in latencies:
        if latency.size.requests_per_s == rate:
            yield from _of_latency(latency, _least(latencies))


def _least(latencies: Sequence[Latency]) -> tuple[int, int]:
    """The fewest servers and routes that were measured."""
    servers = min(latency.size.servers for latency in latencies)
    routes = min(latency.size.routes for latency in latencies)
    return servers, routes


def _of_latency(latency: Latency, least: tuple[int, int]) -> Iterator[tuple[Quantity, Observation]]:
    """The axis follows from what exceeds the least measured; the least itself lies on both axes."""
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
