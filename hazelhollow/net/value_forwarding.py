"""Passes a long value on to its client while the endpoint still sends it.

`LongValue` is the `ValueSink` of one attempt; `ForwardingWindow` bounds the memory of all that are
forwarded. The states of a value, which follow from `Attempt` and `OpenRequest`:

| state | left by |
| --- | --- |
| NOT_STARTED | the value's first byte is here: FORWARDING, or COLLECTED with requests behind it |
| COLLECTED | it is whole, or its attempt ends: it is then answered as a short value is |
| FORWARDING | the whole answer has been read: COMPLETE. The endpoint breaks off: BROKEN |
| COMPLETE | the client has the value's last bytes, with which it can tell that it is complete |
| BROKEN | the client's connection is closed, or it gets an error if it has no byte of the value |

No byte of an incomplete value is written while a request that was read waits behind it, and none is
read behind a value in FORWARDING. Otherwise a value that its endpoint breaks off would take the
answers of these requests with it, since only the end of the connection tells the client.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hazelhollow.net.attempts import ValuePath

if TYPE_CHECKING:
    from hazelhollow.net.attempts import Attempt
    from hazelhollow.net.engine_driver import EngineDriver
    from hazelhollow.net.open_request import OpenRequest

MIN_WINDOW_BYTES = 4 * 1024
MAX_WINDOW_BYTES = 64 * 1024
COLLECTED_GROWTH = 8  # a buffer that grows holds up to an eighth more than its content
BUFFERS_PER_VALUE = 4  # one window in the parser, and a ring buffer of up to twice its content


class ForwardingWindow:
    """How many bytes of each forwarded value may be held, given the memory for all of them.

    Attributes:
        active: The number of values that are being forwarded.
    """

    def __init__(self, max_total_bytes: int) -> None:
        self._max_total_bytes = max_total_bytes
        self.active = 0

    def size(self) -> int:
        """Returns the bytes that one value may hold now."""
        share = self._max_total_bytes // (BUFFERS_PER_VALUE * max(1, self.active))
        return max(MIN_WINDOW_BYTES, min(share, MAX_WINDOW_BYTES))


def release_collected(opened: OpenRequest, attempt: Attempt) -> None:
    """Releases the memory of an attempt's collected value, at the end of the attempt.

    An answer has released its request's memory already, whatever was reserved for it.
    """
    if attempt.collects_value:
        attempt.collects_value = False
        size = 0 if opened.answered else attempt.reserved_bytes
        opened.responder.release_memory(size, attempt.wake_connection)


class LongValue:
    """The sink of one attempt's value."""

    __slots__ = ("_driver", "_opened", "_number")

    def __init__(self, driver: EngineDriver, opened: OpenRequest, number: int) -> None:
        self._driver, self._opened, self._number = driver, opened, number

    def is_client_known(self) -> bool:
        """Whether the client was certainly connected a moment ago."""
        return self._driver.is_client_known(self._opened)

    def start(self, length: int) -> ValuePath:
        """Decides what becomes of the value; to forward it makes this attempt the only one."""
        if self._opened.answered:
            return ValuePath.DROP
        if self._opened.responder.has_requests_behind():
            return self._collect(length)
        self._driver.begin_forwarding(self._opened, self._number, length)
        return ValuePath.FORWARD

    def _collect(self, length: int) -> ValuePath:
        attempt, size = self._opened.attempts[self._number], length + length // COLLECTED_GROWTH
        attempt.collects_value = True
        if not self._opened.responder.reserve_memory(size, attempt.wake_connection):
            return ValuePath.WAIT
        attempt.reserved_bytes = size
        self._driver.value_collected()
        return ValuePath.COLLECT

    def room(self) -> int:
        """Returns how many bytes the client's connection takes now."""
        return self._opened.responder.value_room()

    def write(self, data: bytes) -> None:
        """Passes a piece of the value on."""
        self._opened.responder.write_value(data)

    def progressed(self, at: float) -> None:
        """Reports that bytes of an incomplete answer arrived at that time."""
        self._driver.answer_progressed(self._opened, self._number, at)

    def stalled(self) -> None:
        """Reports that a short answer does not arrive any further."""
        self._driver.answer_stalled(self._opened, self._number)
