"""Kills the processes of a run when the run's own process has ended.

`python -m hazelhollow.fault_injection.process_sweeper [--keep] FOLDER` waits until its standard
input, a pipe from the run, is closed. The file `pids` in the folder has a line `PID START` for each
process. START is the start time that the kernel reports: it spares another process to which the
PID has been reassigned. Afterwards the folder is removed, unless `--keep` is given.

This module imports no other module of the package.
"""

from __future__ import annotations

import os
import shutil
import signal
import sys
from pathlib import Path

PIDS_FILE = "pids"


def start_time(pid: int) -> str:
    """Returns when a process started, in clock ticks since boot; empty if it does not exist."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[19]
    except (OSError, IndexError):
        return ""


def sweep(folder: Path) -> list[int]:
    """Kills the listed processes that still run and returns their PIDs."""
    try:
        lines = (folder / PIDS_FILE).read_text().splitlines()
    except OSError:
        lines = []
    entries = [line.split() for line in lines]
    # A line that was cut short when the run was killed has no start time.
    running = [
        int(entry[0])
        for entry in entries
        if len(entry) == 2 and start_time(int(entry[0])) == entry[1]
    ]
    for pid in running:
        os.kill(pid, signal.SIGKILL)
    return running


def main() -> None:
    """Waits until standard input is closed, then kills the remaining processes."""
    # Ctrl-C signals every process of the group; the sweeper must end after the others.
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    keep, folder = sys.argv[1] == "--keep", Path(sys.argv[-1])
    sys.stdin.read()
    sweep(folder)
    if not keep:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
