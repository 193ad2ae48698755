"""The real processes of a run: started, signalled, reaped, and gone when the run is.

Two guards make sure that no process outlives the run: each is killed by the kernel when its parent
dies, and a sweeper process kills what is left when the run's own process is killed with SIGKILL,
which no handler can catch.
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

_SET_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG
_LIBRARY = ctypes.CDLL(None)


def _die_with_parent() -> None:
    _LIBRARY.prctl(_SET_DEATH_SIGNAL, signal.SIGKILL)


@dataclass
class Process:
    """One named process through all its incarnations.

    Attributes:
        name: as the plan calls it.
        command: argument vector.
        environment: all variables.
        log: file that gets its output.
        popen: the present incarnation; None: it does not run.
        paused: stopped by SIGSTOP.
        starts: incarnations so far.
        cpu: seconds of processor time of the ended incarnations.
        max_memory_kb: most memory of any ended incarnation.
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
        """Number of the process; 0: it does not run."""
        return self.popen.pid if self.popen else 0

    @property
    def running(self) -> bool:
        """From its start until it was reaped."""
        return self.popen is not None


class ProcessGroup:
    """The processes of one run, with the sweeper beside them."""

    def __init__(self, folder: Path, keep: bool) -> None:
        self.folder, self.members = folder, dict[str, Process]()
        command = [sys.executable, "-m", "hazelhollow.fault_injection.process_sweeper"]
        if keep:
            command.append("--keep")
        command.append(str(folder))
        self._sweeper = subprocess.Popen(command, stdin=subprocess.PIPE, start_new_session=True)

    def add(self, name: str, command: Sequence[str], environment: Mapping[str, str]) -> Process:
        """Adds a process without starting it; `environment` adds to this process's own."""
        log = self.folder / f"{name}.log"
        process = Process(name, command, {**os.environ, **environment}, log)
        self.members[name] = process
        return process

    def start(self, name: str) -> None:
        """Starts a process, unless it runs."""
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
        """Sends a signal, if the process runs."""
        process = self.members[name]
        if process.popen is None:
            return
        if number == signal.SIGSTOP:
            process.paused = True
        elif number == signal.SIGCONT:
            process.paused = False
        os.kill(process.pid, number)

    def reap(self, name: str, wait: bool = False) -> bool:
        """Whether the process has ended; with `wait` returns only when it has."""
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
        """Kills a process and waits for its end."""
        self.signal(name, signal.SIGKILL)
        self.reap(name, wait=True)

    def cpu_of(self, name: str) -> float:
        """Seconds of processor time of all incarnations so far."""
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
        """Kills all processes, then ends the sweeper, which removes the folder unless kept."""
        self.stop()
        if self._sweeper.stdin:
            self._sweeper.stdin.close()
        self._sweeper.wait()
