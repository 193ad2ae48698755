"""Which records ride along first."""

from __future__ import annotations

from hazelhollow.membership.dissemination import DisseminationQueue
from hazelhollow.membership.member_table import MemberTable
from hazelhollow.membership.records import (
    MemberState,
    Record,
)


def test_refutations_are_passed_on_before_other_news() -> None:
    """A member that is up counts as dead until its refutation arrives, so that goes first."""
    dissemination, table = DisseminationQueue(100), MemberTable()
    for record in (
        Record(1, 5, 1, MemberState.DEAD),
        Record(2, 5, 1, MemberState.ALIVE),
        Record(3, 5, 2, MemberState.ALIVE),
    ):
        table.put(record)
        dissemination.record_changed(record)
    assert [record.number for record in dissemination.next_records(table, 0)] == [3, 1, 2]
