"""The watch on discovery: keeps the endpoint list as discovery has it, and never gives up.

Discovery's agent is on this machine. Each call asks for changes after the version that is known and
is answered at once or after `LONG_POLL_S` without any. States of the watch, and what it asks for:

| state | call | waits for the answer | left by |
| --- | --- | --- | --- |
| CONNECTING | | 0.15 s for the connection | up: SNAPSHOT. Not in time: RETRY, and SLOW beside it |
| SNAPSHOT | the whole list | 0.15 s | a list: FOLLOWING. Late: RETRY, and SLOW beside it |
| FOLLOWING | changes, held for 1.5 s | 2.0 s | an answer: FOLLOWING. Anything else: RETRY |
| RETRY | | 0.1 s | CONNECTING |
| SLOW | the one that was late | 2.0 s more | an answer or the end of its time: it ends |

After a failure the next call is for the whole list: which changes discovery counts as told is not
known. The pause before it is fixed and short, because a drain that discovery counts as told must be
kept within 0.3 s. SLOW runs beside the others, at most once: an answer of an agent that is slow,
but not dead, still counts, unless a newer list has come meanwhile.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import orjson

from hazelhollow.decisions import interface as api
from hazelhollow.net import http1, stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.endpoint_list import EndpointList
from hazelhollow.net.errors import DiscoveryError, ProtocolError
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.scheduler import TIMED_OUT, Scheduler
from hazelhollow.net.stats import Stats

PATH = "/discovery/hosts"
LONG_POLL_S = 1.5  # that discovery may hold a call without changes; the time in which silence shows
SILENCE_TIMEOUT_S = 0.5  # past LONG_POLL_S: then the call counts as lost
# The agent accepts and answers at once; one that takes longer is asked again, and heard all the
# same up to SLOW_ANSWER_TIMEOUT_S.
CONNECT_TIMEOUT_S = 0.15
SNAPSHOT_TIMEOUT_S = 0.15
SLOW_ANSWER_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.1  # the platform asks that a watch goes on within 0.2 s

log = logging.getLogger(__name__)


class DiscoveryWatch:
    """Asks discovery again and again, and applies its answers to the endpoint list.

    Attributes:
        address: Where discovery is.
        is_following: Whether the list that stands is one that this watch has heard, so that the
            next call asks for changes to it.
        free_descriptor: Frees a descriptor for the connection, where one can be had, and says
            whether it did.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        stats: Stats,
        address: tuple[str, int],
        endpoint_list: EndpointList,
        on_change: Callable[[api.EndpointsUpdated], None],
    ) -> None:
        """`on_change`: called with each list, and each change that has entries."""
        self._scheduler, self._stats, self.address = scheduler, stats, address
        self._endpoint_list, self._on_change = endpoint_list, on_change
        self.free_descriptor: Callable[[], bool] = lambda: False
        self.is_following = False
        self._log = RateLimitedLog(log, scheduler.clock)
        self._stream: stream.Stream | None = None
        self._slow_stream: stream.Stream | None = None  # on which a late answer may still come

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is at that address from now on.

        Takes effect at once, not when the call that is out ends. The new one's versions need not be
        the old one's, so it is asked for the whole list first.
        """
        if address != self.address:
            self.address, self.is_following = address, False
            for connection in (self._stream, self._slow_stream):
                if connection:
                    connection.close(CloseReason.MOVED)

    def run(self) -> None:
        """Watches, for ever."""
        while True:
            reason = CloseReason.BROKEN_HERE
            try:
                reason = self._run_connection()
            finally:
                if reason is not CloseReason.ANSWERED:
                    self.is_following = False
                    self._stats.watches_lost += 1
                    self._log.log(logging.INFO, "discovery: %s", reason.name.lower())
            if reason is not CloseReason.MOVED:
                self._scheduler.sleep(RETRY_PAUSE_S)

    def _run_connection(self) -> CloseReason:
        """One connection and the calls on it; returns why it ended."""
        connection = self._new_stream()
        if isinstance(connection, CloseReason):
            return connection
        self._stream = connection
        parser, reason, is_up = http1.Parser(), CloseReason.BROKEN_HERE, False
        try:
            failure = connection.connect(self.address, self._scheduler.clock() + CONNECT_TIMEOUT_S)
            is_up = failure is None
            reason = failure or self._checked(self._make_calls, connection, parser)
        finally:
            is_late = reason in (CloseReason.NEVER_UP, CloseReason.TIMED_OUT)
            if is_late and not self.is_following and self._slow_stream is None:
                self._slow_stream = connection
                lists_heard = self._stats.tables
                self._scheduler.spawn(
                    self._run_slow, connection, parser, is_up, lists_heard, name="slow discovery"
                )
            else:
                connection.close(reason)
        return reason

    def _new_stream(self) -> stream.Stream | CloseReason:
        """A socket; where clients hold all descriptors, one of theirs goes for it."""
        connection = stream.unconnected(self._scheduler, http1.MAX_HEAD_BYTES)
        if connection is CloseReason.NO_DESCRIPTOR and self.free_descriptor():
            connection = stream.unconnected(self._scheduler, http1.MAX_HEAD_BYTES)
        return connection

    def _checked(self, run: Callable[..., CloseReason], *args: Any) -> CloseReason:
        """Runs a part of the protocol; what discovery gets wrong in it ends the connection."""
        try:
            return run(*args)
        except (ProtocolError, DiscoveryError, orjson.JSONDecodeError) as error:
            self._log.warning("discovery: %s", error)
            return CloseReason.MALFORMED

    def _run_slow(
        self, connection: stream.Stream, parser: http1.Parser, is_up: bool, lists_heard: int
    ) -> None:
        """The state SLOW."""
        reason = CloseReason.BROKEN_HERE
        try:
            reason = self._checked(self._hear_slow, connection, parser, is_up, lists_heard)
        finally:
            connection.close(reason)
            self._slow_stream = None

    def _hear_slow(
        self, connection: stream.Stream, parser: http1.Parser, is_up: bool, lists_heard: int
    ) -> CloseReason:
        """Waits for a late answer.

        Args:
            connection: Where it may come.
            parser: With what has come of it.
            is_up: Whether the connection was up in time, so that the call has been sent.
            lists_heard: How many lists had been heard when this state began; where one has come
                since, the late one is older.
        """
        until = self._scheduler.clock() + SLOW_ANSWER_TIMEOUT_S
        if not is_up:
            failure = connection.await_connected(until)
            if failure:
                return failure
            self._send_call(connection, PATH)
        response = self._await_response(connection, parser, until)
        if isinstance(response, CloseReason):
            return response
        if response.status == 200 and lists_heard == self._stats.tables:
            self._take_list(response.body)
        return CloseReason.ANSWERED

    def _send_call(self, connection: stream.Stream, target: str) -> None:
        connection.write(http1.get(target, f"{self.address[0]}:{self.address[1]}"))

    def _make_calls(self, connection: stream.Stream, parser: http1.Parser) -> CloseReason:
        """SNAPSHOT and FOLLOWING, on one connection."""
        while True:
            query, timeout = "", SNAPSHOT_TIMEOUT_S
            if self.is_following:
                query = f"?from={self._endpoint_list.version}&hold_ms={int(LONG_POLL_S * 1000)}"
                timeout = LONG_POLL_S + SILENCE_TIMEOUT_S
            self._send_call(connection, PATH + query)
            response = self._await_response(connection, parser, self._scheduler.clock() + timeout)
            if isinstance(response, CloseReason):
                return response
            if response.status != 200:
                self._log.warning("discovery: status %d", response.status)
                return CloseReason.MALFORMED
            self._take_list(response.body)
            if not response.keep_alive:
                return CloseReason.ANSWERED

    def _await_response(
        self, connection: stream.Stream, parser: http1.Parser, until: float
    ) -> http1.Response | CloseReason:
        response = parser.next()
        while response is None:
            is_late = connection.wait(until) == TIMED_OUT
            # Read also when the time is over: this process may have been the late one.
            data = connection.read(stream.READ_CHUNK_BYTES)
            if data is None and is_late:
                return CloseReason.TIMED_OUT
            if isinstance(data, CloseReason):
                response = parser.end() if data is CloseReason.CLOSED else None
                return response or data
            if data:
                parser.feed(data)
                response = parser.next()
        return response

    def _take_list(self, body: bytes) -> None:
        min_version = self._endpoint_list.version if self.is_following else 0
        event = self._endpoint_list.apply(orjson.loads(body), min_version=min_version)
        self._stats.tables += 1
        self.is_following = True
        if event.entries or event.kind == "full":
            self._on_change(event)
