"""A scale run.

For each point its workers are started, told of each other, watched and reaped, and their reports
become one.

Workers are started by the harness's process group: they die with this process, whatever ends it,
and the process sweeper beside it sweeps up.
"""

from __future__ import annotations

import math
import os
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from hazelhollow.fault_injection.processes import ProcessGroup
from hazelhollow.scale import measure, messages, truth
from hazelhollow.scale.errors import ClockTooFastError, RunError
from hazelhollow.scale.load import populate
from hazelhollow.scale.messages import Bound, Job, Lag, Report, SeenEvent, Wired
from hazelhollow.scale.network import DatagramLedger
from hazelhollow.scale.origin import total_memory
from hazelhollow.scale.plan import Plan, PlannedPoint
from hazelhollow.scale.results import NO_TIMES, Event, Point, Quotas, Spread
from hazelhollow.scale.worker import fell_behind

MEMORY_SHARE = 0.5  # of the machine's, which the workers may use together
LIMITER_S, REQUEST_S = (
    0.025,
    0.0006,
)  # processor seconds of a limiter a second, and of a request, that are guessed at first
FILLED = 0.6  # of a worker's core that the guess fills
MAX_ATTEMPTS = 4
SLOWER = 2.0  # times by which the clock is slowed where workers fell behind at the start
LEAD_S = 0.3  # real seconds from the last word to the workers to the clock's begin
GRACE_S = 60.0  # real seconds past a point's end in which its workers report
BIND_S = 300.0  # real seconds in which workers build their limiters
LOOK_S = 0.2
NETS = (16, 230)  # second numbers of the loopback addresses that workers get, one each


class Coordinator:
    """`progress` gets a line now and then."""

    def __init__(self, plan: Plan, progress: Callable[[str], None]) -> None:
        self._plan, self._progress = plan, progress

    def play(self, planned: PlannedPoint) -> Point:
        """One point; raises RunError."""
        dilation = planned.terms.dilation or self._guess(planned)
        for tries in range(1, MAX_ATTEMPTS + 1):
            may_slow = not planned.terms.dilation and tries < MAX_ATTEMPTS
            try:
                return self._try(planned, dilation, may_slow)
            except ClockTooFastError:
                dilation *= SLOWER
                self._progress(
                    f"the workers fell behind; again with a clock {dilation:.2f} times slower"
                )
        raise AssertionError("the last try never asks for a slower clock")

    def _guess(self, planned: PlannedPoint) -> float:
        size, limiters = planned.size, planned.terms.present or planned.size.limiters
        cost = math.ceil(limiters / self._workers(limiters)) * (
            LIMITER_S + REQUEST_S * size.requests_per_s
        )
        return max(1.0, round(cost / FILLED, 2))

    def _workers(self, limiters: int) -> int:
        return min(self._plan.workers, limiters)

    def _try(self, planned: PlannedPoint, dilation: float, may_slow: bool) -> Point:
        folder = Path(tempfile.mkdtemp(prefix="hazelhollow-scale-"))
        processes = ProcessGroup(folder, keep=False)
        try:
            table = Table(self._plan, planned, dilation, may_slow, folder, processes)
            reports = table.play(self._workers(table.limiters), self._progress)
            if any(report.behind for report in reports):
                raise ClockTooFastError
            return point_of(self._plan, planned, dilation, reports, table.rows())
        except (TimeoutError, OSError, msgspec.DecodeError) as error:
            raise RunError(str(error)) from error
        finally:
            processes.close()


class Table:
    """One try at a point.

    The workers, and the folder in which they and this process leave each other messages.
    """

    def __init__(
        self,
        plan: Plan,
        planned: PlannedPoint,
        dilation: float,
        may_slow: bool,
        folder: Path,
        processes: ProcessGroup,
    ) -> None:
        self._plan, self._planned, self._folder, self._processes = plan, planned, folder, processes
        self._dilation, self._may_slow = dilation, may_slow
        self.limiters = planned.terms.present or planned.size.limiters
        self._names = list[str]()

    def play(self, workers: int, progress: Callable[[str], None]) -> list[Report]:
        """Raises RunError, TimeoutError, OSError or msgspec.DecodeError."""
        jobs = self._jobs(workers)
        for number, job in enumerate(jobs):
            messages.write(job, self._folder / f"{number}.job")
            self._start(number)
        bound = [self._wait(number, "bound", Bound, BIND_S) for number in range(workers)]
        addresses = {
            number: address
            for job, one in zip(jobs, bound, strict=True)
            for number, address in zip(job.here, one.addresses, strict=True)
        }
        messages.write(
            Wired(addresses=addresses, began=time.monotonic() + LEAD_S, shows=time.time()),
            self._folder / "wired",
        )
        progress(f"{self.limiters} limiters in {workers} workers, dilation {self._dilation:g}")
        longest = self._planned.terms.most_real_s + GRACE_S
        return [self._wait(number, "report", Report, longest) for number in range(workers)]

    def _jobs(self, workers: int) -> list[Job]:
        """Limiters are dealt out in turn, so that each worker has some of every zone."""
        first = random.Random(os.urandom(8)).randint(*NETS)
        return [
            Job(
                size=self._planned.size,
                terms=self._planned.terms,
                fleet=self._planned.fleet,
                seed=self._plan.seed,
                here=tuple(range(number, self.limiters, workers)),
                dilation=self._dilation,
                may_slow=self._may_slow,
                net=f"127.{first + number}",
            )
            for number in range(workers)
        ]

    def _start(self, number: int) -> None:
        name = f"worker-{number}"
        words = [sys.executable, "-m", "hazelhollow.scale.worker", str(self._folder), str(number)]
        self._processes.add(name, words, {})
        self._processes.start(name)
        self._names.append(name)

    def _wait(
        self, number: int, what: str, kind: type[messages.Message], seconds: float
    ) -> messages.Message:
        """A worker's message.

        Raises RunError where the worker ends without it or the workers together grow too large.
        """
        until = time.monotonic() + seconds
        while (found := messages.read(self._folder / f"{number}.{what}", kind)) is None:
            if time.monotonic() > until:
                raise TimeoutError(f"worker {number}: no {what} after {seconds:.0f} s")
            self._look(number)
            time.sleep(LOOK_S)
        return found

    def _look(self, waited_for: int) -> None:
        for number, name in enumerate(self._names):
            over = self._processes.reap(name) and not (self._folder / f"{number}.report").exists()
            if over:
                log = (
                    (self._folder / f"{name}.log").read_text(errors="replace").strip().splitlines()
                )
                raise RunError(f"worker {number} ended: {log[-1] if log else 'without a word'}")
        used = sum(_resident(self._processes.members[name].pid) for name in self._names)
        if used > MEMORY_SHARE * total_memory():
            raise RunError(f"the workers use {used >> 20} MB, more than their share of the memory")

    def rows(self) -> list[truth.Row]:
        """All requests of the point."""
        return truth.read_rows(sorted(self._folder.glob("*.requests")))


def _resident(pid: int) -> int:
    try:
        return (
            int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
            if pid
            else 0
        )
    except OSError:
        return 0


# From reports to a point


def point_of(
    plan: Plan,
    planned: PlannedPoint,
    dilation: float,
    reports: Sequence[Report],
    rows: Sequence[truth.Row],
) -> Point:
    """What the workers measured together; `rows`: all requests in the order of their times."""
    limiters = sum(report.limiters for report in reports)
    seconds = sum(report.limiters * report.seconds for report in reports) / limiters
    shortest = min(report.seconds for report in reports)
    measured_at = max(report.measured_at_s for report in reports)
    seen = _by_event(reports)
    windows = [truth.Window(measured_at, measured_at + shortest)]
    windows += [truth.Window(one[0].at_s, one[0].at_s + one[0].window_s) for one in seen]
    whole, *by_event = truth.judge(rows, populate(planned.size, planned.fleet, plan.seed), windows)
    sums = measure.zero_totals()
    for report in reports:
        for role, one in report.roles.items():
            sums[role].add(one)
    grown = sum(report.memory_after - report.memory_before for report in reports)
    return Point(
        axis=planned.axis,
        size=planned.size,
        seed=plan.seed,
        seconds=seconds,
        dilation=dilation,
        hollow=limiters,
        real=0,
        roles=measure.to_records(sums),
        loop_s=sum(report.loop_s for report in reports) / len(reports),
        memory_bytes=max(0.0, grown / limiters),
        quotas=whole,
        events=tuple(_event(one, quotas) for one, quotas in zip(seen, by_event, strict=True)),
        notes=tuple(_notes(plan, planned, reports)),
    )


def _by_event(reports: Sequence[Report]) -> list[list[SeenEvent]]:
    """Events that all workers have seen to their end, each as all of them saw it."""
    return [list(same) for same in zip(*(report.events for report in reports), strict=False)]


def _event(seen: Sequence[SeenEvent], quotas: Quotas) -> Event:
    whole, members = measure.Traffic(), sum(one.members for one in seen)
    for one in seen:
        whole.add(one.traffic)
    return Event(
        kind=seen[0].kind,
        at_s=seen[0].at_s,
        until_agreed=spread([value for one in seen for value in one.until]),
        worst_second_bytes_mean=whole.worst_mean_rate(1, members, seen[0].window_s),
        worst_second_bytes_most=float(max(whole.most.values(), default=0)),
        worst_ten_seconds_bytes_mean=whole.worst_mean_rate(10, members, seen[0].window_s),
        false_deaths=len({number for one in seen for number in one.falsely_dead}),
        quotas=quotas,
        longest_turn_s=max(one.longest_turn_s for one in seen),
    )


def spread(values: Sequence[float | None]) -> Spread:
    """Of the members that got there; how many did stands beside it."""
    reached = sorted(value for value in values if value is not None)
    if not reached:
        return Spread(median=0.0, p99=0.0, worst=0.0, reached=0, of=len(values))
    return Spread(
        median=_at_share(reached, 0.5),
        p99=_at_share(reached, 0.99),
        worst=reached[-1],
        reached=len(reached),
        of=len(values),
    )


def _at_share(values: Sequence[float], share: float) -> float:
    """The least of the sorted values that so large a share of them does not pass."""
    return values[min(len(values) - 1, math.ceil(share * len(values)) - 1)]


def _notes(plan: Plan, planned: PlannedPoint, reports: Sequence[Report]) -> list[str]:
    """What a reader of the figures must know."""
    notes, ledger = list[str](), DatagramLedger()
    for report in reports:
        ledger.add(report.ledger)
    notes.append(
        f"datagrams of the whole run: out {ledger.out}, in {ledger.came}, cut "
        f"{ledger.cut}, to limiters that are down or"
        f" not played {ledger.to_dead}, dropped by the system {ledger.dropped}"
    )
    if ledger.out != ledger.came + ledger.lost():
        notes.append(f"{ledger.out - ledger.came - ledger.lost()} datagrams are not accounted for")
    notes += [f"worker {n}: {report.missing}" for n, report in enumerate(reports) if report.missing]
    notes += _behind(reports)
    if planned.size.requests_per_s < plan.planned.requests_per_s:
        rate = planned.size.requests_per_s
        notes.append(
            f"{rate:g} requests a second a limiter, {plan.planned.requests_per_s:g} are planned"
        )
    refusals = Counter[str]()
    for report in reports:
        refusals.update(report.refusals)
    if refusals:
        words = ", ".join(f"{why} {count}" for why, count in refusals.most_common())
        notes.append(f"refused from the start to the end of measuring, by reason: {words}")
    before = max(report.memory_before for report in reports)
    notes.append(
        f"a worker has {before / 2**20:.0f} MB before its limiters, which memory leaves out"
    )
    if any(report.shared_settings for report in reports):
        notes.append(
            "the limiters of a process share one settings object, so that memory tells "
            "less than a real one's"
        )
    roles = sum(one.cpu_ns for report in reports for one in report.roles.values()) / 1e9
    whole = sum(report.processor_s for report in reports)
    if whole:
        waited = sum(report.waited_s for report in reports)
        notes.append(
            f"the workers ran for {whole:.1f} s while measuring, and waited {waited:.1f} "
            "s for a processor"
        )
        notes.append(
            f"{1 - roles / whole:.0%} of the workers' processor time is of no role: the "
            "load, the loop, the collector"
        )
    return notes


def _behind(reports: Sequence[Report]) -> list[str]:
    """Where the figures of time are those of workers that were too slow."""
    measured = Lag()
    for report in reports:
        measured.add(report.lag)
    found = [_late("measuring", measured)] if fell_behind(measured) else []
    for seen in _by_event(reports):
        lag = Lag()
        for one in seen:
            lag.add(one.lag)
        if fell_behind(lag):
            found.append(_late(seen[0].kind.value, lag))
    return found


def _late(what: str, lag: Lag) -> str:
    return (
        f"{what}: workers fell behind the clock, by {lag.worst_s:.2f} s at the worst, in "
        f"{lag.late} of {lag.looks} looks:"
        f" {NO_TIMES}"
    )
