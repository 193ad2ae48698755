"""Passes a long value on to its client while the endpoint still sends it.

`ForwardedValue` is the `ValueSink` of one attempt; `ForwardingWindow` bounds the memory of all of
them. The states of a value, which follow from `Attempt.forwarding_since` and `OpenRequest`:

| state | left by |
| --- | --- |
| NOT_STARTED | the value's first byte is here: FORWARDING, unless nobody waits for it any more |
| FORWARDING | the whole answer has been read: COMPLETE. The endpoint breaks off: BROKEN |
| COMPLETE | the client has the value's last bytes, with which it can tell that it is complete |
| BROKEN | the client's connection is closed, or it gets an error if it has no byte of the value |
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hazelhollow.net.engine_driver import EngineDriver
    from hazelhollow.net.open_request import OpenRequest

MIN_WINDOW_BYTES = 4 * 1024
MAX_WINDOW_BYTES = 64 * 1024
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


class ForwardedValue:
    """The sink of one attempt's value."""

    __slots__ = ("_driver", "_opened", "_number")

    def __init__(self, driver: EngineDriver, opened: OpenRequest, number: int) -> None:
        self._driver, self._opened, self._number = driver, opened, number

    def start(self, length: int) -> bool:
        """Makes this attempt the only one; returns whether the value is still wanted."""
        return self._driver.value_started(self._opened, self._number, length)

    def room(self) -> int:
        """Returns how many bytes the client's connection takes now."""
        return self._opened.responder.value_room()

    def write(self, data: bytes) -> None:
        """Passes a piece of the value on."""
        self._opened.responder.write_value(data)

    def stalled(self) -> None:
        """Reports that a collected value does not arrive any further."""
        self._driver.answer_stalled(self._opened, self._number)
