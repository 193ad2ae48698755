"""One connection to the store as a state machine: bytes in, bytes out, events for each call.

Knows no socket; `StoreClient` makes a link for each connection. It speaks RESP2 with the commands
AUTH, SELECT, INFO, TIME, SCRIPT LOAD and EVALSHA. Answers come in the order of the commands, so
each is matched with the oldest pending command, even one given up long before: a late answer is
reported as one and is never taken for another call's.

Bounds: `max_pending` commands at once; a store that is silent for SILENCE_FACTOR times a call's
timeout is given up, since all calls behind the first would wait in vain.
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

SILENCE_FACTOR = 8.0  # times the timeout of a call
HANDSHAKE_TIMEOUT_S = 2.0
MAX_ERROR_BYTES = 80  # of the store's error, that are logged
# Errors after which this connection is of no use; a new one may be.
FATAL_ERRORS = frozenset({"NOAUTH", "NOPERM", "MOVED", "READONLY"})


class Credentials(NamedTuple):
    """Who this limiter is to the store, and which of its databases it uses."""

    username: str = ""
    password: str = ""
    database: int = 0


@dataclass(frozen=True)
class Connected:
    """The handshake is done. By the store's clock, in seconds: its process's start, and now."""

    store_started_at: float
    store_now: float


@dataclass(frozen=True)
class Answered:
    """An answer in time; `took` is in seconds."""

    call: ScriptCall
    answer: list[str]
    took: float


@dataclass(frozen=True)
class LateAnswer:
    """An answer to a call that had been given up."""

    call: ScriptCall
    answer: list[str]


@dataclass(frozen=True)
class CallFailed:
    """An error, or no answer within the timeout: the call may have run all the same."""

    call: ScriptCall
    error: StoreError


@dataclass(frozen=True)
class ConnectionBroken:
    """The connection is of no more use and must be closed."""

    error: StoreError


LinkEvent = Connected | Answered | LateAnswer | CallFailed | ConnectionBroken


@dataclass(slots=True)
class PendingCommand:
    """A command that is not answered yet. Without a call it is a `step` of the handshake."""

    sent_at: float
    call: ScriptCall | None = None
    step: str = ""
    given_up: bool = False


@dataclass
class Link:
    """One connection's lifetime.

    `call_timeout` is in seconds. `out` is what is to be written; who writes it empties it. `ready`:
    the handshake is done, and calls are taken.
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
        """The connection is open: authenticates, loads the scripts, asks for role and time."""
        self._handshake_deadline = now + HANDSHAKE_TIMEOUT_S
        who = self.credentials
        if who.password:
            self._step(now, "auth", "AUTH", *([who.username] if who.username else []), who.password)
        if who.database:
            self._step(now, "select", "SELECT", str(who.database))
        for text in SCRIPTS.values():
            self._step(now, "load", "SCRIPT", "LOAD", text)
        self._step(now, "info", "INFO")
        self._step(now, "time", "TIME")

    def _step(self, now: float, step: str, *words: str | bytes) -> None:
        self._write(words)
        self._pending.append(PendingCommand(now, None, step))

    def _write(self, words: tuple[str | bytes, ...]) -> None:
        self.out += resp.encode_command([w if isinstance(w, bytes) else w.encode() for w in words])

    def call(self, call: ScriptCall, now: float) -> bool:
        """Writes a call; False where there is no room for it, which nothing waits for."""
        if not self.ready or len(self._pending) >= self.max_pending:
            return False
        self._write(("EVALSHA", SHAS[call.kind], "1", call.key, *call.args))
        self._pending.append(PendingCommand(now, call))
        return True

    def next_due(self) -> float | None:
        """When `tick` has something to do; None where it has nothing to wait for."""
        if not self.ready:
            return self._handshake_deadline
        waiting = next((pending for pending in self._pending if not pending.given_up), None)
        times = [waiting.sent_at + self.call_timeout] if waiting else []
        if self._pending:
            times.append(self._silent_at())
        return min(times, default=None)

    def _silent_at(self) -> float:
        """When the oldest command has been pending for so long that the store counts as silent."""
        return self._pending[0].sent_at + SILENCE_FACTOR * self.call_timeout

    def tick(self, now: float) -> list[LinkEvent]:
        """Gives up calls whose time is over, and the connection if the store is silent."""
        if not self.ready:
            if now < self._handshake_deadline:
                return []
            return [ConnectionBroken(StoreTimeoutError("the handshake took too long"))]
        events = list[LinkEvent]()
        for pending in self._pending:
            if now < pending.sent_at + self.call_timeout:
                break
            events += _fail(pending, _no_answer())
            pending.given_up = pending.call is not None
        if self._pending and now >= self._silent_at():
            events.append(ConnectionBroken(StoreTimeoutError("silent")))
        return events

    def receive(self, data: bytes, now: float) -> list[LinkEvent]:
        """Bytes as they arrive. After `ConnectionBroken` nothing more may be passed in."""
        events = list[LinkEvent]()
        try:
            self._parser.feed(data)
            while not isinstance(value := self._parser.next(), resp.NeedMoreData):
                if not self._pending:
                    error = StoreProtocolError("an answer that nobody asked for")
                    return [*events, ConnectionBroken(error)]
                events += self._match(self._pending.popleft(), value, now)
                if events and isinstance(events[-1], ConnectionBroken):
                    return events
        except ProtocolError as cause:
            events.append(ConnectionBroken(StoreProtocolError(f"not of the protocol: {cause}")))
        return events

    def _match(self, pending: PendingCommand, value: resp.Value, now: float) -> list[LinkEvent]:
        if pending.call is None:
            return self._handshake(pending, value)
        if isinstance(value, resp.ErrorReply):
            return self._error(pending, value, now)
        answer = answer_text(pending.call.kind, value)
        if answer is None:
            error = StoreProtocolError("not an answer of the script's")
            return [*_fail(pending, error), ConnectionBroken(error)]
        if now >= pending.sent_at + self.call_timeout:
            return [*_fail(pending, _no_answer()), LateAnswer(pending.call, answer)]
        return [Answered(pending.call, answer, now - pending.sent_at)]

    def _error(
        self, pending: PendingCommand, value: resp.ErrorReply, now: float
    ) -> list[LinkEvent]:
        code = bytes(value).partition(b" ")[0].decode("ascii", "replace")
        if code == "NOSCRIPT":
            for text in SCRIPTS.values():
                self._step(now, "load", "SCRIPT", "LOAD", text)
        events = _fail(pending, StoreRefusedError(code))
        if code in FATAL_ERRORS:
            events.append(ConnectionBroken(StoreRefusedError(_error_text(value))))
        return events

    def _handshake(self, pending: PendingCommand, value: resp.Value) -> list[LinkEvent]:
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
            return [ConnectionBroken(StoreUnavailableError("a replica"))]
        self._store_uptime = float(rows.get("uptime_in_seconds", "0"))
        return []

    def _read_time(self, value: resp.Value) -> list[LinkEvent]:
        if not isinstance(value, list) or len(value) != 2:
            return [ConnectionBroken(StoreProtocolError("TIME gave no time"))]
        try:
            store_now = float(text_of(value[0])) + float(text_of(value[1])) / 1e6
        except ValueError:
            return [ConnectionBroken(StoreProtocolError("TIME gave no time"))]
        self.ready = True
        # The uptime is cut to whole seconds, so this is the latest time at which the process can
        # have started. One too late closes some customers' pools for a moment; one too early would
        # trust what an older process wrote.
        return [Connected(store_now - self._store_uptime, store_now)]

    def close(self) -> list[LinkEvent]:
        """The connection has ended: all pending calls have failed. The link is not used again."""
        calls = [pending.call for pending in self._pending if pending.call and not pending.given_up]
        self._pending.clear()
        self.ready = False
        error = StoreUnavailableError("the connection ended")
        return [CallFailed(call, error) for call in calls]


def _fail(pending: PendingCommand, error: StoreError) -> list[LinkEvent]:
    """The failure of a call, unless it has been reported already."""
    return [CallFailed(pending.call, error)] if pending.call and not pending.given_up else []


def _no_answer() -> StoreError:
    return StoreTimeoutError("no answer in time")


def _error_text(value: resp.ErrorReply) -> str:
    return bytes(value[:MAX_ERROR_BYTES]).decode("ascii", "replace")
