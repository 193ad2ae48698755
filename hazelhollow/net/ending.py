"""Every way in which a connection can end, and what each means for the attempt that was out on it."""

from __future__ import annotations

from enum import Enum, auto

from hazelhollow.interface import Status


class Ending(Enum):
    """Why a connection is over."""

    REFUSED = auto()  # nothing listens there
    NEVER_UP = auto()  # the connection did not come up in time, or the way there failed
    NO_DESCRIPTOR = auto()  # this machine has no socket left
    CLOSED = auto()  # the other side ended its sending
    RESET = auto()  # the other side, or the way there, broke it
    MALFORMED = auto()  # what came is not of the protocol
    TIMED_OUT = auto()  # no answer while we were willing to wait
    CANCELLED = auto()  # we no longer want the answer
    STALLED = auto()  # the other side does not take what we send
    UNLISTED = auto()  # the routing table says that the issuer host drains or is gone
    IDLE = auto()  # not needed, for too long
    SHUTDOWN = auto()  # this limiter is ending
    BROKEN_HERE = auto()  # an error in our own code


# Each ending, by whether the last byte of the leg's request had been written. Up to then no issuer host can
# have begun it; from then on it may have run, whatever ended the connection.
_OUTCOMES: dict[Ending, tuple[Status, Status]] = {
    Ending.REFUSED: ("connect_failed", "reset"),
    Ending.NEVER_UP: ("connect_failed", "reset"),
    Ending.NO_DESCRIPTOR: ("connect_failed", "reset"),
    Ending.CLOSED: ("connect_failed", "reset"),
    Ending.RESET: ("connect_failed", "reset"),
    Ending.MALFORMED: ("connect_failed", "reset"),
    Ending.TIMED_OUT: ("timeout", "timeout"),
    Ending.CANCELLED: ("cancelled", "cancelled"),
    Ending.STALLED: ("connect_failed", "reset"),
    Ending.UNLISTED: ("connect_failed", "reset"),
    Ending.IDLE: ("connect_failed", "reset"),
    Ending.SHUTDOWN: ("connect_failed", "reset"),
    Ending.BROKEN_HERE: ("connect_failed", "reset"),
}


def outcome(ending: Ending, written: bool) -> Status:
    """The module's word for a leg whose connection ended so."""
    return _OUTCOMES[ending][written]
