"""One connection to the store as a state machine: bytes in, bytes out, events for each call.

It does no I/O; `StoreClient` creates a link for each connection. It speaks RESP2 with the commands
AUTH, SELECT, INFO, TIME, SCRIPT LOAD and EVALSHA. Answers arrive in the order of the commands, so
each is matched with the oldest pending command, even if its call timed out long before. A late
answer is reported as late and never attributed to another call.

Bounds: at most `max_pending` commands are pending at a time. If the store is silent for
SILENCE_FACTOR times a call's timeout, the connection is reported as broken, since every call behind
the unanswered one would time out as well.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from hazelhollow.net import resp
from hazelhollow.net.errors import ProtocolError
from hazelhollow.shared_store.errors import (
    StoreError,
    StoreProtocolError,
    StoreRefusedError,
    StoreTimeoutError,
    StoreUnavailableError,
)
from hazelhollow.shared_store.leased_account import ScriptCall
from hazelhollow.shared_store.scripts import SCRIPTS, SHAS, answer_text, text_of

SILENCE_FACTOR = 8.0  # multiple of the timeout of a call
HANDSHAKE_TIMEOUT_S = 2.0
MAX_ERROR_BYTES = 80  # bytes of the store's error text that are logged
# Errors that will persist on this connection, but maybe not on a new one.
FATAL_ERRORS = frozenset({"NOAUTH", "NOPERM", "MOVED", "READONLY"})


class Credentials(NamedTuple):
    """The login at the store, and the number of the database to use."""

    username: str = ""
    password: str = ""
    database: int = 0


@dataclass(frozen=True)
class Connected:
    """The handshake is done.

    `store_started_at` is the start time of the store's process and `store_now` is the current time,
    both in Unix seconds by the store's clock.
    """

    store_started_at: float
    store_now: float


@dataclass(frozen=True)
class Answered:
    """An answer that arrived in time; `elapsed` is in seconds."""

    call: ScriptCall
    answer: list[str]
    elapsed: float


@dataclass(frozen=True)
class LateAnswer:
    """An answer to a call that had timed out."""

    call: ScriptCall
    answer: list[str]


@dataclass(frozen=True)
class CallFailed:
    """An error, or no answer within the timeout; the call may have run nevertheless."""

    call: ScriptCall
    error: StoreError


@dataclass(frozen=True)
class ConnectionBroken:
    """The connection cannot be used any more and must be closed."""

    error: StoreError


LinkEvent = Connected | Answered | LateAnswer | CallFailed | ConnectionBroken


@dataclass(slots=True)
class PendingCommand:
    """A command that is not answered yet: a script call, or else a `step` of the handshake."""

    sent_at: float
    call: ScriptCall | None = None
    step: str = ""
    timed_out: bool = False


@dataclass
class Link:
    """The state of one connection.

    Attributes:
        credentials: Login and database number.
        call_timeout: Timeout of a call in seconds.
        max_pending: Maximum number of commands without an answer.
        out: Bytes to be written; emptied by the writer.
        ready: Whether the handshake is done and calls are accepted.
    """

    credentials: Credentials
    call_timeout: float
    max_pending: int
    out: bytearray = field(default_factory=bytearray)
    ready: bool = False

    def __post_init__(self) -> None:
        self._parser = resp.Parser()
        self._pending: deque[PendingCommand] = deque()
        self._handshake_deadline = 0.0
        self._store_uptime = 0.0  # seconds

    def begin(self, now: float) -> None:
        """Starts the handshake: authenticates, loads the scripts, queries role and time."""
        self._handshake_deadline = now + HANDSHAKE_TIMEOUT_S
        login = self.credentials
        if login.password:
            self._send_step(
                now, "auth", "AUTH", *([login.username] if login.username else []), login.password
            )
        if login.database:
            self._send_step(now, "select", "SELECT", str(login.database))
        for text in SCRIPTS.values():
            self._send_step(now, "load", "SCRIPT", "LOAD", text)
        self._send_step(now, "info", "INFO")
        self._send_step(now, "time", "TIME")

    def _send_step(self, now: float, step: str, *words: str | bytes) -> None:
        self._write(words)
        self._pending.append(PendingCommand(now, None, step))

    def _write(self, words: tuple[str | bytes, ...]) -> None:
        self.out += resp.encode_command([w if isinstance(w, bytes) else w.encode() for w in words])

    def call(self, call: ScriptCall, now: float) -> bool:
        """Writes a call; returns False if the link is not ready or too many calls are pending."""
        if not self.ready or len(self._pending) >= self.max_pending:
            return False
        self._write(("EVALSHA", SHAS[call.kind], "1", call.key, *call.args))
        self._pending.append(PendingCommand(now, call))
        return True

    def next_due(self) -> float | None:
        """Returns the time at which `tick` has something to do; None if nothing is pending."""
        if not self.ready:
            return self._handshake_deadline
        oldest = next((pending for pending in self._pending if not pending.timed_out), None)
        times = [oldest.sent_at + self.call_timeout] if oldest else []
        if self._pending:
            times.append(self._silent_at())
        return min(times, default=None)

    def _silent_at(self) -> float:
        """Returns the time at which the store counts as silent: the oldest command is too old."""
        return self._pending[0].sent_at + SILENCE_FACTOR * self.call_timeout

    def tick(self, now: float) -> list[LinkEvent]:
        """Fails the calls that have timed out, and breaks the connection if the store is silent."""
        if not self.ready:
            if now < self._handshake_deadline:
                return []
            return [
                ConnectionBroken(
                    StoreTimeoutError(f"no handshake within {HANDSHAKE_TIMEOUT_S:g} s")
                )
            ]
        events = list[LinkEvent]()
        for pending in self._pending:
            if now < pending.sent_at + self.call_timeout:
                break
            events += _fail(pending, _timeout_error())
            pending.timed_out = pending.call is not None
        if self._pending and now >= self._silent_at():
            events.append(
                ConnectionBroken(
                    StoreTimeoutError(
                        f"the store was silent for {SILENCE_FACTOR * self.call_timeout:g} s"
                    )
                )
            )
        return events

    def receive(self, data: bytes, now: float) -> list[LinkEvent]:
        """Handles received bytes; must not be called after a `ConnectionBroken`."""
        events = list[LinkEvent]()
        try:
            self._parser.feed(data)
            while not isinstance(value := self._parser.next(), resp.NeedMoreData):
                if not self._pending:
                    error = StoreProtocolError("received an answer without a pending command")
                    return [*events, ConnectionBroken(error)]
                events += self._handle_answer(self._pending.popleft(), value, now)
                if events and isinstance(events[-1], ConnectionBroken):
                    return events
        except ProtocolError as cause:
            events.append(ConnectionBroken(StoreProtocolError(f"invalid RESP: {cause}")))
        return events

    def _handle_answer(
        self, pending: PendingCommand, value: resp.Value, now: float
    ) -> list[LinkEvent]:
        if pending.call is None:
            return self._handle_handshake_answer(pending, value)
        if isinstance(value, resp.ErrorReply):
            return self._handle_error(pending, value, now)
        answer = answer_text(pending.call.kind, value)
        if answer is None:
            error = StoreProtocolError(
                f"the answer is not one that the {pending.call.kind} script gives"
            )
            return [*_fail(pending, error), ConnectionBroken(error)]
        if now >= pending.sent_at + self.call_timeout:
            return [*_fail(pending, _timeout_error()), LateAnswer(pending.call, answer)]
        return [Answered(pending.call, answer, now - pending.sent_at)]

    def _handle_error(
        self, pending: PendingCommand, value: resp.ErrorReply, now: float
    ) -> list[LinkEvent]:
        code = bytes(value).partition(b" ")[0].decode("ascii", "replace")
        if code == "NOSCRIPT":
            for text in SCRIPTS.values():
                self._send_step(now, "load", "SCRIPT", "LOAD", text)
        events = _fail(pending, StoreRefusedError(code))
        if code in FATAL_ERRORS:
            events.append(ConnectionBroken(StoreRefusedError(_error_text(value))))
        return events

    def _handle_handshake_answer(
        self, pending: PendingCommand, value: resp.Value
    ) -> list[LinkEvent]:
        if isinstance(value, resp.ErrorReply):
            error = StoreRefusedError(f"{pending.step}: {_error_text(value)}")
            return [ConnectionBroken(error)]
        if pending.step == "info":
            return self._read_info(text_of(value))
        if pending.step == "time":
            return self._read_time(value)
        return []

    def _read_info(self, text: str) -> list[LinkEvent]:
        rows = dict(line.split(":", 1) for line in text.split("\r\n") if ":" in line)
        if rows.get("loading") == "1":
            return [ConnectionBroken(StoreUnavailableError("the store is loading"))]
        if rows.get("role") == "slave":
            return [ConnectionBroken(StoreUnavailableError("the store is a replica"))]
        self._store_uptime = float(rows.get("uptime_in_seconds", "0"))
        return []

    def _read_time(self, value: resp.Value) -> list[LinkEvent]:
        if not isinstance(value, list) or len(value) != 2:
            return [ConnectionBroken(StoreProtocolError("the answer to TIME is not two numbers"))]
        try:
            store_now = float(text_of(value[0])) + float(text_of(value[1])) / 1e6
        except ValueError:
            return [ConnectionBroken(StoreProtocolError("the answer to TIME is not two numbers"))]
        self.ready = True
        # The uptime is truncated to whole seconds, so this is the latest time at which the store's
        # process can have started. A time that is too late closes some customers' pools for a
        # moment; one that is too early would trust records written by an earlier process.
        return [Connected(store_now - self._store_uptime, store_now)]

    def close(self) -> list[LinkEvent]:
        """Fails all pending calls at the end of the connection. The link is not used again."""
        calls = [
            pending.call for pending in self._pending if pending.call and not pending.timed_out
        ]
        self._pending.clear()
        self.ready = False
        error = StoreUnavailableError("the connection ended")
        return [CallFailed(call, error) for call in calls]


def _fail(pending: PendingCommand, error: StoreError) -> list[LinkEvent]:
    """Returns the failure of a call, unless it has already been reported."""
    return [CallFailed(pending.call, error)] if pending.call and not pending.timed_out else []


def _timeout_error() -> StoreError:
    return StoreTimeoutError("no answer within the timeout of a call")


def _error_text(value: resp.ErrorReply) -> str:
    return bytes(value[:MAX_ERROR_BYTES]).decode("ascii", "replace")
