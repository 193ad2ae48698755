"""The command `hazelhollow scale`: what limiters cost as everything around them grows."""

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

FAILED = 1  # exit status if a point could not be played


@click.group(help="Measure what limiters cost as everything around them grows.")
def scale() -> None:
    """Groups the commands; the decorator holds the help text."""


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
    help="File to which each point is appended; points that it already holds are kept.",
)
@click.option(
    "--axis",
    "axes",
    multiple=True,
    type=click.Choice([axis.value for axis in Axis]),
    help="Play only these axes.",
)
@click.option(
    "--value", "values", multiple=True, type=int, help="Play only these values of each axis."
)
def run(plan_name: str, path: Path, axes: Sequence[str], values: Sequence[int]) -> None:
    """Play a plan (small, axes, together, or a TOML file) and write what was measured.

    Hollow limiters run the real decisions, membership view, replication and audit over loopback,
    under a modelled load. An interrupted run keeps the points measured so far; a later run adds to
    them.
    """
    try:
        plan = plans.load(plan_name)
        stored = origin.begin(plan.name, plan.planned, path)
    except (PlanError, ResultsError, OSError) as error:
        raise click.ClickException(str(error)) from error
    failed = 0
    for planned in plan.points():
        if _is_selected(planned, axes, values):
            began = time.monotonic()
            point = _play(plan, planned)
            if point is None:
                failed += 1
                continue
            stored = _append_point(stored, point, path)
            seconds = time.monotonic() - began
            click.echo(f"  {_summary(point)} ({seconds:.0f} s of real time)", err=True)
    if failed:
        click.echo(f"points that could not be played: {failed}", err=True)
        raise SystemExit(FAILED)


def _is_selected(planned: PlannedPoint, axes: Sequence[str], values: Sequence[int]) -> bool:
    if axes and planned.axis.value not in axes:
        return False
    return not values or _axis_value(planned) in values


def _axis_value(planned: PlannedPoint) -> int:
    """Returns the value of the field that grows along the point's axis."""
    name = plans.FIELD_OF_AXIS.get(
        planned.axis, "limiters" if planned.axis is Axis.ALL else "routes"
    )
    return int(getattr(planned.size, name))


def _play(plan: Plan, planned: PlannedPoint) -> Point | None:
    """Plays a point; returns None if it could not be played."""
    click.echo(f"{planned.axis.value} {_axis_value(planned)} ...", err=True)
    try:
        point = Coordinator(plan, lambda line: click.echo(f"  {line}", err=True)).play(planned)
    except RunError as error:
        click.echo(f"  could not be played: {error}", err=True)
        return None
    return point


def _append_point(stored: Results, point: Point, path: Path) -> Results:
    """Appends a point to the results and writes them; raises OSError."""
    commit = origin.commit()
    if commit != stored.commit:  # another version of the program created the file
        point = msgspec.structs.replace(point, notes=(*point.notes, f"measured at commit {commit}"))
    stored = msgspec.structs.replace(stored, points=(*stored.points, point))
    results.save(stored, path)
    return stored


def _summary(point: Point) -> str:
    limiter_s = point.hollow * point.seconds or 1.0
    cores = ", ".join(
        f"{totals.role.value} {totals.cpu_s / limiter_s:.2%}"
        for totals in point.roles
        if totals.calls
    )
    return (
        f"share of a core by role: {cores}; {point.memory_bytes / 2**20:.1f} MB; dilation "
        f"{point.dilation:g}"
    )
