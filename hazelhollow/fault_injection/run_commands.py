"""`hazelhollow fleet drill`, `replay`, `shrink` and `cost`: fault-injection runs."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import orjson

from hazelhollow.fault_injection import overhead, shrink
from hazelhollow.fault_injection.cluster_commands import fleet
from hazelhollow.fault_injection.command_options import fail, show_progress, with_option
from hazelhollow.fault_injection.drawn_plans import drawn_plan
from hazelhollow.fault_injection.errors import HarnessError, PlanError
from hazelhollow.fault_injection.loopback_cluster import OperatorFile
from hazelhollow.fault_injection.named_plans import NAMED, named_plan
from hazelhollow.fault_injection.operator_files import (
    OPERATOR_FILES,
    logging_file,
    replica_file,
    view_file,
)
from hazelhollow.fault_injection.plan import DEFAULT_SECONDS, Plan, check, read, write
from hazelhollow.fault_injection.run import FaultInjectionRun

# Figures that are 0 unless a guarantee was violated.
GUARANTEE_VIOLATIONS = (
    "crashes",
    "lost",
    "doubled",
    "untrue_answers",
    "repeats_not_allowed",
    "ceilings_passed",
    "views_differ",
    "false_deaths",
    "contradictions_unseen",
    "audit_wrong",
)


instances_option = click.option(
    "--instances",
    default=None,
    type=click.IntRange(1, 64),
    help="Number of limiters; by default 5, or 8 with only a seed.",
)
seconds_option = click.option(
    "--seconds",
    default=None,
    type=click.FloatRange(5, 3600),
    help="Duration of the load; by default 24, or 60 with only a seed.",
)
json_option = click.option(
    "--json", "file", metavar="FILE", help="Write figures and plan to this file; `-`: print them."
)
keep_option = click.option(
    "--keep",
    type=click.Path(path_type=Path),
    metavar="DIR",
    help="Keep all logs and files of the drill in this new folder.",
)


@fleet.command("drill")
@click.argument("name", required=False, metavar="[PLAN]")
@click.option(
    "--seed",
    type=int,
    help="Draw the faults from this seed; with a plan's name, that plan with this seed.",
)
@instances_option
@seconds_option
@json_option
@keep_option
@with_option
@click.option(
    "--changes",
    is_flag=True,
    help="With only --seed: also change settings during the run (see --with audit).",
)
@click.option("--show", is_flag=True, help="Print the plan without playing it.")
def drill(
    name: str | None,
    seed: int | None,
    instances: int | None,
    seconds: float | None,
    file: str | None,
    keep: Path | None,
    what: str,
    changes: bool,
    show: bool,
) -> None:
    """Play a plan of faults on a fleet under load and check the results from outside.

    PLAN is a file or the name of a predefined plan; the error for an unknown name lists them. Exit
    status 0: no guarantee was violated. 1: at least one was; the figures show which. 2: the drill
    could not be run.
    """
    try:
        if name is None and seed is None:
            raise PlanError("neither a plan nor --seed is given: there is nothing to play")
        plan = _plan(name, seed, instances, seconds, changes)
    except (PlanError, OSError) as error:
        fail(str(error))
    if show:
        click.echo(write(plan).decode())
        return
    _finish(_play(plan, keep, what), file)


def _plan(
    name: str | None, seed: int | None, instances: int | None, seconds: float | None, changes: bool
) -> Plan:
    if name is None:
        return drawn_plan(seed or 0, instances or 8, seconds or 60.0, changes=changes)
    if name in NAMED:
        return named_plan(name, instances or 5, seconds or DEFAULT_SECONDS, seed or 1)
    if not Path(name).exists():
        return named_plan(name)  # raises an error that lists the valid names
    return read(Path(name).read_bytes())


@fleet.command("replay")
@click.argument("source", metavar="FILE", type=click.Path(exists=True, path_type=Path))
@json_option
@keep_option
@with_option
def replay(source: Path, file: str | None, keep: Path | None, what: str) -> None:
    """Play the plan of an earlier drill again, from the file that `--json` wrote.

    Exit status as for `drill`.
    """
    _finish(_play(load_plan(source), keep, what), file)


@fleet.command("shrink")
@click.argument("source", metavar="FILE", type=click.Path(exists=True, path_type=Path))
@click.option(
    "--trials",
    default=20,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="Maximum number of drills.",
)
@json_option
@with_option
def shrink_(source: Path, trials: int, file: str | None, what: str) -> None:
    """Find a smaller plan that violates the same guarantee.

    Exit status 0: the plan failed again and was shrunk. 1: it did not fail again.
    """
    plan = load_plan(source)
    violated = _violated(_play(plan, None, what)["figures"])
    if not violated:
        click.echo("the plan violated no guarantee this time", err=True)
        sys.exit(1)
    smaller, drills = shrink.shrink(
        plan, lambda trial: bool(violated & _violated(_play(trial, None, what)["figures"])), trials
    )
    click.echo(
        (
            f"reduced {len(plan.events)} events to {len(smaller.events)} in {drills} drills; "
            f"still violated: {', '.join(sorted(violated))}"
        ),
        err=True,
    )
    text = write(smaller)
    if file and file != "-":
        Path(file).write_bytes(text)
    else:
        click.echo(text.decode())


@fleet.command("cost")
@click.option("--instances", default=2, show_default=True, type=click.IntRange(1, 16))
@click.option(
    "--rate",
    default=150.0,
    show_default=True,
    type=click.FloatRange(1, 2000),
    help="Requests per second at each limiter.",
)
@click.option(
    "--seconds",
    default=10.0,
    show_default=True,
    type=click.FloatRange(5, 600),
    help="Duration of the load in each run.",
)
@click.option("--rounds", default=5, show_default=True, type=click.IntRange(1, 100))
def cost_(instances: int, rate: float, seconds: float, rounds: int) -> None:
    """Measure CPU per request and memory with and without operator files.

    Compares no operator file, a minimal one, the membership view and replication, in alternating
    runs.
    """
    variants: dict[str, OperatorFile | None] = {
        "plain": None,
        "operator file": logging_file,
        "view": view_file,
        "replica": replica_file,
    }
    try:
        costs = overhead.cost(
            overhead.CostOptions(instances, rate, seconds, rounds), variants, show_progress()
        )
    except (HarnessError, OSError) as error:
        fail(str(error))
    click.echo(orjson.dumps(costs, option=orjson.OPT_INDENT_2).decode())


def load_plan(source: Path) -> Plan:
    """Reads a plan from a plan file or from the figures of an earlier drill."""
    try:
        document = orjson.loads(source.read_bytes())
        return read(orjson.dumps(document.get("plan", document)))
    except (PlanError, orjson.JSONDecodeError, TypeError) as error:
        fail(f"{source}: {error}")


def _violated(figures: dict[str, Any]) -> set[str]:
    return {key for key in GUARANTEE_VIOLATIONS if figures.get(key)}


def _play(plan: Plan, keep: Path | None, what: str) -> dict[str, Any]:
    try:
        check(plan)
        if keep:
            keep.mkdir(parents=True)
        folder = keep or Path(tempfile.mkdtemp(prefix="hazelhollow-drill-"))
        figures = FaultInjectionRun(
            plan, folder, show_progress(), OPERATOR_FILES[what], keep is not None
        ).run()
    except (PlanError, HarnessError, OSError) as error:
        fail(str(error))
    return {"figures": figures, "plan": orjson.loads(write(plan))}


def _finish(result: dict[str, Any], file: str | None) -> None:
    """Writes or shows the figures and the plan, and exits with the drill's status."""
    figures, violated = result["figures"], _violated(result["figures"])
    document = orjson.dumps(
        {**figures, "broken": sorted(violated), "plan": result["plan"]}, option=orjson.OPT_INDENT_2
    )
    if file == "-":
        click.echo(document.decode())
    else:
        if file:
            Path(file).write_bytes(document)
        click.echo("", err=True)
        for key, value in figures.items():
            click.echo(f"{key:<24} {value}")
    if violated:
        click.echo(f"broken: {', '.join(sorted(violated))}", err=True)
    sys.exit(1 if violated else 0)
