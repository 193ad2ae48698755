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

# Figures that are 0 unless a promise was broken.
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
    help="Limiters; else 5, or 8 for a seed.",
)
seconds_option = click.option(
    "--seconds",
    default=None,
    type=click.FloatRange(5, 3600),
    help="Of load; else 24, or 60 for a seed.",
)
json_option = click.option(
    "--json", "file", metavar="FILE", help="Write figures and plan there; `-`: print them."
)
keep_option = click.option(
    "--keep",
    type=click.Path(path_type=Path),
    metavar="DIR",
    help="Keep every log and line of the drill in this new folder.",
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
    help="With --seed alone: settings change meanwhile too (see --with audit).",
)
@click.option("--show", is_flag=True, help="Print the plan and do nothing.")
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
    """Play a plan of faults on a fleet under load and check what came of it from outside.

    PLAN is a file, or one of the names that `drill --show nothing` lists. Exit status 0: no promise
    was broken. 1: one was (the figures say which). 2: the drill could not be made.
    """
    try:
        if name is None and seed is None:
            raise PlanError("name a plan, or give a seed to draw one from")
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
        return named_plan(name)  # which says what names there are
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
    "--trials", default=20, show_default=True, type=click.IntRange(1, 1000), help="Drills at most."
)
@json_option
@with_option
def shrink_(source: Path, trials: int, file: str | None, what: str) -> None:
    """Find a smaller plan that breaks the same promise.

    Exit status 0: found. 1: the plan did not fail again.
    """
    plan = load_plan(source)
    broken = _broken(_play(plan, None, what)["figures"])
    if not broken:
        click.echo("the plan breaks nothing this time", err=True)
        sys.exit(1)
    smaller, made = shrink.shrink(
        plan, lambda trial: bool(broken & _broken(_play(trial, None, what)["figures"])), trials
    )
    click.echo(
        (
            f"{len(plan.events)} events became {len(smaller.events)} in {made} drills; it "
            f"still breaks {', '.join(sorted(broken))}"
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
    help="Requests a second at each limiter.",
)
@click.option(
    "--seconds",
    default=10.0,
    show_default=True,
    type=click.FloatRange(5, 600),
    help="Of load in each run.",
)
@click.option("--rounds", default=5, show_default=True, type=click.IntRange(1, 100))
def cost_(instances: int, rate: float, seconds: float, rounds: int) -> None:
    """CPU a request and memory without an operator file, with a bare plan.

    And with the view, in runs that take turns.
    """
    ways: dict[str, OperatorFile | None] = {
        "plain": None,
        "operator file": logging_file,
        "view": view_file,
        "replica": replica_file,
    }
    try:
        found = overhead.cost(
            overhead.CostOptions(instances, rate, seconds, rounds), ways, show_progress()
        )
    except (HarnessError, OSError) as error:
        fail(str(error))
    click.echo(orjson.dumps(found, option=orjson.OPT_INDENT_2).decode())


def load_plan(source: Path) -> Plan:
    """Reads a plan from a plan file or from the figures of an earlier drill."""
    try:
        document = orjson.loads(source.read_bytes())
        return read(orjson.dumps(document.get("plan", document)))
    except (PlanError, orjson.JSONDecodeError, TypeError) as error:
        fail(f"{source}: {error}")


def _broken(figures: dict[str, Any]) -> set[str]:
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


def _finish(found: dict[str, Any], file: str | None) -> None:
    """The figures on the top level, beside the plan that they came of."""
    figures, broken = found["figures"], _broken(found["figures"])
    document = orjson.dumps(
        {**figures, "broken": sorted(broken), "plan": found["plan"]}, option=orjson.OPT_INDENT_2
    )
    if file == "-":
        click.echo(document.decode())
    else:
        if file:
            Path(file).write_bytes(document)
        click.echo("", err=True)
        for key, value in figures.items():
            click.echo(f"{key:<24} {value}")
    if broken:
        click.echo(f"broken: {', '.join(sorted(broken))}", err=True)
    sys.exit(1 if broken else 0)
