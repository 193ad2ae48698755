"""One client's connection: reads commands, answers them in order, and ends in a controlled way.

| state | fields | reads commands | left by |
| --- | --- | --- | --- |
| OPEN | | yes | `finish`: FINISHING. Unreadable bytes: REJECTED. Client closes: CLOSED |
| FINISHING | `finishing` | those that arrived in time | none is left: LINGERING |
| REJECTED | `reader.stopped` | no | the errors for all that was owed were sent: LINGERING |
| LINGERING | `_linger_reason` | no: dropped | the client closes, 1 s or 1 MiB pass: CLOSED |
| CLOSED | the stream's close reason | no | |

A session in OPEN also ends if it is idle or a command stays incomplete (LINGERING), or if its
client does not read its answers (CLOSED). LINGERING exists because closing a socket while bytes are
unread or still in transit resets the connection, and the client would lose its last answer.

The session's task runs `run`; `frontend` checks the session every quarter of a second
(`reason_to_close`); `session_input` reads its bytes, `command_reader` its commands, and
`answer_slot` holds its answers.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from hazelhollow.net import resp, stream
from hazelhollow.net.answer_slot import AnswerSlot
from hazelhollow.net.client_memory import ClientMemory
from hazelhollow.net.client_presence import EXECUTION_MARGIN_S, is_recent
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.command_reader import COMMAND_TIMEOUT_S, MAX_PIPELINED, CommandReader
from hazelhollow.net.scheduler import PEER_CLOSED, READABLE, SOCKET_ERROR, TIMED_OUT, WOKEN
from hazelhollow.net.session_input import SessionInput
from hazelhollow.net.unread_input import INCOMPLETE_COMMAND, UnreadInput
from hazelhollow.net.unserved_command_limit import UnservedCommandLimit
from hazelhollow.net.value_forwarding import MAX_WINDOW_BYTES

if TYPE_CHECKING:
    from hazelhollow.net.engine_driver import EngineDriver
    from hazelhollow.net.frontend import Frontend

MAX_UNSENT_BYTES = 4 * resp.MAX_STRING_BYTES  # answers that the client has not read
STALL_TIMEOUT_S = 10.0  # without a byte read by the client, while answers are pending
IDLE_TIMEOUT_S = 10.0
CLIENT_CHECK_INTERVAL_S = 0.02  # while commands wait to know whether their client is connected
LINGER_S = 1.0  # for the client to close a connection whose sending side was closed here
MAX_LINGER_BYTES = 1 << 20  # that the client may still send meanwhile
FIRST_COMMAND_GRACE_S = 0.25  # for a new connection's first command during a shutdown
# For these reasons, a session without an outstanding answer is closed so that the client can still
# read the answers already sent.
ORDERLY_REASONS = (
    CloseReason.IDLE,
    CloseReason.NO_DESCRIPTOR,
    CloseReason.SHUTDOWN,
    CloseReason.MALFORMED,
)


class Session:
    """One client's connection.

    Attributes:
        reader: Reads the commands.
        slots: The commands whose answers have not been written yet, in their order.
        memory: Counts what is held for all clients together.
        engine_driver: Owns the open requests.
        unserved_command_limit: Throttles the connection if too many of its commands are not served.
        idle_since: When the last answer was written.
        finishing: Whether the session is to be closed as soon as it is between requests.
        accepting_commands: While `finishing`: whether new commands are still accepted until then.
    """

    def __init__(self, frontend: Frontend, connection: stream.Stream) -> None:
        now = frontend.scheduler.clock()
        self._frontend, self._stream = frontend, connection
        self.memory: ClientMemory = frontend.memory
        self.engine_driver: EngineDriver = frontend.engine_driver
        self.reader = CommandReader(frontend, now)
        self.slots: deque[AnswerSlot] = deque()
        self.unserved_command_limit: UnservedCommandLimit = UnservedCommandLimit(
            frontend.scheduler.clock
        )
        self._connected_at = self.idle_since = now
        self._send_progress = (0, 0.0)  # bytes sent, and since when this number has not grown
        self.finishing = False
        self.accepting_commands = True
        self._input = SessionInput(connection, self.reader)
        self._linger_reason: CloseReason | None = None  # why the sending side was closed
        self._break_reason: CloseReason | None = None  # why the task has to end the session
        self._forwarded_values = 0  # of this session, that have begun and not ended
        self._unread_input = UnreadInput(connection, self.reader)
        self._waits_for_memory = False

    def run(self) -> None:
        """Serves the session from its first byte to its end; the body of its task."""
        reason = CloseReason.BROKEN_HERE
        try:
            reason = self._serve()
        finally:
            self.end(reason)
            if self._linger_reason:
                self._linger()

    # Closing

    def end(self, reason: CloseReason) -> None:
        """Ends the session; a client's connection ends in no other place.

        If no answer is outstanding, only the sending side is closed, and the session's own task
        keeps reading until the client closes too. Otherwise the socket is closed, and the engine
        driver is notified of the disconnect of each open request's client.
        """
        if self._linger_reason:
            return
        frontend = self._frontend
        frontend.sessions.remove(self)
        slots, self.slots = self.slots, deque()
        frontend.forwarding.active -= self._forwarded_values
        self._forwarded_values = 0
        # Behind an incomplete value no answer can be read; those before it may be in transit.
        orderly = reason is CloseReason.INCOMPLETE or (reason in ORDERLY_REASONS and not slots)
        if orderly:
            self._stream.shutdown_send()
        if orderly and self._stream.close_reason is None:
            self._linger_reason = reason
            frontend.sessions.add_lingering(self)
            self._stream.wake()
        else:
            self._stream.close(reason)
        self.memory.stop_waiting(self._stream.wake)
        self.reader.discard()
        for slot in slots:
            opened, slot.open_request = slot.open_request, None
            slot.resize(0)
            if opened:
                self.engine_driver.client_disconnected(opened)

    def reject(self, why: str) -> None:
        """Ends a session whose client has sent something unreadable, or half a command.

        Everything that the client is still owed becomes an error, whose attempts are given up: a
        request is not served if what stands behind it on its connection cannot be read. One more
        error says why; then the connection is closed.
        """
        if self.reader.stopped:
            return
        self._frontend.stats.malformed += 1
        unexecuted = self.reader.stop()
        self._frontend.log.info(
            "closing a session: %s; it is owed %d answers and had %d commands in the queue: %s",
            why,
            len(self.slots),
            unexecuted,
            " ".join(slot.open_request.id for slot in self.slots if slot.open_request),
        )
        owed = list(self.slots)
        for slot in owed:  # first, since each error lets what waits behind it be written
            slot.drop_answer()
        for slot in owed:
            slot.give_up()
        for _ in range(unexecuted):
            self._append_error("failed")
        self._append_error(f"protocol error: {why}")
        self._stream.wake()

    def _append_error(self, why: str) -> None:
        slot = AnswerSlot(self)
        self.slots.append(slot)
        slot.send_error(why)

    def _linger(self) -> None:
        """Waits for the client to close.

        Commands that arrive now are dropped; the client has to send them again elsewhere.
        """
        self._stream.discard_until_closed(LINGER_S, MAX_LINGER_BYTES)
        self.stop_lingering()

    def stop_lingering(self) -> None:
        """Closes the socket without waiting any longer for the client to close."""
        self._stream.close(self._linger_reason or CloseReason.SHUTDOWN)
        self._frontend.sessions.lingering.pop(self, None)

    def finish(self, accepting_commands: bool = True) -> None:
        """Closes the session between requests: now, or after the last outstanding answer.

        `accepting_commands`: whether new commands are accepted until then. Commands that have
        arrived before are executed in any case.
        """
        if not self.finishing and not self.reader.had_first_command:
            # the client has just been accepted, and its first command may be in transit
            self.reader.first_command_until = self._connected_at + FIRST_COMMAND_GRACE_S
        self.finishing, self.accepting_commands = (
            True,
            self.accepting_commands and accepting_commands,
        )
        self._stream.wake()

    def reason_to_close(self, now: float) -> CloseReason | None:
        """Returns why the session has to be closed now, or None.

        A slow or silent client must not occupy a connection that other clients need.
        """
        if self._stream.send_buffer:
            if self._send_progress[0] != self._stream.bytes_sent or not self._send_progress[1]:
                self._send_progress = self._stream.bytes_sent, now
            if now - self._send_progress[1] >= STALL_TIMEOUT_S:
                return CloseReason.STALLED
        if self.reader.stopped:
            return None  # nothing is owed but errors, which are written already
        if self._forwarded_values:
            self._judge_unread_behind_value(now)
            return None
        if not self._input.is_reading:
            self.reader.restart_timeout(now)
        return self._reason_if_idle(now)

    def _judge_unread_behind_value(self, now: float) -> None:
        why = self._unread_input.error(now)
        if not self._unread_input.is_empty():
            self._input.note_arrival()
        if why:
            self.reject(why)

    def _reason_if_idle(self, now: float) -> CloseReason | None:
        awaiting_since = self.reader.awaiting_since
        if awaiting_since is not None and now - awaiting_since >= COMMAND_TIMEOUT_S:
            if self.is_between_requests():
                return CloseReason.IDLE
            self.reject(INCOMPLETE_COMMAND)
        elif now - self.idle_since >= IDLE_TIMEOUT_S and self.is_between_requests():
            return CloseReason.IDLE
        return None

    # Memory

    def may_execute(self) -> bool:
        """Whether the next command may be executed.

        There is room for it and its answer, and its client is there to take it.
        """
        return (
            len(self.slots) < MAX_PIPELINED
            and not self.unserved_command_limit.is_exhausted()
            and (
                (self._has_memory() and self.is_client_known(EXECUTION_MARGIN_S))
                or self.reader.queued_deadline() is None
            )
        )

    def _has_memory(self) -> bool:
        """Whether there is room to execute a request."""
        if self.memory.has_room(is_pipelined=not self._has_sent_all_answers()):
            return True
        self._stream.flush()  # what has been sent is not held any more
        return self.memory.has_room(is_pipelined=not self._has_sent_all_answers())

    def reject_partial_command(self) -> bool:
        """Ends a session that holds only a part of a command; returns whether it does."""
        if self.slots or self.reader.stopped or self.reader.has_queued():
            return False
        if not self.reader.has_partial_command():
            return False
        self.reject("too many clients hold parts of commands")
        return True

    # State queries

    def is_closed(self) -> bool:
        """Whether the socket is closed."""
        return self._stream.close_reason is not None

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, according to the operating system."""
        return self._stream.peer_has_closed()

    def shows_disconnect(self) -> bool:
        """Whether no disconnect is hidden behind unread input."""
        return self._input.shows_close()

    def is_client_known(self, margin: float = 0.0) -> bool:
        """Whether the client was certainly connected a moment ago; see `client_presence`.

        `margin`: the seconds for which this has to stay true.
        """
        if self._input.shows_close():
            return True
        now = self._frontend.scheduler.clock()
        is_known = is_recent(self._input.client_seen_at(now), now, margin) or (
            is_recent(self._stream.sent_at, now, margin) and self._stream.has_transmitted_all()
        )
        return is_known and not self.has_disconnected()

    def is_between_requests(self) -> bool:
        """Whether the session may be closed without losing an answer or a command.

        No answer is outstanding, and no part of a command has been received or waits in the socket.
        """
        return (
            not self._awaits_first_command()
            and self._has_sent_all_answers()
            and self.reader.is_between_commands()
            and self._stream.is_open_without_unread_input()
        )

    def held_bytes(self) -> int:
        """Returns how many bytes are held in memory for this client."""
        return (
            self.reader.held_bytes()
            + len(self._stream.send_buffer)
            + sum([slot.size for slot in self.slots])
        )

    def _awaits_first_command(self) -> bool:
        return self._frontend.scheduler.clock() < self.reader.first_command_until

    def _has_sent_all_answers(self) -> bool:
        return not self.slots and not self._stream.send_buffer

    def _accepts_commands(self) -> bool:
        return self.accepting_commands or self._awaits_first_command()

    # Answers and commands

    def write_answers(self) -> None:
        """Writes the answers that are next in order, as far as the send buffer has room."""
        slots = self.slots
        if not slots:
            return
        was_full = len(slots) >= MAX_PIPELINED
        while slots and (answer := slots[0].answer) is not None:
            slot, piece = slots[0], slots[0].next_piece(MAX_UNSENT_BYTES)
            if not self._stream.has_room(len(piece)):
                break
            self._stream.write(piece)
            slot.has_begun = True
            slot.written += len(piece)
            if slot.written >= len(answer):
                slots.popleft().resize(0)
        if slots and slots[0].on_room and self._stream.room_below(self._window()) > 0:
            slots[0].on_room()
        if not slots:
            self.idle_since = self._frontend.scheduler.clock()
            self._frontend.sessions.set_idle(self, self.idle_since)
        has_free_slot = was_full and len(slots) < MAX_PIPELINED
        if self.finishing or self.reader.stopped or has_free_slot or self._waits_for_memory:
            self._stream.wake()

    # Long values, which are written while they arrive

    def has_commands_behind(self, slot: AnswerSlot) -> bool:
        """Whether commands that were read wait behind that of a slot."""
        return self.slots[-1] is not slot or self.reader.has_queued()

    def start_value(self) -> None:
        """Counts a value whose forwarding begins; nothing is read until it ends."""
        self._forwarded_values += 1
        self._frontend.forwarding.active += 1
        self._unread_input.restart()
        self._stream.wake()

    def end_value(self) -> None:
        """Counts a value whose forwarding has ended."""
        if self._forwarded_values:
            self._forwarded_values -= 1
            self._frontend.forwarding.active -= 1
            self._stream.wake()

    def value_room(self, slot: AnswerSlot) -> int:
        """Returns how many bytes of a slot's value may be written now."""
        if not self.slots or self.slots[0] is not slot:
            return 0
        return self._stream.room_below(self._window())

    def write_value(self, data: bytes) -> None:
        """Writes bytes of the first slot's value."""
        self._stream.write(data)

    def break_off(self) -> None:
        """Closes the connection: the client must not take an incomplete value for a complete one.

        What was written before is sent first: answers to earlier commands may be part of it.
        Nothing that was read waits behind the value; unread commands are sent again by the client.
        """
        self._break_reason = CloseReason.INCOMPLETE
        self._stream.wake()

    def _window(self) -> int:
        return min(self._frontend.forwarding.size(), MAX_WINDOW_BYTES)

    def _serve(self) -> CloseReason:
        """Reads and executes commands until the connection has to end; returns the reason."""
        connection = self._stream
        while connection.close_reason is None and not self._linger_reason:
            if self._break_reason or self.reader.stopped or self.finishing:
                connection.flush()
                self._stop_accepting_if_due()
                self._judge_unread()
                reason = self._reason_if_finished()
                if reason:
                    return reason
            until, events = self._next_wait()
            self._note_reading(bool(events & READABLE))
            # PEER_CLOSED reports a disconnection also while nothing is read or bytes are unread.
            bits = connection.wait(until, events | PEER_CLOSED)
            self.write_answers()
            if self._linger_reason:
                break
            if bits == TIMED_OUT:
                self.unserved_command_limit.refill()
                self.reader.feed(self, b"")
                self._input.read_final_input(self)
            elif bits != WOKEN and bits & (PEER_CLOSED | SOCKET_ERROR):
                return CloseReason.CLOSED if bits & PEER_CLOSED else CloseReason.RESET
            elif bits != WOKEN and bits & READABLE and self._forwarded_values:
                self._judge_unread_behind_value(self._frontend.scheduler.clock())
            elif bits != WOKEN and bits & READABLE and self._may_read():
                result = self._input.read(self)
                if isinstance(result, CloseReason):
                    return result
        return connection.close_reason or CloseReason.SHUTDOWN

    def _note_reading(self, is_polled: bool) -> None:
        if self._forwarded_values:
            self._input.watch()
        else:
            self._input.set_reading(is_polled)

    def _stop_accepting_if_due(self) -> None:
        if not self._input.is_accepting() or self.reader.stopped or self._accepts_commands():
            return
        if self._forwarded_values:
            # What is read when the value ends might not be answered before SIGKILL.
            self._input.stop_reading()
        else:
            self.unserved_command_limit.lift()
            self._input.stop_accepting(self)

    def _judge_unread(self) -> None:
        """Ends the session if input that it does not read any more cannot be read."""
        if self.slots and not self._input.is_accepting() and not self.reader.stopped:
            why = self._input.unread_error()
            if why:
                self.reject(why)

    def _reason_if_finished(self) -> CloseReason | None:
        """Returns the close reason if FINISHING, REJECTED or a broken value is over, else None."""
        if self._break_reason:
            return None if self._stream.send_buffer else self._break_reason
        if self.reader.stopped and self._has_sent_all_answers():
            return CloseReason.MALFORMED
        if self.finishing and (
            self.is_between_requests()
            or (self._input.has_executed_all() and self._has_sent_all_answers())
        ):
            return CloseReason.SHUTDOWN
        return None

    def _next_wait(self) -> tuple[float | None, int]:
        """Returns when to continue with commands already read, and the poll events to wait for."""
        if self.reader.stopped or self._break_reason:
            return None, 0
        if self._forwarded_values:
            return None, READABLE if self._unread_input.is_empty() else 0
        if not self._stream.has_room(MAX_UNSENT_BYTES // 2):
            return None, 0
        if self.unserved_command_limit.is_exhausted():
            return self.unserved_command_limit.available_at(), 0
        self._waits_for_memory = False
        may_read = self._may_read()
        until = self._next_execution(may_read)
        accepts = self._input.is_accepting() and self._accepts_commands()
        return until, READABLE if accepts and may_read else 0

    def _next_execution(self, may_read: bool) -> float | None:
        """Returns when to continue with what was read; None if something else wakes the session."""
        if len(self.slots) >= MAX_PIPELINED:
            return None
        has_queued = self.reader.has_queued()
        if may_read and not has_queued and not self._input.has_final_input():
            return None
        now = self._frontend.scheduler.clock()
        if has_queued:
            if not self._has_memory():
                return self._wait_for_memory(now)
            if not self.is_client_known(EXECUTION_MARGIN_S):
                return min(now + CLIENT_CHECK_INTERVAL_S, self.reader.queued_deadline() or now)
            return now  # next turn, after other connections
        if self._input.has_final_input():
            return now
        return self._wait_for_memory(now)

    def _may_read(self) -> bool:
        """Whether there is room to read; a part of a command keeps what it holds.

        Also while requests are in flight: what stands behind them has to be judged, and the end of
        the connection stands behind it. But not behind a value that is being forwarded: if it
        broke, what was read would get no answer.
        """
        if self._forwarded_values:
            return False
        if self.reader.has_queued() or len(self.slots) >= MAX_PIPELINED:
            return self.memory.has_room_to_read_ahead()
        return self.reader.has_partial_command() or self.memory.has_room(is_pipelined=False)

    def _wait_for_memory(self, now: float) -> float | None:
        """Asks to be woken when there is room; returns when to continue without it.

        Also wakes when answers have been sent: without any, more of the memory is available.
        """
        self._waits_for_memory = True
        self._stream.has_room(MAX_UNSENT_BYTES)
        if not self.reader.has_queued():
            self.memory.wait_for_room(self._stream.wake, is_pipelined=False)
            return None
        self.memory.wait_for_room(self._stream.wake, not self._has_sent_all_answers())
        return self.reader.queued_deadline() or now
