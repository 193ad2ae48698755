"""Reading one client's commands: from bytes to answer slots, and from there to the engine driver.

All bytes that were read are parsed before the first command among them is executed: what cannot be
read makes everything unsound that its client is still owed (`session.Session.reject`). Commands
then wait in a queue, in their order, until they may be executed.

States of the reader, of which STOPPED is final:

| state | fields | left by |
| --- | --- | --- |
| FIRST | `awaiting_since` is the time of the connection | a complete command: BETWEEN |
| BETWEEN | `awaiting_since` is None | a partial command: PARTIAL. Too many bad ones: STOPPED |
| PARTIAL | `awaiting_since` is the time of that part | the rest of the command: BETWEEN |
| STOPPED | `stopped` | |

After `COMMAND_TIMEOUT_S` in FIRST or PARTIAL the session is closed if nothing has arrived;
an incomplete command is rejected. Input that violates the protocol leads to STOPPED from every
state.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from hazelhollow.net import resp
from hazelhollow.net.answer_slot import AnswerSlot
from hazelhollow.net.client_memory import REQUEST_BYTES
from hazelhollow.net.command_parser import CommandParser
from hazelhollow.net.errors import BadCommandError, ProtocolError
from hazelhollow.net.requests import ParsedRequest

if TYPE_CHECKING:
    from hazelhollow.net.frontend import Frontend
    from hazelhollow.net.session import Session

MAX_PIPELINED = 64  # unanswered commands of one connection; at this number no more are read
MAX_COMMANDS_PER_TURN = 16  # of one connection, before other connections are served
COMMAND_TIMEOUT_S = 2.0  # for the rest of a command, and for the first one of a connection
MAX_BAD_COMMANDS = 16  # in a row, after which the connection is closed
REQUEST_COMMANDS = (b"Q.ASK", b"Q.DO")
QUEUED_COMMAND_BYTES = 256  # of memory, beside its arguments


class QueuedCommand(NamedTuple):
    """A command that was read and not executed yet.

    Attributes:
        arguments: Its arguments, its name first.
        arrived_since: The earliest time at which its last bytes can have arrived.
        size: Bytes held in memory for it.
    """

    arguments: list[bytes]
    arrived_since: float
    size: int


class ExaminedInput(NamedTuple):
    """What unread bytes are.

    Attributes:
        error: Why they can be no commands; None if they may be.
        commands: How many commands they complete.
        has_partial_command: Whether they end in the middle of a command.
    """

    error: str | None
    commands: int
    has_partial_command: bool


class CommandReader:
    """Reads the commands of one session.

    The session is passed with each call and not stored: a reference cycle between the two would
    keep both in memory until the cycle collector runs.

    Attributes:
        awaiting_since: When the reader began to wait for a complete command; None between commands.
        arrived_since: The earliest time at which the bytes read last can have arrived.
        had_first_command: Whether a complete command has arrived.
        first_command_until: Until when a limiter that is shutting down waits for the first command.
        stopped: No more commands are read; outstanding ones are still answered.
    """

    __slots__ = (
        "awaiting_since",
        "arrived_since",
        "had_first_command",
        "first_command_until",
        "stopped",
        "_bad_commands",
        "_frontend",
        "_parser",
        "_queue",
        "_queued_bytes",
    )

    def __init__(self, frontend: Frontend, now: float) -> None:
        self._frontend = frontend
        self._parser = CommandParser(frontend.memory.add)
        self._queue: deque[QueuedCommand] = deque()
        self._queued_bytes = 0
        self.awaiting_since: float | None = now
        self.arrived_since = now
        self.had_first_command = False
        self.first_command_until = 0.0
        self.stopped = False
        self._bad_commands = 0  # in a row

    def room(self) -> int:
        """Returns how many bytes may be held beside the queued commands."""
        return max(self._parser.room() - self._queued_bytes, 0)

    def held_bytes(self) -> int:
        """Returns how many bytes were read that belong to no executed command yet."""
        return self._parser.pending_bytes() + self._queued_bytes

    def has_queued(self) -> bool:
        """Whether a command that was read waits to be executed."""
        return bool(self._queue)

    def has_partial_command(self) -> bool:
        """Whether a part of a next command has arrived."""
        return not self._parser.is_between_commands()

    def is_between_commands(self) -> bool:
        """Whether all commands were executed, and no part of a next one has arrived."""
        return not self._queue and self._parser.is_between_commands()

    def restart_timeout(self, now: float) -> None:
        """Restarts the time for the rest of a command: so far the session has not read it."""
        if self.awaiting_since is not None:
            self.awaiting_since = now

    def feed(self, session: Session, data: bytes) -> None:
        """Takes received bytes, or none to continue with queued commands; executes commands."""
        if data:
            try:
                self._parser.feed(data)
                self._queue_commands()
            except ProtocolError as error:
                session.reject(str(error))
                return
        self._execute_queued(session)

    def error_in(self, data: bytes) -> str | None:
        """Returns why bytes that follow those read so far are no command; None if they may be."""
        return self.examine(data).error

    def examine(self, data: bytes) -> ExaminedInput:
        """Returns what bytes that follow those read so far would be, without reading them."""
        parser, commands = self._parser.copy(), 0
        try:
            parser.feed(data)
            while parser.next() is not None:
                commands += 1
        except ProtocolError as error:
            return ExaminedInput(str(error), commands, has_partial_command=False)
        return ExaminedInput(None, commands, not parser.is_between_commands())

    def parser_room(self) -> int:
        """Returns how many bytes may be fed now."""
        return self._parser.room()

    def stop(self) -> int:
        """Stops reading; returns how many commands were read and not executed."""
        self.stopped = True
        count = len(self._queue)
        self._drop_input()
        return count

    def discard(self) -> None:
        """Drops the bytes read so far, after the connection has ended."""
        self._frontend.stats.unexecuted_bytes += self.held_bytes()
        self._drop_input()

    def _drop_input(self) -> None:
        self._parser.clear()
        self._queue.clear()
        self._frontend.memory.add_queued(-self._queued_bytes)
        self._queued_bytes = 0

    def _queue_commands(self) -> None:
        """Parses all bytes received so far; raises ProtocolError."""
        while (arguments := self._parser.next()) is not None:
            size = sum(map(len, arguments)) + QUEUED_COMMAND_BYTES
            self._queue.append(QueuedCommand(arguments, self.arrived_since, size))
            self._queued_bytes += size
            self._frontend.memory.add_queued(size)
            self.awaiting_since, self.had_first_command = None, True
        if self.has_partial_command() and self.awaiting_since is None:
            self.awaiting_since = self._frontend.scheduler.clock()

    def _execute_queued(self, session: Session) -> None:
        """Executes queued commands as far as the session's limits allow, some in each turn."""
        for _ in range(MAX_COMMANDS_PER_TURN):
            if not self._queue or not session.may_execute():
                return
            command = self._queue.popleft()
            self._queued_bytes -= command.size
            self._frontend.memory.add_queued(-command.size)
            slot = AnswerSlot(session)
            session.slots.append(slot)
            self._frontend.command_received(session)
            self.first_command_until = 0.0
            self._execute(command, slot)
            if self._bad_commands >= MAX_BAD_COMMANDS:
                # Each bad command has been answered. The client would mistake a further error about
                # the end of the connection for the answer to its next command.
                self._frontend.stats.malformed += 1
                self.stop()

    def queued_deadline(self) -> float | None:
        """Returns until when the next queued command may wait for memory; None if it need not.

        At its deadline it is executed all the same, which answers it and forwards nothing.
        """
        arguments, arrived_since, _ = self._queue[0]
        if arguments[0] not in REQUEST_COMMANDS:
            return None
        frontend, now = self._frontend, self._frontend.scheduler.clock()
        try:
            request = frontend.request_limits.read(arguments, now - arrived_since)
        except BadCommandError:
            return None
        return now + request.time_left if request.time_left > 0 else None

    def _execute(self, command: QueuedCommand, slot: AnswerSlot) -> None:
        arguments, arrived_since, _ = command
        verb, frontend = arguments[0], self._frontend
        if verb in REQUEST_COMMANDS:
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
            frontend.when_ready(slot.send_pong)
        elif verb in (b"CLIENT", b"SELECT"):
            slot.set_answer(b"+OK\r\n")
        elif verb == b"INFO":
            slot.set_answer(resp.encode_bulk_string(frontend.stats.to_json().encode()))
        else:
            self._bad_commands += 1
            slot.set_answer(b"-ERR unknown command\r\n")

    def _submit(self, arguments: list[bytes], slot: AnswerSlot, arrived_since: float) -> None:
        frontend = self._frontend
        if slot.session.is_closed() or slot.is_answered():
            return  # the client left, or sent something unreadable, while the request waited
        waited = frontend.scheduler.clock() - arrived_since
        try:
            parsed = ParsedRequest(arguments, frontend.request_limits.read(arguments, waited))
        except BadCommandError as error:
            frontend.stats.bad += 1
            self._bad_commands += 1
            slot.send_error(str(error))
            return
        self._bad_commands = 0
        slot.resize(parsed.size + REQUEST_BYTES)
        slot.open_request = frontend.engine_driver.submit(parsed, slot)
