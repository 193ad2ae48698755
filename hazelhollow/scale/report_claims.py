"""Claims: figures of a first look, found before there were runs, compared with those of the runs.

A claim is confirmed if the measured figure is within a factor of `CONFIRMING_FACTOR`, refuted if
it is not, and "not run" if no run measured it. Each function that returns a `Measure` looks up one
kind of figure in results.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from enum import StrEnum

import msgspec

from hazelhollow.scale.results import (
    Axis,
    Event,
    EventKind,
    Latency,
    Point,
    Results,
    Role,
    RoleSums,
)

# A claim is confirmed if measured and claimed figure differ at most by this factor.
CONFIRMING_FACTOR = 1.5
# The plan whose runs only check the claims. Its base size differs from that of the other plans.
FIRST_LOOK_PLAN = "first-look"
SIZE_TOLERANCE = 0.25  # fraction by which the size of a run may differ from that of a claim

Measure = Callable[[Sequence[Results]], float | None]
"""Looks up a figure in results; returns None if no run measured it."""


class Verdict(StrEnum):
    """The outcome of comparing a claim with the runs."""

    CONFIRMED = "confirmed"
    REFUTED = "refuted"
    NOT_RUN = "not run"


class Claim(msgspec.Struct, frozen=True):
    """A figure of the first look.

    Attributes:
        text: Description that the table shows.
        unit: Unit of the figure.
        claimed: Value from the first look.
        measure: Looks up the same figure in results.
    """

    text: str
    unit: str
    claimed: float
    measure: Measure


def verdict(claimed: float, measured: float | None) -> Verdict:
    """Returns whether a measured figure confirms the claimed one."""
    if measured is None:
        return Verdict.NOT_RUN
    confirmed = claimed / CONFIRMING_FACTOR <= measured <= claimed * CONFIRMING_FACTOR
    return Verdict.CONFIRMED if confirmed else Verdict.REFUTED


# Looking up figures in results


def _points(results: Sequence[Results], **sizes: int) -> Iterator[Point]:
    """Yields the points whose size is within `SIZE_TOLERANCE` of these values."""
    for file_results in results:
        for point in file_results.points:
            if all(_is_near(getattr(point.size, name), value) for name, value in sizes.items()):
                yield point


def _is_near(value: int, claimed_size: int) -> bool:
    return abs(value - claimed_size) <= SIZE_TOLERANCE * claimed_size


def _role(point: Point, role: Role) -> RoleSums | None:
    return next((sums for sums in point.roles if sums.role is role and sums.calls), None)


def request_cost(**sizes: int) -> Measure:
    """Returns a measure of processor seconds per request, including its answer."""

    def measure(results: Sequence[Results]) -> float | None:
        for point in _points(results, **sizes):
            sums, rate = _role(point, Role.REQUESTS), point.size.requests_per_s
            if sums and rate >= 1.0 and point.seconds >= 1.0 and point.axis is not Axis.TENANTS:
                return sums.cpu_s / (point.hollow * point.seconds * rate)
        return None

    return measure


def mean_turn(role: Role, **sizes: int) -> Measure:
    """Returns a measure of mean processor seconds per call of a role, on the axis of servers."""

    def measure(results: Sequence[Results]) -> float | None:
        for point in _points(results, **sizes):
            sums = _role(point, role)
            if sums and point.axis is Axis.SERVERS:
                return sums.cpu_s / sums.calls
        return None

    return measure


def longest_turn(role: Role, axis: Axis, **sizes: int) -> Measure:
    """Returns a measure of processor seconds of a role's longest call, on an axis."""

    def measure(results: Sequence[Results]) -> float | None:
        for point in _points(results, **sizes):
            sums = _role(point, role)
            if sums and point.axis is axis:
                return sums.longest_turn_s
        return None

    return measure


def _event(
    results: Sequence[Results], kind: EventKind, limiters: int
) -> tuple[Point, Event] | None:
    for point in _points(results, limiters=limiters):
        for event in point.events:
            if event.kind is kind and point.whole_fleet and point.axis in (Axis.LIMITERS, Axis.ALL):
                return point, event
    return None


def agreement(kind: EventKind, limiters: int) -> Measure:
    """Returns a measure of seconds until the last member agreed; None if not all did."""

    def measure(results: Sequence[Results]) -> float | None:
        found = _event(results, kind, limiters)
        if found is None or not found[0].has_valid_times(found[1]):
            return None
        spread = found[1].until_agreed
        return spread.worst if spread.reached == spread.of else None

    return measure


def event_bytes(kind: EventKind, limiters: int) -> Measure:
    """Returns a measure of bytes per second in the worst ten seconds, mean over all members."""

    def measure(results: Sequence[Results]) -> float | None:
        found = _event(results, kind, limiters)
        return found[1].worst_ten_seconds_bytes_mean if found else None

    return measure


def bytes_sent(role: Role, **sizes: int) -> Measure:
    """Returns a measure of a role's bytes sent per second and member, without headers."""

    def measure(results: Sequence[Results]) -> float | None:
        for point in _points(results, **sizes):
            sums = _role(point, role)
            if sums:
                return sums.bytes_out / (point.hollow * point.seconds)
        return None

    return measure


def latency(figure: Callable[[Latency], float], **sizes: int) -> Measure:
    """Returns a measure of latency at exactly that size; the greatest of several measurements."""

    def measure(results: Sequence[Results]) -> float | None:
        found = [
            figure(measured)
            for result in results
            for measured in result.latencies
            if all(getattr(measured.size, name) == value for name, value in sizes.items())
        ]
        return max(found, default=None)

    return measure


def _added_median(measured: Latency) -> float:
    return measured.limiter_median_s - measured.direct_median_s


def _added_p99(measured: Latency) -> float:
    return measured.limiter_p99_s - measured.direct_p99_s


def _memory(measured: Latency) -> float:
    return measured.limiter_memory_bytes


CLAIMS = (
    Claim(
        "a request, 930 limiters, 200 servers, 1 class",
        "s",
        190e-6,
        request_cost(limiters=930, servers=200, routes=1),
    ),
    Claim(
        "the same, 14,000 servers",
        "s",
        727e-6,
        request_cost(limiters=930, servers=14_000, routes=10),
    ),
    Claim(
        "the same, 14,000 servers and 11,000 classes",
        "s",
        6_814e-6,
        request_cost(limiters=930, servers=14_000, routes=11_000),
    ),
    Claim(
        "a request, fleet of three, 14 servers",
        "s",
        143e-6,
        request_cost(limiters=3, servers=14, routes=1),
    ),
    Claim(
        "the same, 14,000 servers",
        "s",
        31_010e-6,
        request_cost(limiters=3, servers=14_000, routes=1),
    ),
    Claim("one changed server, list of 200", "s", 0.3e-3, mean_turn(Role.LIST, servers=200)),
    Claim(
        "one changed server, list of 14,000",
        "s",
        13e-3,
        mean_turn(Role.LIST, limiters=930, servers=14_000),
    ),
    Claim(
        "a beat of gossip, fleet of three, 300 customers",
        "s",
        42e-3,
        longest_turn(Role.GOSSIP, Axis.TENANTS, limiters=3, tenants=300),
    ),
    Claim(
        "the same, 10,000 customers charged in 1.5 s",
        "s",
        4.580,
        longest_turn(Role.GOSSIP, Axis.TENANTS, limiters=3, tenants=10_000),
    ),
    Claim(
        "gossip text at 50 members and 4,700 tenants",
        "B/s",
        4_750.0,
        bytes_sent(Role.GOSSIP, limiters=50, tenants=4_700),
    ),
    Claim(
        "all control, worst 10 s after a sixth dies (first look: the view alone), 50",
        "B/s",
        1_000.0,
        event_bytes(EventKind.ZONE_LOST, 50),
    ),
    Claim("the same, 200 members in bytes", "B/s", 4_200.0, event_bytes(EventKind.ZONE_LOST, 200)),
    Claim("the same, 400 members in bytes", "B/s", 8_600.0, event_bytes(EventKind.ZONE_LOST, 400)),
    Claim("agreement at the start, 50 members", "s", 1.6, agreement(EventKind.START, 50)),
    Claim("the same, 200 members", "s", 4.5, agreement(EventKind.START, 200)),
    Claim("the same, 400 members", "s", 9.3, agreement(EventKind.START, 400)),
    Claim("the same, 1,000 members", "s", 26.0, agreement(EventKind.START, 1_000)),
    Claim(
        "added by a limiter, median, 200 servers, 1 class",
        "s",
        0.9e-3,
        latency(_added_median, servers=200, routes=1),
    ),
    Claim(
        "the same, 99th percentile (1.9 to 2.4 ms)",
        "s",
        2.15e-3,
        latency(_added_p99, servers=200, routes=1),
    ),
    Claim(
        "memory of a limiter, 200 servers, 1 class",
        "B",
        20e6,
        latency(_memory, servers=200, routes=1),
    ),
    Claim(
        "the same, 14,000 servers and 11,000 classes",
        "B",
        69e6,
        latency(_memory, servers=14_000, routes=11_000),
    ),
)
