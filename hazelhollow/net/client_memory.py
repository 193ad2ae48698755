"""The memory that is held for clients, and whether there is room for another request.

A request is executed only while there is room for what it and its answer may need, which is
`REQUEST_BYTES` until the answer is known. A first one is read only then, too; those that a client
sends behind requests that wait are read ahead into a smaller part, since they may hide that the
client has closed (`client_presence`). The first request of a connection, which is all that
most clients ever have open, may use all of the memory; those that a client sends behind it may use
a part. So clients that send many requests and read no answers leave room for the others.

| counted | from | until |
| --- | --- | --- |
| bytes read and not executed | they are read | the command is executed |
| `REQUEST_BYTES` and the command | a request is executed | its answer is known |
| a long value | its first byte is here, and requests wait behind it | its answer is known |
| the answer | it is known | it is in the connection's send buffer |
| the send buffer beyond its initial size | it grows | the operating system has taken all of it |

No I/O.
"""

from __future__ import annotations

from collections.abc import Callable

Wake = Callable[[], object]

READ_AHEAD_SHARE = 0.5  # beside the memory for clients with several requests, as a part of it
REQUEST_BYTES = 65 * 1024  # the largest answer that is collected, and the records of its request


class ClientMemory:
    """Counts the memory held for all clients together.

    Attributes:
        held_bytes: The memory that is held or reserved now.
        queued_bytes: The part of it for commands that were read and wait to be executed.
        max_bytes: The most that may be held.
    """

    def __init__(
        self,
        max_bytes: int,
        max_pipelined_bytes: int,
        at_end_of_turn: Callable[[Callable[[], None]], object],
    ) -> None:
        """Creates an empty account.

        Args:
            max_bytes: The most that may be held.
            max_pipelined_bytes: The most up to which a client may have more than one request.
            at_end_of_turn: Makes a call at the end of the event loop's turn.
        """
        self.max_bytes, self._max_pipelined_bytes = max_bytes, max_pipelined_bytes
        self._at_end_of_turn = at_end_of_turn
        self.held_bytes = self.queued_bytes = 0
        # The calls that wake clients, by whether these have other requests, the oldest first.
        self._waiting: dict[bool, dict[Wake, None]] = {False: {}, True: {}}
        self._is_wake_due = False

    def add(self, count: int) -> None:
        """Adds to the memory that is held; a negative number releases some."""
        self.held_bytes += count
        if count < 0 and any(self._waiting.values()) and not self._is_wake_due:
            self._is_wake_due = True
            self._at_end_of_turn(self._wake_waiting)

    def add_queued(self, count: int) -> None:
        """Adds to the memory of commands that wait to be executed, or releases some."""
        self.queued_bytes += count
        self.add(count)

    def has_room(self, is_pipelined: bool) -> bool:
        """Whether another request may be read or executed.

        `is_pipelined`: whether its client has other requests or unread answers.
        """
        return not self.held_bytes or self._room(is_pipelined) > 0

    def has_room_to_read_ahead(self) -> bool:
        """Whether more may be read of a client whose commands already wait to be executed.

        These are answered by their deadlines, whether there is room for them then or not.
        """
        has_share = self.queued_bytes < self._max_pipelined_bytes * READ_AHEAD_SHARE
        return has_share and self._room(is_pipelined=False) > 0

    def has_room_for_value(self, size: int) -> bool:
        """Whether a long value of that many bytes may be collected.

        Its client has other requests, or it would be forwarded.
        """
        held = self.held_bytes + size
        has_share = held - self.queued_bytes <= self._max_pipelined_bytes
        return has_share and held <= self.max_bytes

    def wait_for_room(self, wake: Wake, is_pipelined: bool) -> None:
        """Calls `wake` once, when there may be room; the caller then has to ask again."""
        self.stop_waiting(wake)
        self._waiting[is_pipelined][wake] = None

    def stop_waiting(self, wake: Wake) -> None:
        """Withdraws `wait_for_room`."""
        for waiting in self._waiting.values():
            waiting.pop(wake, None)

    def _room(self, is_pipelined: bool) -> int:
        """Returns for how many requests there is room."""
        room = self.max_bytes - self.held_bytes
        if is_pipelined:  # what is read ahead takes no room from what is executed
            room = min(room, self._max_pipelined_bytes - self.held_bytes + self.queued_bytes)
        return max(room, 0) // REQUEST_BYTES

    def _wake_waiting(self) -> None:
        """Wakes as many clients as there is room for, those that have waited longest."""
        self._is_wake_due = False
        for is_pipelined, waiting in self._waiting.items():
            for wake in list(waiting)[: self._room(is_pipelined)]:
                del waiting[wake]
                wake()
