"""Options and exit helpers that the commands for clusters and for runs share."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import NoReturn

import click

EXIT_INVALID_INPUT = 2

with_option = click.option(
    "--with",
    "what",
    type=click.Choice(["nothing", "view", "replica", "disk", "audit", "control"]),
    default="replica",
    show_default=True,
    help="Features of the limiters beyond the platform's, each value including those before it: "
    "nothing; membership; replication; state on disk; the audit record; one byte budget for all "
    "control traffic.",
)


def show_progress() -> Callable[[str], None]:
    """Returns a function that shows progress on one line of the terminal.

    The function does nothing if standard error is not a terminal.
    """
    if not sys.stderr.isatty():
        return lambda _: None
    return lambda text: click.echo(f"\r\x1b[K{text}", nl=False, err=True)


def fail(text: str) -> NoReturn:
    """Prints an error message and exits with the status for invalid input."""
    click.echo(f"hazelhollow: {text}", err=True)
    sys.exit(EXIT_INVALID_INPUT)
