"""The coordinator of a scale run: plays each point of a plan.

For each attempt at a point it starts the workers, exchanges messages with them through a folder
(`scale.messages`), monitors them, and assembles their reports into one point. If the workers cannot
keep up with the clock, it makes another attempt with a slower one.

Workers belong to a process group of the fault-injection harness: they end when this process ends
for any reason, and the process sweeper removes what they leave.
"""

from __future__ import annotations

import math
import os
import random
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from hazelhollow.fault_injection.processes import ProcessGroup
from hazelhollow.scale import messages, truth
from hazelhollow.scale.errors import ClockTooFastError, RunError
from hazelhollow.scale.messages import BoundAddresses, FleetAddresses, Job, Report
from hazelhollow.scale.origin import total_memory
from hazelhollow.scale.plan import Plan, PlannedPoint
from hazelhollow.scale.point_assembly import assemble_point
from hazelhollow.scale.results import Point

MEMORY_SHARE = 0.5  # of the machine's memory: the most that the workers may use together
# The dilation of the first attempt is estimated from these values.
LIMITER_CPU_S = 0.025  # processor seconds of a limiter per second, without requests
REQUEST_CPU_S = 0.0006  # processor seconds of a request
CORE_SHARE = 0.6  # share of a worker's core that its limiters may use
MAX_ATTEMPTS = 4  # at a point, each with a slower clock than the one before
SLOWDOWN = 2.0  # factor by which the clock is slowed if workers fell behind at the start
START_DELAY_S = 0.3  # real seconds from the last message to the workers until the clock starts
REPORT_GRACE_S = 60.0  # real seconds that the workers have after a point's end to report
BIND_TIMEOUT_S = 300.0  # real seconds that the workers have to create their limiters
CHECK_INTERVAL_S = 0.2  # real seconds between checks of the workers
# Range of the second octet of the workers' loopback networks (127.x); each worker has its own.
FIRST_NETWORK, LAST_NETWORK = 16, 230


class Coordinator:
    """Plays the points of a plan.

    Args:
        plan: The plan.
        progress: Called with lines of text that report the progress.
    """

    def __init__(self, plan: Plan, progress: Callable[[str], None]) -> None:
        self._plan, self._progress = plan, progress

    def play(self, planned: PlannedPoint) -> Point:
        """Plays one point.

        Raises:
            RunError: A worker failed, or the workers used too much memory or time.
        """
        dilation = planned.terms.dilation or self._estimate_dilation(planned)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            may_slow = not planned.terms.dilation and attempt < MAX_ATTEMPTS
            try:
                return self._attempt(AttemptTerms(self._plan, planned, dilation, may_slow))
            except ClockTooFastError:
                dilation *= SLOWDOWN
                self._progress(
                    f"the workers fell behind the clock; trying again with dilation {dilation:.2f}"
                )
        raise AssertionError("the last attempt never asks for a slower clock")

    def _estimate_dilation(self, planned: PlannedPoint) -> float:
        size, limiters = planned.size, planned.terms.present or planned.size.limiters
        cost = math.ceil(limiters / self._worker_count(limiters)) * (
            LIMITER_CPU_S + REQUEST_CPU_S * size.requests_per_s
        )
        return max(1.0, round(cost / CORE_SHARE, 2))

    def _worker_count(self, limiters: int) -> int:
        return min(self._plan.workers, limiters)

    def _attempt(self, terms: AttemptTerms) -> Point:
        folder = Path(tempfile.mkdtemp(prefix="hazelhollow-scale-"))
        processes = ProcessGroup(folder, keep=False)
        try:
            attempt = PointAttempt(terms, folder, processes)
            reports = attempt.play(self._worker_count(attempt.limiters), self._progress)
            if any(report.behind for report in reports):
                raise ClockTooFastError
            return assemble_point(
                terms.plan, terms.planned, terms.dilation, reports, attempt.rows()
            )
        except (TimeoutError, OSError, msgspec.DecodeError) as error:
            raise RunError(str(error)) from error
        finally:
            processes.close()


@dataclass(frozen=True)
class AttemptTerms:
    """Parameters of one attempt at a point.

    Attributes:
        plan: The plan that the point belongs to.
        planned: The point.
        dilation: Real seconds for one second of the run's clock.
        may_slow: Whether workers that fall behind at the start may ask for a slower clock.
    """

    plan: Plan
    planned: PlannedPoint
    dilation: float
    may_slow: bool


class PointAttempt:
    """One attempt at a point: its workers, and the folder through which messages are exchanged.

    Args:
        terms: Parameters of the attempt.
        folder: An empty folder, which the process group removes.
        processes: The process group that the workers join.
    """

    def __init__(self, terms: AttemptTerms, folder: Path, processes: ProcessGroup) -> None:
        self._terms, self._folder, self._processes = terms, folder, processes
        planned = terms.planned
        self.limiters = planned.terms.present or planned.size.limiters
        self._names = list[str]()

    def play(self, workers: int, progress: Callable[[str], None]) -> list[Report]:
        """Starts that many workers and returns their reports.

        Raises:
            RunError: A worker ended early, or the workers use too much memory.
            TimeoutError: A worker's message did not arrive in time.
            OSError: A message could not be written or read.
            msgspec.DecodeError: A message is malformed.
        """
        jobs = self._jobs(workers)
        for number, job in enumerate(jobs):
            messages.write(job, self._folder / f"{number}.job")
            self._start(number)
        bound = [
            self._wait(number, "bound", BoundAddresses, BIND_TIMEOUT_S) for number in range(workers)
        ]
        addresses = {
            number: address
            for job, worker_addresses in zip(jobs, bound, strict=True)
            for number, address in zip(job.here, worker_addresses.addresses, strict=True)
        }
        messages.write(
            FleetAddresses(
                addresses=addresses, began=time.monotonic() + START_DELAY_S, shows=time.time()
            ),
            self._folder / "wired",
        )
        progress(
            f"{self.limiters} limiters in {workers} workers, dilation {self._terms.dilation:g}"
        )
        timeout_s = self._terms.planned.terms.most_real_s + REPORT_GRACE_S
        return [self._wait(number, "report", Report, timeout_s) for number in range(workers)]

    def _jobs(self, workers: int) -> list[Job]:
        """Creates the workers' jobs; limiters are assigned in turn, so that each has all zones."""
        first = random.Random(os.urandom(8)).randint(FIRST_NETWORK, LAST_NETWORK)
        terms, planned = self._terms, self._terms.planned
        return [
            Job(
                size=planned.size,
                terms=planned.terms,
                fleet=planned.fleet,
                seed=terms.plan.seed,
                here=tuple(range(number, self.limiters, workers)),
                dilation=terms.dilation,
                may_slow=terms.may_slow,
                net=f"127.{first + number}",
            )
            for number in range(workers)
        ]

    def _start(self, number: int) -> None:
        name = f"worker-{number}"
        module = [sys.executable, "-m", "hazelhollow.scale.worker"]
        self._processes.add(name, [*module, str(self._folder), str(number)], {})
        self._processes.start(name)
        self._names.append(name)

    def _wait(
        self, number: int, message_name: str, kind: type[messages.Message], seconds: float
    ) -> messages.Message:
        """Waits for a worker's message, and checks periodically that all workers are healthy.

        Raises:
            RunError: A worker ended without its report, or the workers use too much memory.
            TimeoutError: The message did not arrive in time.
        """
        deadline = time.monotonic() + seconds
        while (received := messages.read(self._folder / f"{number}.{message_name}", kind)) is None:
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"worker {number} sent no {message_name} message within {seconds:.0f} s"
                )
            self._check_workers()
            time.sleep(CHECK_INTERVAL_S)
        return received

    def _check_workers(self) -> None:
        for number, name in enumerate(self._names):
            ended = self._processes.reap(name)
            if ended and not (self._folder / f"{number}.report").exists():
                log = (self._folder / f"{name}.log").read_text(errors="replace")
                lines = log.strip().splitlines()
                raise RunError(
                    f"worker {number} ended: {lines[-1] if lines else 'it logged nothing'}"
                )
        used = sum(_resident_bytes(self._processes.members[name].pid) for name in self._names)
        if used > MEMORY_SHARE * total_memory():
            raise RunError(f"the workers use {used >> 20} MB, more than their share of the memory")

    def rows(self) -> list[truth.Row]:
        """Returns all requests of the point in the order of their times."""
        return truth.read_rows(sorted(self._folder.glob("*.requests")))


def _resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes; 0 if the process does not run."""
    if not pid:
        return 0
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except OSError:
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
