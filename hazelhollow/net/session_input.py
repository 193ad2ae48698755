"""The input of a session: when it is read, when it arrived, and what is read at the end.

| state | fields | reads | left by |
| --- | --- | --- | --- |
| READING | `is_reading` | whenever poll reports bytes | `set_reading` |
| PAUSED | not `is_reading` | nothing | `set_reading` |
| FINAL | `_final_bytes` | what has arrived by `stop_accepting` | the socket is empty |
| ENDED | `_final_bytes` is 0 | nothing | |

A session pauses while its client does not read its answers, while its commands are throttled, while
it passes a long value on, and while there is no memory. What arrives meanwhile was accepted with
the connection: it is still executed when the session stops accepting commands, and the time that it
has waited in the socket counts as waited. Input that arrives after FINAL is not owed an answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hazelhollow.net.client_presence import is_close_visible
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.command_reader import CommandReader
from hazelhollow.net.stream import Stream

if TYPE_CHECKING:
    from hazelhollow.net.session import Session

READ_CHUNK_BYTES = 16 * 1024
MIN_ACCEPT_WAIT_S = 0.02  # below it the figure is as coarse as the operating system's clock
MAX_ACCEPT_WAIT_S = 60.0  # beyond it the operating system's figure is not believed
MAX_BACKLOG_S = 3.0  # for a client that never stops sending; no client waits longer
# A backlog has ended once nothing arrived for this long: until then the operating system may still
# hold bytes that the client has written, although the socket was found empty.
BACKLOG_GAP_S = 0.03
MAX_FINAL_BYTES = 1 << 20  # of one connection


class SessionInput:
    """Reads one session's bytes and feeds them to its command reader.

    The session is passed with each call and not stored, as with `CommandReader`.

    Attributes:
        is_reading: Whether the session waits for bytes.
    """

    __slots__ = (
        "is_reading",
        "_backlog_since",
        "_emptied_at",
        "_paused_at",
        "_paused_s",
        "_stream",
        "_reader",
        "_unread_since",
        "_crowded_since",
        "_crowded_at",
        "_final_bytes",
    )

    def __init__(self, stream: Stream, reader: CommandReader) -> None:
        self._stream, self._reader = stream, reader
        self.is_reading = True
        # Since when the client may always have written more than was read; None if not.
        self._backlog_since: float | None = None
        self._emptied_at: float | None = None  # when the last read emptied the socket, if it did
        self._paused_at = 0.0  # when the session last stopped reading
        self._paused_s = 0.0  # for which it has not read since the backlog began
        # Since when, and when last, much was unread after a read; None once a close would be seen.
        self._crowded_since: float | None = None
        self._crowded_at = 0.0
        # When the session stopped reading; None once the socket was found empty again.
        self._unread_since: float | None = None
        self._final_bytes: int | None = None  # that may still be read; None before FINAL

    def set_reading(self, is_reading: bool) -> None:
        """Notes whether the session waits for bytes from now on."""
        if is_reading and self.is_reading:
            return
        now = self._stream.scheduler.clock()
        if not is_reading:
            if self._unread_since is None:
                self._unread_since = now
            if self.is_reading:
                self._paused_at = now
        elif not self.is_reading:
            self._paused_s += now - self._paused_at
            if not self._stream.peek(1):  # nothing has waited
                self._unread_since = None
        self.is_reading = is_reading

    def watch(self) -> None:
        """Notes that the session reads nothing, but learns when the first bytes arrive."""
        if self.is_reading:
            self.is_reading, self._paused_at = False, self._stream.scheduler.clock()

    def note_arrival(self) -> None:
        """Notes that bytes have arrived which the session does not read yet."""
        if self._unread_since is None:
            self._unread_since = self._stream.scheduler.arrived_since

    def read(self, session: Session) -> int | CloseReason:
        """Reads and executes commands; returns the number of bytes, or why the connection ended."""
        size = min(READ_CHUNK_BYTES, self._reader.parser_room())
        received_since = self._stream.scheduler.arrived_since
        if not self._reader.had_first_command:  # before reading, which lets more arrive
            received_since = min(received_since, self._received_since())
        data = self._stream.read(size)
        if isinstance(data, CloseReason):
            return data
        count = len(data or b"")
        if count == size:
            self._note_unread(received_since)
        arrived_since = self._arrived_since(is_empty=count < size)
        if not self._reader.had_first_command:
            arrived_since = min(arrived_since, received_since)
        arrived_since = min(arrived_since, self._backlogged_since(arrived_since, count == size))
        if self._final_bytes is not None:
            self._final_bytes = max(self._final_bytes - count, 0)
        if data and not self._reader.stopped:
            self._reader.arrived_since = arrived_since
            self._reader.feed(session, data)
        return count

    # The client's presence

    def shows_close(self) -> bool:
        """Whether the operating system certainly reports a close, so that none is hidden."""
        return self.is_reading and self._crowded_since is None

    def client_seen_at(self, now: float) -> float:
        """Returns when the client was last connected, as its input shows; see `client_presence`."""
        if not is_close_visible(self._stream.unread_bytes()):
            return self._paused_at if self._crowded_since is None else self._crowded_since
        if self._crowded_since is not None and now - self._crowded_at < BACKLOG_GAP_S:
            return self._crowded_since
        self._crowded_since = None
        return now

    def _note_unread(self, received_since: float) -> None:
        """Notes whether so much is still unread that a close might stand behind it.

        `received_since`: when the last bytes arrived. A new connection may have waited to be
        accepted since then, and its client may have left meanwhile.
        """
        if is_close_visible(self._stream.unread_bytes()):
            return
        self._crowded_at = self._stream.scheduler.clock()
        if self._crowded_since is None:
            self._crowded_since = received_since

    def _has_backlog_ended(self, now: float) -> bool:
        return self._emptied_at is not None and now - self._emptied_at >= BACKLOG_GAP_S

    def _backlogged_since(self, arrived_since: float, has_more: bool) -> float:
        """Returns when the client may have written the bytes just read, as far as a backlog tells.

        A client that sends many large commands at once writes the last one long before this
        process, or the operating system for it, can take it. `has_more`: whether input may be left.
        """
        now = self._stream.scheduler.clock()
        if self._has_backlog_ended(arrived_since):
            self._backlog_since = None
        self._emptied_at = None if has_more else now
        since = self._backlog_since
        if since is None and has_more:
            self._backlog_since, self._paused_s = arrived_since, 0.0
        return now if since is None else max(since, now - MAX_BACKLOG_S - self._paused_s)

    def _received_since(self) -> float:
        """Returns when the last input arrived, possibly before its connection was accepted."""
        waited = self._stream.seconds_since_last_input()
        is_plausible = MIN_ACCEPT_WAIT_S <= waited <= MAX_ACCEPT_WAIT_S
        return self._stream.scheduler.clock() - (waited if is_plausible else 0.0)

    def _arrived_since(self, is_empty: bool) -> float:
        """Returns the earliest time at which the bytes just read can have arrived."""
        arrived_since = self._stream.scheduler.arrived_since
        if self._unread_since is None:
            return arrived_since
        arrived_since = min(arrived_since, self._unread_since)
        if is_empty:
            self._unread_since = None
        return arrived_since

    # The end

    def is_accepting(self) -> bool:
        """Whether commands that arrive from now on are accepted."""
        return self._final_bytes is None

    def has_final_input(self) -> bool:
        """Whether input that arrived in time may still be unread."""
        return bool(self._final_bytes)

    def has_executed_all(self) -> bool:
        """Whether no command is left to execute; the rest of an incomplete one is not read."""
        return self._final_bytes == 0 and not self._reader.has_queued()

    def stop_accepting(self, session: Session) -> None:
        """Begins to read the commands that are still executed.

        Guards against commands that are dropped with the reader's buffer or left in the socket: a
        session that was paused has not executed all that has arrived.
        """
        self._final_bytes = MAX_FINAL_BYTES
        self.read_final_input(session)

    def stop_reading(self) -> None:
        """Ends reading: the client sends again what is unread."""
        self._final_bytes = 0

    def unread_error(self) -> str | None:
        """Returns why the input that arrived after the end cannot be read; None if it can be.

        It is looked at and stays in the socket: what was read would be owed an answer.
        """
        data = self._stream.peek(READ_CHUNK_BYTES)
        return self._reader.error_in(data) if data and self.has_executed_all() else None

    def read_final_input(self, session: Session) -> None:
        """Reads as much of the final input as the reader's buffer has room for."""
        while self._final_bytes and self._reader.room() > 0:
            count = self.read(session)
            if isinstance(count, CloseReason) or count == 0:
                self._final_bytes = 0
