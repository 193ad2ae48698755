"""Attempts to backend hosts.

The one owner of their connections, which opens, reuses, closes and gives them up.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from hazelhollow.decisions.interface import Status
from hazelhollow.net import resp, stream
from hazelhollow.net.close_reason import CloseReason, outcome
from hazelhollow.net.scheduler import WOKEN, Scheduler, Timer
from hazelhollow.net.stats import Stats

MOST_OUT = resp.MAX_STRING_BYTES + 8 * 1024  # one command
# of the time after which the host may close an idle connection: past it none is reused
IDLE_SHARE = 0.5
SWEEP = 0.25  # seconds between looks for idle connections and for answers that stop half-way
HALFWAY = 0.5  # seconds without a byte in the middle of an answer, after which no more is expected
# seconds in which a second copy of an answer may still be on its way: so long no attempt begins on
# that line
SETTLE = 0.03

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Result:
    """How an attempt ended, in the module's words."""

    status: Status
    value: bytes = b""
    report: bytes = b""
    figures: bytes = b""  # on use, as the host worded them


def read_answer(answer: resp.Value) -> Result | None:
    """A backend host's answer; nothing where it is none that a host gives."""
    if isinstance(answer, list) and answer and isinstance(answer[0], bytes):
        figures, report = (x if isinstance(x, bytes) else b"" for x in (answer + [None, None])[1:3])
        return Result("ok", answer[0], report, figures)
    if isinstance(answer, resp.ErrorReply):
        word, _, rest = answer.partition(b" ")
        report = rest.rpartition(b" ")[2] if b"=" in rest else b""
        if word == b"BUSY":
            return Result("full", report=report)
        if word != b"ERR":
            log.warning("a backend host answered %r", bytes(answer[:80]))
        return Result("error", report=report)
    return None


class Attempt:
    """One attempt, from the request to start it to its one result."""

    __slots__ = ("host", "command", "done", "look", "line", "started", "timer", "begin_timer")

    def __init__(
        self,
        host: Host,
        command: bytes,
        done: Callable[[Result], None],
        look: Callable[[], object],
        started: float,
    ) -> None:
        self.host, self.command, self.started = host, command, started
        self.done: Callable[[Result], None] | None = done
        self.look: Callable[[], object] | None = look
        self.line: Line | None = None
        self.timer: Timer | None = None  # at which it is given up before its request is
        # at which it is given up if it has not gone out whole
        self.begin_timer: Timer | None = None

    def finish(self, result: Result) -> None:
        done, self.done, self.look = self.done, None, None
        for timer in (self.timer, self.begin_timer):
            if timer:
                timer.cancel()  # it would hold the attempt and its line until then
        if done:
            done(result)


class Line:
    """One connection to a backend host. It carries one attempt at a time."""

    __slots__ = (
        "host",
        "attempt",
        "stream",
        "idle_since",
        "parser",
        "partial_since",
        "settled_at",
        "_mark",
        "__weakref__",
    )

    def __init__(self, host: Host) -> None:
        self.host = host
        self.attempt: Attempt | None = None
        self.stream: stream.Stream | None = None
        self.parser = resp.Parser()
        self.idle_since = 0.0
        self.partial_since = 0.0  # when the latest bytes of an answer that is not whole came
        self.settled_at = 0.0  # when a second copy of the last value must have shown
        self._mark = 0  # bytes written before this attempt's

    def opening(self, driver: stream.Stream) -> None:
        """A connection that is not up yet can be given up too."""
        self.stream = driver

    def begin(self) -> None:
        if self.stream and self.attempt:
            self._mark = self.stream.written
            self.stream.write(self.attempt.command)

    def touched(self) -> bool:
        """Whether any byte of the attempt's request has left."""
        return self.stream is not None and self.stream.written > self._mark

    def whole(self) -> bool:
        """Whether all of it has, so that the host may have begun it."""
        return self.attempt is not None and self.touched() and self._left() <= 0

    def _left(self) -> int:
        assert self.stream and self.attempt
        return self._mark + len(self.attempt.command) - self.stream.written


class Host:
    """One backend host of the routing table, and the connections to it."""

    __slots__ = ("name", "address", "lines", "idle", "listed")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.lines: set[Line] = set()
        # the most recently used last: the others get to rest and are closed
        self.idle: list[Line] = []
        self.listed = True


class Backend:
    def __init__(
        self,
        scheduler: Scheduler,
        stats: Stats,
        connect_timeout: float,
        conn_idle: float,
        most_lines: int,
    ) -> None:
        self._scheduler, self._stats, self._most = scheduler, stats, most_lines
        self._connect_timeout, self._rest = connect_timeout, conn_idle * IDLE_SHARE
        self._hosts: dict[str, Host] = {}
        self._lines: set[Line] = set()  # all, also those to hosts that are listed no more
        self.make_room: Callable[[], bool] = (
            self.spare
        )  # frees a descriptor of this process, where one can be had
        scheduler.at(scheduler.clock() + SWEEP, self._sweep)

    def retune(self, connect_timeout: float, conn_idle: float) -> None:
        self._connect_timeout, self._rest = connect_timeout, conn_idle * IDLE_SHARE

    # The routing table

    def update(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """The hosts that may get new attempts from now on, and where they are.

        An attempt whose first byte has not left must not reach a host that drains or is gone, so it
        ends here as never run, and the module may choose anew. What is under way goes on.
        """
        for name, host in list(self._hosts.items()):
            if addresses.get(name) != host.address:
                host.listed = False
                del self._hosts[name]
                for line in list(host.lines):
                    if line.attempt is None or not line.touched():
                        self.end(line, CloseReason.UNLISTED)
        for name, address in addresses.items():
            if name not in self._hosts:
                self._hosts[name] = Host(name, address)

    # Attempts

    def start(
        self,
        name: str,
        command: bytes,
        done: Callable[[Result], None],
        look: Callable[[], object] = lambda: None,
    ) -> Attempt:
        """`done` is called once, and never before this returns.

        `look` is called once its connection is up and before anything is written: it holds the
        attempt back where nobody waits for it any more.
        """
        now, host = self._scheduler.clock(), self._hosts.get(name)
        attempt = Attempt(host or Host(name, ("", 0)), command, done, look, now)
        self._stats.attempts += 1
        if host is None:
            self._scheduler.at_end_of_turn(
                lambda: attempt.finish(Result(outcome(CloseReason.UNLISTED, False)))
            )
            return attempt
        while (place := self._settled(host, now)) is not None:
            line = host.idle.pop(place)
            if now - line.idle_since >= self._rest:
                self.end(line, CloseReason.IDLE)
            elif not line.stream or not line.stream.alive():
                # an attempt written to it would be a reset, which may have run
                self.end(line, CloseReason.CLOSED)
            else:
                line.attempt, attempt.line = attempt, line
                self._stats.reused += 1
                line.begin()
                line.stream.wake()
                return attempt
        if len(self._lines) >= self._most and not self.spare():
            self._stats.no_descriptor += 1
            self._scheduler.at_end_of_turn(
                lambda: attempt.finish(Result(outcome(CloseReason.NO_DESCRIPTOR, False)))
            )
            return attempt
        line = Line(host)
        line.attempt, attempt.line = attempt, line
        host.lines.add(line)
        self._lines.add(line)
        self._scheduler.spawn(self._tend, line, name=f"line to {name}")
        return attempt

    def _settled(self, host: Host, now: float) -> int | None:
        """The place of the idle line that was used last, of those on which nothing can still be on
        its way.
        """
        return next(
            (n for n in range(len(host.idle) - 1, -1, -1) if host.idle[n].settled_at <= now), None
        )

    def give_up(self, attempt: Attempt, ending: CloseReason) -> None:
        """The host learns of it by the connection's end; bytes that were not written never are."""
        if attempt.done and attempt.line:
            self.end(attempt.line, ending)

    def hold_back(self, attempt: Attempt, ending: CloseReason) -> None:
        """What has not gone out whole never will: no host can have begun it."""
        if attempt.done and attempt.line and not attempt.line.whole():
            self.end(attempt.line, ending)

    # Connections

    def end(self, line: Line, ending: CloseReason) -> None:
        """The one place in which a connection ends, and an attempt with it."""
        host, attempt, whole = line.host, line.attempt, line.whole()
        if line in host.lines:
            host.lines.remove(line)
            self._lines.remove(line)
            if line in host.idle:
                host.idle.remove(line)
        if line.stream:
            line.stream.close(ending)
        line.attempt = None
        if attempt:
            self._stats.dispatches += whole
            self._stats.endings[ending] += 1
            attempt.finish(Result(outcome(ending, whole)))

    def close(self) -> None:
        for line in list(self._lines):
            self.end(line, CloseReason.SHUTDOWN)

    def spare(self) -> bool:
        """Makes room for one descriptor where a connection is idle."""
        idle = [host.idle[0] for host in self._hosts.values() if host.idle]
        if not idle:
            return False
        self.end(min(idle, key=lambda line: line.idle_since), CloseReason.IDLE)
        return True

    def _tend(self, line: Line) -> None:
        """The task of one connection, for its whole incarnation."""
        if line not in line.host.lines:
            return  # given up in the turn that asked for it
        ending = CloseReason.BROKEN_HERE
        try:
            ending = self._open(line) or self._serve(line)
        finally:
            self.end(line, ending)

    def _open(self, line: Line) -> CloseReason | None:
        for turn in (1, 2):
            result = stream.connect(
                self._scheduler, line.host.address, MOST_OUT, self._connect_timeout, line.opening
            )
            if not isinstance(result, CloseReason):
                self._stats.opened += 1
                if line.attempt and line.attempt.look:
                    line.attempt.look()
                line.begin()
                return None
            if result is not CloseReason.NO_DESCRIPTOR or turn == 2 or not self.make_room():
                return result
            line.stream = None
        return None

    def _serve(self, line: Line) -> CloseReason:
        assert line.stream
        driver = line.stream
        driver.on_broken = lambda ending: self.end(line, ending)
        while driver.ending is None:
            if line.attempt is None:
                driver.rest()
                continue
            if driver.wait() == WOKEN:
                continue
            data = driver.read(line.parser.ring.room())
            if data is None:
                continue
            if isinstance(data, CloseReason):
                return data
            try:
                line.parser.feed(data)
                answer = line.parser.next()
            except resp.ProtocolError as error:
                log.info("%s: a spoilt answer: %s", line.host.name, error)
                return CloseReason.MALFORMED
            if isinstance(answer, resp.NeedMoreData):
                line.partial_since = self._scheduler.clock()
                continue
            result = read_answer(answer)
            # Nobody asked, the answer is none, or it came before the request was out: what this
            # connection says next could be taken for another request's answer.
            if result is None or not line.whole():
                return CloseReason.MALFORMED
            attempt, line.attempt, line.partial_since = line.attempt, None, 0.0
            assert attempt
            self._stats.dispatches += 1
            line.settled_at = self._scheduler.clock() + SETTLE
            if line.parser.idle():
                self._rest_line(line)
            else:
                # The answer is whole and this attempt's own. What lies behind it is nobody's: it
                # must reach no other attempt, and no more of it is read.
                self.end(line, CloseReason.MALFORMED)
            attempt.finish(result)
        return driver.ending

    def _rest_line(self, line: Line) -> None:
        line.idle_since = self._scheduler.clock()
        if line.host.listed:
            line.host.idle.append(line)
        else:
            self.end(line, CloseReason.UNLISTED)

    def _sweep(self) -> None:
        self._scheduler.at(self._scheduler.clock() + SWEEP, self._sweep)
        now = self._scheduler.clock()
        for host in self._hosts.values():
            while host.idle and now - host.idle[0].idle_since >= self._rest:
                self.end(host.idle[0], CloseReason.IDLE)
        for line in [
            x for x in self._lines if x.partial_since and now - x.partial_since >= HALFWAY
        ]:
            # The host had done the work and was sending: the attempt can wait for the deadline in
            # vain only.
            self.end(line, CloseReason.STALLED)
