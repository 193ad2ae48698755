"""Parsing of options, output of figures and display of progress for `hazelhollow bench`."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click
import orjson

EXIT_BAD_ARGUMENTS = 2


def write_json(figures: Any, file: str | None) -> None:
    """Writes figures to a file as JSON, or prints them if the file is `-` or None."""
    text = orjson.dumps(figures, option=orjson.OPT_INDENT_2)
    if file and file != "-":
        Path(file).write_bytes(text + b"\n")
    else:
        click.echo(text.decode())


def progress_display() -> Callable[[str], None]:
    """Returns a function that shows progress on one terminal line, or does nothing without one."""
    if not sys.stderr.isatty():
        return lambda _: None
    return lambda text: click.echo(f"\r\x1b[K{text}", nl=False, err=True)


def parse_numbers(text: str, least: int, most: int) -> list[int]:
    """Parses comma-separated integers; raises ValueError if one is invalid or out of range."""
    numbers = [int(part) for part in text.split(",")]
    if not all(least <= number <= most for number in numbers):
        raise ValueError(f"expected comma-separated numbers from {least} to {most}, got {text}")
    return numbers


def exit_for_bad_arguments(error: Exception) -> NoReturn:
    """Prints the error and exits with status 2."""
    click.echo(f"hazelhollow: {error}", err=True)
    sys.exit(EXIT_BAD_ARGUMENTS)
