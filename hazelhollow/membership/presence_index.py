"""Who is present and who cannot hear this member, kept up record by record.

The decision engine is notified of both at each change; a pass over all members each time would cost
too much in a large fleet.
"""

from __future__ import annotations

from bisect import bisect_left, insort

from hazelhollow.membership.records import PRESENT_STATES, Record


class PresenceIndex:
    """Two sorted lists of member ids. `limiter_id`: of this member."""

    def __init__(self, limiter_id: int) -> None:
        self._limiter_id = limiter_id
        self._present = list[int]()
        self._cannot_hear_us = list[int]()
        # Both lists as tuples, until one of them changes.
        self._cached: tuple[tuple[int, ...], tuple[int, ...]] | None = None

    def record_changed(self, record: Record) -> None:
        """The member table holds this record from now on."""
        present = record.state in PRESENT_STATES
        self._place(self._present, record.number, present)
        cannot_hear_us = present and self._limiter_id in record.unreachable
        self._place(self._cannot_hear_us, record.number, cannot_hear_us)

    def present(self) -> tuple[int, ...]:
        """Members that may answer, this member among them, in order."""
        return self._tuples()[0]

    def cannot_hear_us(self) -> tuple[int, ...]:
        """Members that say that they cannot hear this member, in order."""
        return self._tuples()[1]

    def _tuples(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        if self._cached is None:
            self._cached = tuple(self._present), tuple(self._cannot_hear_us)
        return self._cached

    def _place(self, numbers: list[int], number: int, belongs: bool) -> None:
        """Puts the number into the list, or takes it out."""
        at = bisect_left(numbers, number)
        is_in = at < len(numbers) and numbers[at] == number
        if belongs == is_in:
            return
        if belongs:
            insort(numbers, number)
        else:
            del numbers[at]
        self._cached = None
