"""Judges input that a session leaves in its socket while it passes a long value on.

The client must still be told within `COMMAND_TIMEOUT_S` that something it has sent cannot be read,
or that it has stopped in the middle of a command. The bytes are looked at and not read: what was
read would be owed an answer, which nothing can carry if the value breaks off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hazelhollow.net.command_reader import COMMAND_TIMEOUT_S, CommandReader

if TYPE_CHECKING:
    from hazelhollow.net.stream import Stream

INCOMPLETE_COMMAND = "incomplete command: the rest did not arrive in time"
NOT_EXAMINED = -1


class UnreadInput:
    """The unread input of one session, which is examined again when its size has changed."""

    __slots__ = ("_stream", "_reader", "_size", "_commands", "_partial_since")

    def __init__(self, stream: Stream, reader: CommandReader) -> None:
        self._stream, self._reader = stream, reader
        self.forget()

    def restart(self) -> None:
        """Begins to judge: the session reads nothing from now on.

        More must fit into the socket than is examined. Otherwise the rest of a command might not
        arrive for want of room, and its client would look as if it had stopped.
        """
        self._stream.enlarge_receive_buffer()
        self.forget()

    def forget(self) -> None:
        """Forgets what was examined."""
        self._size, self._commands = NOT_EXAMINED, 0
        self._partial_since: float | None = None  # when the last command was found incomplete

    def is_empty(self) -> bool:
        """Whether no unread input was found so far; the first is examined when it arrives."""
        return self._size <= 0

    def error(self, now: float) -> str | None:
        """Returns why the session has to be rejected; None if it need not be."""
        size = self._stream.unread_bytes()
        if size != self._size:
            self._size = size
            why = self._examine(now)
            if why:
                return why
        if self._partial_since is None or now - self._partial_since < COMMAND_TIMEOUT_S:
            return None
        return INCOMPLETE_COMMAND

    def _examine(self, now: float) -> str | None:
        """Examines as much as the parser can take; what is behind it may complete a command."""
        room = self._reader.parser_room()
        data = self._stream.peek(room)
        found = self._reader.examine(data)
        if not found.has_partial_command or len(data) == room:
            self._partial_since = None
        elif self._partial_since is None or found.commands > self._commands:
            self._partial_since = now
        self._commands = found.commands
        return found.error
