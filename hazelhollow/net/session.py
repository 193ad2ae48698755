"""One client's connection: reading commands, answering in their order, and its end.

| state | fields | reads commands | left by |
| --- | --- | --- | --- |
| OPEN | | yes | `finish`: FINISHING. Malformed bytes: REJECTED. Client closes: CLOSED |
| FINISHING | `finishing` | while `accepting_commands` | nothing is open on it any more: LINGERING |
| REJECTED | `reader.stopped` | no | the error behind the last answer was sent: LINGERING |
| LINGERING | `_lingering_for` | no: dropped | the client closes, 1 s or 1 MiB pass: CLOSED |
| CLOSED | the stream's close reason | no | |

From OPEN it also ends if it is idle or a command does not come to its end (LINGERING), or if its
client does not take its answers (CLOSED). LINGERING exists because closing over unread bytes, or
while some are on their way, resets the connection, and the client would lose its last answer.

Its task runs `run`; `frontend` looks at it every quarter of a second (`reason_to_close`);
`command_reader` reads its commands and `answer_slot` holds its answers.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from hazelhollow.net import resp, stream
from hazelhollow.net.answer_slot import AnswerSlot
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.command_reader import MAX_PIPELINED, CommandReader
from hazelhollow.net.fruitless_limit import FruitlessLimit
from hazelhollow.net.scheduler import PEER_CLOSED, READABLE, SOCKET_ERROR, TIMED_OUT, WOKEN

if TYPE_CHECKING:
    from hazelhollow.net.frontend import Frontend

MAX_UNSENT_BYTES = 4 * resp.MAX_STRING_BYTES  # answers that a client has not taken
READ_CHUNK_BYTES = 16 * 1024
STALL_TIMEOUT_S = 10.0  # without a byte taken by the client, while answers wait for it
COMMAND_TIMEOUT_S = 2.0  # for the rest of a command, and for a connection's first one
IDLE_TIMEOUT_S = 10.0
LINGER_S = 1.0  # in which a client may close a connection that was closed here
MAX_LINGER_BYTES = 1 << 20  # that it may still send meanwhile
FIRST_COMMAND_GRACE_S = 0.25  # for a new connection's first command, to a limiter that leaves
# Reasons after which nothing is owed but the client must be able to read the answers that it got.
ORDERLY_REASONS = (
    CloseReason.IDLE,
    CloseReason.NO_DESCRIPTOR,
    CloseReason.SHUTDOWN,
    CloseReason.MALFORMED,
)


class Session:
    """One connection of a client.

    Attributes:
        reader: Of its commands.
        slots: Of commands whose answers were not written yet, in their order.
        fruitless_limit: Holds it back if too many of its commands come to nothing.
        idle_since: When its last answer was written.
        finishing: It is to be closed between requests.
        accepting_commands: While `finishing`: whether it reads commands until then.
    """

    def __init__(self, frontend: Frontend, connection: stream.Stream) -> None:
        now = frontend.scheduler.clock()
        self._frontend, self._stream = frontend, connection
        self.reader = CommandReader(frontend, now)
        self.slots: deque[AnswerSlot] = deque()
        self.fruitless_limit: FruitlessLimit = FruitlessLimit(frontend.scheduler.clock)
        self._connected_at = self.idle_since = now
        self._progress = (0, 0.0)  # bytes taken by the client, and since when no more
        self.finishing = False
        self.accepting_commands = True
        self._lingering_for: CloseReason | None = None  # why it was closed here

    def run(self) -> None:
        """Its task, from its first byte to its end."""
        reason = CloseReason.BROKEN_HERE
        try:
            reason = self._serve()
        finally:
            self.end(reason)
            if self._lingering_for:
                self._linger()

    # Its end

    def end(self, reason: CloseReason) -> None:
        """The only place in which a client's connection ends.

        Where nothing more is owed only the sending side is closed, and the session's own task reads
        on until the client closes too. Else the socket is closed, and open requests are given up.
        """
        if self._lingering_for:
            return
        frontend = self._frontend
        frontend.sessions.remove(self)
        slots, self.slots = self.slots, deque()
        orderly = reason in ORDERLY_REASONS and not slots
        if orderly:
            self._stream.shutdown_send()
        if orderly and self._stream.close_reason is None:
            self._lingering_for = reason
            frontend.sessions.add_lingering(self)
            self._stream.wake()
        else:
            self._stream.close(reason)
        for slot in slots:
            opened, slot.open_request = slot.open_request, None
            if opened:
                frontend.engine_driver.client_disconnected(opened)

    def _linger(self) -> None:
        """Waits for the client to close. What it sends now it has to send again elsewhere."""
        self.reader.discard()
        self._stream.discard_until_closed(LINGER_S, MAX_LINGER_BYTES)
        self.stop_lingering()

    def stop_lingering(self) -> None:
        """Closes the socket without waiting for the client any more."""
        self._stream.close(self._lingering_for or CloseReason.SHUTDOWN)
        self._frontend.sessions.lingering.pop(self, None)

    def finish(self, accepting_commands: bool = True) -> None:
        """Closes it between requests, now or after the last answer.

        `accepting_commands`: whether commands are read until then.
        """
        if not self.finishing and not self.reader.has_spoken:
            # the client was accepted and may just be sending
            self.reader.first_command_until = self._connected_at + FIRST_COMMAND_GRACE_S
        self.finishing, self.accepting_commands = (
            True,
            self.accepting_commands and accepting_commands,
        )
        self._stream.wake()

    def reason_to_close(self, now: float) -> CloseReason | None:
        """Why it has to go, if it has: a slow or silent client must keep no place from others."""
        if self._stream.send_buffer:
            if self._progress[0] != self._stream.bytes_sent or not self._progress[1]:
                self._progress = self._stream.bytes_sent, now
            if now - self._progress[1] >= STALL_TIMEOUT_S:
                return CloseReason.STALLED
        if self.reader.stopped:
            return None  # each answer that it is owed has a deadline
        awaiting_since = self.reader.awaiting_since
        if awaiting_since is not None and now - awaiting_since >= COMMAND_TIMEOUT_S:
            if self.is_between_requests():
                return CloseReason.IDLE
            self.reader.reject_stream(self, "a command that does not come to its end")
            self._stream.wake()
        elif now - self.idle_since >= IDLE_TIMEOUT_S and self.is_between_requests():
            return CloseReason.IDLE
        return None

    # What others ask of it

    def is_closed(self) -> bool:
        """Whether its socket is closed."""
        return self._stream.close_reason is not None

    def has_disconnected(self) -> bool:
        """Whether the client has gone, asked of the system."""
        return self._stream.peer_has_closed()

    def is_between_requests(self) -> bool:
        """Whether it may be closed: nothing is owed, and no part of a command waits unread."""
        return (
            not self._awaits_first_command()
            and self._is_settled()
            and self.reader.is_between_commands()
            and self._stream.is_open_and_quiet()
        )

    def held_bytes(self) -> int:
        """Bytes in memory on this client's account."""
        return (
            self.reader.held_bytes()
            + len(self._stream.send_buffer)
            + sum([slot.size for slot in self.slots])
        )

    def _awaits_first_command(self) -> bool:
        return self._frontend.scheduler.clock() < self.reader.first_command_until

    def _is_settled(self) -> bool:
        return not self.slots and not self._stream.send_buffer

    def _takes_commands(self) -> bool:
        if self.reader.stopped:
            return False
        return self.accepting_commands or self._awaits_first_command()

    # Answers and commands

    def write_answers(self) -> None:
        """Writes the answers whose turn has come, as far as the send buffer has room for them."""
        slots, send_buffer = self.slots, self._stream.send_buffer
        if not slots:
            return
        was_full = len(slots) >= MAX_PIPELINED
        while slots and slots[0].answer is not None:
            answer = slots[0].answer
            if len(answer) > send_buffer.room():
                break
            slots.popleft()
            self._stream.write(answer)
        if not slots:
            self.idle_since = self._frontend.scheduler.clock()
            self._frontend.sessions.set_idle(self, self.idle_since)
        has_place_again = was_full and len(slots) < MAX_PIPELINED
        if self.finishing or self.reader.stopped or has_place_again:
            self._stream.wake()

    def _serve(self) -> CloseReason:
        """Reads and acts on commands until the connection has to end; returns why it has."""
        connection = self._stream
        while connection.close_reason is None and not self._lingering_for:
            if self.reader.stopped or self.finishing:
                connection.flush()
                reason = self._finished_reason()
                if reason:
                    return reason
            until, events = self._next_wait()
            # That the client has gone shows also while nothing is read, or behind unread bytes.
            bits = connection.wait(until, events | PEER_CLOSED)
            self.write_answers()
            if self._lingering_for:
                break
            if bits == TIMED_OUT:
                self.fruitless_limit.refill()
                self.reader.feed(self, b"")
            elif bits != WOKEN and bits & (PEER_CLOSED | SOCKET_ERROR):
                return CloseReason.CLOSED if bits & PEER_CLOSED else CloseReason.RESET
            elif bits != WOKEN and bits & READABLE:
                data = connection.read(min(READ_CHUNK_BYTES, self.reader.room()))
                if isinstance(data, CloseReason):
                    return data
                if data and not self.reader.stopped:
                    self.reader.arrived_since = self._frontend.scheduler.arrived_since
                    self.reader.feed(self, data)
        return connection.close_reason or CloseReason.SHUTDOWN

    def _finished_reason(self) -> CloseReason | None:
        """Why FINISHING or REJECTED is over, if it is."""
        if self.reader.stopped and self._is_settled():
            return CloseReason.MALFORMED
        if self.finishing and (
            self.is_between_requests() or (not self._takes_commands() and self._is_settled())
        ):
            return CloseReason.SHUTDOWN
        return None

    def _next_wait(self) -> tuple[float | None, int]:
        """What its task waits for: a time at which to go on with what was read, and poll's bits."""
        if (
            not self._takes_commands()
            or len(self.slots) >= MAX_PIPELINED
            or len(self._stream.send_buffer) > MAX_UNSENT_BYTES // 2
        ):
            return None, 0
        if self.fruitless_limit.tokens < 0.0:
            return self.fruitless_limit.available_at(), 0
        if self.reader.has_more:
            return self._frontend.scheduler.clock(), 0  # the next turn: others come first
        return None, READABLE
