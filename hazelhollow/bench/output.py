"""What the commands of `hazelhollow bench` share: options read, figures written, progress shown."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click
import orjson

EXIT_BAD_ARGUMENTS = 2


def write_json(figures: Any, file: str | None) -> None:
    """Write figures to a file; print them if it is `-` or none is given."""
    text = orjson.dumps(figures, option=orjson.OPT_INDENT_2)
    if file and file != "-":
        Path(file).write_bytes(text + b"\n")
    else:
        click.echo(text.decode())


def on_terminal() -> Callable[[str], None]:
    """What shows progress in one line of a terminal, and nothing elsewhere."""
    if not sys.stderr.isatty():
        return lambda _: None
    return lambda text: click.echo(f"\r\x1b[K{text}", nl=False, err=True)


def parse_numbers(text: str, least: int, most: int) -> list[int]:
    """Whole numbers with commas between; raises ValueError saying what they must be."""
    numbers = [int(part) for part in text.split(",")]
    if not all(least <= number <= most for number in numbers):
        raise ValueError(f"numbers from {least} to {most}, with commas between: {text}")
    return numbers


def exit_for_bad_arguments(error: Exception) -> NoReturn:
    """Say what is wrong and end with a status of 2."""
    click.echo(f"hazelhollow: {error}", err=True)
    sys.exit(EXIT_BAD_ARGUMENTS)
