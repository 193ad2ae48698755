"""Reads the answers on connections to endpoints, and passes them to the attempts.

`answer_parser` turns the bytes into events. A short value is collected; what becomes of a long one
is decided by the attempt's sink when its first byte arrives (`attempts.ValuePath`).
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from hazelhollow.net import stream
from hazelhollow.net.answer_parser import (
    AnswerCompleted,
    AnswerEvent,
    ErrorReceived,
    ValueData,
    ValueStarted,
)
from hazelhollow.net.attempts import (
    MAX_COLLECTED_BYTES,
    Attempt,
    AttemptResult,
    ValuePath,
    read_error,
)
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.errors import EndpointError, ProtocolError
from hazelhollow.net.pooled_connection import PooledConnection
from hazelhollow.net.scheduler import WOKEN, Scheduler

log = logging.getLogger(__name__)


class AnswerReceiver:
    """Receives the answers of all connections of a pool."""

    def __init__(
        self,
        scheduler: Scheduler,
        close: Callable[[PooledConnection, CloseReason], None],
        finish: Callable[[PooledConnection, AttemptResult], None],
    ) -> None:
        """`close` ends a connection and its attempt; `finish` ends an attempt with its answer."""
        self._scheduler, self._close, self._finish = scheduler, close, finish

    def read_answers(self, connection: PooledConnection) -> CloseReason:
        """Reads answers until the connection ends; returns the reason."""
        assert connection.stream
        sock = connection.stream
        sock.on_send_failure = lambda reason: self._close(connection, reason)
        while sock.close_reason is None:
            data: bytes | CloseReason | None = None
            room = self._room(connection)
            if room <= 0:
                sock.wait_unwatched()
            elif not connection.parser.has_value_data() and sock.wait() != WOKEN:
                data = sock.read(room)
                if isinstance(data, CloseReason):
                    return data
                if data:
                    connection.parser.feed(data)
                    if connection.attempt:
                        connection.attempt.received_bytes += len(data)
            if connection.attempt is None:
                continue
            try:
                self._process_received(connection, has_new_bytes=bool(data))
            except (ProtocolError, EndpointError) as error:
                log.info(
                    "endpoint %s: closing a connection after a malformed answer: %s",
                    connection.endpoint.name,
                    error,
                )
                return CloseReason.MALFORMED
        return sock.close_reason

    def _room(self, connection: PooledConnection) -> int:
        """Returns how many bytes may be read now; 0 while idle or while nothing can take them."""
        attempt = connection.attempt
        if attempt is None or connection.waits_for_memory:
            return 0
        if not connection.is_forwarding or attempt.sink is None:
            return stream.READ_CHUNK_BYTES
        room = attempt.sink.room()
        if room <= 0:
            # Silence is the client's now, not the endpoint's.
            connection.partial_answer_at = 0.0
        elif not connection.partial_answer_at:
            connection.partial_answer_at = self._scheduler.clock()
        return room

    def _process_received(self, connection: PooledConnection, has_new_bytes: bool) -> None:
        """Handles the events of the bytes received so far, as far as the sink has room.

        `has_new_bytes`: whether bytes have just arrived. Only these end a silence: a shutdown, or a
        client that reads, wakes the connection again and again.

        Raises:
            ProtocolError: The bytes are no answer.
            EndpointError: The answer cannot belong to the attempt.
        """
        while connection.attempt is not None:
            if connection.announced_length and connection.parser.has_value_data():
                self._begin_value(connection, connection.attempt)
                if connection.waits_for_memory:
                    return
                continue
            event = connection.parser.next_event(self._max_data(connection))
            if event is None:
                if connection.attempt and not connection.parser.is_idle():
                    is_blocked = connection.is_forwarding and connection.parser.has_value_data()
                    if is_blocked:
                        connection.partial_answer_at = 0.0
                    elif has_new_bytes or not connection.partial_answer_at:
                        connection.partial_answer_at = self._scheduler.clock()
                        if not connection.is_forwarding:
                            connection.attempt.note_progress(connection.partial_answer_at)
                return
            self._handle_event(connection, connection.attempt, event)

    def _max_data(self, connection: PooledConnection) -> int:
        attempt = connection.attempt
        if attempt and attempt.sink and connection.is_forwarding:
            return attempt.sink.room()
        return MAX_COLLECTED_BYTES

    def _handle_event(
        self, connection: PooledConnection, attempt: Attempt, event: AnswerEvent
    ) -> None:
        if isinstance(event, ValueStarted):
            self._start_value(connection, attempt, event.length)
        elif isinstance(event, ValueData):
            if connection.collected is not None:
                connection.collected += event.data
            elif attempt.sink:
                attempt.sink.write(event.data)
        elif isinstance(event, ErrorReceived):
            self._end_attempt(connection, read_error(event.line))
        else:
            self._end_attempt(connection, _result(connection, event))

    def _start_value(self, connection: PooledConnection, attempt: Attempt, length: int) -> None:
        """Collects a short value, or notes that a long one is announced."""
        _raise_if_unsent(connection)
        if length <= MAX_COLLECTED_BYTES:
            connection.collected = bytearray()
        elif attempt.sink is None:
            raise EndpointError(f"a value of {length} bytes, which nothing can take")
        else:
            connection.announced_length = length

    def _begin_value(self, connection: PooledConnection, attempt: Attempt) -> None:
        """Forwards or collects a long value from now on: its first byte is here.

        Its head alone promises nothing: until the first byte, timeouts and other attempts go on.
        They also go on while the value is collected.
        """
        assert attempt.sink
        path = attempt.sink.start(connection.announced_length)
        connection.waits_for_memory = path is ValuePath.WAIT
        if path is ValuePath.WAIT:
            connection.partial_answer_at = 0.0  # the silence is this process's
            return
        connection.announced_length = 0
        if path is ValuePath.FORWARD:
            attempt.forwarding_since = self._scheduler.clock()
            attempt.cancel_timers()
        elif path is ValuePath.COLLECT:
            connection.collected = bytearray()
        else:
            self._close(connection, CloseReason.CANCELLED)

    def _end_attempt(self, connection: PooledConnection, result: AttemptResult) -> None:
        """Ends an attempt with its complete answer.

        Raises:
            EndpointError: The answer arrived before its request was sent completely. It cannot
                belong to that request, and later bytes could be mistaken for the answer to another.
        """
        _raise_if_unsent(connection)
        self._finish(connection, result)


def _raise_if_unsent(connection: PooledConnection) -> None:
    if not connection.has_sent_all():
        raise EndpointError("the answer arrived before its request was sent")


def _result(connection: PooledConnection, event: AnswerCompleted) -> AttemptResult:
    """Returns the result of a complete answer; a forwarded value is not part of it."""
    value: bytes | bytearray | None = connection.collected
    if value is not None and len(value) <= MAX_COLLECTED_BYTES:
        value = bytes(value)
    return AttemptResult("ok", value, event.report, event.figures)
