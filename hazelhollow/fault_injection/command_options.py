"""Options and exits that the commands of a cluster and of runs share."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import NoReturn

import click

EXIT_BAD_INPUT = 2

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


def show_progress() -> Callable[[str], None]:
    """Shows texts on one line of a terminal; nothing where standard error is none."""
    if not sys.stderr.isatty():
        return lambda _: None
    return lambda text: click.echo(f"\r\x1b[K{text}", nl=False, err=True)


def fail(text: str) -> NoReturn:
    """Prints one line and ends the program with the status for bad input."""
    click.echo(f"hazelhollow: {text}", err=True)
    sys.exit(EXIT_BAD_INPUT)
