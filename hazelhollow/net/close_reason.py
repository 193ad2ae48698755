"""Every way in which a connection can end.

And what each means for the attempt that was out on it.
"""

from __future__ import annotations

from enum import Enum, auto

from hazelhollow.decisions.interface import Status


class CloseReason(Enum):
    """Why a connection is over."""

    REFUSED = auto()  # nothing listens there
    NEVER_UP = auto()  # the connection did not come up in time, or the way there failed
    NO_DESCRIPTOR = auto()  # this machine has no socket left
    CLOSED = auto()  # the other side ended its sending
    ANSWERED = auto()  # the other side ended it with its answer, which is whole
    RESET = auto()  # the other side, or the way there, broke it
    MALFORMED = auto()  # what came is not of the protocol
    TIMED_OUT = auto()  # no answer while we were willing to wait
    CANCELLED = auto()  # we no longer want the answer
    STALLED = auto()  # the other side does not take what we send
    UNLISTED = auto()  # the routing table says that the backend host drains or is gone
    IDLE = auto()  # not needed, for too long
    MOVED = auto()  # the configuration names another address now
    SHUTDOWN = auto()  # this limiter is ending
    BROKEN_HERE = auto()  # an error in our own code


_MAY_HAVE_RUN: dict[CloseReason, Status] = {
    CloseReason.TIMED_OUT: "timeout",
    CloseReason.CANCELLED: "cancelled",
}


def outcome(ending: CloseReason, written: bool) -> Status:
    """The module's word for an attempt whose connection ended so.

    It turns on whether the last byte of the attempt's request had been written. Up to then no
    backend host can have begun it, even where the wait ran out, and unsent bytes are dropped; from
    then on it may have run, whatever ended the connection.
    """
    if written:
        return _MAY_HAVE_RUN.get(ending, "reset")
    return "cancelled" if ending is CloseReason.CANCELLED else "connect_failed"
