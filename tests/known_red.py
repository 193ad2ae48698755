"""Tests that are known to fail: KNOWN-RED.txt at the root, a line each, `TEST | CAUSE | ISSUE`.

A pytest plugin. Those tests are run and passed over whether they fail or not, and each is printed
with its cause; one that passes is said to. Anything else that fails fails the run, and so does a
line that is bad or names no test.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
from _pytest.terminal import TerminalReporter

FILE = "KNOWN-RED.txt"
MOST = 3
_ISSUE = re.compile(r"issue [0-9]+")


class Known(NamedTuple):
    test: str
    cause: str
    issue: str


def read(text: str) -> list[Known]:
    """Blank lines and those that begin with `#` say nothing.

    Raises ValueError, which names the line.
    """
    found: list[Known] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        words = [word.strip() for word in line.split("|")]
        if len(words) != 3 or not all(words):
            raise ValueError(f"{FILE}, line {number}: not `TEST | CAUSE | ISSUE`")
        known = Known(*words)
        if "::" not in known.test:
            raise ValueError(f"{FILE}, line {number}: {known.test!r} names no test of a file")
        if not _ISSUE.fullmatch(known.issue):
            raise ValueError(
                f"{FILE}, line {number}: {known.issue!r} is not `issue` and its number"
            )
        if known.test in [k.test for k in found]:
            raise ValueError(f"{FILE}, line {number}: {known.test} stands twice")
        found.append(known)
        if len(found) > MOST:
            raise ValueError(f"{FILE}, line {number}: more than {MOST} tests")
    return found


def _of(config: pytest.Config) -> list[Known]:
    path = Path(config.rootpath) / FILE
    try:
        return read(path.read_text()) if path.exists() else []
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    whole = config.args == config.getini("testpaths") or config.args == [
        str(config.invocation_params.dir)
    ]
    for known in _of(config):
        named = [item for item in items if item.nodeid == known.test]
        if whole and not named:
            raise pytest.UsageError(f"{FILE}: there is no test {known.test}")
        for item in named:
            item.add_marker(
                pytest.mark.xfail(reason=f"{known.cause} ({known.issue})", strict=False)
            )


def _lines(config: pytest.Config, reporter: TerminalReporter) -> Iterator[str]:
    ends = {
        kind: {report.nodeid for report in reporter.stats.get(kind, [])}
        for kind in ("xfailed", "xpassed")
    }
    for known in _of(config):
        word = (
            "fails"
            if known.test in ends["xfailed"]
            else "PASSES, take its line out"
            if known.test in ends["xpassed"]
            else "not run"
        )
        yield f"known red, {word}: {known.test}: {known.cause} ({known.issue})"


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    for line in _lines(config, terminalreporter):
        terminalreporter.write_line(line)
