"""Whether a member's view is right.

Held against what the run knows to be so, record by record as they change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hazelhollow.membership.incarnation import INCARNATIONS_PER_S
from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record
from hazelhollow.scale.topology import CutPredicate, no_cut

CLOCK_TOLERANCE_S = 0.02  # seconds by which an incarnation's number may lie before its start


class GroundTruth:
    """Which limiters are up, since when, and which pairs cannot hear each other."""

    def __init__(self, limiters: int) -> None:
        self.limiters = limiters
        self.up_since: dict[int, float] = {}
        self.cut: CutPredicate = no_cut

    def reachable(self, observer: int, number: int) -> bool:
        """Whether it is up and no cut lies between."""
        return number in self.up_since and not self.cut(observer, number)

    def right(self, observer: int, number: int, record: Record | None) -> bool:
        """Whether the observer's record of a member is so; none is never right."""
        if record is None:
            return False
        if not self.reachable(observer, number):
            return record.state in (MemberState.DEAD, MemberState.LEFT)
        began = record.incarnation / INCARNATIONS_PER_S
        return (
            record.state in PRESENT_STATES
            and record.state != MemberState.SUSPECT
            and began >= self.up_since[number] - CLOCK_TOLERANCE_S
        )


class MembershipWatcher:
    """One member's view, for as long as the run lasts.

    `wrong`: members of which it holds what is not so.
    """

    def __init__(self, number: int, truth: GroundTruth, clock: Callable[[], float]) -> None:
        self.number, self._truth, self._clock = number, truth, clock
        self.wrong = set(range(truth.limiters))
        self.right_since: float | None = None
        self.falsely_dead = set[int]()

    def saw(self, record: Record) -> None:
        """A record has changed in its table."""
        if self._truth.right(self.number, record.number, record):
            self.wrong.discard(record.number)
        else:
            self.wrong.add(record.number)
            if record.state == MemberState.DEAD and self._truth.reachable(
                self.number, record.number
            ):
                if (
                    record.incarnation / INCARNATIONS_PER_S
                    >= self._truth.up_since[record.number] - CLOCK_TOLERANCE_S
                ):
                    self.falsely_dead.add(record.number)
        self._note()

    def _note(self) -> None:
        if self.wrong:
            self.right_since = None
        elif self.right_since is None:
            self.right_since = self._clock()

    def look(self, records: Iterable[Record]) -> None:
        """The truth has changed.

        All of its table is looked at again, and what came before counts no more.
        """
        known = {record.number: record for record in records}
        numbers = range(self._truth.limiters)
        self.wrong = {n for n in numbers if not self._truth.right(self.number, n, known.get(n))}
        self.right_since, self.falsely_dead = None, set()
        self._note()
