"""Starts, signals and reaps the processes of a run, and ends them with the run.

Two mechanisms ensure that no process outlives the run. The kernel kills each process when its
parent dies, and a sweeper process kills the remaining ones when the run's own process is killed
with SIGKILL, which no handler can catch.
"""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from hazelhollow.fault_injection import process_sweeper

_PR_SET_PDEATHSIG = 1  # from <sys/prctl.h>
_LIBC = ctypes.CDLL(None)


def _die_with_parent() -> None:
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass
class Process:
    """A named process and its incarnations.

    Attributes:
        name: the process's name in the plan.
        command: argument vector.
        environment: all environment variables.
        log: file that receives standard output and standard error.
        popen: the current incarnation; None: the process is not running.
        paused: whether it is stopped by SIGSTOP.
        starts: number of incarnations so far.
        cpu: CPU time of the ended incarnations, in seconds.
        max_memory_kb: highest peak memory of any ended incarnation, in kB.
        status: exit status of the last ended incarnation.
    """

    name: str
    command: Sequence[str]
    environment: Mapping[str, str]
    log: Path
    popen: subprocess.Popen[bytes] | None = None
    paused: bool = False
    starts: int = 0
    cpu: float = 0.0
    max_memory_kb: int = 0
    status: int | None = None

    @property
    def pid(self) -> int:
        """The process id; 0 if the process is not running."""
        return self.popen.pid if self.popen else 0

    @property
    def running(self) -> bool:
        """Whether it was started and not yet reaped."""
        return self.popen is not None


class ProcessGroup:
    """The processes of one run, and their sweeper."""

    def __init__(self, folder: Path, keep: bool) -> None:
        self.folder, self.members = folder, dict[str, Process]()
        command = [sys.executable, "-m", "hazelhollow.fault_injection.process_sweeper"]
        if keep:
            command.append("--keep")
        command.append(str(folder))
        self._sweeper = subprocess.Popen(command, stdin=subprocess.PIPE, start_new_session=True)

    def add(self, name: str, command: Sequence[str], environment: Mapping[str, str]) -> Process:
        """Adds a process without starting it; `environment` extends this process's own."""
        log = self.folder / f"{name}.log"
        process = Process(name, command, {**os.environ, **environment}, log)
        self.members[name] = process
        return process

    def start(self, name: str) -> None:
        """Starts a process if it is not running."""
        process = self.members[name]
        if process.running:
            return
        with process.log.open("ab") as out:
            process.popen = subprocess.Popen(
                process.command,
                env=process.environment,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                preexec_fn=_die_with_parent,
            )
        process.starts += 1
        process.paused = False
        started = process_sweeper.start_time(process.pid)
        with (self.folder / process_sweeper.PIDS_FILE).open("a") as pids:
            pids.write(f"{process.pid} {started}\n")

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process if it is running."""
        process = self.members[name]
        if process.popen is None:
            return
        if number == signal.SIGSTOP:
            process.paused = True
        elif number == signal.SIGCONT:
            process.paused = False
        os.kill(process.pid, number)

    def reap(self, name: str, wait: bool = False) -> bool:
        """Reaps a process if it has ended; returns whether it has.

        With `wait`, waits for its end first.
        """
        process = self.members[name]
        if process.popen is None:
            return True
        pid, status, usage = os.wait4(process.pid, 0 if wait else os.WNOHANG)
        if pid == 0:
            return False
        process.popen.returncode = process.status = os.waitstatus_to_exitcode(status)
        process.cpu += usage.ru_utime + usage.ru_stime
        process.max_memory_kb = max(process.max_memory_kb, usage.ru_maxrss)
        process.popen = None
        return True

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has ended."""
        self.signal(name, signal.SIGKILL)
        self.reap(name, wait=True)

    def cpu_of(self, name: str) -> float:
        """Returns the CPU time of all incarnations so far, in seconds."""
        process = self.members[name]
        if process.popen is None:
            return process.cpu
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        return process.cpu + (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def stop(self) -> None:
        """Kills all processes."""
        for name in self.members:
            self.signal(name, signal.SIGKILL)
        for name in self.members:
            self.reap(name, wait=True)

    def close(self) -> None:
        """Kills all processes and ends the sweeper, which removes the folder unless it is kept."""
        self.stop()
        if self._sweeper.stdin:
            self._sweeper.stdin.close()
        self._sweeper.wait()
