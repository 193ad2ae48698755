"""Who is present and who cannot hear this member, kept up record by record. No I/O, no clock."""

from __future__ import annotations

from bisect import bisect_left, insort

from hazelhollow.membership.records import PRESENT_STATES, Record


class PresenceIndex:
    """What the decision module is told of the members, without a pass over all of them at each
    change.
    """

    def __init__(self, me: int) -> None:
        self._me = me
        self._present = list[int]()  # in order
        self._deaf = list[int]()  # in order
        # until one of the lists changes
        self._told: tuple[tuple[int, ...], tuple[int, ...]] | None = None

    def note(self, record: Record) -> None:
        """That record is new."""
        present = record.state in PRESENT_STATES
        self._place(self._present, record.number, present)
        self._place(self._deaf, record.number, present and self._me in record.unreachable)

    def present(self) -> tuple[int, ...]:
        """Members that may answer, this one among them."""
        return self._tuples()[0]

    def cannot_hear_us(self) -> tuple[int, ...]:
        """Members that say that they cannot hear this one."""
        return self._tuples()[1]

    def _tuples(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        if self._told is None:
            self._told = tuple(self._present), tuple(self._deaf)
        return self._told

    def _place(self, numbers: list[int], number: int, belongs: bool) -> None:
        at = bisect_left(numbers, number)
        stands = at < len(numbers) and numbers[at] == number
        if belongs == stands:
            return
        if belongs:
            insort(numbers, number)
        else:
            del numbers[at]
        self._told = None
