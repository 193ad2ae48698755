"""The connection to the store as a state machine.

Bytes in, bytes out, and what became of each call. Knows no socket.

Source: the public RESP2 page and the commands AUTH, SELECT, INFO, TIME, SCRIPT LOAD, EVALSHA.
Answers come in the order of the commands, so each is matched with the oldest command that waits,
also when that was given up long before: a late answer is told as one and is never taken for another
call's. Bounds: so many calls at once; a store that is silent for SILENCE_FACTOR times a call's
timeout is broken off, since all behind the first would wait in vain.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from hazelhollow.net import resp
from hazelhollow.shared_store.leased_account import ScriptCall
from hazelhollow.shared_store.scripts import SCRIPTS, SHAS, answer_text, text_of

SILENCE_FACTOR = 8.0  # times the timeout of a call
HANDSHAKE_TIMEOUT = 2.0  # seconds
NO_ANSWER = "no answer in time"
MOST_ERROR = 80  # bytes of the store's error that are told
# Errors after which this connection will never do; a new one may.
FATAL_ERRORS = frozenset({"NOAUTH", "NOPERM", "MOVED", "READONLY"})


class Credentials(NamedTuple):
    """Who we are to the store, and which of its databases we use."""

    username: str = ""
    password: str = ""
    database: int = 0


@dataclass
class Connected:
    """The store can be asked. Seconds of its clock: when its process began and what it is."""

    store_started_at: float
    store_now: float


@dataclass
class Answered:
    """An answer in time; `took` is in seconds."""

    call: ScriptCall
    answer: list[str]
    took: float


@dataclass
class LateAnswer:
    """An answer to a call that had been given up."""

    call: ScriptCall
    answer: list[str]


@dataclass
class CallFailed:
    """An error, or no answer within the timeout."""

    call: ScriptCall
    why: str


@dataclass
class ConnectionBroken:
    """The connection is of no more use and must be closed."""

    why: str


LinkEvent = Connected | Answered | LateAnswer | CallFailed | ConnectionBroken


@dataclass(slots=True)
class PendingCommand:
    """One command whose answer has not come. Without a call it is a step of the handshake."""

    sent_at: float
    call: ScriptCall | None = None
    step: str = ""
    given_up: bool = False


@dataclass
class Link:
    """One connection's lifetime.

    `call_timeout` is in seconds. The driver writes `out` and empties it.
    """

    credentials: Credentials
    call_timeout: float
    most_pending: int
    out: bytearray = field(default_factory=bytearray)
    ready: bool = False

    def __post_init__(self) -> None:
        self._parser = resp.Parser()
        self._pending: deque[PendingCommand] = deque()
        self._handshake_deadline = 0.0
        self._store_uptime = 0.0  # seconds

    def begin(self, now: float) -> None:
        """The connection is up: says who we are and asks what the store is."""
        self._handshake_deadline = now + HANDSHAKE_TIMEOUT
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
        """Whether it was taken: a full line takes no more, and nothing waits for room."""
        if not self.ready or len(self._pending) >= self.most_pending:
            return False
        self._write(("EVALSHA", SHAS[call.kind], "1", call.key, *call.args))
        self._pending.append(PendingCommand(now, call))
        return True

    def next_due(self) -> float | None:
        """When `tick` has something to do."""
        if not self.ready:
            return self._handshake_deadline
        waiting = next((pending for pending in self._pending if not pending.given_up), None)
        times = [waiting.sent_at + self.call_timeout] if waiting else []
        if self._pending:
            times.append(self._silent_at())
        return min(times, default=None)

    def _silent_at(self) -> float:
        """When the oldest command has waited for so long that the store counts as silent."""
        return self._pending[0].sent_at + SILENCE_FACTOR * self.call_timeout

    def tick(self, now: float) -> list[LinkEvent]:
        """Gives up the calls whose time is over.

        And the connection where the store has been silent for too long.
        """
        if not self.ready:
            is_late = now >= self._handshake_deadline
            return [ConnectionBroken("the handshake took too long")] if is_late else []
        events = list[LinkEvent]()
        for pending in self._pending:
            if now < pending.sent_at + self.call_timeout:
                break
            events += _fail(pending, NO_ANSWER)
            pending.given_up = pending.call is not None
        if self._pending and now >= self._silent_at():
            events.append(ConnectionBroken("silent"))
        return events

    def receive(self, data: bytes, now: float) -> list[LinkEvent]:
        """Bytes as they come. After `ConnectionBroken` nothing more may be given."""
        events = list[LinkEvent]()
        try:
            self._parser.feed(data)
            while not isinstance(value := self._parser.next(), resp.NeedMoreData):
                if not self._pending:
                    return [*events, ConnectionBroken("an answer that nobody asked for")]
                events += self._match(self._pending.popleft(), value, now)
                if events and isinstance(events[-1], ConnectionBroken):
                    return events
        except resp.ProtocolError as error:
            events.append(ConnectionBroken(f"not of the protocol: {error}"))
        return events

    def _match(self, pending: PendingCommand, value: resp.Value, now: float) -> list[LinkEvent]:
        if pending.call is None:
            return self._handshake(pending, value)
        if isinstance(value, resp.ErrorReply):
            return self._error(pending, value, now)
        answer = answer_text(pending.call.kind, value)
        if answer is None:
            why = "not an answer of the script's"
            return [*_fail(pending, why), ConnectionBroken(why)]
        if now >= pending.sent_at + self.call_timeout:
            return [*_fail(pending, NO_ANSWER), LateAnswer(pending.call, answer)]
        return [Answered(pending.call, answer, now - pending.sent_at)]

    def _error(
        self, pending: PendingCommand, value: resp.ErrorReply, now: float
    ) -> list[LinkEvent]:
        code = bytes(value).partition(b" ")[0].decode("ascii", "replace")
        if code == "NOSCRIPT":
            for text in SCRIPTS.values():
                self._step(now, "load", "SCRIPT", "LOAD", text)
        events = _fail(pending, code)
        if code in FATAL_ERRORS:
            events.append(ConnectionBroken(_error_text(value)))
        return events

    def _handshake(self, pending: PendingCommand, value: resp.Value) -> list[LinkEvent]:
        if isinstance(value, resp.ErrorReply):
            return [ConnectionBroken(f"{pending.step}: {_error_text(value)}")]
        if pending.step == "info":
            return self._read_info(text_of(value))
        if pending.step == "time":
            return self._read_time(value)
        return []

    def _read_info(self, text: str) -> list[LinkEvent]:
        rows = dict(line.split(":", 1) for line in text.split("\r\n") if ":" in line)
        if rows.get("loading") == "1":
            return [ConnectionBroken("the store is loading")]
        if rows.get("role") == "slave":
            return [ConnectionBroken("a replica")]
        self._store_uptime = float(rows.get("uptime_in_seconds", "0"))
        return []

    def _read_time(self, value: resp.Value) -> list[LinkEvent]:
        if not isinstance(value, list) or len(value) != 2:
            return [ConnectionBroken("TIME gave no time")]
        try:
            store_now = float(text_of(value[0])) + float(text_of(value[1])) / 1e6
        except ValueError:
            return [ConnectionBroken("TIME gave no time")]
        self.ready = True
        # The uptime is cut to whole seconds, so this is the latest instant at which the process can
        # have begun. Too late a one closes some customers' pools for a moment; too early a one
        # would trust what an older process wrote.
        return [Connected(store_now - self._store_uptime, store_now)]

    def close(self) -> list[LinkEvent]:
        """The connection has ended: all that waits has failed. The link is not used again."""
        calls = [pending.call for pending in self._pending if pending.call and not pending.given_up]
        self._pending.clear()
        self.ready = False
        return [CallFailed(call, "the connection ended") for call in calls]


def _fail(pending: PendingCommand, why: str) -> list[LinkEvent]:
    """The failure of a call, unless it has been told already."""
    return [CallFailed(pending.call, why)] if pending.call and not pending.given_up else []


def _error_text(value: resp.ErrorReply) -> str:
    return bytes(value[:MOST_ERROR]).decode("ascii", "replace")
