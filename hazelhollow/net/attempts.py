"""Attempts: each forwards a request to an endpoint once, and ends with one result.

`connection_pool.ConnectionPool.start` creates an attempt and assigns it to a connection; it ends
with one `AttemptResult`. This module owns the attempt's record and the parsing of an endpoint's
answer.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hazelhollow.decisions.interface import Status
from hazelhollow.net import resp
from hazelhollow.net.errors import EndpointError

if TYPE_CHECKING:
    from hazelhollow.net.pooled_connection import PooledConnection
    from hazelhollow.net.scheduler import Timer

MAX_LOGGED_ANSWER_BYTES = 80

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class AttemptResult:
    """How an attempt ended, in the terms of the decision engine.

    Attributes:
        status: The status; `close_reason.attempt_status` determines it if no answer arrived.
        value: The value for the client; only with status "ok".
        report: The endpoint's load report, not parsed yet.
        figures: The units that the request used according to the endpoint, not parsed yet.
    """

    status: Status
    value: bytes = b""
    report: bytes = b""
    figures: bytes = b""


def read_answer(answer: resp.Value) -> AttemptResult:
    """Parses an endpoint's answer: `[VALUE, FIGURES, REPORT]`, `-BUSY ...` or `-ERR ...`.

    Raises:
        EndpointError: The answer has another form.
    """
    if isinstance(answer, list) and answer and isinstance(answer[0], bytes):
        figures, report = (x if isinstance(x, bytes) else b"" for x in (answer + [None, None])[1:3])
        return AttemptResult("ok", answer[0], report, figures)
    if isinstance(answer, resp.ErrorReply):
        code, _, rest = answer.partition(b" ")
        report = rest.rpartition(b" ")[2] if b"=" in rest else b""
        if code == b"BUSY":
            return AttemptResult("full", report=report)
        if code != b"ERR":
            log.warning(
                "endpoint answered with an unknown error code, counted as an error: %r",
                bytes(answer[:MAX_LOGGED_ANSWER_BYTES]),
            )
        return AttemptResult("error", report=report)
    raise EndpointError("the answer is neither an array with a value nor an error line")


class Attempt:
    """One attempt, from `ConnectionPool.start` to its single result.

    Attributes:
        endpoint: The endpoint's name.
        command: The encoded request.
        on_result: Receives the result; None once the attempt has ended.
        before_sending: Called once, when a new connection is up and before the request is written.
        connection: The connection that carries the attempt; None if it never got one.
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
        "connection",
        "started_at",
        "timeout_timer",
        "send_by_timer",
    )

    def __init__(
        self,
        endpoint: str,
        command: bytes,
        on_result: Callable[[AttemptResult], None],
        before_sending: Callable[[], object],
        started_at: float,
    ) -> None:
        self.endpoint, self.command, self.started_at = endpoint, command, started_at
        self.on_result: Callable[[AttemptResult], None] | None = on_result
        self.before_sending: Callable[[], object] | None = before_sending
        self.connection: PooledConnection | None = None
        self.timeout_timer: Timer | None = None
        self.send_by_timer: Timer | None = None

    def finish(self, result: AttemptResult) -> None:
        """Delivers the result; later calls have no effect."""
        on_result, self.on_result, self.before_sending = self.on_result, None, None
        for timer in (self.timeout_timer, self.send_by_timer):
            if timer:
                timer.cancel()  # a pending timer keeps the attempt and its connection in memory
        if on_result:
            on_result(result)
