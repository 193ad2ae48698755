"""The origin of results: the commit of the program, the machine and its load, and the time."""

from __future__ import annotations

import os
import platform
import subprocess
import time
from pathlib import Path

from hazelhollow.scale.results import FORMAT, Machine, Results, Size, load


def total_memory() -> int:
    """Bytes of the machine's memory."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def begin(plan: str, planned: Size, file: Path) -> Results:
    """The results in a file, to be added to, or new ones if there is no file.

    Args:
        plan: Name of the plan, for new results.
        planned: The size to design for, for new results.
        file: Where results may be.

    Raises:
        OSError: The file cannot be read.
        ResultsError: It holds no results of this format.
    """
    return load(file) if file.exists() else fresh(plan, planned)


def fresh(plan: str, planned: Size) -> Results:
    """Results without any figures, of this program on this machine now."""
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
    """The commit that the program runs from, with `-dirty` if files have changed; or `unknown`."""
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
