"""Whether each member's membership agrees with the facts of the run.

`GroundTruth` is what the run knows: who is up since when, and which pairs are partitioned. A
`MembershipWatcher` compares one member's records with it, record by record as they change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hazelhollow.membership.incarnation import INCARNATIONS_PER_S
from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record
from hazelhollow.scale.topology import CutPredicate, no_cut

CLOCK_TOLERANCE_S = 0.02  # by which an incarnation's number may precede its start


class GroundTruth:
    """Which limiters are up, since when, and which pairs cannot hear each other.

    Attributes:
        limiters: Number of limiters in the settings.
        up_since: Unix seconds of the start of each limiter that is up.
        is_cut: The partition in force.
    """

    def __init__(self, limiters: int) -> None:
        self.limiters = limiters
        self.up_since: dict[int, float] = {}
        self.is_cut: CutPredicate = no_cut

    def reachable(self, observer: int, number: int) -> bool:
        """Whether a limiter is up and not partitioned from the observer."""
        return number in self.up_since and not self.is_cut(observer, number)

    def agrees(self, observer: int, number: int, record: Record | None) -> bool:
        """Whether the observer's record of a member matches the facts; no record never does."""
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
    """Compares one member's records with the facts, through all its incarnations.

    Args:
        number: The member.
        truth: The facts.
        clock: Unix seconds of the run.

    Attributes:
        wrong: Limiters whose records do not match the facts.
        right_since: Unix seconds since which all records match; None while one does not.
        falsely_dead: Limiters that it considered dead though they were up and reachable.
    """

    def __init__(self, number: int, truth: GroundTruth, clock: Callable[[], float]) -> None:
        self.number, self._truth, self._clock = number, truth, clock
        self.wrong = set(range(truth.limiters))
        self.right_since: float | None = None
        self.falsely_dead = set[int]()

    def record_changed(self, record: Record) -> None:
        """A record in the member's table has changed."""
        if self._truth.agrees(self.number, record.number, record):
            self.wrong.discard(record.number)
        else:
            self.wrong.add(record.number)
            if self._is_false_death(record):
                self.falsely_dead.add(record.number)
        self._update_right_since()

    def _is_false_death(self, record: Record) -> bool:
        """Whether the record calls the incarnation dead that is up and reachable."""
        if record.state != MemberState.DEAD:
            return False
        if not self._truth.reachable(self.number, record.number):
            return False
        earliest = self._truth.up_since[record.number] - CLOCK_TOLERANCE_S
        return record.incarnation / INCARNATIONS_PER_S >= earliest

    def _update_right_since(self) -> None:
        if self.wrong:
            self.right_since = None
        elif self.right_since is None:
            self.right_since = self._clock()

    def reset(self, records: Iterable[Record]) -> None:
        """The facts have changed: compares all records anew and forgets earlier observations."""
        known = {record.number: record for record in records}
        numbers = range(self._truth.limiters)
        self.wrong = {n for n in numbers if not self._truth.agrees(self.number, n, known.get(n))}
        self.right_since, self.falsely_dead = None, set()
        self._update_right_since()
