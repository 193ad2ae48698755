"""`hazelhollow fleet config`: canary rollout of settings from the command line."""

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
Try settings at some limiters before all act on them, through one limiter's operator address.

\b
hazelhollow fleet config push next.json --order 7 --canaries 3 --after 600 --at 10.0.0.4:7000
hazelhollow fleet config status --at 10.0.0.4:7000
hazelhollow fleet config hold --at 10.0.0.4:7000        limiters that try it keep it, no
  other limiter adopts it
hazelhollow fleet config release --at 10.0.0.4:7000     it comes into force for all
hazelhollow fleet config rollback --at 10.0.0.4:7000    the previous settings, for all

Exit status 0 if the call was carried out, 1 if the limiter refused it, 2 if it did not answer.
"""


@click.group("config", help=_CONFIG_HELP)
def config() -> None:
    """`hazelhollow fleet config`."""


@config.command("push")
@click.argument("file")
@click.option(
    "--order",
    required=True,
    type=click.IntRange(1, 46655),
    help="The revision; greater than any in use.",
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
    help="Time until all act on it, unless it is held.",
)
@at_option
def push(file: str, order: int, canaries: int, after: float, at: str) -> None:
    """Try the settings of FILE, a configuration in the folder of that limiter's operator file."""
    _call(at, f"push {file} {order} {canaries} {after:g}")


@config.command("hold")
@at_option
def hold(at: str) -> None:
    """Hold settings at the limiters that try them, until `release` or `rollback`."""
    _call(at, "hold")


@config.command("release")
@at_option
def release(at: str) -> None:
    """Put the settings that are being tried in force for all."""
    _call(at, "release")


@config.command("rollback")
@at_option
def rollback(at: str) -> None:
    """Return to the settings in force before the ones that are being tried.

    If none are being tried, return to the predecessor of the settings in force.
    """
    _call(at, "rollback")


@config.command("status")
@at_option
def status(at: str) -> None:
    """Show which limiter acts on which settings, as known to the limiter that is asked."""
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
