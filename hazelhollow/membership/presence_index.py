"""Which members are present and which cannot receive from this one, updated with each record.

The decision engine is notified of both at each change; a scan of all members each time would be too
expensive in a large fleet.
"""

from __future__ import annotations

from bisect import bisect_left, insort

from hazelhollow.membership.records import PRESENT_STATES, Record


class PresenceIndex:
    """Two sorted lists of member ids. `limiter_id` is this member's own id."""

    def __init__(self, limiter_id: int) -> None:
        self._limiter_id = limiter_id
        self._present = list[int]()
        self._cannot_hear_us = list[int]()
        # Both lists as tuples, valid until one of them changes.
        self._cached: tuple[tuple[int, ...], tuple[int, ...]] | None = None

    def record_changed(self, record: Record) -> None:
        """Updates both lists after the member table has adopted a record."""
        present = record.state in PRESENT_STATES
        self._set_listed(self._present, record.number, present)
        cannot_hear_us = present and self._limiter_id in record.unreachable
        self._set_listed(self._cannot_hear_us, record.number, cannot_hear_us)

    def present(self) -> tuple[int, ...]:
        """Members that may answer, including this member, in ascending order."""
        return self._tuples()[0]

    def cannot_hear_us(self) -> tuple[int, ...]:
        """Members that report that they cannot receive from this member, in ascending order."""
        return self._tuples()[1]

    def _tuples(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        if self._cached is None:
            self._cached = tuple(self._present), tuple(self._cannot_hear_us)
        return self._cached

    def _set_listed(self, numbers: list[int], number: int, belongs: bool) -> None:
        """Inserts the number into the sorted list, or removes it."""
        position = bisect_left(numbers, number)
        is_in = position < len(numbers) and numbers[position] == number
        if belongs == is_in:
            return
        if belongs:
            insort(numbers, number)
        else:
            del numbers[position]
        self._cached = None
