"""`hazelhollow fleet`.

A fleet of real processes on this machine, faults between them, and drills.
"""

from __future__ import annotations

import os
import shutil
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click
import orjson

from hazelhollow.configuration import commands as audit_commands
from hazelhollow.fault_injection import loopback_cluster, overhead, plan, shrink, supervisor
from hazelhollow.fault_injection.run import FaultInjectionRun

# of a limiter's control traffic, headers included, where drills bound it
CONTROL_BYTES_PER_S = 4000.0
BROKEN_PROMISES = (
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


def default_state() -> Path:
    return Path(tempfile.gettempdir()) / f"hazelhollow-fleet-{os.getuid()}"


state_option = click.option(
    "--state",
    type=click.Path(path_type=Path),
    default=None,
    metavar="DIR",
    help="Where the fleet's files are; else in the temporary folder.",
)

with_option = click.option(
    "--with",
    "what",
    type=click.Choice(["nothing", "view", "replica", "disk", "audit", "control"]),
    default="replica",
    show_default=True,
    help="What limiters have beyond the platform's: nothing; the view of the fleet; what they "
    "keep alike too; a disk; the audit; and one budget for all that"
    " control sends.",
)


@click.group("fleet")
def fleet() -> None:
    """Run a fleet on this machine, break it, and see what came of it.

    \b
    hazelhollow fleet up --instances 5        real limiters, hosts, discovery and a relay, until
      Ctrl-C
    hazelhollow fleet status                  what runs and what each limiter knows of the others
    hazelhollow fleet cut n0 n1 --one-way     a link that loses all; `heal` makes every link whole
    hazelhollow fleet drill two_parts         a plan of faults under load, and the checker's figures
    hazelhollow fleet drill --seed 7          the same with faults drawn from a seed

    Everything is on loopback. After `down`, Ctrl-C or the supervisor's own death no process, socket
    or file is left.
    """


@fleet.command("up")
@click.option("--instances", default=3, show_default=True, type=click.IntRange(1, 64))
@click.option("--hosts", default=2, show_default=True, type=click.IntRange(1, 32))
@click.option(
    "--operator",
    type=click.Path(exists=True, path_type=Path),
    help="An operator file that all limiters get.",
)
@with_option
@state_option
def up(instances: int, hosts: int, operator: Path | None, what: str, state: Path | None) -> None:
    """Start limiters n0, n1, ..., hosts h0, h1, ... and discovery d.

    And stay until Ctrl-C or `down`.
    """
    folder = state or default_state()
    try:
        folder.mkdir(mode=0o700, parents=True)
    except FileExistsError:
        _fail(f"{folder} is there already: a fleet is up, or the folder is another's")
    text = operator.read_text() if operator else ""
    files = (lambda *_: text) if operator else WITH[what]
    try:
        one = supervisor.Supervisor(
            plan.Plan(name="up", instances=instances, hosts=hosts), folder, files
        )
        one.run(_show_ready)
    except loopback_cluster.HarnessError as error:
        shutil.rmtree(folder, ignore_errors=True)
        _fail(str(error))


def _show_ready(one: loopback_cluster.LoopbackCluster) -> None:
    for name in one.names:
        click.echo(f"ready {name} at {':'.join(map(str, one.client_address(name)))}")
    sys.stdout.flush()


@fleet.command("status")
@click.option("--json", "as_json", is_flag=True, help="Print it as JSON.")
@state_option
def status(as_json: bool, state: Path | None) -> None:
    """What runs, and what each limiter says of itself and of the others.

    Exit status 1: not all run and are ready.
    """
    found = _command(state, do="status")
    if as_json:
        click.echo(orjson.dumps(found, option=orjson.OPT_INDENT_2).decode())
    else:
        _table(found)
    whole = all(row["state"] == "running" and row.get("ready", True) for row in found["processes"])
    sys.exit(0 if whole else 1)


def _table(found: dict[str, Any]) -> None:
    click.echo(
        f"{'name':<5} {'pid':>8} {'state':<8} {'starts':>6} {'ready':<6} its view of the others"
    )
    for row in found["processes"]:
        seen = " ".join(
            f"n{number}:{entry['state']}"
            for number, entry in sorted(row.get("view", {}).items(), key=lambda i: int(i[0]))
        )
        ready = {True: "yes", False: "no", None: ""}[row.get("ready")]
        click.echo(
            f"{row['name']:<5} {row['pid'] or '':>8} {row['state']:<8} {row['starts']:>6} "
            f"{ready:<6} {seen}"
        )
    for link in found["links"]:
        click.echo(
            f"link {link['from']} > {link['to']}: {link['faults']} faults, {link['lost']} "
            "datagrams lost"
        )


fleet.add_command(audit_commands.audit)
fleet.add_command(audit_commands.config)


def _simple(verb: str, text: str) -> None:
    @fleet.command(verb, help=text)
    @click.argument("name")
    @state_option
    def run(name: str, state: Path | None) -> None:
        click.echo(_command(state, do=verb, name=name))


for _verb, _text in {
    "kill": "SIGKILL to a limiter or host.",
    "start": "Start one again that has ended.",
    "pause": "SIGSTOP: it stands still, its sockets stay open.",
    "resume": "SIGCONT after `pause`.",
}.items():
    _simple(_verb, _text)


@fleet.command("cut")
@click.argument("a")
@click.argument("b")
@click.option("--one-way", is_flag=True, help="Only what A sends to B is lost.")
@state_option
def cut(a: str, b: str, one_way: bool, state: Path | None) -> None:
    """Lose all that goes between two processes: n0, h0, d (discovery) or c (clients)."""
    click.echo(_command(state, do="cut", a=a, b=b, one_way=one_way))


@fleet.command("heal")
@state_option
def heal(state: Path | None) -> None:
    """Make every link whole."""
    click.echo(_command(state, do="heal"))


@fleet.command("down")
@state_option
def down(state: Path | None) -> None:
    """End the fleet and remove its files."""
    click.echo(_command(state, do="down"))


def _command(state: Path | None, **words: Any) -> Any:
    try:
        return supervisor.command(state or default_state(), **words)
    except supervisor.CommandError as error:
        _fail(str(error))


# Drills

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
            raise plan.PlanError("name a plan, or give a seed to draw one from")
        one = _plan(name, seed, instances, seconds, changes)
    except (plan.PlanError, OSError) as error:
        _fail(str(error))
    if show:
        click.echo(plan.write(one).decode())
        return
    _finish(_play(one, keep, what), file)


def _plan(
    name: str | None, seed: int | None, instances: int | None, seconds: float | None, changes: bool
) -> plan.Plan:
    if name is None:
        return plan.drawn_plan(seed or 0, instances or 8, seconds or 60.0, changes=changes)
    if name in plan.NAMED:
        return plan.named_plan(name, instances or 5, seconds or 24.0, seed or 1)
    if not Path(name).exists():
        return plan.named_plan(name)  # which says what names there are
    return plan.read(Path(name).read_bytes())


@fleet.command("replay")
@click.argument("source", metavar="FILE", type=click.Path(exists=True, path_type=Path))
@json_option
@keep_option
@with_option
def replay(source: Path, file: str | None, keep: Path | None, what: str) -> None:
    """Play the plan of an earlier drill again, from the file that `--json` wrote.

    Exit status as for `drill`.
    """
    _finish(_play(_earlier(source), keep, what), file)


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
    one = _earlier(source)
    broken = _broken(_play(one, None, what)["figures"])
    if not broken:
        click.echo("the plan breaks nothing this time", err=True)
        sys.exit(1)
    smaller, made = shrink.shrink(
        one, lambda p: bool(broken & _broken(_play(p, None, what)["figures"])), trials
    )
    click.echo(
        (
            f"{len(one.events)} events became {len(smaller.events)} in {made} drills; it "
            f"still breaks {', '.join(sorted(broken))}"
        ),
        err=True,
    )
    text = plan.write(smaller)
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
    """CPU a request and memory without an operator file, with a bare one.

    And with the view, in runs that take turns.
    """
    ways: dict[str, overhead.Operator | None] = {
        "plain": None,
        "operator file": overhead.quiet_file,
        "view": view_file,
        "replica": replica_file,
    }
    try:
        found = overhead.cost(instances, rate, seconds, rounds, ways, _progress())
    except (loopback_cluster.HarnessError, OSError) as error:
        _fail(str(error))
    click.echo(orjson.dumps(found, option=orjson.OPT_INDENT_2).decode())


def _earlier(source: Path) -> plan.Plan:
    try:
        document = orjson.loads(source.read_bytes())
        return plan.read(orjson.dumps(document["plan"] if "plan" in document else document))
    except (plan.PlanError, orjson.JSONDecodeError, TypeError) as error:
        _fail(f"{source}: {error}")


def _broken(figures: dict[str, Any]) -> set[str]:
    return {key for key in BROKEN_PROMISES if figures.get(key)}


def view_file(name: str, home: Path) -> str:
    """An operator file that switches on the view, whose lines go where the checker and `status`
    look for them.
    """
    return (
        'package operator\nlog: format: "console"\nfleet: view_file: '
        f'"{home.parent / name}.view.jsonl"\n'
    )


def replica_file(name: str, home: Path) -> str:
    """The same, with what limiters keep alike."""
    return view_file(name, home) + "fleet: replicate: {}\n"


def disk_file(name: str, home: Path) -> str:
    """The same, with a folder that outlives the process."""
    return view_file(name, home) + f'fleet: replicate: state_dir: "{home}"\n'


def audit_file(name: str, home: Path) -> str:
    """The same, with the record of what each acts on."""
    return disk_file(name, home) + f'fleet: audit: state_dir: "{home}"\n'


def control_file(name: str, home: Path, bytes_per_s: float = CONTROL_BYTES_PER_S) -> str:
    """The same, with one budget for all control traffic."""
    return audit_file(name, home) + f"fleet: control: bytes_per_s: {bytes_per_s:g}\n"


WITH: dict[str, overhead.Operator | None] = {
    "nothing": None,
    "view": view_file,
    "replica": replica_file,
    "disk": disk_file,
    "audit": audit_file,
    "control": control_file,
}


def _play(one: plan.Plan, keep: Path | None, what: str) -> dict[str, Any]:
    try:
        plan.check(one)
        if keep:
            keep.mkdir(parents=True)
        folder = keep or Path(tempfile.mkdtemp(prefix="hazelhollow-drill-"))
        figures = FaultInjectionRun(one, folder, _progress(), WITH[what], keep is not None).run()
    except (plan.PlanError, loopback_cluster.HarnessError, OSError) as error:
        _fail(str(error))
    return {"figures": figures, "plan": orjson.loads(plan.write(one))}


def _progress() -> Callable[[str], None]:
    if not sys.stderr.isatty():
        return lambda text: None
    return lambda text: click.echo(f"\r\x1b[K{text}", nl=False, err=True)


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


def _fail(text: str) -> NoReturn:
    click.echo(f"hazelhollow: {text}", err=True)
    sys.exit(2)
