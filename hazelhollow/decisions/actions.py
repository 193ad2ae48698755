"""Actions that the decision engine requests from its driver, named by verbs.

A driver performs the actions of one event in their order. Durations are in seconds; times are
readings of the host's clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal, NamedTuple, Union

from hazelhollow.decisions.events import ReplicatedCount
from hazelhollow.decisions.state.executions import Execution

# Why an attempt is cancelled (`supervision.py`).
CancelReason = Literal["hung", "stalled", "last try"]
# Why a request gets no further attempt: it may have none, no endpoint may have it, it would end too
# late, or the retry budget does not pay for it.
RetryDenial = Literal["not allowed", "no endpoint", "too late", "no budget"]


@dataclass(frozen=True)
class StartAttempt:
    """Send a request to an endpoint.

    Attributes:
        id: The request. Its attempts are numbered from 0 in the order of these actions.
        endpoint: The endpoint to send it to.
        timeout: Seconds after which the attempt ends; 0 lets it run until the request's deadline.
        send_by: The time after which the request must not be sent any more if it has not been sent
            completely. Otherwise a connection that is established late could carry it after the end
            of the deduplication window.
        execution: Where it runs, for a class that is not safe to repeat; else None.
    """

    id: str
    endpoint: str
    timeout: float = 0.0
    send_by: float = math.inf
    execution: Execution | None = None


@dataclass(frozen=True)
class CancelAttempt:
    """Cancel an attempt; an `AttemptEnded` follows. `reason` is only logged and counted."""

    id: str
    attempt: int
    reason: CancelReason = "hung"


@dataclass(frozen=True)
class RejectRequest:
    """Give a request its final answer: rejected, may be repeated after `retry_after` seconds.

    `reason` is only used for counters, and so is `retry_denial`: why no other attempt followed, if
    there was one.
    """

    id: str
    retry_after: float = 0.0
    reason: str = ""
    retry_denial: RetryDenial | None = None


@dataclass(frozen=True)
class FailRequest:
    """Give a request its final answer: failed, and it may have taken effect.

    `retry_denial` is only used for counters: why no other attempt followed.
    """

    id: str
    retry_denial: RetryDenial | None = None


@dataclass(frozen=True)
class SetTimer:
    """Send a `TimerFired` of that name after `delay` seconds."""

    delay: float
    name: str


@dataclass(frozen=True)
class SendGossip:
    """Send a datagram to another limiter."""

    limiter_id: int
    text: str


@dataclass(frozen=True)
class SubscribeToEndpoints:
    """Subscribe to the endpoint list."""


@dataclass(frozen=True)
class WriteLog:
    """Write a line to the log."""

    text: str


class ReplicateCount(NamedTuple):
    """Replicate a customer's count, which has grown by a period that is now closed.

    The count is this limiter's own, or that of another as received from it.
    """

    key: str
    plan_name: str
    set_start: int
    set_size: int
    replicated_count: ReplicatedCount


Action = Union[
    StartAttempt,
    CancelAttempt,
    RejectRequest,
    FailRequest,
    SetTimer,
    SendGossip,
    SubscribeToEndpoints,
    WriteLog,
    ReplicateCount,
]
