"""Reading one client's commands: from bytes to answer slots, and from there to the engine driver.

States of the reader, of which STOPPED is final:

| state | fields | left by |
| --- | --- | --- |
| FIRST | `awaiting_since` is the time of the connection | a complete command: BETWEEN |
| BETWEEN | `awaiting_since` is None | a partial command: PARTIAL. Too many bad ones: STOPPED |
| PARTIAL | `awaiting_since` is the time of that part | the rest of the command: BETWEEN |
| STOPPED | `stopped` | |

After `session.COMMAND_TIMEOUT_S` in FIRST or PARTIAL the session is closed if nothing has arrived;
an incomplete command is rejected. Input that violates the protocol leads to STOPPED from every
state: the client gets one error after its outstanding answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hazelhollow.net import resp
from hazelhollow.net.answer_slot import AnswerSlot
from hazelhollow.net.errors import BadCommandError, ProtocolError
from hazelhollow.net.requests import ParsedRequest

if TYPE_CHECKING:
    from hazelhollow.net.frontend import Frontend
    from hazelhollow.net.session import Session

MAX_PIPELINED = 64  # unanswered commands of one connection; at this number no more are read
MAX_COMMANDS_PER_TURN = 16  # of one connection, before other connections are served
MAX_BAD_COMMANDS = 16  # in a row, after which the connection is closed
REQUEST_COMMANDS = (b"Q.ASK", b"Q.DO")


class CommandReader:
    """Reads the commands of one session.

    The session is passed with each call and not stored: a reference cycle between the two would
    keep both in memory until the cycle collector runs.

    Attributes:
        awaiting_since: When the reader began to wait for a complete command; None between commands.
        has_more: Whether the bytes read so far may contain another complete command.
        arrived_since: The earliest time at which the bytes read last can have arrived.
        had_first_command: Whether a complete command has arrived.
        first_command_until: Until when a limiter that is shutting down waits for the first command.
        stopped: No more commands are read; outstanding ones are still answered.
    """

    __slots__ = (
        "awaiting_since",
        "has_more",
        "arrived_since",
        "had_first_command",
        "first_command_until",
        "stopped",
        "_bad_commands",
        "_frontend",
        "_parser",
    )

    def __init__(self, frontend: Frontend, now: float) -> None:
        self._frontend = frontend
        self._parser = resp.Parser()
        self.awaiting_since: float | None = now
        self.has_more = False
        self.arrived_since = now
        self.had_first_command = False
        self.first_command_until = 0.0
        self.stopped = False
        self._bad_commands = 0  # in a row

    def room(self) -> int:
        """Returns how many bytes may be read now."""
        return self._parser.ring.room()

    def held_bytes(self) -> int:
        """Returns how many bytes were read that do not form a complete command yet."""
        return self._parser.pending_bytes()

    def is_between_commands(self) -> bool:
        """Whether no part of a next command has arrived."""
        return self._parser.idle()

    def restart_timeout(self, now: float) -> None:
        """Restarts the time for the rest of a command: so far the session has not read it."""
        if self.awaiting_since is not None:
            self.awaiting_since = now

    def feed(self, session: Session, data: bytes) -> None:
        """Takes received bytes, or none to continue with buffered ones, and executes commands."""
        try:
            if data:
                self._parser.feed(data)
            self._read_commands(session)
        except ProtocolError as error:
            self.reject_stream(session, str(error))

    def reject_stream(self, session: Session, why: str) -> None:
        """Sends one error after the outstanding answers, and stops reading."""
        self._frontend.stats.malformed += 1
        self.stopped = True
        slot = AnswerSlot(session)
        session.slots.append(slot)
        slot.send_error(f"protocol error: {why}")

    def discard(self) -> None:
        """Drops the bytes read so far, after the connection has ended."""
        self._frontend.stats.unexecuted_bytes += self.held_bytes()
        self._parser = resp.Parser()

    def _read_commands(self, session: Session) -> None:
        limit = session.unserved_command_limit
        for _ in range(MAX_COMMANDS_PER_TURN):
            if len(session.slots) >= MAX_PIPELINED or limit.is_exhausted():
                break
            value = self._parser.next()
            if isinstance(value, resp.NeedMoreData):
                self.has_more = False
                if self._parser.idle():
                    self.awaiting_since = None
                elif self.awaiting_since is None:
                    self.awaiting_since = self._frontend.scheduler.clock()
                return
            arguments = _arguments(value)
            slot = AnswerSlot(session)
            session.slots.append(slot)
            self._frontend.command_received(session)
            self.awaiting_since, self.first_command_until, self.had_first_command = None, 0.0, True
            self._execute(arguments, slot)
            if self._bad_commands >= MAX_BAD_COMMANDS:
                # Each bad command has been answered. The client would mistake a further error about
                # the end of the connection for the answer to its next command.
                self._frontend.stats.malformed += 1
                self.stopped = True
                return
        self.has_more = True

    def _execute(self, arguments: list[bytes], slot: AnswerSlot) -> None:
        verb, frontend = arguments[0], self._frontend
        if verb in REQUEST_COMMANDS:
            arrived_since = self.arrived_since
            if frontend.is_ready():
                self._submit(arguments, slot, arrived_since)
            else:
                # The endpoint list of the configuration may be outdated and contain endpoints that
                # drain by now. Discovery's first answer arrives within milliseconds; requests wait
                # for it here.
                frontend.when_ready(lambda: self._submit(arguments, slot, arrived_since))
            return
        slot.session.unserved_command_limit.spend()
        verb = verb.upper()
        if verb == b"PING":
            frontend.when_ready(lambda: slot.set_answer(b"+PONG\r\n"))
        elif verb in (b"CLIENT", b"SELECT"):
            slot.set_answer(b"+OK\r\n")
        elif verb == b"INFO":
            slot.set_answer(resp.encode_bulk_string(frontend.stats.to_json().encode()))
        else:
            self._bad_commands += 1
            slot.set_answer(b"-ERR unknown command\r\n")

    def _submit(self, arguments: list[bytes], slot: AnswerSlot, arrived_since: float) -> None:
        frontend = self._frontend
        if slot.session.is_closed():
            return  # the client disconnected while the request waited: no answer is due
        waited = frontend.scheduler.clock() - arrived_since
        try:
            parsed = ParsedRequest(arguments, frontend.request_limits.read(arguments, waited))
        except BadCommandError as error:
            frontend.stats.bad += 1
            self._bad_commands += 1
            slot.send_error(str(error))
            return
        self._bad_commands = 0
        slot.size = parsed.size
        slot.open_request = frontend.engine_driver.submit(parsed, slot)


def _arguments(value: resp.Value) -> list[bytes]:
    """Returns the arguments of a command; raises ProtocolError if the value is not a command."""
    if not isinstance(value, list) or not value or not all(map(resp.is_bulk_string, value)):
        raise ProtocolError("a command must be a non-empty array of strings")
    return [word for word in value if resp.is_bulk_string(word)]
