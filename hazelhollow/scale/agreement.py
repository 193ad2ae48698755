"""Whether each member's membership table agrees with the ground truth of the run.

`GroundTruth` is the actual state of the fleet: which limiters are up since when, and which pairs
are partitioned. A `MembershipWatcher` compares one member's records with it as they change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hazelhollow.membership.incarnation import INCARNATIONS_PER_S
from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record
from hazelhollow.scale.topology import CutPredicate, no_cut

# By how much the time in an incarnation's number may precede the recorded start of the limiter.
CLOCK_TOLERANCE_S = 0.02


class GroundTruth:
    """Which limiters are up, since when, and which pairs are partitioned from each other.

    Attributes:
        limiters: Number of limiters in the settings.
        up_since: Start of each limiter that is up, in Unix seconds.
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
        """Whether the observer's record of a member matches the ground truth; None never does."""
        if record is None:
            return False
        if not self.reachable(observer, number):
            return record.state in (MemberState.DEAD, MemberState.LEFT)
        incarnation_start = record.incarnation / INCARNATIONS_PER_S
        return (
            record.state in PRESENT_STATES
            and record.state != MemberState.SUSPECT
            and incarnation_start >= self.up_since[number] - CLOCK_TOLERANCE_S
        )


class MembershipWatcher:
    """Compares one member's records with the ground truth, through all its incarnations.

    Args:
        number: The member's number.
        truth: The ground truth.
        clock: Returns the Unix time of the run in seconds.

    Attributes:
        mismatched: Limiters whose records do not match the ground truth.
        agreed_since: Unix seconds since which all records match; None while one does not.
        falsely_dead: Limiters that the member considered dead though they were up and reachable.
    """

    def __init__(self, number: int, truth: GroundTruth, clock: Callable[[], float]) -> None:
        self.number, self._truth, self._clock = number, truth, clock
        self.mismatched = set(range(truth.limiters))
        self.agreed_since: float | None = None
        self.falsely_dead = set[int]()

    def record_changed(self, record: Record) -> None:
        """Compares a record that has changed in the member's table."""
        if self._truth.agrees(self.number, record.number, record):
            self.mismatched.discard(record.number)
        else:
            self.mismatched.add(record.number)
            if self._is_false_death(record):
                self.falsely_dead.add(record.number)
        self._update_agreed_since()

    def _is_false_death(self, record: Record) -> bool:
        """Whether the record declares an incarnation dead that is up and reachable."""
        if record.state != MemberState.DEAD:
            return False
        if not self._truth.reachable(self.number, record.number):
            return False
        earliest = self._truth.up_since[record.number] - CLOCK_TOLERANCE_S
        return record.incarnation / INCARNATIONS_PER_S >= earliest

    def _update_agreed_since(self) -> None:
        if self.mismatched:
            self.agreed_since = None
        elif self.agreed_since is None:
            self.agreed_since = self._clock()

    def reset(self, records: Iterable[Record]) -> None:
        """Compares all records after the ground truth has changed; drops earlier observations."""
        record_by_number = {record.number: record for record in records}
        numbers = range(self._truth.limiters)
        self.mismatched = {
            n for n in numbers if not self._truth.agrees(self.number, n, record_by_number.get(n))
        }
        self.agreed_since, self.falsely_dead = None, set()
        self._update_agreed_since()
