"""Tests of the KNOWN-RED.txt plugin, on a small suite that is run by pytest in a subprocess."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownFailure, parse

SUITE = """
def test_red(): assert False
def test_green(): pass
"""
ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("tests/a.py::test_x", "line 1: not"),
        ("# none\n\na.py::t | run |  | issue 3", "line 3: not"),
        ("a.py::t | cause | issue 31", "line 1: not"),
        ("a.py::t | run | cause | 31", "line 1: '31' is not"),
        ("a.py | run | cause | issue 31", "'a.py' is not a test id"),
        (
            "a.py::t | run | cause | issue 31\na.py::t | run | other | issue 32",
            "line 2: a.py::t is listed twice",
        ),
    ],
)
def test_malformed_line_raises_an_error_with_its_number(text: str, why: str) -> None:
    with pytest.raises(ValueError, match=why):
        parse(text)


def test_entries_are_parsed_and_comments_skipped() -> None:
    text = "# note\n\na.py::t | pytest a.py, seed 4 | x lost | issue 3\n"
    assert parse(text) == [KnownFailure("a.py::t", "pytest a.py, seed 4", "x lost", "issue 3")]


def run(folder: Path, known: str | None, *args: str) -> tuple[int, str]:
    (folder / "pytest.ini").write_text(
        "[pytest]\ntestpaths = suite\naddopts = -p tests.known_red\n"
    )
    (folder / "suite").mkdir()
    (folder / "suite" / "test_it.py").write_text(SUITE)
    if known is not None:
        (folder / "KNOWN-RED.txt").write_text(known)
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *args]
    completed = subprocess.run(
        command, cwd=folder, env={"PYTHONPATH": str(ROOT)}, capture_output=True, text=True
    )
    return completed.returncode, completed.stdout + completed.stderr


def test_number_of_entries_is_not_limited() -> None:
    text = "\n".join(f"a.py::t{n} | run | cause | issue 31" for n in range(9))
    assert [entry.test for entry in parse(text)] == [f"a.py::t{n}" for n in range(9)]


RED = "suite/test_it.py::test_red | pytest suite | it is false | issue 31\n"
GREEN = "suite/test_it.py::test_green | pytest suite | was slow | issue 31\n"


def test_listed_test_that_fails_is_printed_and_does_not_fail_the_run(tmp_path: Path) -> None:
    code, output = run(tmp_path, RED)
    shown = "suite/test_it.py::test_red: it is false (`pytest suite`, issue 31)"
    assert code == 0 and f"known red, fails: {shown}" in output


def test_listed_test_that_passes_is_reported(tmp_path: Path) -> None:
    code, output = run(tmp_path, RED + GREEN)
    assert (
        code == 0 and "known red, PASSES, remove its line: suite/test_it.py::test_green" in output
    )


@pytest.mark.parametrize("known", [None, "", GREEN])
def test_failure_of_an_unlisted_test_fails_the_run(known: str | None, tmp_path: Path) -> None:
    assert run(tmp_path, known)[0] == 1


def test_listed_test_that_does_not_exist_is_an_error(tmp_path: Path) -> None:
    gone = "suite/test_it.py::test_gone | pytest suite | no more | issue 31\n"
    code, output = run(tmp_path, RED + gone)
    assert code not in (0, 1) and "there is no test suite/test_it.py::test_gone" in output


def test_listed_test_that_was_not_selected_is_no_error(tmp_path: Path) -> None:
    code, output = run(tmp_path, RED, "suite/test_it.py::test_green")
    assert code == 0 and "known red, not run" in output


def test_malformed_line_stops_the_run(tmp_path: Path) -> None:
    code, output = run(tmp_path, "suite/test_it.py::test_red\n")
    assert code not in (0, 1) and "KNOWN-RED.txt, line 1" in output
