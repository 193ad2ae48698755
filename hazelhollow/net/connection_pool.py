"""The pool of connections to endpoints, and the attempts that go out on them.

The pool is the only owner of these connections: it opens, reuses and closes them. `engine_driver`
starts, aborts and withdraws attempts; `service` sets which endpoints are listed.
`pooled_connection` documents the states of a connection; `answer_receiver` reads the answers on it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from hazelhollow.net import resp, stream
from hazelhollow.net.answer_receiver import AnswerReceiver
from hazelhollow.net.attempts import Attempt, AttemptResult, ValueSink
from hazelhollow.net.close_reason import CloseReason, attempt_status
from hazelhollow.net.pooled_connection import PooledConnection, PoolEndpoint
from hazelhollow.net.scheduler import Scheduler
from hazelhollow.net.stats import Stats

REQUEST_HEADER_BYTES = 64  # at least the RESP headers of an array of five strings
MAX_UNSENT_BYTES = resp.MAX_VALUE_BYTES + REQUEST_HEADER_BYTES  # per connection: one request
# Fraction of the endpoint's own idle timeout after which a connection is not reused: near that
# timeout the endpoint might close it while a request is in transit.
IDLE_TIMEOUT_SHARE = 0.5
SWEEP_INTERVAL_S = 0.25  # between checks for idle connections and incomplete answers
# An incomplete short answer without a further byte for this long is reported as stalled. Long ones
# may pause until the time of their request is nearly over (`decisions/supervision.py`).
PARTIAL_ANSWER_TIMEOUT_S = 0.5
# A forwarded value without a further byte for this long has ended, if the client would take more.
# Endpoints pause for 2 s and more; clients leave some 3.6 s after their time if nothing ends it.
FORWARDING_STALL_S = 3.1
MAX_WITHHELD_S = 0.1  # for which a request waits to be sent after its connection is up
WITHHELD_CHECK_INTERVAL_S = 0.01
# A connection is not reused for this long after an answer, as a second copy may still arrive.
SETTLE_TIME_S = 0.03


@dataclass(frozen=True)
class PoolSettings:
    """The settings of the platform configuration for connections to endpoints.

    Attributes:
        connect_timeout: Seconds within which a connection has to be established.
        endpoint_idle_timeout: Seconds after which an endpoint closes an idle connection.
        max_connections: The maximum number of connections to all endpoints together.
    """

    connect_timeout: float
    endpoint_idle_timeout: float
    max_connections: int


class ConnectionPool:
    """All connections to endpoints.

    Attributes:
        free_descriptor: Frees one of this process's descriptors, if possible, and returns whether
            it did. `service` replaces it with a function that may also close client connections.
    """

    def __init__(self, scheduler: Scheduler, stats: Stats, settings: PoolSettings) -> None:
        self._scheduler, self._stats = scheduler, stats
        self._max_connections = settings.max_connections
        self.set_timeouts(settings.connect_timeout, settings.endpoint_idle_timeout)
        self._endpoints: dict[str, PoolEndpoint] = {}
        # includes the connections to endpoints that are no longer listed
        self._connections: set[PooledConnection] = set()
        self.free_descriptor: Callable[[], bool] = self.close_longest_idle
        self._receiver = AnswerReceiver(scheduler, self.close_connection, self._finish_attempt)
        scheduler.at(scheduler.clock() + SWEEP_INTERVAL_S, self._sweep)

    def set_timeouts(self, connect_timeout: float, endpoint_idle_timeout: float) -> None:
        """Sets the timeouts, in seconds; see `PoolSettings`."""
        self._connect_timeout = connect_timeout
        self._idle_timeout = endpoint_idle_timeout * IDLE_TIMEOUT_SHARE

    # The endpoint list

    def set_endpoints(
        self,
        addresses: Mapping[str, tuple[str, int]],
        start_times: Mapping[str, float] = MappingProxyType({}),
    ) -> None:
        """Sets the endpoints that may receive new attempts from now on, and their addresses.

        An endpoint that has moved or restarted (another time in `start_times`) is another process:
        connections to the old one are not used again.

        An attempt of which no byte has been sent must not reach an endpoint that drains or is gone:
        it ends as `connect_failed`, and the decision engine may choose another endpoint. Attempts
        that have started to send continue.
        """
        for name, endpoint in list(self._endpoints.items()):
            started = start_times.get(name, 0.0)
            if (addresses.get(name), started) != (endpoint.address, endpoint.started):
                endpoint.listed = False
                del self._endpoints[name]
                for connection in list(endpoint.connections):
                    if connection.attempt is None or not connection.has_sent_any():
                        self.close_connection(connection, CloseReason.UNLISTED)
        for name, address in addresses.items():
            if name not in self._endpoints:
                self._endpoints[name] = PoolEndpoint(name, address, start_times.get(name, 0.0))

    # Attempts

    def start(
        self,
        name: str,
        command: bytes,
        on_result: Callable[[AttemptResult], None],
        before_sending: Callable[[], bool] = lambda: True,
        sink: ValueSink | None = None,
    ) -> Attempt:
        """Sends a request to the endpoint of that name, on an idle connection or a new one.

        Args:
            name: The endpoint's name. If it is not listed, the attempt ends as `connect_failed`.
            command: The encoded request.
            on_result: Called exactly once, and never before this method returns.
            before_sending: Called when a new connection is up and before anything is written;
                returns whether the request may be sent now. It may withdraw the attempt if its
                result is no longer needed.
            sink: Takes a value that is too long to be collected. While it does not know its client
                to be connected, no idle connection is used, on which the request is sent at once.
        """
        now, endpoint = self._scheduler.clock(), self._endpoints.get(name)
        attempt = Attempt(name, command, on_result, before_sending, now)
        attempt.sink = sink
        self._stats.attempts += 1
        if endpoint is None:
            self._fail_at_end_of_turn(attempt, CloseReason.UNLISTED)
            return attempt
        may_send_at_once = sink is None or sink.is_client_known()
        while may_send_at_once and (position := self._newest_reusable(endpoint, now)) is not None:
            connection = endpoint.idle.pop(position)
            if now - connection.idle_since >= self._idle_timeout:
                self.close_connection(connection, CloseReason.IDLE)
            elif not connection.stream or not connection.stream.is_open_without_unread_input():
                # A request written to it would be reset, and might still have been executed.
                self.close_connection(connection, CloseReason.CLOSED)
            else:
                connection.attempt, attempt.connection = attempt, connection
                self._stats.reused += 1
                connection.send_request()
                connection.stream.wake()
                return attempt
        if len(self._connections) >= self._max_connections and not self.close_longest_idle():
            self._stats.no_descriptor += 1
            self._fail_at_end_of_turn(attempt, CloseReason.NO_DESCRIPTOR)
            return attempt
        connection = PooledConnection(endpoint)
        connection.attempt, attempt.connection = attempt, connection
        endpoint.connections.add(connection)
        self._connections.add(connection)
        self._scheduler.spawn(self._run_connection, connection, name=f"connection to {name}")
        return attempt

    def abort(self, attempt: Attempt, reason: CloseReason) -> None:
        """Aborts the attempt, whether its request was sent or not.

        The endpoint notices that its connection was closed; unsent bytes are dropped.
        """
        if attempt.on_result and attempt.connection:
            self.close_connection(attempt.connection, reason)

    def withdraw(self, attempt: Attempt, reason: CloseReason) -> None:
        """Aborts the attempt only if its request has not been sent completely.

        In that case the endpoint cannot have started to execute it.
        """
        if attempt.on_result and attempt.connection and not attempt.connection.has_sent_all():
            self.close_connection(attempt.connection, reason)

    def _fail_at_end_of_turn(self, attempt: Attempt, reason: CloseReason) -> None:
        """Ends an attempt that got no connection, at the end of the current turn."""
        self._scheduler.at_end_of_turn(
            lambda: attempt.finish(AttemptResult(attempt_status(reason, False)))
        )

    def _newest_reusable(self, endpoint: PoolEndpoint, now: float) -> int | None:
        """Returns the index of the most recently used connection in `idle` that may be reused."""
        return next(
            (
                position
                for position in range(len(endpoint.idle) - 1, -1, -1)
                if endpoint.idle[position].reusable_from <= now
            ),
            None,
        )

    # Connections

    def close_connection(self, connection: PooledConnection, reason: CloseReason) -> None:
        """Closes a connection and ends its attempt; the only place that does so."""
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
        """Closes every connection, at the end of the process."""
        for connection in list(self._connections):
            self.close_connection(connection, CloseReason.SHUTDOWN)

    def close_longest_idle(self) -> bool:
        """Closes the connection that has been idle longest; returns whether there was one."""
        idle = [endpoint.idle[0] for endpoint in self._endpoints.values() if endpoint.idle]
        if not idle:
            return False
        longest_idle = min(idle, key=lambda connection: connection.idle_since)
        self.close_connection(longest_idle, CloseReason.IDLE)
        return True

    def _run_connection(self, connection: PooledConnection) -> None:
        """Runs one connection from its opening to its end; the body of its task."""
        if connection not in connection.endpoint.connections:
            return  # closed in the same turn in which it was created
        reason = CloseReason.BROKEN_HERE
        try:
            reason = self._open(connection) or self._receiver.read_answers(connection)
        finally:
            self.close_connection(connection, reason)

    def _open(self, connection: PooledConnection) -> CloseReason | None:
        """Connects and sends the first request; returns the reason if that failed, else None."""
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
                if not self._may_send(connection, result):
                    return CloseReason.WITHHELD
                connection.send_request()
                return None
            out_of_descriptors = result is CloseReason.NO_DESCRIPTOR
            if not out_of_descriptors or attempt_number == 2 or not self.free_descriptor():
                return result
            connection.stream = None
        return None

    def _may_send(self, connection: PooledConnection, sock: stream.Stream) -> bool:
        """Waits until a new connection's request may be sent; returns whether it may."""
        until = self._scheduler.clock() + MAX_WITHHELD_S
        while (attempt := connection.attempt) and attempt.before_sending:
            if attempt.before_sending():
                break
            now = self._scheduler.clock()
            if now >= until:
                return False
            self._stats.withheld += 1
            sock.wait(min(now + WITHHELD_CHECK_INTERVAL_S, until), events=0)
        return True

    def _finish_attempt(self, connection: PooledConnection, result: AttemptResult) -> None:
        """Ends the attempt with its answer and keeps the connection for the next one."""
        attempt, connection.attempt = connection.attempt, None
        assert attempt
        connection.partial_answer_at, connection.collected = 0.0, None
        self._stats.dispatches += 1
        connection.reusable_from = self._scheduler.clock() + SETTLE_TIME_S
        if connection.parser.is_idle():
            self._make_idle(connection)
        else:
            # The answer is complete and belongs to this attempt. The bytes after it belong to no
            # attempt, and no later attempt may receive them.
            self.close_connection(connection, CloseReason.MALFORMED)
        attempt.finish(result)

    def _make_idle(self, connection: PooledConnection) -> None:
        connection.idle_since = self._scheduler.clock()
        if connection.endpoint.listed:
            connection.endpoint.idle.append(connection)
        else:
            self.close_connection(connection, CloseReason.UNLISTED)

    def _sweep(self) -> None:
        """Closes connections that are idle too long or whose answer stays incomplete."""
        self._scheduler.at(self._scheduler.clock() + SWEEP_INTERVAL_S, self._sweep)
        now = self._scheduler.clock()
        for endpoint in self._endpoints.values():
            while endpoint.idle and now - endpoint.idle[0].idle_since >= self._idle_timeout:
                self.close_connection(endpoint.idle[0], CloseReason.IDLE)
        for connection in list(self._connections):
            silent_since, attempt = connection.partial_answer_at, connection.attempt
            if not silent_since or attempt is None:
                continue
            if connection.is_forwarding:
                if now - silent_since >= FORWARDING_STALL_S:
                    self.close_connection(connection, CloseReason.STALLED)
            elif (
                now - silent_since >= PARTIAL_ANSWER_TIMEOUT_S
                and not connection.has_long_value_begun()
            ):
                if attempt.sink:
                    attempt.sink.stalled()
                else:
                    self.close_connection(connection, CloseReason.STALLED)
