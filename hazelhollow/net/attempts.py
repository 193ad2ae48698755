"""Attempts: one forwarding of a request to an endpoint, and how it ended.

An attempt is made by `connection_pool.ConnectionPool.start`, which puts it on a connection, and
ends with one `AttemptResult`. This module owns the attempt's record and the reading of an
endpoint's answer.
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
    """How an attempt ended, in the decision engine's words.

    Attributes:
        status: Of the attempt; `close_reason.attempt_status` gives it where no answer came.
        value: What goes to the client; only with status "ok".
        report: The endpoint's load report, unread.
        figures: What the endpoint says that the request used, unread.
    """

    status: Status
    value: bytes = b""
    report: bytes = b""
    figures: bytes = b""


def read_answer(answer: resp.Value) -> AttemptResult:
    """Reads an endpoint's answer: `[VALUE, FIGURES, REPORT]`, `-BUSY ...` or `-ERR ...`.

    Raises:
        EndpointError: The value is none of these.
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
            log.warning("an endpoint answered %r", bytes(answer[:MAX_LOGGED_ANSWER_BYTES]))
        return AttemptResult("error", report=report)
    raise EndpointError("neither an array nor an error line")


class Attempt:
    """One attempt, from `ConnectionPool.start` to its one result.

    Attributes:
        endpoint: The endpoint's name.
        command: The request as it goes out.
        before_sending: Called once, when a new connection is up and before the request is written.
        connection: The connection that carries it, or None if it never got one.
        started_at: When it was asked for, by the scheduler's clock.
        timeout_timer: At which it is aborted before its request's deadline, if it is.
        send_by_timer: At which it is withdrawn unless its request has gone out completely.
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
        """Hands over the result; later calls do nothing."""
        on_result, self.on_result, self.before_sending = self.on_result, None, None
        for timer in (self.timeout_timer, self.send_by_timer):
            if timer:
                timer.cancel()  # until then it would keep the attempt and its connection in memory
        if on_result:
            on_result(result)
