"""An open request, and the interfaces of its client side.

States of a request, from its submission to the end of its record:

| state | `answered` | attempts out | left by |
| --- | --- | --- | --- |
| SUBMITTED | no | none | a rejection or failure: ENDED. A started attempt: IN_FLIGHT |
| IN_FLIGHT | no | one or more | a successful answer, a rejection or a failure: ANSWERED |
| WAITING | no | none | a retry: IN_FLIGHT. A rejection or failure: ENDED |
| ANSWERED | yes | one or more | the last attempt ends or is cancelled: ENDED |
| FORWARDING | yes | one, `forwarding` | its answer ends or breaks off, its client leaves: ENDED |
| ENDED | yes | none | the record is dropped |

IN_FLIGHT changes to FORWARDING when the first byte of an attempt's long value is here, unless
requests that were read wait behind it: it is the final answer, and neither the deadline nor another
attempt applies any more. The head of the answer changes nothing: a value that never comes must cost
neither. With requests behind it the value is collected, and the request stays IN_FLIGHT: if the
value broke after its first byte was written, only the end of the connection could tell the client,
and what stands behind it would get no answer. IN_FLIGHT changes to WAITING when the
last attempt that is out ends without a successful answer. Two more events apply in every state but
ENDED:

- the client disconnects: `answered` is set, and attempts whose requests have not been sent
  completely are withdrawn;
- the deadline passes: all attempts are aborted, and a request that the engine then leaves
  unanswered gets an error.

The states are not stored, but follow from `answered` and `attempts_out`;
`engine_driver.EngineDriver` makes every transition. `answered` is set only once, which guarantees
exactly one final answer.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from hazelhollow.decisions import interface as api
from hazelhollow.net.attempts import Attempt
from hazelhollow.net.scheduler import Timer


class Responder(Protocol):
    """The client side of one request, independent of the client's protocol.

    Exactly one of the three `send_...` methods is called, once, unless the client disconnects. A
    long value takes their place: `start_value`, then `write_value` as far as there is room, then
    either `complete_value` or `break_value`.
    """

    def send_value(self, value: bytes | bytearray) -> None:
        """Answers with the value of a successful attempt; takes over a bytearray."""

    def send_busy(self, retry_after_ms: int) -> None:
        """Rejects the request; the client may retry after that time, if it is not 0."""

    def send_failure(self) -> None:
        """Reports that the request failed; it may nevertheless have been executed."""

    def has_requests_behind(self) -> bool:
        """Whether the client has sent more that was read and needs an answer after this one."""

    def reserve_memory(self, size: int, on_room: Callable[[], object]) -> bool:
        """Reserves memory for a value that is collected; returns whether there is enough.

        If not, `on_room` is called once, when there may be.
        """

    def release_memory(self, size: int, on_room: Callable[[], object]) -> None:
        """Withdraws `reserve_memory`, of which `size` bytes were granted."""

    def start_value(self, length: int, on_room: Callable[[], object]) -> None:
        """Begins a value of `length` bytes. `on_room` is called when `value_room` grows from 0."""

    def value_room(self) -> int:
        """Returns how many bytes of the value may be written now."""

    def write_value(self, data: bytes) -> None:
        """Writes the next bytes of the value."""

    def complete_value(self) -> None:
        """Ends the value: all bytes were written, and the endpoint's answer was sound."""

    def break_value(self) -> None:
        """Ends the value so that the client can tell that it is not complete."""

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, according to the operating system.

        May be called at any time.
        """

    def shows_disconnect(self) -> bool:
        """Whether the operating system certainly knows of a disconnect; inexpensive."""

    def is_client_known(self) -> bool:
        """Whether the client was certainly connected a moment ago (`client_presence`)."""


class Forwardable(Protocol):
    """A request as parsed by the client side; `requests.ParsedRequest` for RESP."""

    request: api.RequestArrived

    def command(self, wait_ms: int) -> bytes:
        """Returns the encoded request for an endpoint that has to answer within that time."""


class OpenRequest:
    """A request that has no final answer yet, or whose attempts are still out.

    Attributes:
        id: Unique among the open requests of this limiter.
        deadline: When the client stops waiting (clock).
        attempts: All attempts started so far, indexed by their numbers.
        attempts_out: How many attempts have no result yet.
        answered: Whether the final answer was sent or begun, or the client has disconnected.
        forwarding: The attempt whose value is being forwarded to the client; None if there is none.
        deadline_timer: Fires at the deadline; None for a request that was answered immediately.
    """

    __slots__ = (
        "id",
        "parsed",
        "responder",
        "deadline",
        "attempts",
        "attempts_out",
        "answered",
        "forwarding",
        "deadline_timer",
        "__weakref__",
    )

    def __init__(
        self, request_id: str, parsed: Forwardable, responder: Responder, deadline: float
    ) -> None:
        self.id, self.parsed, self.responder = request_id, parsed, responder
        self.deadline = deadline
        self.attempts: list[Attempt] = []
        self.attempts_out = 0
        self.answered = False
        self.forwarding: Attempt | None = None
        self.deadline_timer: Timer | None = None
