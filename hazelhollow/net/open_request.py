"""A request that is owed its final answer, and the two sides that it stands between.

States of a request, from its submission to the end of its record:

| state | `answered` | attempts out | left by |
| --- | --- | --- | --- |
| SUBMITTED | no | none | a rejection or failure: ENDED. A started attempt: IN_FLIGHT |
| IN_FLIGHT | no | one or more | a good answer, a rejection or a failure: ANSWERED |
| WAITING | no | none | a retry: IN_FLIGHT. A rejection or failure: ENDED |
| ANSWERED | yes | one or more | the last attempt ends or is cancelled: ENDED |
| ENDED | yes | none | the record is dropped |

An attempt that ends without a good answer takes IN_FLIGHT to WAITING if it was the last one out. In
every state but ENDED two more events count:

- the client disconnects: `answered` is set, attempts that have not gone out completely are
  withdrawn;
- the deadline passes: all attempts are aborted, and a request that the engine then leaves without
  an answer gets an error.

The states are not stored, they follow from `answered` and `attempts_out`;
`engine_driver.EngineDriver` makes every transition. `answered` is set once: that is the rule of
exactly one final answer.
"""

from __future__ import annotations

from typing import Protocol

from hazelhollow.decisions import interface as api
from hazelhollow.net.attempts import Attempt
from hazelhollow.net.scheduler import Timer


class Responder(Protocol):
    """The client side of one request, whatever protocol it came by.

    Exactly one of the three `send_...` methods is called, once, unless the client disconnects.
    """

    def send_value(self, value: bytes) -> None:
        """The request was served."""

    def send_busy(self, retry_after_ms: int) -> None:
        """The request was rejected; the client may retry after that time, if it is not 0."""

    def send_failure(self) -> None:
        """The request failed, and may have had its effect."""

    def has_disconnected(self) -> bool:
        """Whether the client has gone by now, asked of the system. May be called at any time."""


class Forwardable(Protocol):
    """A request as the client side has read it; `requests.ParsedRequest` for RESP."""

    request: api.RequestArrived

    def command(self, wait_ms: int) -> bytes:
        """What goes to an endpoint that is to answer within that time, encoded."""


class OpenRequest:
    """A request that is owed its answer, or whose attempts are still out.

    Attributes:
        id: Unique among the open requests of this limiter.
        deadline: When the client stops waiting (clock).
        attempts: All that were started, by their numbers.
        attempts_out: How many of them have no result yet.
        answered: Whether the final answer was given, or the client has gone.
        deadline_timer: Fires at the deadline; None for a request that was answered at once.
    """

    __slots__ = (
        "id",
        "parsed",
        "responder",
        "deadline",
        "attempts",
        "attempts_out",
        "answered",
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
        self.deadline_timer: Timer | None = None
