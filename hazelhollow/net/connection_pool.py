"""The pool of connections to endpoints, and the attempts that go out on them.

The only owner of these connections: it opens, reuses and closes them. `engine_driver` starts,
aborts and withdraws attempts; `service` tells which endpoints are listed. `pooled_connection` has
the states of a connection.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from hazelhollow.net import resp, stream
from hazelhollow.net.attempts import Attempt, AttemptResult, read_answer
from hazelhollow.net.close_reason import CloseReason, attempt_status
from hazelhollow.net.errors import EndpointError, ProtocolError
from hazelhollow.net.pooled_connection import PooledConnection, PoolEndpoint
from hazelhollow.net.scheduler import WOKEN, Scheduler
from hazelhollow.net.stats import Stats

MAX_UNSENT_BYTES = resp.MAX_STRING_BYTES + 8 * 1024  # of one connection: one request
# Part of the endpoint's own idle timeout after which a connection is not reused: near that timeout
# the endpoint might close it while a request is on its way.
IDLE_TIMEOUT_SHARE = 0.5
SWEEP_INTERVAL_S = 0.25  # between looks for idle connections and for answers that stopped half-way
# Without a byte in the middle of an answer: it is not expected to come to its end.
PARTIAL_ANSWER_TIMEOUT_S = 0.5
# In which a second copy of an answer may still arrive: so long a connection is not reused.
SETTLE_TIME_S = 0.03

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class PoolSettings:
    """What the platform's file says of connections to endpoints.

    Attributes:
        connect_timeout: Seconds in which a connection has to come up.
        endpoint_idle_timeout: Seconds after which an endpoint closes an idle connection.
        max_connections: To all endpoints together.
    """

    connect_timeout: float
    endpoint_idle_timeout: float
    max_connections: int


class ConnectionPool:
    """All connections to endpoints.

    `free_descriptor` frees one of this process's descriptors, where one can be had, and says
    whether it did; it is replaced by one that also looks at clients' connections.
    """

    def __init__(self, scheduler: Scheduler, stats: Stats, settings: PoolSettings) -> None:
        self._scheduler, self._stats = scheduler, stats
        self._max_connections = settings.max_connections
        self.reconfigure(settings.connect_timeout, settings.endpoint_idle_timeout)
        self._endpoints: dict[str, PoolEndpoint] = {}
        # all, also those to endpoints that are listed no more
        self._connections: set[PooledConnection] = set()
        self.free_descriptor: Callable[[], bool] = self.close_idlest
        scheduler.at(scheduler.clock() + SWEEP_INTERVAL_S, self._sweep)

    def reconfigure(self, connect_timeout: float, endpoint_idle_timeout: float) -> None:
        """Takes new timeouts, in seconds; see `PoolSettings`."""
        self._connect_timeout = connect_timeout
        self._idle_timeout = endpoint_idle_timeout * IDLE_TIMEOUT_SHARE

    # The endpoint list

    def set_endpoints(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """Names the endpoints that may get new attempts from now on, and where they are.

        An attempt whose first byte has not left must not reach an endpoint that drains or is gone:
        it ends as `connect_failed`, and the decision engine may choose anew. Others go on.
        """
        for name, endpoint in list(self._endpoints.items()):
            if addresses.get(name) != endpoint.address:
                endpoint.listed = False
                del self._endpoints[name]
                for connection in list(endpoint.connections):
                    if connection.attempt is None or not connection.has_sent_any():
                        self.close_connection(connection, CloseReason.UNLISTED)
        for name, address in addresses.items():
            if name not in self._endpoints:
                self._endpoints[name] = PoolEndpoint(name, address)

    # Attempts

    def start(
        self,
        name: str,
        command: bytes,
        on_result: Callable[[AttemptResult], None],
        before_sending: Callable[[], object] = lambda: None,
    ) -> Attempt:
        """Sends a request to the endpoint of that name, on an idle connection or a new one.

        Args:
            name: Of the endpoint. If it is not listed, the attempt ends as `connect_failed`.
            command: The request, encoded.
            on_result: Called once, and never before this method returns.
            before_sending: Called once a new connection is up and before anything is written. It
                may withdraw the attempt, if nobody waits for it any more.
        """
        now, endpoint = self._scheduler.clock(), self._endpoints.get(name)
        attempt = Attempt(name, command, on_result, before_sending, now)
        self._stats.attempts += 1
        if endpoint is None:
            self._fail_later(attempt, CloseReason.UNLISTED)
            return attempt
        while (place := self._newest_reusable(endpoint, now)) is not None:
            connection = endpoint.idle.pop(place)
            if now - connection.idle_since >= self._idle_timeout:
                self.close_connection(connection, CloseReason.IDLE)
            elif not connection.stream or not connection.stream.is_open_and_quiet():
                # a request written to it would be reset, and a reset request may have run
                self.close_connection(connection, CloseReason.CLOSED)
            else:
                connection.attempt, attempt.connection = attempt, connection
                self._stats.reused += 1
                connection.send_request()
                connection.stream.wake()
                return attempt
        if len(self._connections) >= self._max_connections and not self.close_idlest():
            self._stats.no_descriptor += 1
            self._fail_later(attempt, CloseReason.NO_DESCRIPTOR)
            return attempt
        connection = PooledConnection(endpoint)
        connection.attempt, attempt.connection = attempt, connection
        endpoint.connections.add(connection)
        self._connections.add(connection)
        self._scheduler.spawn(self._run_connection, connection, name=f"connection to {name}")
        return attempt

    def abort(self, attempt: Attempt, reason: CloseReason) -> None:
        """Gives the attempt up, sent or not.

        The endpoint learns of it by the connection's end; bytes that are not written never will be.
        """
        if attempt.on_result and attempt.connection:
            self.close_connection(attempt.connection, reason)

    def withdraw(self, attempt: Attempt, reason: CloseReason) -> None:
        """Gives the attempt up only if its request has not gone out completely.

        Then no endpoint can have begun it.
        """
        if attempt.on_result and attempt.connection and not attempt.connection.has_sent_all():
            self.close_connection(attempt.connection, reason)

    def _fail_later(self, attempt: Attempt, reason: CloseReason) -> None:
        """Ends an attempt that got no connection, at the end of this turn."""
        self._scheduler.at_end_of_turn(
            lambda: attempt.finish(AttemptResult(attempt_status(reason, False)))
        )

    def _newest_reusable(self, endpoint: PoolEndpoint, now: float) -> int | None:
        """The index of the connection in `idle` that was used last and has settled."""
        return next(
            (
                n
                for n in range(len(endpoint.idle) - 1, -1, -1)
                if endpoint.idle[n].reusable_from <= now
            ),
            None,
        )

    # Connections

    def close_connection(self, connection: PooledConnection, reason: CloseReason) -> None:
        """The only place in which a connection ends, and its attempt with it."""
        endpoint, attempt = connection.endpoint, connection.attempt
        sent_all = connection.has_sent_all()
        if connection in endpoint.connections:
            endpoint.connections.remove(connection)
            self._connections.remove(connection)
            if connection in endpoint.idle:
                endpoint.idle.remove(connection)
        if connection.stream:
            connection.stream.close(reason)
        connection.attempt = None
        if attempt:
            self._stats.dispatches += sent_all
            self._stats.endings[reason] += 1
            attempt.finish(AttemptResult(attempt_status(reason, sent_all)))

    def close_all(self) -> None:
        """Closes every connection, as the process is about to end."""
        for connection in list(self._connections):
            self.close_connection(connection, CloseReason.SHUTDOWN)

    def close_idlest(self) -> bool:
        """Closes the connection that is idle longest; says whether there was one."""
        idle = [endpoint.idle[0] for endpoint in self._endpoints.values() if endpoint.idle]
        if not idle:
            return False
        idlest = min(idle, key=lambda connection: connection.idle_since)
        self.close_connection(idlest, CloseReason.IDLE)
        return True

    def _run_connection(self, connection: PooledConnection) -> None:
        """The task of one connection, from its opening to its end."""
        if connection not in connection.endpoint.connections:
            return  # closed in the turn that asked for it
        reason = CloseReason.BROKEN_HERE
        try:
            reason = self._open(connection) or self._read_answers(connection)
        finally:
            self.close_connection(connection, reason)

    def _open(self, connection: PooledConnection) -> CloseReason | None:
        """Connects and sends the first request; returns why that failed, if it did."""
        for attempt_number in (1, 2):
            result = stream.connect(
                self._scheduler,
                connection.endpoint.address,
                MAX_UNSENT_BYTES,
                self._connect_timeout,
                connection.set_stream,
            )
            if not isinstance(result, CloseReason):
                self._stats.opened += 1
                if connection.attempt and connection.attempt.before_sending:
                    connection.attempt.before_sending()
                connection.send_request()
                return None
            out_of_descriptors = result is CloseReason.NO_DESCRIPTOR
            if not out_of_descriptors or attempt_number == 2 or not self.free_descriptor():
                return result
            connection.stream = None
        return None

    def _read_answers(self, connection: PooledConnection) -> CloseReason:
        """Reads one answer after another until the connection ends; returns why it did."""
        assert connection.stream
        sock, parser = connection.stream, connection.parser
        sock.on_broken = lambda reason: self.close_connection(connection, reason)
        while sock.close_reason is None:
            if connection.attempt is None:
                sock.wait_unwatched()
                continue
            if sock.wait() == WOKEN:
                continue
            data = sock.read(parser.ring.room())
            if data is None:
                continue
            if isinstance(data, CloseReason):
                return data
            try:
                parser.feed(data)
                answer = parser.next()
                if isinstance(answer, resp.NeedMoreData):
                    connection.partial_answer_at = self._scheduler.clock()
                    continue
                self._finish_attempt(connection, read_answer(answer))
            except (ProtocolError, EndpointError) as error:
                log.info("%s: a malformed answer: %s", connection.endpoint.name, error)
                return CloseReason.MALFORMED
        return sock.close_reason

    def _finish_attempt(self, connection: PooledConnection, result: AttemptResult) -> None:
        """Ends the attempt with its answer and keeps the connection for the next one.

        Raises:
            EndpointError: The answer came before its request was out. It answers nothing that was
                asked, and what follows it could be taken for another request's answer.
        """
        if not connection.has_sent_all():
            raise EndpointError("an answer before its request")
        attempt, connection.attempt = connection.attempt, None
        assert attempt
        connection.partial_answer_at = 0.0
        self._stats.dispatches += 1
        connection.reusable_from = self._scheduler.clock() + SETTLE_TIME_S
        if connection.parser.idle():
            self._make_idle(connection)
        else:
            # The answer is whole and this attempt's own. The bytes behind it are no attempt's, and
            # no later attempt must get them.
            self.close_connection(connection, CloseReason.MALFORMED)
        attempt.finish(result)

    def _make_idle(self, connection: PooledConnection) -> None:
        connection.idle_since = self._scheduler.clock()
        if connection.endpoint.listed:
            connection.endpoint.idle.append(connection)
        else:
            self.close_connection(connection, CloseReason.UNLISTED)

    def _sweep(self) -> None:
        """Closes connections that are idle too long, and those whose answer stopped half-way."""
        self._scheduler.at(self._scheduler.clock() + SWEEP_INTERVAL_S, self._sweep)
        now = self._scheduler.clock()
        for endpoint in self._endpoints.values():
            while endpoint.idle and now - endpoint.idle[0].idle_since >= self._idle_timeout:
                self.close_connection(endpoint.idle[0], CloseReason.IDLE)
        stopped = [
            connection
            for connection in self._connections
            if connection.partial_answer_at
            and now - connection.partial_answer_at >= PARTIAL_ANSWER_TIMEOUT_S
        ]
        for connection in stopped:
            # The endpoint had done the work and was sending: waiting for the deadline gains
            # nothing.
            self.close_connection(connection, CloseReason.STALLED)
