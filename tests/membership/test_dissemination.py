"""The order in which records are piggybacked."""

from __future__ import annotations

from hazelhollow.membership.dissemination import DisseminationQueue
from hazelhollow.membership.member_table import MemberTable
from hazelhollow.membership.records import (
    MemberState,
    Record,
)


def test_refutations_are_piggybacked_before_other_records() -> None:
    """Until its refutation arrives, a member that is up may be considered dead."""
    dissemination, table = DisseminationQueue(100), MemberTable()
    for record in (
        Record(1, 5, 1, MemberState.DEAD),
        Record(2, 5, 1, MemberState.ALIVE),
        Record(3, 5, 2, MemberState.ALIVE),
    ):
        table.put(record)
        dissemination.record_changed(record)
    assert [record.number for record in dissemination.next_records(table, 0)] == [3, 1, 2]
