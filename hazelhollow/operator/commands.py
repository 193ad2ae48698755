"""The command `hazelhollow config`: checks an operator file and shows its effective values."""

from __future__ import annotations

import sys
from typing import Any, NoReturn

import click
import orjson

from hazelhollow.operator import load
from hazelhollow.operator.describe import show
from hazelhollow.operator.errors import CueError
from hazelhollow.operator.evaluate import mask

EXIT_BAD_FILE = 2


@click.group("config")
def config() -> None:
    """Check and show operator files, which are written in a subset of CUE.

    An operator file switches on features beyond the platform's JSON file, such as the shared store.
    deploy/operator.cue is an example; hazelhollow/operator/schema.cue lists every setting with its
    limits and default.
    """


@config.command("check")
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="Print the problems as a JSON list.")
def check(file: str, as_json: bool) -> None:
    """Report all problems of FILE.

    Exit status 0: the file can be used. 2: it cannot; each problem is one line with file, line,
    column, path, the value found and the values allowed.
    """
    try:
        load.load(file)
    except CueError as error:
        if as_json:
            rows = [
                {
                    "file": problem.place.file,
                    "line": problem.place.line,
                    "column": problem.place.column,
                    "path": problem.path,
                    "found": problem.found,
                    "allowed": problem.allowed,
                }
                for problem in error.problems
            ]
            click.echo(orjson.dumps(rows).decode())
            sys.exit(EXIT_BAD_FILE)
        fail(error)
    click.echo("[]" if as_json else f"{file}: good")


@config.command("show")
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of CUE.")
def show_values(file: str, as_json: bool) -> None:
    """Print every value that FILE sets, defaults included; secrets are hidden.

    The output is itself a valid operator file, unless a secret was hidden.
    """
    try:
        value = mask(load.effective(load.read_bytes_of(file), file), load.SECRETS)
    except CueError as error:
        fail(error)
    if as_json:
        click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
    else:
        click.echo("\n".join(_lines(value, 0)))


def _lines(value: Any, depth: int) -> list[str]:
    lines = []
    for name, part in value.items():
        label = "\t" * depth + name + ": "
        if isinstance(part, dict):
            lines += [label + "{", *_lines(part, depth + 1), "\t" * depth + "}"]
        else:
            lines.append(
                label
                + ("[" + ", ".join(map(show, part)) + "]" if isinstance(part, list) else show(part))
            )
    return lines


def fail(error: CueError) -> NoReturn:
    """Prints one line for each problem and exits with the status for an invalid file."""
    for problem in error.problems:
        click.echo(f"hazelhollow: {problem}", err=True)
    sys.exit(EXIT_BAD_FILE)
