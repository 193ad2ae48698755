"""What the decision engine tells its driver to do. Actions are named by verbs.

A driver performs the actions of one event in their order. Durations are seconds, instants readings
of the host's clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple, Union

from hazelhollow.decisions.events import ReplicatedCount


@dataclass(frozen=True)
class StartAttempt:
    """Send a request to an endpoint.

    Attributes:
        id: The request. Its attempts are numbered from 0 on in the order of these actions.
        endpoint: Where it goes.
        timeout: Seconds after which it ends; 0 lets it run until the client gives up.
        send_by: The instant after which what has not been sent whole must never be sent: a
            connection may come up after the time for which a repeat is dropped.
    """

    id: str
    endpoint: str
    timeout: float = 0.0
    send_by: float = math.inf


@dataclass(frozen=True)
class CancelAttempt:
    """Withdraw an attempt; an `AttemptEnded` follows."""

    id: str
    attempt: int


@dataclass(frozen=True)
class RejectRequest:
    """A final answer: rejected, safe to ask again after `retry_after` seconds.

    `reason` is for the counters alone.
    """

    id: str
    retry_after: float = 0.0
    reason: str = ""


@dataclass(frozen=True)
class FailRequest:
    """A final answer: failed, with no promise about its effect."""

    id: str


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
    """Ask for the endpoint list to be pushed from now on."""


@dataclass(frozen=True)
class WriteLog:
    """Write a line to the log."""

    text: str


class ReplicateCount(NamedTuple):
    """Replicate a count of a customer that has grown by a period that is closed now.

    It is this limiter's own, or another's as it was heard.
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
