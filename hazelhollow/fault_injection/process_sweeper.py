"""Kills the processes of a run when the run's own process is gone. Imports nothing of the rest.

`python -m hazelhollow.fault_injection.process_sweeper [--keep] FOLDER` waits for the end of its
standard input, a pipe from the run. The folder holds the file `pids`, a line `PID START` for each
process. START is the kernel's start time, so that another process that has got the same number
since is left alone. Then the folder is removed, unless `--keep` is given.
"""

from __future__ import annotations

import os
import shutil
import signal
import sys
from pathlib import Path

PIDS_FILE = "pids"


def start_time(pid: int) -> str:
    """When a process started, in clock ticks since boot; empty if there is none."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[19]
    except (OSError, IndexError):
        return ""


def sweep(folder: Path) -> list[int]:
    """Kills the processes that the folder's file names and that still run; their numbers."""
    try:
        lines = (folder / PIDS_FILE).read_text().splitlines()
    except OSError:
        lines = []
    entries = [line.split() for line in lines]
    # A line that was cut short by the end of the run has no start time.
    running = [
        int(entry[0])
        for entry in entries
        if len(entry) == 2 and start_time(int(entry[0])) == entry[1]
    ]
    for pid in running:
        os.kill(pid, signal.SIGKILL)
    return running


def main() -> None:
    """Waits for the end of standard input, then sweeps."""
    # Ctrl-C goes to the whole process group; the sweeper must end after the others.
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    keep, folder = sys.argv[1] == "--keep", Path(sys.argv[-1])
    sys.stdin.read()
    sweep(folder)
    if not keep:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
