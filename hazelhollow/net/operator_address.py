"""The operator address: one call a connection, answered at once or given up within a bound."""

from __future__ import annotations

import logging
import socket
from typing import Any, Protocol

import orjson

from hazelhollow.net import operator_calls, stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.scheduler import READABLE, TIMED_OUT, Scheduler
from hazelhollow.net.stats import Stats

WITHIN = 0.5  # seconds from a connection to its whole call; answers are due within 1 s
OUT_WITHIN = 0.4  # seconds in which the caller is to take the answer
MOST_CALLERS = 32  # connections at once; one more ends the oldest
MOST_OUT = 1 << 20
MOST_DRAINED = 1 << 16  # bytes behind the call, which nobody reads

log = logging.getLogger(__name__)


class Desk(Protocol):
    """What the calls ask of the limiter."""

    def ready(self) -> bool: ...
    def figures(self) -> dict[str, Any]: ...
    def fleet(self) -> dict[str, Any] | None:
        """The view of the fleet, where there is one."""

    def audit(self) -> list[Any] | None:
        """What this limiter has written down of its acts, where it does."""

    def config(self, words: tuple[str, ...]) -> str | None:
        """The answer to a call about settings that some members try first.

        Where there is such a thing.
        """

    def set_down(self, server: str) -> str | None:
        """None, or why it cannot be."""

    def set_up(self, server: str) -> str | None: ...


def answer(desk: Desk, call: operator_calls.Call) -> bytes:
    """The whole answer to one call."""
    if call.verb == "check":
        return b"done ready\n" if desk.ready() else b"error not ready yet\n"
    if call.verb == "vars":
        return orjson.dumps(desk.figures()) + b"\nend\n"
    if call.verb in ("fleet", "audit"):
        shown = desk.fleet() if call.verb == "fleet" else desk.audit()
        return (
            b"error %b\n" % str(operator_calls.unknown(call.verb)).encode()
            if shown is None
            else orjson.dumps(shown) + b"\nend\n"
        )
    if call.verb == "config":
        told = desk.config(call.words)
        return (
            b"%b\n"
            % (f"error {operator_calls.unknown(call.verb)}" if told is None else told).encode()
        )
    why = desk.set_down(call.server) if call.verb == "set-down" else desk.set_up(call.server)
    if why:
        return b"error %b\n" % why.encode()
    return b"done %b %b\n" % (call.verb.encode(), call.server.encode())


class Address:
    """The listening socket and its callers."""

    def __init__(
        self, scheduler: Scheduler, stats: Stats, desk: Desk, listen: tuple[str, int]
    ) -> None:
        self._scheduler, self._stats, self._desk = scheduler, stats, desk
        self._callers: dict[stream.Stream, None] = {}  # the oldest first
        self._log = RateLimitedLog(log, scheduler.clock)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(listen)
        self._sock.listen(64)
        self.address: tuple[str, int] = self._sock.getsockname()

    def run(self) -> None:
        for sock in stream.accept_connections(self._scheduler, self._sock):
            if len(self._callers) >= MOST_CALLERS:
                oldest = next(iter(self._callers))
                self._stats.operator_endings[CloseReason.NO_DESCRIPTOR] += 1
                oldest.close(CloseReason.NO_DESCRIPTOR)
            driver = stream.Stream(self._scheduler, sock, MOST_OUT)
            self._callers[driver] = None
            self._scheduler.spawn(self._caller, driver, name="operator call")

    def _caller(self, driver: stream.Stream) -> None:
        ending = CloseReason.BROKEN_HERE
        try:
            ending = self._serve(driver)
        finally:
            self._stats.operator_endings[ending] += 1
            if driver.ending is None and not driver.out:  # it may have said more than its call
                driver.shutdown_send()
                driver.drain(OUT_WITHIN, MOST_DRAINED)
            driver.close(ending)
            self._callers.pop(driver, None)

    def _serve(self, driver: stream.Stream) -> CloseReason:
        until, parser = self._scheduler.clock() + WITHIN, operator_calls.Parser()
        try:
            while True:
                bits = driver.wait(until, READABLE)
                if driver.ending:
                    return driver.ending
                if bits == TIMED_OUT:
                    why = "half a call" if parser.partial() else "no call"
                    return self._refuse(driver, f"{why} within {WITHIN} s", CloseReason.TIMED_OUT)
                data = driver.read(operator_calls.MOST_LINE)
                if isinstance(data, CloseReason):
                    return data
                call = parser.feed(data) if data else None
                if call:
                    break
        except operator_calls.CallError as error:
            return self._refuse(driver, str(error), CloseReason.MALFORMED)
        self._stats.operator_calls[call.verb] += 1
        driver.write(answer(self._desk, call))
        return self._finish(driver, CloseReason.CLOSED)

    def _refuse(self, driver: stream.Stream, why: str, ending: CloseReason) -> CloseReason:
        self._log.warning("operator address: %s", why)
        driver.write(b"error %b\n" % why.encode())
        return self._finish(driver, ending)

    def _finish(self, driver: stream.Stream, ending: CloseReason) -> CloseReason:
        """The answer goes out, within a bound; what the caller says meanwhile is not read."""
        until = self._scheduler.clock() + OUT_WITHIN
        driver.flush()
        while driver.out and driver.ending is None:
            if driver.wait(until, 0) == TIMED_OUT:
                return CloseReason.STALLED
        return ending

    def close(self) -> None:
        self._scheduler.unregister(self._sock.fileno())
        self._sock.close()
