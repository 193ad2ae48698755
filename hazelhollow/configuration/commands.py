"""`hazelhollow fleet config`: settings that some limiters try before all act on them."""

from __future__ import annotations

import sys
from typing import NoReturn

import click
import orjson

from hazelhollow.net import operator_client

REFUSED_STATUS, NO_ANSWER_STATUS = 1, 2  # exit statuses

at_option = click.option(
    "--at",
    "at",
    required=True,
    metavar="HOST:PORT",
    help="The operator address of one limiter.",
)


_CONFIG_HELP = """
Try settings at some limiters before all act on them, from one limiter's operator address.

\b
hazelhollow fleet config push next.json --order 7 --canaries 3 --after 600 --at 10.0.0.4:7000
hazelhollow fleet config status --at 10.0.0.4:7000
hazelhollow fleet config hold --at 10.0.0.4:7000        those that try it go on, nobody else
  takes it
hazelhollow fleet config release --at 10.0.0.4:7000     it is in force for all now
hazelhollow fleet config rollback --at 10.0.0.4:7000    the settings from before, for all

Exit status 0 for what was done, 1 for what the limiter refused, 2 when nobody answered.
"""


@click.group("config", help=_CONFIG_HELP)
def config() -> None:
    """`hazelhollow fleet config`."""


@config.command("push")
@click.argument("file")
@click.option(
    "--order", required=True, type=click.IntRange(1, 46655), help="Above all that are out."
)
@click.option(
    "--canaries",
    default=1,
    show_default=True,
    type=click.IntRange(1, 35),
    help="Limiters that try it first.",
)
@click.option(
    "--after",
    default=600.0,
    show_default=True,
    type=click.FloatRange(0.0, 86_400.0),
    metavar="SECONDS",
    help="When all act on it, if nothing speaks against it.",
)
@at_option
def push(file: str, order: int, canaries: int, after: float, at: str) -> None:
    """Try the settings of FILE, a configuration in the folder of that limiter's operator file."""
    _call(at, f"push {file} {order} {canaries} {after:g}")


@config.command("hold")
@at_option
def hold(at: str) -> None:
    """Keep settings with the limiters that try them, until `release` or `rollback`."""
    _call(at, "hold")


@config.command("release")
@at_option
def release(at: str) -> None:
    """Put settings that are tried in force for all."""
    _call(at, "release")


@config.command("rollback")
@at_option
def rollback(at: str) -> None:
    """Go back to the settings from before those that are tried.

    Or else from before those that are in force.
    """
    _call(at, "rollback")


@config.command("status")
@at_option
def status(at: str) -> None:
    """Say who acts on which settings, as that limiter knows it."""
    answer = _ask(at, "fleet")
    try:
        members = orjson.loads(answer.partition(b"\n")[0])["audit"]["members"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        _fail(answer.decode(errors="replace").strip())
    for number, member in members.items():
        candidate = member["candidate"]
        tried = (
            f"tried by {candidate['canaries']}, {candidate['phase']}" if candidate else "in force"
        )
        click.echo(f"member {number}: order {member['order']} ({member['settings']}), {tried}")


def _call(at: str, arguments: str) -> None:
    answer = _ask(at, f"config {arguments}")
    click.echo(answer.decode(errors="replace"), nl=False)
    sys.exit(0 if answer.startswith(b"done") else REFUSED_STATUS)


def _ask(at: str, arguments: str) -> bytes:
    try:
        return operator_client.ask(at, arguments)
    except operator_client.NoAnswerError as error:
        _fail(str(error))


def _fail(text: str) -> NoReturn:
    click.echo(f"hazelhollow: {text}", err=True)
    sys.exit(NO_ANSWER_STATUS)
