"""The command line: `serve` and the small commands; the others are found in their packages.

`serve` without an operator file is the platform's path: what it does not need is imported only by
the command that needs it.
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

# Commands in modules that are imported when the command is used: module and attribute.
LAZY_COMMANDS = {
    "ask": ("hazelhollow.request_client", "ask"),
    "bench": ("hazelhollow.bench.commands", "bench"),
    "config": ("hazelhollow.operator.commands", "config"),
    "fleet": ("hazelhollow.fault_injection.commands", "fleet"),
    "scale": ("hazelhollow.scale.commands", "scale"),
    "standin": ("hazelhollow.standins.commands", "standin"),
}

# The help of `call`; click keeps the lines after \b as they are.
CALL_HELP = """\
Make one call at a limiter's operator address and print its answer.

\b
hazelhollow call check           done ready, once it serves
hazelhollow call vars            the figures, as one JSON line, then `end`
hazelhollow call fleet           who is there, where the operator file switches the view on
hazelhollow call set-down s-7    leave server s-7 out until `set-up s-7`

Exit status 0 for an answer that begins with `done` (or the figures), 1 for `error`, 2 when
nobody answers.
"""


class LazyGroup(click.Group):
    """A group that imports LAZY_COMMANDS when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All names, for the help."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """The command of that name, or one that says which library it lacks."""
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
    """Stands for a command whose libraries this installation lacks, so that the others work."""

    def explain(**_: object) -> None:
        _fail(f"'{name}' needs {library}: pip install -r requirements-all.txt")

    rest = click.Argument(
        ["words"], nargs=-1, type=click.UNPROCESSED
    )  # its own sub-commands are not known here
    text = f"(needs {library}, which is not installed)"
    return click.Command(
        name,
        callback=explain,
        params=[rest],
        context_settings={"ignore_unknown_options": True},
        help=text,
    )


@click.group(
    cls=LazyGroup, help="A rate limiter that holds quotas by plan across a fleet of gateways."
)
def main() -> None:
    """The commands of hazelhollow."""


@main.command()
@click.option(
    "--operator",
    metavar="FILE",
    help="Our own settings (see `config --help`): the shared store, logs.",
)
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
    help="What goes to standard error; an operator file says it in its own words.",
)
@click.option(
    "--counters",
    type=click.FloatRange(min=0.1),
    metavar="SECONDS",
    help="Print the counters so often, with the time.",
)
def serve(operator: str | None, log_level: str, counters: float | None) -> None:
    """Serve until SIGTERM, as the RELAY_ variables say.

    SIGHUP reads RELAY_CONFIG and the operator file again, SIGUSR1 prints the counters. With
    --counters, the lines of many limiters can be added up by second: that shows what one of them
    alone does not.
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
    """Read the configuration and say what it holds, or what is wrong with it."""
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
