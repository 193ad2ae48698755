"""`scale report`: renders the capacity page from results files."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from hazelhollow.scale import report as reports
from hazelhollow.scale.errors import PageError, ResultsError
from hazelhollow.scale.report_rows import analyse
from hazelhollow.scale.report_runs import Runs
from hazelhollow.scale.report_tables import tables

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
OUTDATED = 1  # exit status of --check if the page is out of date
BAD_INPUT = 2  # exit status if a file cannot be read or is invalid


@click.command("report")
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option(
    "--page", type=FILE, help="Rewrite the marked blocks of this page; its other text is kept."
)
@click.option(
    "--check",
    is_flag=True,
    help="Write nothing; exit with status 1 if the page is out of date.",
)
@click.option(
    "--plot",
    type=click.Path(file_okay=False, path_type=Path),
    help="Plot each fitted curve into this folder.",
)
def report(files: tuple[Path, ...], page: Path | None, check: bool, plot: Path | None) -> None:
    """Render tables of the figures at the planned size.

    The files are those that `scale run`, `scale latency` and `scale compare` write. Files whose
    names begin with `before-` hold results of an earlier version and are shown for comparison.
    Without --page the tables are printed. --plot needs the packages in requirements-plot.txt.
    """
    if check and page is None:
        raise click.UsageError("--check needs --page")
    try:
        runs = reports.read(files)
        if page is None:
            _print(runs)
        elif check:
            _check(page, runs)
        else:
            reports.write_page(page, runs)
        if plot:
            _plot(runs, plot)
    except (OSError, ResultsError, PageError) as error:
        click.echo(f"hazelhollow: {error}", err=True)
        sys.exit(BAD_INPUT)


def _print(runs: Runs) -> None:
    for name, text in tables(runs).items():
        click.echo(f"## {name}\n\n{text}\n")


def _check(page: Path, runs: Runs) -> None:
    if not reports.is_current(page, runs):
        click.echo(
            f"{page} is out of date with the results files: run the command without --check",
            err=True,
        )
        sys.exit(OUTDATED)


def _plot(runs: Runs, folder: Path) -> None:
    from hazelhollow.scale import plots

    for file in plots.slopes(analyse([run.results for run in runs.now]), folder):
        click.echo(str(file))
