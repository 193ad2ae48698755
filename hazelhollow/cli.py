"""The command line: `serve` and the small commands; the other commands are in their packages.

The platform runs `serve` without an operator file. To keep that process small, libraries that it
does not need are imported only by the commands that need them.
"""

from __future__ import annotations

import importlib
import logging
import os
import sys

import click

from hazelhollow import __version__, platform_config
from hazelhollow.net import lifecycle
from hazelhollow.net.endpoint_list import EndpointList
from hazelhollow.net.errors import EndpointListError

# Commands whose modules are imported on first use: module and attribute.
LAZY_COMMANDS = {
    "ask": ("hazelhollow.request_client", "ask"),
    "bench": ("hazelhollow.bench.commands", "bench"),
    "config": ("hazelhollow.operator.commands", "config"),
    "fleet": ("hazelhollow.fault_injection.commands", "fleet"),
    "soak": ("hazelhollow.soak.commands", "soak"),
    "scale": ("hazelhollow.scale.commands", "scale"),
    "standin": ("hazelhollow.standins.commands", "standin"),
}

# The help of `call`; click does not rewrap the lines after \b.
CALL_HELP = """\
Make one call at a limiter's operator address and print its answer.

\b
hazelhollow call check           `done ready` once the limiter serves
hazelhollow call vars            the metrics as one JSON line, then `end`
hazelhollow call fleet           the members, if the operator file switches membership on
hazelhollow call set-down s-7    disable server s-7 until `set-up s-7`

Exit status 0 for an answer that begins with `done` (or the metrics), 1 for `error`, 2 if there is
no answer.
"""


class LazyGroup(click.Group):
    """A group that imports LAZY_COMMANDS when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands, for the help."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Returns the command of that name, or one that reports the missing library."""
        if name not in LAZY_COMMANDS:
            return super().get_command(ctx, name)
        module, attribute = LAZY_COMMANDS[name]
        try:
            command: click.Command = getattr(importlib.import_module(module), attribute)
        except ModuleNotFoundError as error:
            if (error.name or "").startswith("hazelhollow"):
                raise
            return _command_without_library(name, error.name or "a library")
        return command


def _command_without_library(name: str, library: str) -> click.Command:
    """Returns a placeholder for a command that needs a library that is not installed.

    The placeholder reports the library when it is run; the other commands keep working.
    """

    def explain(**_: object) -> None:
        _fail(f"'{name}' needs {library}: pip install -r requirements-all.txt")

    # The command's sub-commands and options are unknown here, so any arguments are accepted.
    rest = click.Argument(["words"], nargs=-1, type=click.UNPROCESSED)
    text = f"(needs {library}, which is not installed)"
    return click.Command(
        name,
        callback=explain,
        params=[rest],
        context_settings={"ignore_unknown_options": True},
        help=text,
    )


@click.group(
    cls=LazyGroup, help="A rate limiter that enforces per-plan quotas across a fleet of gateways."
)
def main() -> None:
    """Groups the commands of hazelhollow."""


@main.command()
@click.option(
    "--operator",
    metavar="FILE",
    help="Operator file (see `config --help`): the shared store, the fleet, logs.",
)
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
    help="Lowest level that is logged to standard error; an operator file sets its own.",
)
@click.option(
    "--counters",
    type=click.FloatRange(min=0.1),
    metavar="SECONDS",
    help="Print the counters at this interval, with the time.",
)
def serve(operator: str | None, log_level: str, counters: float | None) -> None:
    """Serve until SIGTERM, as configured by the RELAY_ variables.

    SIGHUP reads RELAY_CONFIG and the operator file again, SIGUSR1 prints the counters. With
    --counters, the lines of many limiters can be summed by second, for the totals of a fleet.
    """
    attachment = None
    if operator is not None:
        from hazelhollow.operator import attach

        attachment = attach.open_file(operator)
    else:
        logging.basicConfig(
            level=log_level.upper(),
            stream=sys.stderr,
            format="%(asctime)s %(levelname)s %(name)s: %(message)s",
        )
    config = _load()
    try:
        lifecycle.serve(
            config, lambda: platform_config.load(os.environ, is_reload=True), attachment, counters
        )
    except OSError as error:
        _fail(f"cannot listen: {error.strerror or error}")


@main.command("check-config")
def check_config() -> None:
    """Read the configuration and print a summary of it, or the reason why it is invalid."""
    config = _load()
    click.echo(
        f"{config.name}: gateway {config.settings.limiter_id} of {config.settings.limiter_count}, "
        f"listens at {config.listen}"
    )


@main.command("call", help=CALL_HELP)
@click.argument("words", nargs=-1, required=True)
@click.option(
    "--to",
    "address",
    default="127.0.0.1:7000",
    show_default=True,
    help="The operator address, host:port.",
)
def call(words: tuple[str, ...], address: str) -> None:
    """Make one call at a limiter's operator address and print its answer."""
    from hazelhollow.net import operator_client

    try:
        answer = operator_client.ask(address, " ".join(words))
    except operator_client.NoAnswerError as error:
        _fail(str(error))
    click.echo(answer.decode(errors="replace"), nl=False)
    sys.exit(1 if answer.startswith(b"error") else 0)


@main.command("version")
def show_version() -> None:
    """Print the version."""
    click.echo(__version__)


def _load() -> platform_config.PlatformConfig:
    try:
        config = platform_config.load(os.environ)
        if config.known is not None:
            EndpointList().apply(config.known)
        return config
    except (platform_config.PlatformConfigError, EndpointListError) as error:
        _fail(str(error))
        raise AssertionError from None


def _fail(text: str) -> None:
    click.echo(f"hazelhollow: {text}", err=True)
    sys.exit(2)
