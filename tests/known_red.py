"""A pytest plugin that reads KNOWN-RED.txt: tests that fail because of a fault not fixed yet.

The file is at the root of the repository and has one entry per line: `TEST | COMMAND AND SEED |
SEEN | ISSUE`. The listed tests are run, but their results do not affect the run's status. Each is
printed with its entry, and one that passes is marked. Any other failure fails the run, and so does
a line that is malformed or names a test that does not exist.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
from _pytest.terminal import TerminalReporter

FILE_NAME = "KNOWN-RED.txt"
FORM = "TEST | COMMAND AND SEED | SEEN | ISSUE"
_ISSUE = re.compile(r"issue [0-9]+")


class KnownFailure(NamedTuple):
    """One entry: the test's id, the command that reproduces the failure, its symptom, the issue."""

    test: str
    command: str
    seen: str
    issue: str

    def reason(self) -> str:
        """Returns the text that is printed after the test's id."""
        return f"{self.seen} (`{self.command}`, {self.issue})"


def parse(text: str) -> list[KnownFailure]:
    """Returns all entries; blank lines and lines that begin with `#` are skipped.

    Raises:
        ValueError: A line is malformed or a test is listed twice; the text names the line.
    """
    entries: list[KnownFailure] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        try:
            entry = _parse_line(line)
        except ValueError as error:
            raise ValueError(f"{FILE_NAME}, line {number}: {error}") from None
        if entry.test in [earlier.test for earlier in entries]:
            raise ValueError(f"{FILE_NAME}, line {number}: {entry.test} is listed twice")
        entries.append(entry)
    return entries


def _parse_line(line: str) -> KnownFailure:
    fields = [field.strip() for field in line.split(" | ")]
    if len(fields) != len(KnownFailure._fields) or not all(fields):
        raise ValueError(f"not of the form `{FORM}`")
    entry = KnownFailure(*fields)
    if "::" not in entry.test:
        raise ValueError(f"{entry.test!r} is not a test id of the form FILE::TEST")
    if not _ISSUE.fullmatch(entry.issue):
        raise ValueError(f"{entry.issue!r} is not `issue` followed by a number")
    return entry


def _entries(config: pytest.Config) -> list[KnownFailure]:
    path = Path(config.rootpath) / FILE_NAME
    try:
        return parse(path.read_text()) if path.exists() else []
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures; a listed test that passes is no failure."""
    root = [str(config.invocation_params.dir)]
    is_full_run = config.args in (config.getini("testpaths"), root)
    for entry in _entries(config):
        matching = [item for item in items if item.nodeid == entry.test]
        if is_full_run and not matching:
            raise pytest.UsageError(f"{FILE_NAME}: there is no test {entry.test}")
        for item in matching:
            item.add_marker(pytest.mark.xfail(reason=entry.reason(), strict=False))


def _summary_lines(config: pytest.Config, reporter: TerminalReporter) -> Iterator[str]:
    failed = {report.nodeid for report in reporter.stats.get("xfailed", [])}
    passed = {report.nodeid for report in reporter.stats.get("xpassed", [])}
    for entry in _entries(config):
        if entry.test in failed:
            state = "fails"
        elif entry.test in passed:
            state = "PASSES, remove its line"
        else:
            state = "not run"
        yield f"known red, {state}: {entry.test}: {entry.reason()}"


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    """Prints each listed test, so that a green run is not mistaken for one without known faults."""
    for line in _summary_lines(config, terminalreporter):
        terminalreporter.write_line(line)
