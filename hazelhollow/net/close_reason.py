"""Every way in which a connection ends, and what each means for the attempt that was out on it."""

from __future__ import annotations

from enum import Enum, auto

from hazelhollow.decisions.interface import Status


class CloseReason(Enum):
    """Why a connection is over."""

    REFUSED = auto()  # nothing listens there
    NEVER_UP = auto()  # it did not come up in time, or the way there failed
    NO_DESCRIPTOR = auto()  # this process or machine has no socket left
    CLOSED = auto()  # the other side closed its sending side
    ANSWERED = auto()  # the other side closed it with its answer, which is complete
    RESET = auto()  # the other side, or the way there, broke it
    MALFORMED = auto()  # what came is not of the protocol
    TIMED_OUT = auto()  # no answer while we were willing to wait
    CANCELLED = auto()  # we no longer want the answer
    STALLED = auto()  # the other side stopped taking or sending half-way
    UNLISTED = auto()  # the endpoint drains, is gone, or is disabled by hand
    IDLE = auto()  # not used for too long
    MOVED = auto()  # the configuration names another address now
    SHUTDOWN = auto()  # this limiter is ending
    BROKEN_HERE = auto()  # an error in our own code


_STATUS_IF_SENT: dict[CloseReason, Status] = {
    CloseReason.TIMED_OUT: "timeout",
    CloseReason.CANCELLED: "cancelled",
}


def attempt_status(reason: CloseReason, sent_all: bool) -> Status:
    """The decision engine's word for an attempt whose connection ended without an answer.

    Args:
        reason: Why the connection ended.
        sent_all: Whether the last byte of the request had been sent. Up to then no endpoint can
            have begun it, and unsent bytes are dropped; from then on it may have run, whatever
            ended the connection.
    """
    if sent_all:
        return _STATUS_IF_SENT.get(reason, "reset")
    return "cancelled" if reason is CloseReason.CANCELLED else "connect_failed"
