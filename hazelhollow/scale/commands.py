"""`hazelhollow scale`: what limiters cost as everything around them grows."""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path

import click
import msgspec

from hazelhollow.scale import origin, results
from hazelhollow.scale import plan as plans
from hazelhollow.scale.coordinator import Coordinator
from hazelhollow.scale.errors import PlanError, ResultsError, RunError
from hazelhollow.scale.plan import Plan, PlannedPoint
from hazelhollow.scale.real_commands import compare, latency
from hazelhollow.scale.report_commands import report
from hazelhollow.scale.results import Axis, Point, Results

FAILED = 1  # exit status where a point could not be played


@click.group(help="Measure what limiters cost as everything around them grows.")
def scale() -> None:
    """The group of the commands; its help is that of the decorator."""


scale.add_command(compare)
scale.add_command(latency)
scale.add_command(report)


@scale.command()
@click.argument("plan_name", metavar="PLAN")
@click.option(
    "--json",
    "path",
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
    metavar="FILE",
    help="Where the points go, one after another. Those that the file has already stay in it.",
)
@click.option(
    "--axis",
    "axes",
    multiple=True,
    type=click.Choice([axis.value for axis in Axis]),
    help="Play these axes alone.",
)
@click.option(
    "--value", "values", multiple=True, type=int, help="Of each axis, play these values alone."
)
def run(plan_name: str, path: Path, axes: Sequence[str], values: Sequence[int]) -> None:
    """Play a plan (small, axes, together, or a TOML file) and write what was measured.

    Hollow limiters run the real decisions, view, replication and audit over loopback, and a
    modelled load. A run that is broken off keeps the points that it has; a second one adds to them.
    """
    try:
        plan = plans.load(plan_name)
        found = origin.begin(plan.name, plan.planned, path)
    except (PlanError, ResultsError, OSError) as error:
        raise click.ClickException(str(error)) from error
    failed = 0
    for planned in plan.points():
        if _wanted(planned, axes, values):
            began = time.monotonic()
            point = _play(plan, planned)
            if point is None:
                failed += 1
                continue
            found = _add(found, point, path)
            seconds = time.monotonic() - began
            click.echo(f"  {_summary(point)} ({seconds:.0f} s of real time)", err=True)
    if failed:
        click.echo(f"{failed} points could not be played", err=True)
        raise SystemExit(FAILED)


def _wanted(planned: PlannedPoint, axes: Sequence[str], values: Sequence[int]) -> bool:
    if axes and planned.axis.value not in axes:
        return False
    return not values or _value(planned) in values


def _value(planned: PlannedPoint) -> int:
    """The value of the field that grows along the point's axis."""
    name = plans.FIELD_OF_AXIS.get(
        planned.axis, "limiters" if planned.axis is Axis.ALL else "routes"
    )
    return int(getattr(planned.size, name))


def _play(plan: Plan, planned: PlannedPoint) -> Point | None:
    """Plays a point; None if it could not be played."""
    click.echo(f"{planned.axis.value} {_value(planned)} ...", err=True)
    try:
        point = Coordinator(plan, lambda line: click.echo(f"  {line}", err=True)).play(planned)
    except RunError as error:
        click.echo(f"  could not be played: {error}", err=True)
        return None
    return point


def _add(found: Results, point: Point, path: Path) -> Results:
    """Adds a point to the results and writes them; raises OSError."""
    commit = origin.commit()
    if commit != found.commit:  # an earlier program began the file
        point = msgspec.structs.replace(point, notes=(*point.notes, f"measured at commit {commit}"))
    found = msgspec.structs.replace(found, points=(*found.points, point))
    results.save(found, path)
    return found


def _summary(point: Point) -> str:
    limiter_s = point.hollow * point.seconds or 1.0
    cores = ", ".join(
        f"{totals.role.value} {totals.cpu_s / limiter_s:.2%}"
        for totals in point.roles
        if totals.calls
    )
    return (
        f"a core's part by role: {cores}; {point.memory_bytes / 2**20:.1f} MB; dilation "
        f"{point.dilation:g}"
    )
