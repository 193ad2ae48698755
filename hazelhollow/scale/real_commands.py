"""The commands `scale latency` and `scale compare`, which measure real processes.

`scale latency` measures the latency that one real limiter adds to a request. `scale compare`
compares a fleet of real processes with hollow limiters.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

import click
import msgspec

from hazelhollow.scale import budgets, fleet_comparison, origin, real, results
from hazelhollow.scale.comparison_plan import FleetPlan
from hazelhollow.scale.errors import MeasurementError, ResultsError
from hazelhollow.scale.real import LatencyPlan
from hazelhollow.scale.report_run_tables import relative_difference
from hazelhollow.scale.report_text import format_value
from hazelhollow.scale.results import Latency, Size

PLANNED = budgets.PLANNED
# Sizes that `scale latency` measures: requests per second, servers and routes.
RATES = (50.0, 100.0, PLANNED.requests_per_s)
SERVERS = (200, 2_000, PLANNED.servers)
ROUTES = (1, 1_000, PLANNED.routes)
FAILED = 1  # exit status if a measurement failed, or if compared figures differ too much
BAD_INPUT = 2  # exit status if a file cannot be used
TRIES = 3  # default number of attempts for each size on a busy machine


def sizes() -> list[tuple[int, int, float]]:
    """Returns the sizes to measure, as servers, routes and requests per second.

    Each is varied alone; the last size has both servers and routes at their planned numbers.
    """
    rates = [(SERVERS[0], ROUTES[0], rate) for rate in RATES]
    servers = [(count, ROUTES[0], RATES[-1]) for count in SERVERS[1:]]
    routes = [(SERVERS[0], count, RATES[-1]) for count in ROUTES[1:]]
    return [*rates, *servers, *routes, (SERVERS[-1], ROUTES[-1], RATES[-1])]


@click.command("latency")
@click.option(
    "--json",
    "path",
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
    metavar="FILE",
    help="Results file; figures are added to those that it already holds.",
)
@click.option(
    "--size",
    "chosen",
    type=(click.IntRange(1), click.IntRange(1), click.FloatRange(1.0, 1000.0)),
    multiple=True,
    metavar="SERVERS ROUTES RATE",
    help="Measure this size; may be repeated. [default: each varied alone, then together]",
)
@click.option("--seconds", type=click.FloatRange(1.0, 120.0), default=10.0, show_default=True)
@click.option("--tries", type=click.IntRange(1, 20), default=TRIES, show_default=True)
def latency(
    path: Path, chosen: Sequence[tuple[int, int, float]], seconds: float, tries: int
) -> None:
    """Measure the latency that one real limiter adds to a request.

    Requests are sent on a fixed schedule, through the limiter and directly to its server. The
    machine must be idle: if the client itself was late, the attempt gives no figure and the size is
    measured again. The exit status is 1 if a size gave no figure.
    """
    try:
        stored = origin.begin("latency", PLANNED, path)
        failed = 0
        for servers, routes, rate in chosen or sizes():
            figure = _measure(servers, routes, rate, seconds, tries)
            failed += figure is None
            if figure:
                stored = msgspec.structs.replace(stored, latencies=(*stored.latencies, figure))
                results.save(stored, path)
    except (OSError, ResultsError) as error:
        click.echo(f"hazelhollow: {error}", err=True)
        sys.exit(BAD_INPUT)
    if failed:
        click.echo(f"{failed} sizes could not be measured", err=True)
        sys.exit(FAILED)


def _measure(servers: int, routes: int, rate: float, seconds: float, tries: int) -> Latency | None:
    size = Size(
        limiters=PLANNED.limiters, servers=servers, routes=routes, tenants=1, requests_per_s=rate
    )
    click.echo(f"{servers} servers, {routes} routes, {rate:g} requests/s ...", err=True)
    try:
        plan = LatencyPlan(size=size, seconds=seconds)
        figure = real.measure_again(plan, tries, lambda line: click.echo(f"  {line}", err=True))
    except MeasurementError as error:
        click.echo(f"  no figure: {error}", err=True)
        return None
    median = figure.limiter_median_s - figure.direct_median_s
    p99 = figure.limiter_p99_s - figure.direct_p99_s
    click.echo(
        f"  added: median {1000 * median:.2f} ms, 99th percentile {1000 * p99:.2f} ms", err=True
    )
    return figure


@click.command("compare")
@click.option(
    "--json",
    "path",
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
    metavar="FILE",
    help="Results file; figures are added to those that it already holds.",
)
@click.option("--limiters", type=click.IntRange(2, 12), default=12, show_default=True)
@click.option("--deaths", type=click.IntRange(1, 10), default=3, show_default=True)
def compare(path: Path, limiters: int, deaths: int) -> None:
    """Compare figures of real processes with those of hollow limiters, both on this machine.

    The exit status is 1 if a figure differs by more than its margin, or if a measurement failed.
    """
    try:
        stored = origin.begin("compare", PLANNED, path)
        plan = FleetPlan(limiters=limiters, deaths=deaths)
        measured = fleet_comparison.compare(plan, lambda line: click.echo(f"  {line}", err=True))
        results.save(
            msgspec.structs.replace(stored, comparisons=(*stored.comparisons, *measured)), path
        )
    except (OSError, ResultsError) as error:
        click.echo(f"hazelhollow: {error}", err=True)
        sys.exit(BAD_INPUT)
    except MeasurementError as error:
        click.echo(f"no figures: {error}", err=True)
        sys.exit(FAILED)
    exceeding = [each for each in measured if relative_difference(each) > each.margin]
    for each in measured:
        verdict = f"differ by more than {100 * each.margin:g}%" if each in exceeding else "alike"
        click.echo(
            f"{each.figure}: real {format_value(each.real, each.unit)}, hollow "
            f"{format_value(each.hollow, each.unit)}, {verdict}"
        )
    sys.exit(FAILED if exceeding else 0)
