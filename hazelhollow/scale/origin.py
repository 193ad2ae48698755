"""The origin of results: the commit of the program, the machine and its load, and the time."""

from __future__ import annotations

import os
import platform
import subprocess
import time
from pathlib import Path

from hazelhollow.scale.results import FORMAT, Machine, Results, Size, load


def total_memory() -> int:
    """Returns the size of the machine's memory in bytes."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def begin(plan: str, planned: Size, file: Path) -> Results:
    """Reads the results to extend from a file, or creates new ones if the file does not exist.

    Args:
        plan: Name of the plan, for new results.
        planned: The size to design for, for new results.
        file: The file that may hold results.

    Raises:
        OSError: The file cannot be read.
        ResultsError: The file holds no results of this format.
    """
    return load(file) if file.exists() else fresh(plan, planned)


def fresh(plan: str, planned: Size) -> Results:
    """Creates results without figures for this program on this machine."""
    return Results(
        format=FORMAT,
        plan=plan,
        commit=commit(),
        began=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        machine=Machine(
            cores=os.cpu_count() or 1,
            memory_bytes=total_memory(),
            python=platform.python_version(),
            load=os.getloadavg()[0],
        ),
        planned=planned,
    )


def commit() -> str:
    """Returns the program's commit, with `-dirty` if files are modified, or `unknown`."""
    command = [
        "git",
        "-C",
        str(Path(__file__).parent),
        "describe",
        "--always",
        "--dirty",
        "--abbrev=12",
    ]
    try:
        return subprocess.run(
            command, capture_output=True, text=True, check=True, timeout=10
        ).stdout.strip()
    except (OSError, subprocess.SubprocessError):
        return "unknown"
