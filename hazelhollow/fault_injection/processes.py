"""Real processes.

Started, killed, stopped, reaped, and gone when the harness is, however the harness ends.
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
    """`running` from its start until it was reaped.

    `cpu`: seconds of this and its earlier incarnations.
    """

    name: str
    command: Sequence[str]
    environment: Mapping[str, str]
    log: Path
    popen: subprocess.Popen[bytes] | None = None
    paused: bool = False
    starts: int = 0
    cpu: float = 0.0
    most_kb: int = 0  # of memory, in any incarnation
    status: int | None = None  # of the last incarnation that ended

    @property
    def pid(self) -> int:
        return self.popen.pid if self.popen else 0

    @property
    def running(self) -> bool:
        return self.popen is not None


class ProcessGroup:
    """The processes of one harness, with the process sweeper beside them."""

    def __init__(self, folder: Path, keep: bool) -> None:
        self.folder, self.members = folder, dict[str, Process]()
        words = [
            sys.executable,
            "-m",
            "hazelhollow.fault_injection.process_sweeper",
            *(["--keep"] if keep else []),
            str(folder),
        ]
        self._sweeper = subprocess.Popen(words, stdin=subprocess.PIPE, start_new_session=True)

    def add(self, name: str, command: Sequence[str], environment: Mapping[str, str]) -> Process:
        one = self.members[name] = Process(
            name, command, {**os.environ, **environment}, self.folder / f"{name}.log"
        )
        return one

    def start(self, name: str) -> None:
        one = self.members[name]
        if one.running:
            return
        with one.log.open("ab") as out:
            one.popen = subprocess.Popen(
                one.command,
                env=one.environment,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                preexec_fn=_die_with_parent,
            )
        one.starts += 1
        one.paused = False
        with (self.folder / "pids").open("a") as book:
            book.write(f"{one.pid} {process_sweeper.started(one.pid)}\n")

    def signal(self, name: str, number: int) -> None:
        one = self.members[name]
        if one.popen:
            one.paused = {signal.SIGSTOP: True, signal.SIGCONT: False}.get(
                signal.Signals(number), one.paused
            )
            os.kill(one.pid, number)

    def reap(self, name: str, wait: bool = False) -> bool:
        """Whether it is over. With `wait` it stays until it is."""
        one = self.members[name]
        if one.popen is None:
            return True
        pid, status, usage = os.wait4(one.pid, 0 if wait else os.WNOHANG)
        if pid == 0:
            return False
        one.popen.returncode = one.status = os.waitstatus_to_exitcode(status)
        one.cpu += usage.ru_utime + usage.ru_stime
        one.most_kb = max(one.most_kb, usage.ru_maxrss)
        one.popen = None
        return True

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        self.reap(name, wait=True)

    def cpu_of(self, name: str) -> float:
        """Seconds of processor time of all its incarnations so far."""
        one = self.members[name]
        if one.popen is None:
            return one.cpu
        fields = Path(f"/proc/{one.pid}/stat").read_text().rpartition(")")[2].split()
        return one.cpu + (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def stop(self) -> None:
        """All processes end."""
        for name in self.members:
            self.signal(name, signal.SIGKILL)
        for name in self.members:
            self.reap(name, wait=True)

    def close(self) -> None:
        """Everything ends, the process sweeper last.

        It removes the folder unless it is to be kept.
        """
        self.stop()
        if self._sweeper.stdin:
            self._sweeper.stdin.close()
        self._sweeper.wait()
