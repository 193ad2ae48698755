"""Tests of the capacity report.

Fits, marks, sums and the order of passings are checked with constructed results, and the capacity
page with the data in the repository.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import assume, given
from hypothesis import strategies as st

from hazelhollow.configuration.distribution import codec
from hazelhollow.net import http1
from hazelhollow.scale import budgets, report, report_claims, report_documents, results
from hazelhollow.scale.errors import PageError, ResultsError
from hazelhollow.scale.report_claims import CLAIMS, Verdict, verdict
from hazelhollow.scale.report_commands import report as report_command
from hazelhollow.scale.report_fit import Sample, Shape, fit
from hazelhollow.scale.report_order import (
    MAX_FRACTION,
    MIN_FRACTION,
    document_passings,
    order,
    passing_fraction,
    sums,
)
from hazelhollow.scale.report_page import render
from hazelhollow.scale.report_quantities import (
    ADDED_P99,
    MEMORY,
    Resource,
    event_quantity,
    role_quantity,
)
from hazelhollow.scale.report_rows import Mark, analyse
from hazelhollow.scale.report_run_tables import relative_difference
from hazelhollow.scale.report_runs import Run, Runs
from hazelhollow.scale.report_tables import tables
from hazelhollow.scale.report_text import format_percent, format_value
from hazelhollow.scale.results import Axis, EventKind, Role

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
DATA = ROOT / "docs" / "capacity"
BASE = results.Size(limiters=50, servers=200, routes=10, tenants=1000, requests_per_s=204.0)
MACHINE = results.Machine(cores=8, memory_bytes=16_000_000_000, python="3.11", load=0.5)
LIMITER_SECONDS = 2_000  # of each point


def size(**changes: float) -> results.Size:
    return msgspec.structs.replace(BASE, **changes)


def role(
    name: Role = Role.VIEW,
    cpu_s: float = 1.0,
    bytes_out: int = 0,
    datagrams_out: int = 0,
    turn: float = 1e-4,
) -> results.RoleSums:
    return results.RoleSums(
        role=name,
        calls=100,
        cpu_s=cpu_s,
        longest_turn_s=turn,
        turn_p99_s=turn,
        bytes_out=bytes_out,
        datagrams_out=datagrams_out,
    )


def point(
    axis: Axis,
    of: results.Size,
    *roles: results.RoleSums,
    events: tuple[results.Event, ...] = (),
    absent: int = 0,
    notes: tuple[str, ...] = (),
) -> results.Point:
    """A point with LIMITER_SECONDS over all limiters of the size, except those absent."""
    hollow = of.limiters - absent
    return results.Point(
        axis=axis,
        size=of,
        seed=1,
        seconds=LIMITER_SECONDS / hollow,
        dilation=1.0,
        hollow=hollow,
        real=0,
        roles=roles,
        memory_bytes=20e6,
        events=events,
        notes=notes,
    )


def event(kind: EventKind, p99: float, reached: int = 50) -> results.Event:
    return results.Event(
        kind=kind,
        at_s=5.0,
        until_agreed=results.Spread(median=p99 / 2, p99=p99, worst=2 * p99, reached=reached, of=50),
        worst_second_bytes_mean=1000.0,
        worst_second_bytes_most=2000.0,
        worst_ten_seconds_bytes_mean=900.0,
        false_deaths=0,
    )


def make_results(
    *points: results.Point, latencies: Sequence[results.Latency] = ()
) -> results.Results:
    return results.Results(
        format=results.FORMAT,
        plan="hand-made",
        commit="0123456789abcdef",
        began="2026-01-01T00:00:00Z",
        machine=MACHINE,
        planned=budgets.PLANNED,
        points=points,
        latencies=tuple(latencies),
    )


# Fits


NUMBERS = st.floats(-1000, 1000, allow_nan=False)
SIZES = st.lists(st.integers(1, 10**6), min_size=3, max_size=8, unique=True)


@given(SIZES, NUMBERS, st.floats(0.01, 100))
def test_samples_on_a_line_give_a_linear_fit(
    sizes: list[int], intercept: float, slope: float
) -> None:
    curve = fit([Sample(x, intercept + slope * x) for x in sizes])
    assert curve is not None and curve.shape is Shape.LINEAR
    greatest = max(abs(intercept + slope * x) for x in sizes)
    assert math.isclose(curve.slope, slope, rel_tol=1e-6, abs_tol=1e-9 * greatest)
    assert curve.error < 1e-6 and (curve.smallest_size, curve.greatest_size) == (
        min(sizes),
        max(sizes),
    )


@given(SIZES, st.floats(0, 10), st.floats(1, 100))
def test_samples_on_a_logarithm_give_a_logarithmic_fit(
    sizes: list[int], intercept: float, slope: float
) -> None:
    assume(max(sizes) > 4 * min(sizes) and len({int(math.log(x)) for x in sizes}) >= 3)
    curve = fit([Sample(x, intercept + slope * math.log(x)) for x in sizes])
    assert curve is not None and curve.shape is Shape.LOGARITHMIC
    assert math.isclose(curve.slope, slope, rel_tol=1e-6) and curve.error < 1e-6


@pytest.mark.parametrize(
    ("samples", "why"),
    [
        ([], "no points"),
        ([Sample(5, 1)], "one point"),
        ([Sample(5, 1), Sample(5, 2)], "one size twice"),
    ],
)
def test_fewer_than_two_sizes_have_no_fit(samples: list[Sample], why: str) -> None:
    assert fit(samples) is None, why


@pytest.mark.parametrize(
    ("samples", "shape"),
    [
        ([Sample(1, 1), Sample(100, 2)], Shape.LINEAR),  # both shapes fit two sizes
        ([Sample(0, 1), Sample(10, 2), Sample(100, 2.1)], Shape.LINEAR),  # 0 has no logarithm
        ([Sample(1, 3), Sample(10, 3), Sample(100, 3)], Shape.LINEAR),  # constant
        ([Sample(1, 0), Sample(10, 1), Sample(100, 2)], Shape.LOGARITHMIC),
        ([Sample(1, 1), Sample(10, 9), Sample(100, 101)], Shape.LINEAR),
    ],
)
def test_fit_has_the_shape_with_the_smaller_error(samples: list[Sample], shape: Shape) -> None:
    curve = fit(samples)
    assert curve is not None and curve.shape is shape


def test_falling_fit_is_constant_beyond_the_greatest_size() -> None:
    """A falling line carried beyond the measured sizes would hide the cost of larger fleets."""
    curve = fit([Sample(10, 5.0), Sample(20, 4.0)])
    assert curve is not None
    assert curve.value_at(20) == curve.value_at(1000) == pytest.approx(4.0)


def test_fit_below_zero_is_clamped_to_zero() -> None:
    curve = fit([Sample(10, 1.0), Sample(20, 11.0)])
    assert curve is not None and curve.value_at(1) == 0.0


# Rows and marks


def test_rates_are_per_limiter_and_bytes_include_headers() -> None:
    at_plan = point(Axis.ALL, budgets.PLANNED, role(cpu_s=2.0, bytes_out=2000, datagrams_out=100))
    analysis = analyse([make_results(at_plan)])
    processor = analysis.row(role_quantity(Role.VIEW, Resource.PROCESSOR))
    sent = analysis.row(role_quantity(Role.VIEW, Resource.BYTES_SENT))
    assert processor and processor.figure.value == pytest.approx(2.0 / LIMITER_SECONDS)
    assert sent and sent.figure.value == pytest.approx((2000 + 28 * 100) / LIMITER_SECONDS)
    assert processor.figure.mark is Mark.MEASURED


@pytest.mark.parametrize(
    ("rate", "calls", "cost"),
    [
        (20.4, 81_600, 0.1),  # two turns per request, scaled to ten times the rate
        (204.0, 408_000, 0.01),  # one turn per request: rejected requests have no answer
        # More turns than the rate accounts for are capped at two per request.
        (204.0, 8_160_000, 0.001),
    ],
)
def test_request_cost_is_scaled_to_the_planned_request_rate(
    rate: float, calls: int, cost: float
) -> None:
    planned_size = msgspec.structs.replace(budgets.PLANNED, requests_per_s=rate)
    requests = msgspec.structs.replace(role(Role.REQUESTS, cpu_s=20.0), calls=calls)
    analysis = analyse([make_results(point(Axis.ALL, planned_size, requests, role(cpu_s=20.0)))])
    found = analysis.row(role_quantity(Role.REQUESTS, Resource.PROCESSOR))
    view = analysis.row(role_quantity(Role.VIEW, Resource.PROCESSOR))
    assert found and found.figure.value == pytest.approx(cost)
    assert view and view.figure.value == pytest.approx(0.01)


def linear_points(
    axis: Axis, field: str, sizes: Sequence[int], per_one: float, base: float
) -> list[results.Point]:
    """Points whose timers use `base`, plus `per_one` for each unit of size beyond BASE.

    Both are shares of a core.
    """
    base_size = getattr(BASE, field)
    return [
        point(
            axis,
            size(**{field: x}),
            role(Role.TIMERS, cpu_s=LIMITER_SECONDS * (base + per_one * (x - base_size))),
        )
        for x in sizes
    ]


def test_single_axis_is_extrapolated_with_factor_and_unmeasured_axes() -> None:
    analysis = analyse(
        [make_results(*linear_points(Axis.LIMITERS, "limiters", (50, 100, 310), 1e-5, 0.001))]
    )
    row = analysis.row(role_quantity(Role.TIMERS, Resource.PROCESSOR))
    assert row and row.figure.mark is Mark.EXTRAPOLATED
    assert row.figure.factor == pytest.approx(3.0)
    assert row.figure.value == pytest.approx(0.001 + 1e-5 * 880)
    assert row.figure.unmeasured_axes == (Axis.SERVERS, Axis.ROUTES, Axis.TENANTS)


def test_growth_along_two_axes_is_added_from_each_base_size() -> None:
    points = [
        *linear_points(Axis.LIMITERS, "limiters", (50, 100, 930), 1e-5, 0.001),
        *linear_points(Axis.SERVERS, "servers", (200, 1400, 7000), 1e-6, 0.001),
    ]
    row = analyse([make_results(*points)]).row(role_quantity(Role.TIMERS, Resource.PROCESSOR))
    assert row and row.figure.mark is Mark.MODELLED
    assert row.figure.value == pytest.approx(0.001 + 1e-5 * 880 + 1e-6 * 13_800)
    assert [slope.base_size for slope in row.slopes] == [50, 200]
    assert [slope.figure.mark for slope in row.slopes] == [Mark.MEASURED, Mark.EXTRAPOLATED]
    assert row.figure.factor == pytest.approx(2.0)


def test_figure_is_the_greater_of_added_axes_and_runs_along_all_axes() -> None:
    """Added axes miss costs that depend on products of sizes, such as servers times routes."""
    tenth = {"limiters": 93, "servers": 1400, "routes": 1100, "tenants": 7300}
    points = [
        *linear_points(Axis.LIMITERS, "limiters", (50, 930), 1e-6, 0.001),
        point(Axis.ALL, size(**tenth), role(Role.TIMERS, cpu_s=LIMITER_SECONDS * 0.002)),
        point(
            Axis.ALL,
            size(**{name: 2 * x for name, x in tenth.items()}),
            role(Role.TIMERS, cpu_s=LIMITER_SECONDS * 0.004),
        ),
    ]
    row = analyse([make_results(*points)]).row(role_quantity(Role.TIMERS, Resource.PROCESSOR))
    assert (
        row and row.figure.value == pytest.approx(0.02) and row.figure.factor == pytest.approx(5.0)
    )
    assert row.figure.unmeasured_axes == ()


@pytest.mark.parametrize("points", [(), (point(Axis.LIMITERS, BASE, role()),)])
def test_quantity_without_a_slope_has_no_figure_and_no_passing(
    points: tuple[results.Point, ...],
) -> None:
    """A quantity that no runs cover must not be shown as 0."""
    analysis = analyse([make_results(*points)])
    for row in analysis.rows:
        assert row.figure.value is None and row.figure.mark is Mark.UNKNOWN
    assert "0" not in format_value(None, "s")
    for passing in order(analysis):
        assert passing.fraction is None and passing.share is None and passing.mark is Mark.UNKNOWN
    for total in sums(analysis):
        assert total.value is None and total.left is None


def test_change_that_some_members_never_received_has_infinite_seconds() -> None:
    """One member of 50 never settled. Fitting only the others would give a finite figure."""
    kind, field = EventKind.CONFIGURATION_WHOLE, Resource.SETTLED_P99
    points = [
        point(Axis.CONFIGURATION, size(routes=routes), events=(event(kind, p99, reached),))
        for routes, p99, reached in ((110, 1.0, 50), (1100, 1.1, 50), (5500, 2.0, 49))
    ]
    analysis = analyse([make_results(*points)])
    row = analysis.row(event_quantity(kind, field))
    assert row and row.figure.value == math.inf and row.unreached_from == pytest.approx(0.5)
    passing = next(each for each in order(analysis) if each.name == row.quantity.name)
    assert passing.fraction == pytest.approx(0.5, rel=1e-6)
    change = next(each for each in sums(analysis) if each.budget is budgets.CHANGE_P99)
    assert change.value == math.inf
    assert (
        format_value(change.value, "s") == "not within the run"
        and format_percent(passing.share) == "without bound"
    )


def latency(
    servers: int, routes: int, added: float, rate: float = 204.0, memory: float = 0.0
) -> results.Latency:
    return results.Latency(
        size=results.Size(
            limiters=930, servers=servers, routes=routes, tenants=1, requests_per_s=rate
        ),
        requests=1000,
        direct_median_s=0.001,
        direct_p99_s=0.002,
        limiter_median_s=0.001 + added / 2,
        limiter_p99_s=0.002 + added,
        limiter_memory_bytes=memory,
    )


def test_added_latency_is_that_at_the_rate_nearest_to_the_planned_one() -> None:
    """At a lower rate the limiter is less busy, so those latencies must not enter the fit."""
    found = [latency(200, 1, 0.001), latency(14_000, 1, 0.003), latency(200, 1, 9.0, rate=50.0)]
    row = analyse([make_results(latencies=found)]).row(ADDED_P99)
    assert row and [slope.axis for slope in row.slopes] == [Axis.SERVERS]
    assert max(each.value for each in row.observations) < 1.0 and row.slopes[0].curve.value_at(
        200
    ) == pytest.approx(0.001)
    assert row.figure.value == pytest.approx(0.003) and row.figure.unmeasured_axes == (
        Axis.ROUTES,
        Axis.TENANTS,
    )
    assert row.quantity.budget is budgets.ADDED_LATENCY


def test_latencies_at_more_servers_or_routes_are_on_separate_axes() -> None:
    alone = [latency(200, 1, 0.001), latency(14_000, 1, 0.003), latency(200, 11_000, 0.002)]
    row = analyse([make_results(latencies=alone)]).row(ADDED_P99)
    assert row and [slope.axis for slope in row.slopes] == [Axis.SERVERS, Axis.ROUTES]
    assert row.figure.mark is Mark.MODELLED and row.figure.value == pytest.approx(0.004)
    both = analyse([make_results(latencies=[*alone, latency(14_000, 11_000, 0.007)])]).row(
        ADDED_P99
    )
    assert both and both.figure.mark is Mark.MEASURED and both.figure.value == pytest.approx(0.007)


def test_memory_of_a_real_process_counts_with_its_interpreter() -> None:
    found = make_results(
        point(Axis.TENANTS, size(tenants=1000)),
        point(Axis.TENANTS, size(tenants=73_000)),
        latencies=[latency(200, 1, 0.001, memory=40e6), latency(14_000, 1, 0.001, memory=70e6)],
    )
    row = analyse([found]).row(MEMORY)
    assert row and row.figure.value == pytest.approx(70e6)


# Which values of a run count


def test_partial_fleet_gives_no_figures_of_traffic_between_limiters() -> None:
    """Two of 930 limiters are played. Most peers are missing, so their traffic is too low."""
    fleet = size(limiters=930)
    events = (event(EventKind.ZONE_LOST, 2.0),)
    few = [
        point(axis, fleet, *(role(name) for name in Role), events=events, absent=928)
        for axis in (Axis.LIMITERS, Axis.ALL)
    ]
    observed = {row.quantity.part for row in analyse([make_results(*few)]).rows if row.observations}
    assert observed == {"requests", "list", "gossip", "timers", "process"}
    rates = {row.quantity for row in analyse([make_results(*few)]).rows if row.observations}
    assert (
        not {role_quantity(Role.GOSSIP, each) for each in (Resource.PROCESSOR, Resource.BYTES_SENT)}
        & rates
    )
    full_fleet = [msgspec.structs.replace(each, hollow=930) for each in few]
    observed = {
        row.quantity.part for row in analyse([make_results(*full_fleet)]).rows if row.observations
    }
    assert observed == {*Role, "process", EventKind.ZONE_LOST}


@pytest.mark.parametrize(
    ("axis", "parts"),
    [
        (Axis.LIMITERS, {"view", "gossip", "replication", "audit", "timers"}),
        (Axis.SERVERS, {"requests", "list", "timers"}),
        (Axis.ROUTES, {"requests", "list", "timers"}),
        (Axis.TENANTS, {"requests", "gossip", "timers"}),
        (Axis.CONFIGURATION, {"timers"}),
        (Axis.ALL, set(Role)),
    ],
)
def test_role_is_observed_only_along_the_axes_that_affect_it(axis: Axis, parts: set[str]) -> None:
    analysis = analyse([make_results(point(axis, BASE, *(role(name) for name in Role)))])
    assert {row.quantity.part for row in analysis.rows if row.observations} - {"process"} == parts


@pytest.mark.parametrize(
    ("kind", "axis", "counts"),
    [
        (EventKind.START, Axis.LIMITERS, True),
        (EventKind.START, Axis.CONFIGURATION, False),
        (EventKind.CONFIGURATION_WHOLE, Axis.CONFIGURATION, True),
        (EventKind.CONFIGURATION_WHOLE, Axis.LIMITERS, False),
        (EventKind.REGION_CUT, Axis.ALL, True),
    ],
)
def test_event_is_observed_only_along_its_own_axis(
    kind: EventKind, axis: Axis, counts: bool
) -> None:
    analysis = analyse([make_results(point(axis, BASE, events=(event(kind, 2.0),)))])
    row = analysis.row(event_quantity(kind, Resource.SETTLED_P99))
    assert row and bool(row.observations) is counts


def test_event_on_a_machine_that_was_too_slow_has_no_seconds() -> None:
    slow = (f"zone_lost: workers fell behind the clock: {results.NO_TIMES}",)
    events = (event(EventKind.ZONE_LOST, 2.0), event(EventKind.ZONE_BACK, 2.5))
    slow_run = make_results(point(Axis.LIMITERS, BASE, events=events, notes=slow))
    analysis = analyse([slow_run])
    for kind, seconds in ((EventKind.ZONE_LOST, 0), (EventKind.ZONE_BACK, 1)):
        rows = [
            analysis.row(event_quantity(kind, resource))
            for resource in (Resource.SETTLED_P99, Resource.WORST_SECOND)
        ]
        assert [len(row.observations) for row in rows if row] == [seconds, 1]
    shown_events = tables(Runs((Run("a", slow_run),)))["events"]
    assert shown_events.count("the machine was too slow") == 3


def test_aborted_run_has_turns_but_no_rates() -> None:
    """A run of 10 ms is too short for valid rates."""
    partial = msgspec.structs.replace(
        point(Axis.ALL, budgets.PLANNED, role(turn=0.3), role(Role.REQUESTS)), seconds=0.01
    )
    analysis = analyse([make_results(partial)])
    for name in (Role.VIEW, Role.REQUESTS):
        processor = analysis.row(role_quantity(name, Resource.PROCESSOR))
        turn = analysis.row(role_quantity(name, Resource.LONGEST_TURN))
        assert processor and not processor.observations and turn and turn.observations


def test_runs_at_a_lower_request_rate_do_not_lower_the_figure() -> None:
    """The limiters axis was run at 2 requests/s, where gossip costs less than in service."""
    points = [
        point(
            Axis.LIMITERS,
            size(limiters=x, requests_per_s=2.0),
            role(Role.GOSSIP, cpu_s=LIMITER_SECONDS * 1e-6 * x),
        )
        for x in (465, 930)
    ]
    points += [
        point(
            Axis.TENANTS,
            size(limiters=930, tenants=x),
            role(Role.GOSSIP, cpu_s=LIMITER_SECONDS * 1e-6 * x),
        )
        for x in (1000, 73_000)
    ]
    row = analyse([make_results(*points)]).row(role_quantity(Role.GOSSIP, Resource.PROCESSOR))
    assert row and row.figure.value == pytest.approx(0.073)


def test_figure_from_runs_at_a_low_request_rate_shows_that_rate() -> None:
    points = [point(Axis.LIMITERS, size(limiters=x, requests_per_s=2.0), role()) for x in (50, 100)]
    line = next(
        row
        for row in tables(Runs((Run("a", make_results(*points)),)))["figures"].split("\n")
        if row.startswith("| view | processor")
    )
    assert "at 2 requests/s" in line


# Sums and the order


def test_roles_of_one_budget_are_added_up_and_the_rest_is_left() -> None:
    planned_run = point(
        Axis.ALL,
        budgets.PLANNED,
        role(Role.VIEW, cpu_s=LIMITER_SECONDS * 0.01, bytes_out=LIMITER_SECONDS * 1000),
        role(Role.GOSSIP, cpu_s=LIMITER_SECONDS * 0.02, bytes_out=LIMITER_SECONDS * 5000),
        role(Role.REQUESTS, cpu_s=LIMITER_SECONDS * 0.5),
    )
    found = {each.budget.name: each for each in sums(analyse([make_results(planned_run)]))}
    processor, sent = found[budgets.CONTROL_CPU.name], found[budgets.CONTROL_BYTES.name]
    assert processor.value == pytest.approx(0.03) and processor.left == pytest.approx(-0.005)
    assert sent.value == pytest.approx(6000) and sent.left == pytest.approx(-2000)
    assert {row.quantity.part for row in processor.rows_without_figure} == {
        "list",
        "replication",
        "audit",
    }
    assert found[budgets.CONTROL_MEMORY.name].value == pytest.approx(20e6)
    assert found[budgets.REQUEST_CPU.name].value == pytest.approx(0.5)


def test_sum_with_unknown_rows_is_shown_as_a_lower_bound() -> None:
    planned_run = make_results(
        point(Axis.ALL, budgets.PLANNED, role(Role.VIEW, cpu_s=LIMITER_SECONDS * 0.01))
    )
    rows = tables(Runs((Run("a", planned_run),)))["sums"].split("\n")
    line = next(row for row in rows if row.startswith(f"| {budgets.CONTROL_CPU.name}"))
    assert "at least 1.00% of a core | at most 1.50% of a core" in line


def test_order_begins_with_the_row_that_passes_its_budget_first() -> None:
    points = [
        point(
            Axis.LIMITERS,
            size(limiters=limiters),
            # reaches 2.5% of a core at 250 limiters
            role(Role.VIEW, cpu_s=LIMITER_SECONDS * 1e-4 * limiters),
            role(
                Role.GOSSIP, cpu_s=0.0, bytes_out=LIMITER_SECONDS * 40 * limiters
            ),  # reaches 4,000 bytes per second at 100 limiters
            role(Role.AUDIT, cpu_s=LIMITER_SECONDS * 0.03),  # above its budget at any size
        )
        for limiters in (50, 100, 200)
    ]
    analysis = analyse([make_results(*points)])
    found = {each.name: each for each in order(analysis)}
    assert found["audit: processor"].fraction == 0.0
    assert found["gossip: bytes sent"].fraction == pytest.approx(100 / 930, rel=0.01)
    assert found["view: processor"].fraction == pytest.approx(250 / 930, rel=0.01)
    assert found["list: processor"].mark is Mark.UNKNOWN
    assert (
        found["process: memory"].fraction is None
        and found["process: memory"].mark is not Mark.UNKNOWN
    )
    names = list(found)
    places = [
        names.index(name) for name in ("audit: processor", "gossip: bytes sent", "view: processor")
    ]
    assert places == sorted(places)
    assert names.index("process: memory") < names.index("list: processor")


def test_run_above_budget_without_a_slope_gives_an_upper_bound() -> None:
    loud = msgspec.structs.replace(
        event(EventKind.ZONE_LOST, 2.0), worst_ten_seconds_bytes_mean=4_100.0
    )
    single_run = make_results(
        point(Axis.LIMITERS, size(limiters=93), events=(loud, event(EventKind.ZONE_BACK, 2.0)))
    )
    found = {passing.name: passing for passing in order(analyse([single_run]))}
    lost, back = (
        found[f"{kind}: {Resource.WORST_TEN_SECONDS}"]
        for kind in (EventKind.ZONE_LOST, EventKind.ZONE_BACK)
    )
    assert lost.fraction == pytest.approx(0.1) and lost.mark is Mark.MEASURED and lost.share is None
    assert back.fraction is None and back.mark is Mark.UNKNOWN
    assert "10.0% of the plan or below; no slope" in tables(Runs((Run("a", single_run),)))["order"]


def test_roles_above_budget_together_in_one_run_give_an_upper_bound() -> None:
    third = 0.4 * budgets.CONTROL_CPU.limit * LIMITER_SECONDS
    runs = [
        point(
            Axis.LIMITERS,
            size(limiters=93),
            *(role(name, cpu_s=third) for name in (Role.VIEW, Role.GOSSIP, Role.AUDIT)),
        ),
        point(Axis.TENANTS, size(limiters=50, tenants=730), role(Role.GOSSIP, cpu_s=third)),
    ]
    found = {each.name: each for each in order(analyse([make_results(*runs)]))}
    total = found[f"sum: {budgets.CONTROL_CPU.name}"]
    assert total.fraction == pytest.approx(0.1) and total.mark is Mark.MEASURED and not total.fitted
    assert found["gossip: processor"].fraction is None


@given(st.floats(2 * MIN_FRACTION, 0.99 * MAX_FRACTION), st.floats(0.01, 100))
def test_passing_is_where_the_value_meets_the_limit(where: float, limit: float) -> None:
    fraction = passing_fraction(lambda f: limit * f / where, limit)
    assert fraction == pytest.approx(where, rel=1e-3)
    assert passing_fraction(lambda f: 0.5 * limit, limit) is None
    assert passing_fraction(lambda f: 2 * limit, limit) == 0.0
    assert passing_fraction(lambda f: None, limit) is None


@pytest.mark.parametrize(
    ("real", "hollow", "apart"),
    [(100.0, 120.0, 0.2), (100.0, 80.0, 0.2), (0.0, 0.0, 0.0), (0.0, 1.0, math.inf)],
)
def test_relative_difference_is_a_fraction_of_the_real_figure(
    real: float, hollow: float, apart: float
) -> None:
    comparison = results.Comparison(
        figure="bytes", unit="B/s", real=real, hollow=hollow, margin=0.25
    )
    assert relative_difference(comparison) == pytest.approx(apart)


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [
        (None, "s", "-"),
        (0.0014, "s", "1.40 ms"),
        (0.00019, "s", "190 µs"),
        (4.58, "s", "4.58 s"),
        (0.0253, "core", "2.53% of a core"),
        (4000, "B/s", "4.00 kB/s"),
        (69e6, "B", "69.0 MB"),
        (123_456_789.0, "B", "123 MB"),
        (0.0, "B/s", "0 B/s"),
        (math.inf, "s", "not within the run"),
    ],
)
def test_values_are_shown_with_three_digits_and_unit(
    value: float | None, unit: str, text: str
) -> None:
    assert format_value(value, unit) == text


# Claims


@pytest.mark.parametrize(
    ("measured", "found"),
    [
        (None, Verdict.NOT_RUN),
        (10.0, Verdict.CONFIRMED),
        (14.9, Verdict.CONFIRMED),
        (6.7, Verdict.CONFIRMED),
        (15.1, Verdict.REFUTED),
        (6.6, Verdict.REFUTED),
        (0.0, Verdict.REFUTED),
    ],
)
def test_claim_is_confirmed_by_a_figure_within_the_factor(
    measured: float | None, found: Verdict
) -> None:
    assert verdict(10.0, measured) is found


def measured_claim(text: str, *found: results.Results, nth: int = 0) -> float | None:
    return [claim for claim in CLAIMS if claim.text == text][nth].measure(found)


def test_claims_are_measured_by_the_runs_of_their_size() -> None:
    three = size(limiters=3, servers=14_000, routes=1)
    fleet = size(limiters=232)
    few = size(limiters=930, servers=14_000, routes=10)
    found = make_results(
        point(Axis.SERVERS, three, role(Role.REQUESTS, cpu_s=LIMITER_SECONDS * 204 * 0.02)),
        point(
            Axis.SERVERS,
            few,
            role(Role.REQUESTS, cpu_s=204.0),
            role(Role.LIST, cpu_s=1.0),
            absent=928,
        ),
        point(Axis.TENANTS, size(limiters=3, tenants=10_000), role(Role.GOSSIP, turn=4.0)),
        point(
            Axis.LIMITERS,
            fleet,
            events=(event(EventKind.START, 2.0), event(EventKind.ZONE_LOST, 9.0)),
        ),
        latencies=[latency(200, 1, 0.002, memory=30e6)],
    )
    assert measured_claim("the same, 14,000 servers", found, nth=1) == pytest.approx(0.02)
    assert measured_claim("the same, 14,000 servers", found) == pytest.approx(1 / LIMITER_SECONDS)
    assert measured_claim("one changed server, list of 14,000", found) == pytest.approx(1.0 / 100)
    assert measured_claim("the same, 10,000 customers charged in 1.5 s", found) == 4.0
    assert measured_claim("the same, 200 members in bytes", found) == 900.0
    assert measured_claim("the same, 200 members", found) == pytest.approx(4.0)
    assert measured_claim("the same, 99th percentile (1.9 to 2.4 ms)", found) == pytest.approx(
        0.002
    )
    assert measured_claim("memory of a limiter, 200 servers, 1 class", found) == 30e6
    assert measured_claim("agreement at the start, 50 members", found) is None


def test_runs_of_the_first_look_plan_count_only_for_claims() -> None:
    """Their base size differs, so they would distort the slopes of the other runs."""
    three = size(limiters=3, servers=14, routes=1)
    points = [
        point(Axis.SERVERS, msgspec.structs.replace(three, servers=n), role(Role.REQUESTS))
        for n in (14, 14_000)
    ]
    first = msgspec.structs.replace(make_results(*points), plan=report_claims.FIRST_LOOK_PLAN)
    found = tables(Runs((), (Run("before-a", first),)))
    assert found["order-before"].count("not known") == 0 and "| 1 |" not in found["order-before"]
    assert found["claims"].count("not run") == len(CLAIMS) - 2


def test_claims_without_runs_are_all_not_run() -> None:
    rows = tables(Runs(()))["claims"].split("\n")[2:]
    assert len(rows) == len(CLAIMS) and all("| - | not run | - |" in row for row in rows)


# The settings document


@pytest.mark.parametrize("kind", report_documents.RouteKind)
def test_document_grows_with_its_routes_and_unlike_ones_are_longer(
    kind: report_documents.RouteKind,
) -> None:
    hundred, thousand = (report_documents.make_document(routes, kind) for routes in (100, 1_000))
    assert 9 < thousand.size / hundred.size < 11 and hundred.distributable
    assert hundred.pieces == -(-hundred.characters // codec.PIECE_CHARACTERS)
    alike = report_documents.make_document(1_000, report_documents.RouteKind.ALIKE)
    assert thousand.characters >= alike.characters


@pytest.mark.parametrize("kind", report_documents.RouteKind)
def test_max_routes_are_distributable_and_one_step_more_are_not(
    kind: report_documents.RouteKind,
) -> None:
    routes = report_documents.max_routes(kind)
    assert report_documents.make_document(routes, kind).distributable
    assert not report_documents.make_document(
        routes + report_documents.ROUTES_STEP, kind
    ).distributable


def test_server_list_grows_linearly_and_is_accepted_up_to_the_limit() -> None:
    lists = report_documents.server_lists()
    assert [each.servers for each in lists] == sorted(each.servers for each in lists)
    each = {round(each.size / each.servers) for each in lists}
    assert max(each) - min(each) <= 1
    assert report_documents.ServerList(1, http1.MAX_BODY_BYTES).accepted
    assert not report_documents.ServerList(1, http1.MAX_BODY_BYTES + 1).accepted


def test_document_passes_its_budget_where_it_is_no_longer_distributable() -> None:
    found = {each.name: each for each in order(analyse([]), document_passings(budgets.PLANNED))}
    unlike = found["settings document of unlike routes: distributable at all"]
    stops = report_documents.max_routes(report_documents.RouteKind.UNLIKE)
    assert unlike.fraction == pytest.approx(stops / budgets.PLANNED.routes)
    assert (unlike.share == math.inf) is (stops < budgets.PLANNED.routes)
    assert unlike.mark is Mark.MODELLED and next(iter(found)) == unlike.name


# The page


SMALL_PAGE = (
    "before\n<!-- table: sums -->\nold\n<!-- end: sums -->\nbetween\n<!-- table: order "
    "-->\n<!-- end: order -->\nafter\n"
)


def test_blocks_are_replaced_and_other_text_is_kept() -> None:
    page = render(SMALL_PAGE, {"sums": "| a |", "order": "| b |", "unused": "| c |"})
    assert "old" not in page and "| c |" not in page
    assert [line for line in page.split("\n") if line and not line.startswith("<")] == [
        "before",
        "| a |",
        "between",
        "| b |",
        "after",
    ]
    assert render(page, {"sums": "| a |", "order": "| b |"}) == page


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("<!-- table: sums -->\n", "has no end marker"),
        ("<!-- end: sums -->", "but 'no block' is open"),
        ("<!-- table: sums -->\n<!-- end: order -->", "but 'sums' is open"),
        ("<!-- table: sums -->\n<!-- table: order -->", "begins inside"),
        (
            "<!-- table: sums -->\n<!-- end: sums -->\n<!-- table: sums -->\n<!-- end: sums -->",
            "duplicate block",
        ),
        ("<!-- table: nothing -->\n<!-- end: nothing -->", "unknown table 'nothing'"),
    ],
)
def test_mismatched_markers_raise_page_error(text: str, why: str) -> None:
    with pytest.raises(PageError, match=why):
        render(text, {"sums": "", "order": ""})


def save_results(folder: Path, name: str, found: results.Results) -> Path:
    file = folder / name
    results.save(found, file)
    return file


def test_command_rewrites_the_page_and_check_detects_an_outdated_one(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(SMALL_PAGE)
    first = save_results(
        tmp_path,
        "after-a.json",
        make_results(*linear_points(Axis.LIMITERS, "limiters", (50, 930), 1e-5, 0.001)),
    )
    arguments = [str(first), "--page", str(page)]
    run = CliRunner().invoke
    assert (
        run(report_command, [*arguments, "--check"]).exit_code == 1
        and page.read_text() == SMALL_PAGE
    )
    assert run(report_command, arguments).exit_code == 0 and "timers: processor" in page.read_text()
    assert run(report_command, [*arguments, "--check"]).exit_code == 0
    other = save_results(
        tmp_path,
        "after-b.json",
        make_results(*linear_points(Axis.SERVERS, "servers", (200, 14_000), 1e-5, 0.001)),
    )
    assert run(report_command, [*arguments, str(other), "--check"]).exit_code == 1
    printed = run(report_command, [str(first)])
    assert printed.exit_code == 0 and "## order" in printed.output


def test_invalid_results_file_gives_an_error_line_without_traceback(tmp_path: Path) -> None:
    file = tmp_path / "none.json"
    file.write_text("{}")
    result = CliRunner().invoke(report_command, [str(file)])
    assert (
        result.exit_code == 2 and "none.json" in result.output and "Traceback" not in result.output
    )


def test_runs_with_different_planned_sizes_are_rejected(tmp_path: Path) -> None:
    first = save_results(tmp_path, "a.json", make_results())
    other = save_results(tmp_path, "b.json", msgspec.structs.replace(make_results(), planned=BASE))
    with pytest.raises(
        ResultsError,
        match=r"b\.json has planned size Size\(.*\), a\.json has Size\(.*\): runs of different "
        "planned sizes cannot be reported together",
    ):
        report.read([first, other])


def test_runs_of_an_earlier_program_are_shown_in_the_before_column(tmp_path: Path) -> None:
    planned_size = budgets.PLANNED
    early = save_results(
        tmp_path,
        "before-a.json",
        make_results(point(Axis.ALL, planned_size, role(cpu_s=LIMITER_SECONDS * 0.9))),
    )
    late = save_results(
        tmp_path,
        "after-a.json",
        make_results(point(Axis.ALL, planned_size, role(cpu_s=LIMITER_SECONDS * 0.01))),
    )
    runs = report.read([early, late])
    assert [run.name for run in runs.now] == ["after-a.json"]
    assert [run.name for run in runs.before] == ["before-a.json"]
    line = next(
        row for row in tables(runs)["figures"].split("\n") if row.startswith("| view | processor")
    )
    assert "1.00% of a core" in line and line.endswith("| 90.0% of a core |")


def test_table_without_runs_says_no_run_yet() -> None:
    assert tables(Runs(()))["events"] == "no run yet"
    assert tables(Runs((Run("a", make_results()),)))["comparison"] == "no run yet"


def test_capacity_page_is_up_to_date_with_its_data() -> None:
    runs = report.read(sorted(DATA.glob("*.json")))
    assert report.is_current(
        PAGE, runs
    ), "run `hazelhollow scale report docs/capacity/*.json --page docs/CAPACITY.md`"


def test_memory_is_counted_once_per_process() -> None:
    """Memory is a figure of the process; adding it per role would count it twice."""
    analysis = analyse(
        [make_results(point(Axis.ALL, budgets.PLANNED, role(Role.VIEW), role(Role.GOSSIP)))]
    )
    row = analysis.row(MEMORY)
    assert row and row.figure.value == pytest.approx(20e6) and len(row.observations) == 1
