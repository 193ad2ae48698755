"""One worker process of a scale run: its limiters on one scheduler, from the start to the report.

The coordinator starts it as `python -m hazelhollow.scale.worker FOLDER NUMBER`. It reads
`NUMBER.job`, writes `NUMBER.bound`, waits for `wired`, and writes `NUMBER.report` and, with one row
for each request, `NUMBER.requests`.

Stages of a point, in seconds of the run's clock:

| stage | from | to | what it yields |
| --- | --- | --- | --- |
| start | 0 | `settle_s` | the event `start`, or a request for a slower clock |
| measuring | `settle_s` | + `seconds` | totals by role, lag, refusals, memory |
| each event | end of the stage before | + `window_s` | agreement, traffic, lag |
| settling | the end | + `IN_TRANSIT_S` real seconds | the ledger of datagrams |
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
from hazelhollow.scale.messages import (
    BoundAddresses,
    FleetAddresses,
    Job,
    Lag,
    ObservedEvent,
    Report,
)
from hazelhollow.scale.plan import PlannedEvent
from hazelhollow.scale.results import EventKind

START_SPREAD_S = 0.25  # within which the limiters start, at random times
LAG_CHECK_INTERVAL_S = 0.25  # between checks of how far the worker lags behind its clock
LATE_CHECK_S = 0.1  # lag above which a check counts as late
MAX_LATE_SHARE = 0.05  # share of late checks above which the worker counts as too slow
MAX_LAG_S = 0.5  # lag of any check above which the worker counts as too slow
MAX_LATE_SHARE_AT_START = 0.2  # above this share the worker asks for a slower clock
MESSAGE_TIMEOUT_S = 300.0  # real seconds within which all workers bind their sockets
IN_TRANSIT_S = 0.5  # real seconds after the end in which datagrams in transit are received
CLOSE_BEFORE_S = 0.001  # from the close of a window to the next event


def memory_bytes() -> int:
    """Returns the resident memory of this process in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def processor_wait_s() -> float:
    """Returns the real seconds in which this process was runnable but waited for a processor.

    Returns 0 where the operating system does not report them.
    """
    try:
        return int(Path("/proc/self/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        return 0.0


def fell_behind(lag: Lag) -> bool:
    """Whether a process with that lag was too slow for its figures of time to be valid."""
    return lag.late > MAX_LATE_SHARE * lag.looks or lag.worst_s > MAX_LAG_S


class Worker:
    """Plays a worker's part of a point.

    Call `bound_addresses`, `connect`, `play` and `close` in that order.

    Args:
        job: The worker's part of the point.
    """

    def __init__(self, job: Job) -> None:
        self._job = job
        self._clock = DilatedClock(time.monotonic(), time.time(), job.dilation)
        self._poller = DilatedPoller(job.dilation)
        self._scheduler = Scheduler(lambda: self._clock(), self._poller)
        self._meter, self._lag = Meter(), Lag()
        self._loop_times_ns = list[int]()
        population = populate(job.size, job.fleet, job.seed)
        self._report = Report(limiters=len(job.here), memory_before=memory_bytes())
        self.fleet = HollowFleet(job, population, self._scheduler, self._meter, self._window_second)
        self._report.shared_settings = self.fleet.shares_settings
        self._scheduler.on_process_pause = self.fleet.on_process_pause
        self._run_start = self._window_began = 0.0  # Unix seconds of the run's clock
        # Reading of the machine's monotonic clock at which the point ends early.
        self._deadline = 0.0
        self._processor_s = self._processor_wait_s = 0.0  # readings when measuring began
        self._measuring_since: float | None = None
        # End of the burst of one request of every tenant. The burst blocks the loop, so that a lag
        # check that is due during it cannot run in time.
        self._burst_end = 0.0
        self._ended = False

    def bound_addresses(self) -> BoundAddresses:
        """Returns the addresses at which its limiters listen, in the order of the job."""
        return BoundAddresses(
            addresses=tuple(member.peers.address for member in self.fleet.members.values())
        )

    def connect(self, fleet_addresses: FleetAddresses) -> None:
        """Connects the limiters with all others and sets the start of the run's clock."""
        self._clock = DilatedClock(fleet_addresses.began, fleet_addresses.shows, self._job.dilation)
        self._run_start = self._window_began = fleet_addresses.shows
        self.fleet.begin(fleet_addresses.addresses, fleet_addresses.shows)

    # Time

    def _window_second(self) -> int:
        return int(self._scheduler.clock() - self._window_began)

    def _check_lag(self, due: float) -> None:
        """Records how late this check is and how fast the machine is, and schedules the next."""
        lateness = self._scheduler.clock() - max(due, self._burst_end)
        self._lag.looks += 1
        self._lag.late += lateness > LATE_CHECK_S
        self._lag.worst_s = max(self._lag.worst_s, lateness)
        self._loop_times_ns.append(reference_loop_ns())
        next_due = max(due + LAG_CHECK_INTERVAL_S, self._scheduler.clock())
        self._scheduler.at(next_due, self._check_lag, next_due)

    def _at(self, at_s: float, call: Callable[..., object], *args: Any) -> None:
        self._scheduler.at(self._run_start + at_s, call, *args)

    def _overdue(self) -> bool:
        return time.monotonic() > self._deadline

    # Stages of a point

    def play(self, deadline: float) -> Report:
        """Plays the point and returns the report.

        Args:
            deadline: Reading of the machine's monotonic clock at which the point ends early.

        Raises:
            OSError: The operating system does not report how many datagrams it has dropped.
        """
        self._deadline = deadline
        self._schedule()
        while not self._ended and not self._overdue():
            self._scheduler.turn()
        if not self._ended:
            elapsed, allowed = (
                self._scheduler.clock() - self._run_start,
                self._job.terms.most_real_s,
            )
            self._report.missing = (
                f"ended after {allowed:g} s of real time, {elapsed:.1f} s into the run"
            )
            if not self._report.seconds:
                self._stop_measuring()
        self._settle()
        return self._report

    def _schedule(self) -> None:
        rng = random.Random(f"starts {self._job.seed}")
        starts = [rng.uniform(0.0, START_SPREAD_S) for _ in range(self._job.size.limiters)]
        for number in self.fleet.members:
            self.fleet.start_at(number, starts[number])
        self._scheduler.at(self._run_start, self._check_lag, self._run_start)
        self._at(self._job.terms.settle_s, self._begin_measuring)

    def _begin_measuring(self) -> None:
        """Ends the start stage and begins to measure.

        If the clock was too fast for the start, ends the point; the coordinator plays it again.
        """
        if self._job.may_slow and self._lag.late > MAX_LATE_SHARE_AT_START * self._lag.looks:
            self._report.behind = self._ended = True
            return
        self._close_window(EventKind.START, 0.0, self._job.terms.settle_s)
        if self._job.terms.every_tenant_first:
            self.fleet.request_for_every_tenant(self._overdue)
            self._burst_end = self._scheduler.clock()
        self._lag, self._loop_times_ns = Lag(), []
        self._meter.drain_totals()
        self._measuring_since = self._scheduler.clock()
        self._processor_s, self._processor_wait_s = time.process_time(), processor_wait_s()
        self._scheduler.at(self._measuring_since + self._job.terms.seconds, self._end_measuring)

    def _end_measuring(self) -> None:
        self._stop_measuring()
        at = self._job.terms.settle_s + self._job.terms.seconds
        for event in self._job.terms.events:
            self._at(at, self._begin_event, event, at)
            at += event.window_s
        self._at(at, self._finish)

    def _stop_measuring(self) -> None:
        measuring_since, report = self._measuring_since, self._report
        if measuring_since is None:
            return
        report.measured_at_s = measuring_since - self._run_start
        report.seconds = self._scheduler.clock() - measuring_since
        report.roles = self._meter.drain_totals()
        report.processor_s = time.process_time() - self._processor_s
        report.waited_s = processor_wait_s() - self._processor_wait_s
        report.memory_after = memory_bytes() - self.fleet.rows.itemsize * len(self.fleet.rows)
        report.lag, report.refusals = self._lag, self.fleet.refusals()
        report.loop_s = sum(self._loop_times_ns) / max(1, len(self._loop_times_ns)) / 1e9

    def _begin_event(self, event: PlannedEvent, at_s: float) -> None:
        self._window_began, self._lag = self._scheduler.clock(), Lag()
        self._meter.drain_totals()
        self.fleet.apply_event(event.kind, at_s)
        end_s = at_s + event.window_s - CLOSE_BEFORE_S
        self._at(end_s, self._close_window, event.kind, at_s, event.window_s)

    def _close_window(self, kind: EventKind, at_s: float, window_s: float) -> None:
        observed = ObservedEvent(
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
        self._report.events.append(observed)

    def _finish(self) -> None:
        self._ended = True

    def _settle(self) -> None:
        """Ends all limiters and receives the datagrams in transit so that the ledger balances."""
        self.fleet.end_incarnations()
        self._scheduler.on_process_pause = None
        until = time.monotonic() + IN_TRANSIT_S
        while time.monotonic() < until:
            self._scheduler.turn(longest=IN_TRANSIT_S / 10 / self._job.dilation)
        self._report.ledger = self.fleet.network.ledger
        self._report.ledger.dropped = self.fleet.dropped_datagrams()

    def close(self) -> None:
        """Closes all sockets."""
        self.fleet.close()
        self._poller.close()


def run(folder: Path, number: int) -> None:
    """Plays one worker's part; raises TimeoutError if a message of the coordinator is missing."""
    job = messages.wait_for(folder / f"{number}.job", Job, MESSAGE_TIMEOUT_S)
    worker = Worker(job)
    shorten_collector_pauses()  # as in a real limiter
    messages.write(worker.bound_addresses(), folder / f"{number}.bound")
    fleet_addresses = messages.wait_for(folder / "wired", FleetAddresses, MESSAGE_TIMEOUT_S)
    worker.connect(fleet_addresses)
    report = worker.play(fleet_addresses.began + job.terms.most_real_s)
    worker.close()
    (folder / f"{number}.requests").write_bytes(worker.fleet.rows.tobytes())
    messages.write(report, folder / f"{number}.report")


def main() -> None:
    """Runs a worker; the command's arguments are the run's folder and the worker's number."""
    logging.basicConfig(level="ERROR", stream=sys.stderr)
    run(Path(sys.argv[1]), int(sys.argv[2]))


if __name__ == "__main__":
    main()
