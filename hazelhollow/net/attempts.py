"""Attempts: each forwards a request to an endpoint once, and ends with one result.

`connection_pool.ConnectionPool.start` creates an attempt and assigns it to a connection; it ends
with one `AttemptResult`. This module owns the attempt's record and the meaning of error lines.

A value of up to `MAX_COLLECTED_BYTES` is part of the result. What becomes of a longer one is
decided by the attempt's `ValueSink` when its first byte arrives (`ValuePath`; see
docs/design/streaming.md and docs/design/pipelined-requests.md).
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING, Protocol

from hazelhollow.decisions.interface import Execution, Status

if TYPE_CHECKING:
    from hazelhollow.net.pooled_connection import PooledConnection
    from hazelhollow.net.scheduler import Timer

MAX_LOGGED_ANSWER_BYTES = 80
MAX_COLLECTED_BYTES = 64 * 1024  # of a value; a longer one is timed by its first byte

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class AttemptResult:
    """How an attempt ended, in the terms of the decision engine.

    Attributes:
        status: The status; `close_reason.attempt_status` determines it if no answer arrived.
        value: The value for the client, with status "ok"; None if it was forwarded to the sink. A
            long value is a bytearray, which the receiver owns.
        report: The endpoint's load report, not parsed yet.
        figures: The units that the request used according to the endpoint, not parsed yet.
    """

    status: Status
    value: bytes | bytearray | None = b""
    report: bytes = b""
    figures: bytes = b""


def read_error(line: bytes) -> AttemptResult:
    """Returns the result for an endpoint's error line, given without its first byte."""
    code, _, rest = line.partition(b" ")
    report = rest.rpartition(b" ")[2] if b"=" in rest else b""
    if code == b"BUSY":
        return AttemptResult("full", report=report)
    if code != b"ERR":
        log.warning(
            "endpoint answered with an unknown error code, counted as an error: %r",
            line[:MAX_LOGGED_ANSWER_BYTES],
        )
    return AttemptResult("error", report=report)


class ValuePath(Enum):
    """What becomes of a long value whose first byte has arrived."""

    FORWARD = auto()  # it is written to the sink while it arrives
    COLLECT = auto()  # it becomes a part of the result; the memory for it is reserved
    WAIT = auto()  # as COLLECT, but without memory; the sink wakes the attempt's connection
    DROP = auto()  # it is not wanted any more


class ValueSink(Protocol):
    """Takes a long value while it arrives. `net/value_forwarding.py` passes it on to a client."""

    def is_client_known(self) -> bool:
        """Whether the client was certainly connected a moment ago."""

    def start(self, length: int) -> ValuePath:
        """Decides about a value of `length` bytes, of which the first are here.

        After WAIT it is called again when the connection has been woken.
        """

    def room(self) -> int:
        """Returns how many bytes may be written now.

        After 0, the sink wakes the attempt's connection as soon as there is room.
        """

    def write(self, data: bytes) -> None:
        """Takes a piece of the value, at most `room` bytes."""

    def progressed(self, at: float) -> None:
        """Reports that bytes of an incomplete answer arrived at that time (clock)."""

    def stalled(self) -> None:
        """Reports that no byte of an incomplete short answer has arrived for some time."""


class Attempt:
    """One attempt, from `ConnectionPool.start` to its single result.

    Attributes:
        endpoint: The endpoint's name.
        command: The encoded request.
        on_result: Receives the result; None once the attempt has ended.
        before_sending: Called when a new connection is up and before the request is written, until
            it returns that the request may be sent.
        sink: Takes a value that is too long to be collected; None if nothing can take it.
        execution: Where the request runs, if it must not run twice; else None.
        answer_began_at: When a part of the answer was first here alone (clock); 0 if none was.
        progressed_at: When the last bytes of the incomplete answer arrived (clock); 0 if none have.
        received_bytes: How many bytes of the answer have arrived.
        forwarding_since: When the value began to be forwarded (clock); 0 if it has not.
        connection: The connection that carries the attempt; None if it never got one.
        collects_value: Whether a long value is collected, or waits for the memory for it.
        reserved_bytes: The memory that is reserved for that value.
        started_at: When the attempt was started, by the scheduler's clock.
        timeout_timer: Aborts the attempt at its own timeout; None if that is not before the
            request's deadline.
        send_by_timer: Withdraws the attempt unless its request has been sent completely by then.
    """

    __slots__ = (
        "endpoint",
        "command",
        "on_result",
        "before_sending",
        "sink",
        "execution",
        "answer_began_at",
        "progressed_at",
        "received_bytes",
        "forwarding_since",
        "connection",
        "collects_value",
        "reserved_bytes",
        "started_at",
        "timeout_timer",
        "send_by_timer",
    )

    def __init__(
        self,
        endpoint: str,
        command: bytes,
        on_result: Callable[[AttemptResult], None],
        before_sending: Callable[[], bool],
        started_at: float,
    ) -> None:
        self.endpoint, self.command, self.started_at = endpoint, command, started_at
        self.on_result: Callable[[AttemptResult], None] | None = on_result
        self.before_sending: Callable[[], bool] | None = before_sending
        self.sink: ValueSink | None = None
        self.execution: Execution | None = None
        self.answer_began_at = self.progressed_at = self.forwarding_since = 0.0
        self.received_bytes = 0
        self.connection: PooledConnection | None = None
        self.collects_value = False
        self.reserved_bytes = 0
        self.timeout_timer: Timer | None = None
        self.send_by_timer: Timer | None = None

    @classmethod
    def never_started(cls, endpoint: str, at: float) -> Attempt:
        """Returns the record of an attempt that was not begun, and has no result."""
        attempt = cls(endpoint, b"", lambda _result: None, lambda: False, at)
        attempt.on_result = None
        return attempt

    def note_progress(self, now: float) -> None:
        """Notes that bytes of the answer have arrived, which is incomplete and not forwarded."""
        self.progressed_at = now
        if not self.answer_began_at:
            self.answer_began_at = now
        if self.sink:
            self.sink.progressed(now)

    def answer_time(self, ended_at: float) -> float:
        """Returns the seconds from the first part of the answer to its end; 0 without parts."""
        return ended_at - self.answer_began_at if self.answer_began_at else 0.0

    def finish(self, result: AttemptResult) -> None:
        """Delivers the result; later calls have no effect."""
        on_result, self.on_result, self.before_sending = self.on_result, None, None
        self.sink = None
        self.cancel_timers()
        if on_result:
            on_result(result)

    def cancel_timers(self) -> None:
        """Cancels the timeouts; a pending timer would keep the attempt in memory."""
        for timer in (self.timeout_timer, self.send_by_timer):
            if timer:
                timer.cancel()

    def wake_connection(self) -> None:
        """Makes the connection continue: the sink has room again."""
        if self.connection and self.connection.stream:
            self.connection.stream.wake()
