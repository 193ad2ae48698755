"""The operator address: one call per connection, answered immediately or timed out.

A connection that sends no complete call, or does not read its answer, is closed within a second, so
that it cannot block other callers. The states of a connection:

| state | transitions |
| --- | --- |
| READING | a complete call, an invalid one, or 0.5 s: ANSWERING. The caller closes: CLOSED |
| ANSWERING | the answer is sent: DRAINING. 0.4 s pass: CLOSED |
| DRAINING | the caller closes, 0.4 s pass, or it sends 64 KiB more: CLOSED |
"""

from __future__ import annotations

import logging
import socket

from hazelhollow.net import operator_calls, stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.errors import OperatorCallError
from hazelhollow.net.operator_console import OperatorConsole
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.scheduler import READABLE, TIMED_OUT, Scheduler
from hazelhollow.net.stats import Stats

CALL_TIMEOUT_S = 0.5  # from connection to complete call; answers are promised within 1 s
ANSWER_TIMEOUT_S = 0.4  # for the caller to read the answer, and again for it to close
MAX_CALLERS = 32  # concurrent connections; a further one closes the oldest
MAX_ANSWER_BYTES = 1 << 20
MAX_DISCARDED_BYTES = 1 << 16  # received after the call and ignored
LISTEN_BACKLOG = 64

log = logging.getLogger(__name__)


class OperatorAddress:
    """The listening socket and its callers.

    Attributes:
        address: The address on which it listens.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        stats: Stats,
        console: OperatorConsole,
        listen: tuple[str, int],
    ) -> None:
        self._scheduler, self._stats, self._console = scheduler, stats, console
        self._callers: dict[stream.Stream, None] = {}  # in order of connection
        self._log = RateLimitedLog(log, scheduler.clock)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(listen)
        self._sock.listen(LISTEN_BACKLOG)
        self.address: tuple[str, int] = self._sock.getsockname()

    def run(self) -> None:
        """Accepts callers; never returns."""
        for sock in stream.accept_connections(self._scheduler, self._sock):
            if len(self._callers) >= MAX_CALLERS:
                oldest = next(iter(self._callers))
                self._stats.operator_endings[CloseReason.NO_DESCRIPTOR] += 1
                oldest.close(CloseReason.NO_DESCRIPTOR)
            caller = stream.Stream(self._scheduler, sock, MAX_ANSWER_BYTES)
            self._callers[caller] = None
            self._scheduler.spawn(self._run_caller, caller, name="operator call")

    def _run_caller(self, caller: stream.Stream) -> None:
        reason = CloseReason.BROKEN_HERE
        try:
            reason = self._answer_call(caller)
        finally:
            self._stats.operator_endings[reason] += 1
            if caller.close_reason is None and not caller.send_buffer:
                # The caller may have sent more than its call. Closing a socket with unread input
                # resets the connection, and the answer could be lost.
                caller.shutdown_send()
                caller.discard_until_closed(ANSWER_TIMEOUT_S, MAX_DISCARDED_BYTES)
            caller.close(reason)
            self._callers.pop(caller, None)

    def _answer_call(self, caller: stream.Stream) -> CloseReason:
        deadline, parser = self._scheduler.clock() + CALL_TIMEOUT_S, operator_calls.Parser()
        call = None
        try:
            while call is None:
                bits = caller.wait(deadline, READABLE)
                if caller.close_reason:
                    return caller.close_reason
                if bits == TIMED_OUT:
                    what = "half a call" if parser.partial() else "no call"
                    why = f"{what} within {CALL_TIMEOUT_S} s"
                    return self._send_error(caller, why, CloseReason.TIMED_OUT)
                data = caller.read(operator_calls.MAX_LINE_BYTES)
                if isinstance(data, CloseReason):
                    return data
                call = parser.feed(data) if data else None
        except OperatorCallError as error:
            return self._send_error(caller, str(error), CloseReason.MALFORMED)
        self._stats.operator_calls[call.verb] += 1
        caller.write(self._console.answer(call))
        return self._finish_sending(caller, CloseReason.CLOSED)

    def _send_error(self, caller: stream.Stream, why: str, reason: CloseReason) -> CloseReason:
        self._log.warning("operator address: %s", why)
        caller.write(b"error %b\n" % why.encode())
        return self._finish_sending(caller, reason)

    def _finish_sending(self, caller: stream.Stream, reason: CloseReason) -> CloseReason:
        """Waits until the answer has been sent; input that arrives meanwhile is not read."""
        until = self._scheduler.clock() + ANSWER_TIMEOUT_S
        caller.flush()
        while caller.send_buffer and caller.close_reason is None:
            if caller.wait(until, 0) == TIMED_OUT:
                return CloseReason.STALLED
        return reason

    def close(self) -> None:
        """Closes the listening socket."""
        self._scheduler.unregister(self._sock.fileno())
        self._sock.close()
