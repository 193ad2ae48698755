"""One process of a scale run: its limiters on one scheduler, from their start to the report.

`python -m hazelhollow.scale.worker FOLDER NUMBER` reads `NUMBER.job`, writes `NUMBER.bound`, waits
for `wired` and writes `NUMBER.report` and, with one row for each request, `NUMBER.requests`.
"""

from __future__ import annotations

import logging
import os
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hazelhollow.net.gc_pauses import shorten_collector_pauses
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.scale import messages
from hazelhollow.scale.clock import DilatedClock, DilatedPoller
from hazelhollow.scale.fleet import HollowFleet
from hazelhollow.scale.load import populate
from hazelhollow.scale.measure import Meter, reference_loop_ns
from hazelhollow.scale.messages import Bound, Job, Lag, Report, SeenEvent, Wired
from hazelhollow.scale.plan import PlannedEvent
from hazelhollow.scale.results import EventKind

START_SPREAD_S = 0.25  # in which all limiters start
LAG_CHECK_INTERVAL_S = 0.25  # between looks at the worker's own clock
LATE_CHECK_S = 0.1  # by which such a look is late
MAX_LATE_SHARE = 0.05  # of the looks, and
MAX_LAG_S = 0.5  # of one of them, before the worker counts as fallen behind
MAX_LATE_SHARE_AT_START = 0.2  # of the looks during the start, before a slower clock is asked for
WAIT_FOR_OTHERS_S = 300.0  # real seconds in which all workers have bound their sockets
IN_TRANSIT_S = 0.5  # after the end, in which datagrams that are on their way come in
CLOSE_BEFORE_S = 0.001  # the next event, so that a window holds nothing of it


def memory_bytes() -> int:
    """Of this process, as the system counts what is resident."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def waited_s() -> float:
    """Real seconds in which this process could have run and other work had the processor.

    0 where the system does not tell.
    """
    try:
        return int(Path("/proc/self/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        return 0.0


def fell_behind(lag: Lag) -> bool:
    """Whether the figures of a process with that lag are those of its slowness."""
    return lag.late > MAX_LATE_SHARE * lag.looks or lag.worst_s > MAX_LAG_S


class Worker:
    """Plays its limiters through the start, the measuring and the events.

    The clock begins with `wire_up`.
    """

    def __init__(self, job: Job) -> None:
        self._job = job
        self._clock = DilatedClock(time.monotonic(), time.time(), job.dilation)
        self._poller = DilatedPoller(job.dilation)
        self._scheduler = Scheduler(lambda: self._clock(), self._poller)
        self._meter, self._lag, self._loops = Meter(), Lag(), list[int]()
        population = populate(job.size, job.fleet, job.seed)
        self._report = Report(limiters=len(job.here), memory_before=memory_bytes())
        self.fleet = HollowFleet(job, population, self._scheduler, self._meter, self._second)
        self._report.shared_settings = self.fleet.shares_settings
        self._scheduler.on_process_pause = self.fleet.on_process_pause
        self._began = self._window_began = self._real_until = self._processor = self._waited = 0.0
        self._began_measuring: float | None = None
        # when every tenant had asked once, before which nothing could be in time
        self._burst_over = 0.0
        self._ended = False

    def bound(self) -> Bound:
        """Where its limiters listen."""
        return Bound(addresses=tuple(one.peers.address for one in self.fleet.members.values()))

    def wire_up(self, wired: Wired) -> None:
        """All addresses are known, and the clock begins."""
        self._clock = DilatedClock(wired.began, wired.shows, self._job.dilation)
        self._began = self._window_began = wired.shows
        self.fleet.begin(wired.addresses, wired.shows)

    # Time

    def _second(self) -> int:
        return int(self._scheduler.clock() - self._window_began)

    def _look(self, due: float) -> None:
        late = self._scheduler.clock() - max(due, self._burst_over)
        self._lag.looks += 1
        self._lag.late += late > LATE_CHECK_S
        self._lag.worst_s = max(self._lag.worst_s, late)
        self._loops.append(reference_loop_ns())
        following = max(due + LAG_CHECK_INTERVAL_S, self._scheduler.clock())
        self._scheduler.at(following, self._look, following)

    def _at(self, at_s: float, call: Callable[..., object], *args: Any) -> None:
        self._scheduler.at(self._began + at_s, call, *args)

    def _overdue(self) -> bool:
        return time.monotonic() > self._real_until

    # A point, from its start to its end

    def play(self, real_until: float) -> Report:
        """Until the last window has passed, or the machine's monotonic clock shows `real_until`."""
        self._real_until = real_until
        self._schedule()
        while not self._ended and not self._overdue():
            self._scheduler.turn()
        if not self._ended:
            passed, allowed = self._scheduler.clock() - self._began, self._job.terms.most_real_s
            self._report.missing = (
                f"ended after {allowed:g} s of real time, {passed:.1f} s into the run"
            )
            if not self._report.seconds:
                self._stop_measuring()
        self._settle()
        return self._report

    def _schedule(self) -> None:
        chance = random.Random(f"starts {self._job.seed}")
        starts = [chance.uniform(0.0, START_SPREAD_S) for _ in range(self._job.size.limiters)]
        for number in self.fleet.members:
            self.fleet.start_at(number, starts[number])
        self._scheduler.at(self._began, self._look, self._began)
        self._at(self._job.terms.settle_s, self._measure)

    def _measure(self) -> None:
        """The start is over.

        Where the clock was too fast for it, nothing that follows is worth measuring.
        """
        if self._job.may_slow and self._lag.late > MAX_LATE_SHARE_AT_START * self._lag.looks:
            self._report.behind = self._ended = True
            return
        self._close_window(EventKind.START, 0.0, self._job.terms.settle_s)
        if self._job.terms.every_tenant_first:
            self.fleet.request_for_every_tenant(self._overdue)
            self._burst_over = self._scheduler.clock()
        self._lag, self._loops = Lag(), []
        self._meter.take_totals()
        self._began_measuring = self._scheduler.clock()
        self._processor, self._waited = time.process_time(), waited_s()
        self._scheduler.at(self._began_measuring + self._job.terms.seconds, self._measured)

    def _measured(self) -> None:
        self._stop_measuring()
        at = self._job.terms.settle_s + self._job.terms.seconds
        for event in self._job.terms.events:
            self._at(at, self._begin_event, event, at)
            at += event.window_s
        self._at(at, self._finish)

    def _stop_measuring(self) -> None:
        began, report = self._began_measuring, self._report
        if began is None:
            return
        report.measured_at_s = began - self._began
        report.seconds = self._scheduler.clock() - began
        report.roles = self._meter.take_totals()
        report.processor_s = time.process_time() - self._processor
        report.waited_s = waited_s() - self._waited
        report.memory_after = memory_bytes() - self.fleet.rows.itemsize * len(self.fleet.rows)
        report.lag, report.refusals = self._lag, self.fleet.refusals()
        report.loop_s = sum(self._loops) / max(1, len(self._loops)) / 1e9

    def _begin_event(self, event: PlannedEvent, at_s: float) -> None:
        self._window_began, self._lag = self._scheduler.clock(), Lag()
        self._meter.take_totals()
        self.fleet.apply_event(event.kind, at_s)
        end_s = at_s + event.window_s - CLOSE_BEFORE_S
        self._at(end_s, self._close_window, event.kind, at_s, event.window_s)

    def _close_window(self, kind: EventKind, at_s: float, window_s: float) -> None:
        seen = SeenEvent(
            kind=kind,
            at_s=at_s,
            window_s=window_s,
            until=self.fleet.seconds_until_agreed(kind, at_s),
            traffic=self.fleet.traffic(),
            members=len(self.fleet.members),
            lag=self._lag,
            falsely_dead=self.fleet.falsely_dead(),
            longest_turn_s=self._meter.longest_turn_s(),
        )
        self._report.events.append(seen)

    def _finish(self) -> None:
        self._ended = True

    def _settle(self) -> None:
        """Nobody says anything more.

        What is on its way still comes in, so that the ledger is whole.
        """
        self.fleet.silence()
        self._scheduler.on_process_pause = None
        until = time.monotonic() + IN_TRANSIT_S
        while time.monotonic() < until:
            self._scheduler.turn(longest=IN_TRANSIT_S / 10 / self._job.dilation)
        self._report.ledger = self.fleet.network.ledger
        self._report.ledger.dropped = self.fleet.dropped_datagrams()

    def close(self) -> None:
        """No socket is left."""
        self.fleet.close()
        self._poller.close()


def run(folder: Path, number: int) -> None:
    """Plays one worker's part; raises TimeoutError where the others do not come."""
    job = messages.wait_for(folder / f"{number}.job", Job, WAIT_FOR_OTHERS_S)
    worker = Worker(job)
    shorten_collector_pauses()  # as a real limiter does
    messages.write(worker.bound(), folder / f"{number}.bound")
    wired = messages.wait_for(folder / "wired", Wired, WAIT_FOR_OTHERS_S)
    worker.wire_up(wired)
    report = worker.play(wired.began + job.terms.most_real_s)
    worker.close()
    (folder / f"{number}.requests").write_bytes(worker.fleet.rows.tobytes())
    messages.write(report, folder / f"{number}.report")


def main() -> None:
    logging.basicConfig(level="ERROR", stream=sys.stderr)
    run(Path(sys.argv[1]), int(sys.argv[2]))


if __name__ == "__main__":
    main()
