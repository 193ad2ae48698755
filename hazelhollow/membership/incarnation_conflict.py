"""Which of two processes with one limiter id goes on: the one that started later.

| this member | a later incarnation of its id is | result |
| --- | --- | --- |
| joining, first time | its own earlier run, whose clock was ahead | goes past it, still joining |
| joining, second time | another process | yields |
| joined | another process | yields |
| any | another process on this machine | yields |
"""

from __future__ import annotations

from enum import Enum, auto

from hazelhollow.membership.incarnation import RANDOM_SPAN
from hazelhollow.membership.records import MemberState, Record


class Resolution(Enum):
    """What follows from a record of this member's own id."""

    NO_CONFLICT = auto()
    OUTBID = auto()
    YIELD = auto()


class IncarnationConflict:
    """The rule, and whether this member has outbid an earlier run of its own already."""

    def __init__(self) -> None:
        self._has_outbid = False

    def resolve(self, own: Record, reported: Record) -> Resolution:
        """`reported`: a record of this member's id that another sent."""
        if reported.incarnation <= own.incarnation:
            return Resolution.NO_CONFLICT
        if own.state == MemberState.JOINING and not self._has_outbid:
            self._has_outbid = True
            return Resolution.OUTBID
        return Resolution.YIELD


def outbidding(incarnation: int) -> int:
    """The incarnation that a member takes to go past that one: a hundredth of a second later."""
    return incarnation + RANDOM_SPAN
