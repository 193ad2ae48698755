"""`hazelhollow fleet up`, `status`, `cut` and others: commands for a long-running cluster."""

from __future__ import annotations

import os
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import orjson

from hazelhollow.fault_injection import supervisor
from hazelhollow.fault_injection.addresses import to_text
from hazelhollow.fault_injection.command_options import fail, with_option
from hazelhollow.fault_injection.errors import CommandError, HarnessError
from hazelhollow.fault_injection.loopback_cluster import LoopbackCluster
from hazelhollow.fault_injection.operator_files import OPERATOR_FILES
from hazelhollow.fault_injection.plan import Plan


def default_state() -> Path:
    """Returns the folder of the user's cluster if `--state` is not given."""
    return Path(tempfile.gettempdir()) / f"hazelhollow-fleet-{os.getuid()}"


state_option = click.option(
    "--state",
    type=click.Path(path_type=Path),
    default=None,
    metavar="DIR",
    help="Folder of the fleet's files; by default in the temporary folder.",
)


@click.group("fleet")
def fleet() -> None:
    r"""Run a fleet on this machine, inject faults, and check the results.

    \b
    hazelhollow fleet up --instances 5        limiters, hosts, discovery and a relay, until Ctrl-C
    hazelhollow fleet status                  processes, and each limiter's view of the others
    hazelhollow fleet cut n0 n1 --one-way     a link that loses everything; `heal` ends all faults
    hazelhollow fleet drill two_parts         a plan of faults under load, and the checker's figures
    hazelhollow fleet drill --seed 7          the same with faults drawn from a seed

    Everything runs on loopback. After `down`, Ctrl-C or the death of the supervisor no process,
    socket or file remains.
    """


@fleet.command("up")
@click.option("--instances", default=3, show_default=True, type=click.IntRange(1, 64))
@click.option("--hosts", default=2, show_default=True, type=click.IntRange(1, 32))
@click.option(
    "--operator",
    type=click.Path(exists=True, path_type=Path),
    help="An operator file for all limiters.",
)
@with_option
@state_option
def up(instances: int, hosts: int, operator: Path | None, what: str, state: Path | None) -> None:
    """Start limiters n0, n1, ..., hosts h0, h1, ... and discovery d, until Ctrl-C or `down`."""
    folder = state or default_state()
    try:
        folder.mkdir(mode=0o700, parents=True)
    except FileExistsError:
        fail(f"{folder} already exists: a fleet is up, or the folder is used for something else")
    text = operator.read_text() if operator else ""
    operator_file = (lambda *_: text) if operator else OPERATOR_FILES[what]
    try:
        plan = Plan(name="up", instances=instances, hosts=hosts)
        supervisor.Supervisor(plan, folder, operator_file).run(_show_ready)
    except HarnessError as error:
        shutil.rmtree(folder, ignore_errors=True)
        fail(str(error))


def _show_ready(cluster: LoopbackCluster) -> None:
    for name in cluster.names:
        click.echo(f"ready {name} at {to_text(cluster.client_address(name))}")
    sys.stdout.flush()


@fleet.command("status")
@click.option("--json", "as_json", is_flag=True, help="Print it as JSON.")
@state_option
def status(as_json: bool, state: Path | None) -> None:
    """Show the processes, and each limiter's view of the others.

    Exit status 1: a process is not running, or a limiter is not ready.
    """
    document = _send_command(state, do="status")
    if as_json:
        click.echo(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())
    else:
        _show_table(document)
    all_ready = all(
        row["state"] == "running" and row.get("ready", True) for row in document["processes"]
    )
    sys.exit(0 if all_ready else 1)


def _show_table(document: dict[str, Any]) -> None:
    click.echo(f"{'name':<5} {'pid':>8} {'state':<8} {'starts':>6} {'ready':<6} view of the others")
    for row in document["processes"]:
        view = " ".join(
            f"n{number}:{entry['state']}"
            for number, entry in sorted(row.get("view", {}).items(), key=lambda item: int(item[0]))
        )
        ready = {True: "yes", False: "no", None: ""}[row.get("ready")]
        click.echo(
            f"{row['name']:<5} {row['pid'] or '':>8} {row['state']:<8} {row['starts']:>6} "
            f"{ready:<6} {view}"
        )
    for link in document["links"]:
        click.echo(
            f"link {link['from']} > {link['to']}: {link['faults']} faults, {link['lost']} "
            "datagrams lost"
        )


def _add_process_command(verb: str, text: str) -> None:
    @fleet.command(verb, help=text)
    @click.argument("name")
    @state_option
    def run(name: str, state: Path | None) -> None:
        click.echo(_send_command(state, do=verb, name=name))


for _verb, _text in {
    "kill": "Send SIGKILL to a limiter or host.",
    "start": "Restart a limiter or host that has ended.",
    "pause": "Send SIGSTOP to a limiter or host; its sockets stay open.",
    "resume": "Send SIGCONT to a paused limiter or host.",
}.items():
    _add_process_command(_verb, _text)


@fleet.command("cut")
@click.argument("a")
@click.argument("b")
@click.option("--one-way", is_flag=True, help="Lose only what A sends to B.")
@state_option
def cut(a: str, b: str, one_way: bool, state: Path | None) -> None:
    """Lose all traffic between two processes: n0, h0, d (discovery) or c (clients)."""
    click.echo(_send_command(state, do="cut", a=a, b=b, one_way=one_way))


@fleet.command("heal")
@state_option
def heal(state: Path | None) -> None:
    """End all link faults."""
    click.echo(_send_command(state, do="heal"))


@fleet.command("down")
@state_option
def down(state: Path | None) -> None:
    """End the fleet and remove its files."""
    click.echo(_send_command(state, do="down"))


def _send_command(state: Path | None, **arguments: Any) -> Any:
    try:
        return supervisor.command(state or default_state(), **arguments)
    except CommandError as error:
        fail(str(error))
