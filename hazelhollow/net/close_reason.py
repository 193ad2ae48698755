"""The reasons why a connection ends, and the resulting status of the attempt in flight on it."""

from __future__ import annotations

from enum import Enum, auto

from hazelhollow.decisions.interface import Status


class CloseReason(Enum):
    """Why a connection was closed."""

    REFUSED = auto()  # nothing listens on the address
    NEVER_UP = auto()  # it was not established in time, or the network failed before
    NO_DESCRIPTOR = auto()  # this process or machine has no socket left
    CLOSED = auto()  # the other side closed its sending side
    ANSWERED = auto()  # the other side closed it after a complete answer
    RESET = auto()  # the other side or the network reset it
    MALFORMED = auto()  # the other side violated the protocol
    TIMED_OUT = auto()  # no answer within the timeout
    CANCELLED = auto()  # the answer is no longer needed
    WITHHELD = auto()  # the client may have left, so that nothing was sent for it
    INCOMPLETE = auto()  # a value that has begun cannot be completed
    STALLED = auto()  # the other side stopped reading or sending in mid-transfer
    UNLISTED = auto()  # the endpoint drains, is gone, or was disabled by an operator
    IDLE = auto()  # unused for too long
    MOVED = auto()  # the configuration now names another address
    SHUTDOWN = auto()  # this limiter is shutting down
    BROKEN_HERE = auto()  # an error in this process's own code


_STATUS_IF_SENT: dict[CloseReason, Status] = {
    CloseReason.TIMED_OUT: "timeout",
    CloseReason.CANCELLED: "cancelled",
}
_STATUS_IF_UNSENT: dict[CloseReason, Status] = {
    CloseReason.CANCELLED: "cancelled",
    CloseReason.WITHHELD: "never_sent",
}


def attempt_status(reason: CloseReason, sent_all: bool) -> Status:
    """Returns the engine's status for an attempt whose connection ended without an answer.

    Args:
        reason: Why the connection ended.
        sent_all: Whether the last byte of the request had been sent. Before that, no endpoint can
            have started the request, and unsent bytes are dropped; after that, the request may have
            been executed, regardless of what ended the connection.
    """
    if sent_all:
        return _STATUS_IF_SENT.get(reason, "reset")
    return _STATUS_IF_UNSENT.get(reason, "connect_failed")
