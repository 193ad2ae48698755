"""The place of one command in the answer order of its connection.

The commands of one connection are processed concurrently, while RESP clients match answers to
commands by their order. An answer therefore waits in its slot until all earlier answers of the
connection have been written.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from hazelhollow.net import resp

if TYPE_CHECKING:
    from hazelhollow.net.open_request import OpenRequest
    from hazelhollow.net.session import Session

FAILURE = b"-ERR failed\r\n"


class AnswerSlot:
    """The answer to one command, and the `Responder` of its request.

    Attributes:
        answer: The encoded answer for the client; None until it is available.
        open_request: The request whose answer is awaited; None if there is none.
        size: Bytes held in memory: first those that the command and its answer may need, later
            those of the answer.
        has_begun: Whether the answer, or a part of it, was written.
        written: How many bytes of `answer` were written.
        on_room: While a long value is being forwarded: called when the connection takes more of it;
            else None.
    """

    __slots__ = (
        "session",
        "answer",
        "open_request",
        "size",
        "has_begun",
        "written",
        "on_room",
        "_value_head",
    )

    def __init__(self, session: Session) -> None:
        self.session, self.size, self.has_begun = session, 0, False
        self.answer: bytes | bytearray | None = None
        self.written = 0
        self.on_room: Callable[[], object] | None = None
        self._value_head = b""  # of a forwarded value, until it is written
        self.open_request: OpenRequest | None = None

    def set_answer(self, answer: bytes | bytearray) -> None:
        """Stores the answer; the session writes it once all earlier answers have been written."""
        # The open request refers back to this slot. Dropping the reference breaks the cycle, which
        # would otherwise keep both, the session and its buffers in memory until the cycle collector
        # runs.
        self.answer, self.open_request = answer, None
        self.resize(len(answer))
        self.session.write_answers()

    def next_piece(self, max_bytes: int) -> bytes | bytearray | memoryview:
        """Returns the next bytes of the answer to write."""
        assert self.answer is not None
        if not self.written and len(self.answer) <= max_bytes:
            return self.answer
        return memoryview(self.answer)[self.written : self.written + max_bytes]

    def is_answered(self) -> bool:
        """Whether the answer is available."""
        return self.answer is not None

    def resize(self, size: int) -> None:
        """Sets the bytes that are held in memory, and counts them for all clients together."""
        self.session.memory.add(size - self.size)
        self.size = size

    def drop_answer(self) -> None:
        """Replaces an answer of which nothing has been written by an error."""
        if self.is_answered() and not self.has_begun:
            self.answer = FAILURE
            self.resize(len(FAILURE))

    def give_up(self) -> None:
        """Ends a command of a client that has sent something unreadable: it gets an error."""
        opened, self.open_request = self.open_request, None
        if opened:
            self.session.engine_driver.give_up(opened)
        if self.on_room:
            self.break_value()
        elif not self.is_answered():
            self.set_answer(FAILURE)

    def send_pong(self) -> None:
        """Answers a `PING`, unless it has been given up meanwhile."""
        if not self.is_answered():
            self.set_answer(b"+PONG\r\n")

    def send_value(self, value: bytes | bytearray) -> None:
        """Answers with the value that the endpoint returned."""
        if isinstance(value, bytearray):
            resp.frame_bulk_string(value)
            self.set_answer(value)
        else:
            self.set_answer(resp.encode_bulk_string(value))

    def has_requests_behind(self) -> bool:
        """Whether commands that were read wait for their answers behind this one."""
        return self.session.has_commands_behind(self)

    def reserve_memory(self, size: int, on_room: Callable[[], object]) -> bool:
        """Reserves memory for a collected value, or makes `on_room` wait for it."""
        memory = self.session.memory
        if not memory.has_room_for_value(size):
            memory.wait_for_room(on_room, is_pipelined=True)
            return False
        self.resize(self.size + size)
        return True

    def release_memory(self, size: int, on_room: Callable[[], object]) -> None:
        """Withdraws `reserve_memory`."""
        self.session.memory.stop_waiting(on_room)
        self.resize(self.size - size)

    def start_value(self, length: int, on_room: Callable[[], object]) -> None:
        """Begins a value that is written piece by piece, once this slot is the first."""
        self._value_head, self.on_room = b"$%d\r\n" % length, on_room
        self.resize(0)  # what is written is counted by the send buffer
        self.session.start_value()

    def value_room(self) -> int:
        """Returns how many bytes of the value may be written now; 0 behind other answers."""
        return self.session.value_room(self) if self.on_room else 0

    def write_value(self, data: bytes) -> None:
        """Writes the next bytes of the value."""
        self.session.write_value(self._value_head + data)
        self._value_head = b""

    def complete_value(self) -> None:
        """Writes the end of the value, without which it does not look complete."""
        self._end_value(self._value_head + b"\r\n")

    def break_value(self) -> None:
        """Ends a value that stays incomplete.

        RESP has no other sign for it than the end of the connection. A client that has no byte of
        the value gets an error instead.
        """
        if self._value_head:
            self._end_value(FAILURE)
        else:
            self.session.end_value()
            self.on_room = None
            self.session.break_off()

    def _end_value(self, last_bytes: bytes) -> None:
        self.on_room = None
        self.session.end_value()
        self.set_answer(last_bytes)

    def send_busy(self, retry_after_ms: int) -> None:
        """Answers `-BUSY MS`, or `-BUSY` if the wait is 0; `engine_driver` lists the reasons."""
        self.session.unserved_command_limit.spend()
        self.set_answer(b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n")

    def send_failure(self) -> None:
        """Answers `-ERR failed`."""
        self.set_answer(FAILURE)

    def send_error(self, why: str) -> None:
        """Answers an invalid command with an error line that gives the reason."""
        self.session.unserved_command_limit.spend()
        self.set_answer(b"-ERR %b\r\n" % why.encode())

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, according to the operating system."""
        return self.session.has_disconnected()

    def shows_disconnect(self) -> bool:
        """Whether no disconnect is hidden behind unread input."""
        return self.session.shows_disconnect()

    def is_client_known(self) -> bool:
        """Whether the client was certainly connected a moment ago."""
        return self.session.is_client_known()
