"""Ends what a harness started when the harness itself is gone.

Started beside it, it waits for the end of its standard input.

`python -m hazelhollow.fault_injection.process_sweeper FOLDER`: the folder holds `pids`, a line `PID
START` for each process, START as the system's own count of when it began, so that another process
that has got the number since is left alone. Then it removes the folder. It imports nothing of the
rest.
"""

from __future__ import annotations

import os
import shutil
import signal
import sys
from pathlib import Path


def started(pid: int) -> str:
    """When a process began, in the system's ticks; nothing if there is none."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[19]
    except (OSError, IndexError):
        return ""


def sweep(folder: Path) -> list[int]:
    """Kills what the folder names and is still there, and gives the numbers."""
    try:
        lines = (folder / "pids").read_text().splitlines()
    except OSError:
        lines = []
    found = [
        (int(pid), start)
        for pid, start in (line.split() for line in lines if len(line.split()) == 2)
    ]
    alive = [pid for pid, start in found if started(pid) == start]
    for pid in alive:
        os.kill(pid, signal.SIGKILL)
    return alive


def main() -> None:
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(
            number, signal.SIG_IGN
        )  # Ctrl-C goes to the whole group; this one ends after the others
    keep, folder = sys.argv[1] == "--keep", Path(sys.argv[-1])
    sys.stdin.read()
    sweep(folder)
    if not keep:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
