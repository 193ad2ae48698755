"""Which of two processes with the same limiter id continues: the one that started later.

| this member | origin of a later incarnation of its id | result |
| --- | --- | --- |
| joining, first time | its own earlier run, whose clock was ahead | exceeds it, still joining |
| joining, second time | another process | yields |
| joined | another process | yields |
| any | another process on this machine | yields |
"""

from __future__ import annotations

from enum import Enum, auto

from hazelhollow.membership.incarnation import RANDOM_SPAN
from hazelhollow.membership.records import MemberState, Record


class Resolution(Enum):
    """The consequence of a record that carries this member's own id."""

    NO_CONFLICT = auto()
    EXCEED = auto()
    YIELD = auto()


class IncarnationConflict:
    """The rule, and whether this member has already exceeded an earlier run of its own."""

    def __init__(self) -> None:
        self._has_exceeded = False

    def resolve(self, own: Record, reported: Record) -> Resolution:
        """Resolves a record of this member's id that another member sent."""
        if reported.incarnation <= own.incarnation:
            return Resolution.NO_CONFLICT
        if own.state == MemberState.JOINING and not self._has_exceeded:
            self._has_exceeded = True
            return Resolution.EXCEED
        return Resolution.YIELD


def next_incarnation(incarnation: int) -> int:
    """The incarnation that exceeds the given one: a hundredth of a second later."""
    return incarnation + RANDOM_SPAN
