"""Reading one client's commands: from bytes to slots, and from there to the engine driver.

States of the reading, of which `stopped` ends it for good:

| state | fields | left by |
| --- | --- | --- |
| FIRST | `awaiting_since` is the time of the connection | a whole command: BETWEEN |
| BETWEEN | `awaiting_since` is None | a part of a command: PARTIAL. Too many bad ones: STOPPED |
| PARTIAL | `awaiting_since` is the time of that part | the rest of the command: BETWEEN |
| STOPPED | `stopped` | |

In FIRST and PARTIAL the session gives up after `session.COMMAND_TIMEOUT_S`. What is not of the
protocol leads to STOPPED in every state: the client gets one error behind the answers that it is
owed.
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

MAX_PIPELINED = 64  # commands of one connection that are not answered; past it no more are read
MAX_COMMANDS_PER_TURN = 16  # of one connection, before others get their turn
MAX_BAD_COMMANDS = 16  # in a row, after which the connection ends
REQUEST_COMMANDS = (b"Q.ASK", b"Q.DO")


class CommandReader:
    """Reads the commands of one session.

    It is given the session with each call and does not keep it: the two would hold each other in
    memory until the cycle collector came.

    Attributes:
        awaiting_since: Since when a whole command is awaited; None between commands.
        has_more: Whether another whole command may lie among what was read.
        arrived_since: What was read last has come at this time or later.
        has_spoken: Whether any whole command has come.
        first_command_until: Until when the first command is waited for although the limiter leaves.
        stopped: No more commands are read; what is owed is still answered.
    """

    __slots__ = (
        "awaiting_since",
        "has_more",
        "arrived_since",
        "has_spoken",
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
        self.has_spoken = False
        self.first_command_until = 0.0
        self.stopped = False
        self._bad_commands = 0  # in a row

    def room(self) -> int:
        """Bytes that may be read now."""
        return self._parser.ring.room()

    def held_bytes(self) -> int:
        """Bytes that were read and make no whole command yet."""
        return self._parser.pending_bytes()

    def is_between_commands(self) -> bool:
        """Whether nothing of a next command has come."""
        return self._parser.idle()

    def feed(self, session: Session, data: bytes) -> None:
        """Takes bytes, or none to go on with what is there, and acts on the commands in them."""
        try:
            if data:
                self._parser.feed(data)
            self._read_commands(session)
        except ProtocolError as error:
            self.reject_stream(session, str(error))

    def reject_stream(self, session: Session, why: str) -> None:
        """Sends one plain error, behind the answers that are owed, and reads nothing more."""
        self._frontend.stats.malformed += 1
        self.stopped = True
        slot = AnswerSlot(session)
        session.slots.append(slot)
        slot.send_error(f"protocol error: {why}")

    def discard(self) -> None:
        """Drops what was read: the connection has ended."""
        self._parser = resp.Parser()

    def _read_commands(self, session: Session) -> None:
        limit = session.fruitless_limit
        for _ in range(MAX_COMMANDS_PER_TURN):
            if len(session.slots) >= MAX_PIPELINED or limit.tokens < 0.0:
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
            self._frontend.command_came(session)
            self.awaiting_since, self.first_command_until, self.has_spoken = None, 0.0, True
            self._act_on(arguments, slot)
            if self._bad_commands >= MAX_BAD_COMMANDS:
                # Each has had its answer. An error for the end of the connection would be taken for
                # the answer to the next.
                self._frontend.stats.malformed += 1
                self.stopped = True
                return
        self.has_more = True

    def _act_on(self, arguments: list[bytes], slot: AnswerSlot) -> None:
        verb, frontend = arguments[0].upper(), self._frontend
        if verb in REQUEST_COMMANDS:
            arrived_since = self.arrived_since
            if frontend.is_ready():
                self._submit(arguments, slot, arrived_since)
            else:
                # The endpoint list of the start may be old: an endpoint on it may drain by now.
                # Discovery's first answer comes within milliseconds, and requests wait for it here.
                frontend.when_ready(lambda: self._submit(arguments, slot, arrived_since))
            return
        slot.session.fruitless_limit.spend()
        if verb == b"PING":
            frontend.when_ready(lambda: slot.settle(b"+PONG\r\n"))
        elif verb in (b"CLIENT", b"SELECT"):
            slot.settle(b"+OK\r\n")
        elif verb == b"INFO":
            slot.settle(resp.encode_bulk_string(frontend.stats.to_json().encode()))
        else:
            self._bad_commands += 1
            slot.settle(b"-ERR unknown command\r\n")

    def _submit(self, arguments: list[bytes], slot: AnswerSlot, arrived_since: float) -> None:
        frontend = self._frontend
        if slot.session.is_closed():
            return  # the client has gone while it waited: nobody is owed anything
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
    """The arguments of a command; raises ProtocolError for a value that is none."""
    if not isinstance(value, list) or not value or not all(isinstance(w, bytes) for w in value):
        raise ProtocolError("a command is an array of strings")
    return [w for w in value if isinstance(w, bytes)]
