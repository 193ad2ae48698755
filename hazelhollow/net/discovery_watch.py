"""The watch on discovery: keeps the endpoint list current by long polling, and always retries.

Discovery's agent is on this machine. Each call asks for the changes since the last version and is
answered when there are changes, or after `LONG_POLL_S` without any. The states of the watch:

| state | call | timeout | next state |
| --- | --- | --- | --- |
| CONNECTING | | 0.15 s to connect | connected: SNAPSHOT. Timeout: RETRY, plus SLOW in parallel |
| SNAPSHOT | full list | 0.15 s | a list: FOLLOWING. Timeout: RETRY, plus SLOW in parallel |
| FOLLOWING | changes, held for 1.5 s | 2.0 s | an answer: FOLLOWING. Anything else: RETRY |
| RETRY | | 0.1 s pause | CONNECTING |
| SLOW | the call that timed out | 2.0 s more | an answer or timeout: it ends |

After a failure the next call requests the full list, because it is not known which changes
discovery regards as delivered. The pause before that call is fixed and short, because a drain that
discovery regards as delivered must be obeyed within 0.3 s. At most one SLOW runs in parallel to the
other states: the answer of an agent that is slow but alive is still used, unless a newer list has
arrived in the meantime.
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
LONG_POLL_S = 1.5  # for which discovery may hold a call; a longer time delays noticing its failure
SILENCE_TIMEOUT_S = 0.5  # after LONG_POLL_S; the call then counts as lost
# The agent normally accepts and answers at once. After these timeouts it is asked again, while a
# late answer to the first call is still accepted for SLOW_ANSWER_TIMEOUT_S.
CONNECT_TIMEOUT_S = 0.15
SNAPSHOT_TIMEOUT_S = 0.15
SLOW_ANSWER_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.1  # the platform requires that a watch resumes within 0.2 s

log = logging.getLogger(__name__)


class DiscoveryWatch:
    """Polls discovery continuously and applies its answers to the endpoint list.

    Attributes:
        address: Discovery's address.
        is_following: Whether the current list came from this watch, so that the next call asks only
            for changes to it.
        free_descriptor: Frees a descriptor for the connection if possible; returns whether it did.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        stats: Stats,
        address: tuple[str, int],
        endpoint_list: EndpointList,
        on_change: Callable[[api.EndpointsUpdated], None],
    ) -> None:
        """`on_change`: called with each full list, and with each change that has entries."""
        self._scheduler, self._stats, self.address = scheduler, stats, address
        self._endpoint_list, self._on_change = endpoint_list, on_change
        self.free_descriptor: Callable[[], bool] = lambda: False
        self.is_following = False
        self._log = RateLimitedLog(log, scheduler.clock)
        self._stream: stream.Stream | None = None
        self._slow_stream: stream.Stream | None = None  # on which a late answer may still arrive

    def change_address(self, address: tuple[str, int]) -> None:
        """Changes discovery's address.

        The change takes effect at once: calls in flight are closed. The versions at the new address
        may differ from those at the old one, so the full list is requested first.
        """
        if address != self.address:
            self.address, self.is_following = address, False
            for connection in (self._stream, self._slow_stream):
                if connection:
                    connection.close(CloseReason.MOVED)

    def run(self) -> None:
        """Polls discovery; never returns."""
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
        """Makes the calls on one connection; returns why the connection ended."""
        connection = self._new_stream()
        if isinstance(connection, CloseReason):
            return connection
        self._stream = connection
        parser, reason, is_up = http1.Parser(), CloseReason.BROKEN_HERE, False
        try:
            failure = connection.connect(self.address, self._scheduler.clock() + CONNECT_TIMEOUT_S)
            is_up = failure is None
            reason = failure or self._run_checked(self._make_calls, connection, parser)
        finally:
            is_late = reason in (CloseReason.NEVER_UP, CloseReason.TIMED_OUT)
            if is_late and not self.is_following and self._slow_stream is None:
                self._slow_stream = connection
                lists_received = self._stats.tables
                self._scheduler.spawn(
                    self._run_slow, connection, parser, is_up, lists_received, name="slow discovery"
                )
            else:
                connection.close(reason)
        return reason

    def _new_stream(self) -> stream.Stream | CloseReason:
        """Returns a new socket; if no descriptor is left, one is freed for it if possible."""
        connection = stream.unconnected(self._scheduler, http1.MAX_HEAD_BYTES)
        if connection is CloseReason.NO_DESCRIPTOR and self.free_descriptor():
            connection = stream.unconnected(self._scheduler, http1.MAX_HEAD_BYTES)
        return connection

    def _run_checked(self, run: Callable[..., CloseReason], *args: Any) -> CloseReason:
        """Runs a part of the protocol; a malformed answer from discovery ends the connection."""
        try:
            return run(*args)
        except (ProtocolError, DiscoveryError, orjson.JSONDecodeError) as error:
            self._log.warning("discovery: %s", error)
            return CloseReason.MALFORMED

    def _run_slow(
        self, connection: stream.Stream, parser: http1.Parser, is_up: bool, lists_received: int
    ) -> None:
        """Runs the state SLOW."""
        reason = CloseReason.BROKEN_HERE
        try:
            reason = self._run_checked(
                self._await_late_answer, connection, parser, is_up, lists_received
            )
        finally:
            connection.close(reason)
            self._slow_stream = None

    def _await_late_answer(
        self, connection: stream.Stream, parser: http1.Parser, is_up: bool, lists_received: int
    ) -> CloseReason:
        """Waits for a late answer.

        Args:
            connection: The connection on which it may arrive.
            parser: The parser, with the part of the answer that has already arrived.
            is_up: Whether the connection was established in time, so that the call has been sent.
            lists_received: The number of lists received when this state began. If another list has
                arrived since, the late one is older and is ignored.
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
        if response.status == 200 and lists_received == self._stats.tables:
            self._apply_list(response.body)
        return CloseReason.ANSWERED

    def _send_call(self, connection: stream.Stream, target: str) -> None:
        connection.write(http1.get(target, f"{self.address[0]}:{self.address[1]}"))

    def _make_calls(self, connection: stream.Stream, parser: http1.Parser) -> CloseReason:
        """Runs the states SNAPSHOT and FOLLOWING on one connection."""
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
                self._log.warning(
                    "discovery: answered with status %d, expected 200", response.status
                )
                return CloseReason.MALFORMED
            self._apply_list(response.body)
            if not response.keep_alive:
                return CloseReason.ANSWERED

    def _await_response(
        self, connection: stream.Stream, parser: http1.Parser, until: float
    ) -> http1.Response | CloseReason:
        response = parser.next()
        while response is None:
            is_late = connection.wait(until) == TIMED_OUT
            # Read even after the timeout, because this process itself may have been delayed.
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

    def _apply_list(self, body: bytes) -> None:
        min_version = self._endpoint_list.version if self.is_following else 0
        event = self._endpoint_list.apply(orjson.loads(body), min_version=min_version)
        self._stats.tables += 1
        self.is_following = True
        if event.entries or event.kind == "full":
            self._on_change(event)
