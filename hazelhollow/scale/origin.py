"""Where results come from: the commit of the program, the machine and its load, and the time."""

from __future__ import annotations

import os
import platform
import subprocess
import time
from pathlib import Path

from hazelhollow.scale.results import FORMAT, Machine, Results, Size, load


def total_memory() -> int:
    """Bytes that the machine has."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def begin(plan: str, planned: Size, file: Path) -> Results:
    """The results that the file has, to be added to, or new ones.

    Raises OSError or ResultsError for a file that holds none.
    """
    return load(file) if file.exists() else fresh(plan, planned)


def fresh(plan: str, planned: Size) -> Results:
    """Results without a point, of this program on this machine now."""
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
    """Of the program, where it runs from a repository; with a mark where it was changed since."""
    words = [
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
            words, capture_output=True, text=True, check=True, timeout=10
        ).stdout.strip()
    except (OSError, subprocess.SubprocessError):
        return "unknown"
