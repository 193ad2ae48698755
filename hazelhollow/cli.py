"""The command line."""

from __future__ import annotations

import logging
import os
import sys

import click

from hazelhollow import __version__, config
from hazelhollow.net import routing, service


@click.group(help="A rate limiter that holds quotas by plan across a fleet of gateways.")
def main() -> None:
    pass


@main.command()
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
    help="What goes to standard error.",
)
def serve(log_level: str) -> None:
    """Serve until SIGTERM, as the RELAY_ variables say. SIGHUP reads RELAY_CONFIG again, SIGUSR1 prints counters."""
    logging.basicConfig(
        level=log_level.upper(), stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    told = _load()
    try:
        service.serve(told, lambda: config.load(os.environ, again=True))
    except OSError as error:
        _fail(f"cannot listen: {error.strerror or error}")


@main.command("check-config")
def check_config() -> None:
    """Read the configuration and say what it holds, or what is wrong with it."""
    told = _load()
    click.echo(
        f"{told.name}: gateway {told.settings.me} of {told.settings.gateways}, listens at {told.listen}"
    )


@main.command("version")
def show_version() -> None:
    """Print the version."""
    click.echo(__version__)


def _load() -> config.Config:
    try:
        told = config.load(os.environ)
        if told.known is not None:
            routing.Table().apply(told.known)
        return told
    except (config.ConfigError, routing.TableError) as error:
        _fail(str(error))
        raise AssertionError from None


def _fail(text: str) -> None:
    click.echo(f"hazelhollow: {text}", err=True)
    sys.exit(2)
