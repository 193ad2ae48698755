"""The capacity report: renders results files as tables in the marked blocks of a page."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from hazelhollow.scale.errors import ResultsError
from hazelhollow.scale.report_page import render
from hazelhollow.scale.report_runs import Run, Runs
from hazelhollow.scale.report_tables import tables
from hazelhollow.scale.results import load

EARLIER_PREFIX = "before-"  # prefix of files with results of an earlier version of the program


def read(files: Sequence[Path]) -> Runs:
    """Reads the results of these files, in order of file name.

    Raises:
        OSError: A file cannot be read.
        ResultsError: A file holds no valid results, or its planned size differs from that of the
            others.
    """
    runs = [Run(file.name, load(file)) for file in sorted(files, key=lambda file: file.name)]
    for run in runs:
        if run.results.planned != runs[0].results.planned:
            raise ResultsError(
                f"{run.name} has planned size {run.results.planned}, {runs[0].name} has "
                f"{runs[0].results.planned}: runs of different planned sizes cannot be reported "
                "together"
            )
    return Runs(
        now=tuple(run for run in runs if not run.name.startswith(EARLIER_PREFIX)),
        before=tuple(run for run in runs if run.name.startswith(EARLIER_PREFIX)),
    )


def write_page(page: Path, runs: Runs) -> None:
    """Rewrites the blocks of the page; raises OSError or PageError."""
    page.write_text(rendered(page, runs))


def is_current(page: Path, runs: Runs) -> bool:
    """Whether the page is up to date with the runs; raises OSError or PageError."""
    return page.read_text() == rendered(page, runs)


def rendered(page: Path, runs: Runs) -> str:
    """Returns the page's text with its blocks rendered from the runs."""
    return render(page.read_text(), tables(runs))
