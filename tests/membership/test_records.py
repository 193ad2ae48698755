"""Records, the merge rule, and the table with its digests."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.membership.incarnation import INCARNATIONS_PER_S
from hazelhollow.membership.member_table import BUCKETS, MemberTable
from hazelhollow.membership.records import (
    MemberState,
    Record,
    merge,
)
from tests.membership.helpers import alone, of_one, records


@given(of_one, of_one, of_one)
def test_merging_is_associative_commutative_and_idempotent(a: Record, b: Record, c: Record) -> None:
    """Order, duplication and loss of records cannot change what members come to hold."""
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, b) == merge(b, a) and merge(a, a) == a


@given(st.lists(records, max_size=30), st.randoms(use_true_random=False))
def test_tables_that_received_the_same_records_in_any_order_have_the_same_digests(
    reported: list[Record], chance: random.Random
) -> None:
    member, other, mixed = MemberTable(), MemberTable(), reported + reported
    chance.shuffle(mixed)
    for table, lines in ((member, reported), (other, mixed)):
        for record in lines:
            table.put(record)
    assert sorted(member) == sorted(other)
    assert (member.digest(), member.bucket_digests()) == (other.digest(), other.bucket_digests())


@given(st.lists(records, min_size=1, max_size=30), records)
def test_a_table_that_knows_more_differs_in_the_digest_of_that_bucket_alone(
    reported: list[Record], more: Record
) -> None:
    member, other = MemberTable(), MemberTable()
    for record in reported:
        member.put(record)
        other.put(record)
    before = member.get(more.number)
    other.put(more)
    known = (before and before[:4]) == (other.get(more.number) or more)[:4]
    differ = [
        n
        for n, (a, b) in enumerate(
            zip(member.bucket_digests(), other.bucket_digests(), strict=True)
        )
        if a != b
    ]
    assert differ == ([] if known else [more.number % BUCKETS])


def test_a_bitmap_shows_who_has_joined_and_is_not_suspected() -> None:
    table = MemberTable()
    for number, state in enumerate(
        (
            MemberState.JOINING,
            MemberState.ALIVE,
            MemberState.SUSPECT,
            MemberState.DEAD,
            MemberState.LEFT,
            MemberState.ALIVE,
        )
    ):
        table.put(Record(number, 5, 1, state))
    assert (
        table.joined_bitmap(0, 10) == 0b100010
        and table.joined_bitmap(5, 10) == 1
        and table.joined_bitmap(2, 3) == 0
    )


def test_members_that_started_so_long_before_are_found_by_their_incarnation() -> None:
    member = alone()
    for number, seconds in ((2, 3.9), (3, 4.1), (4, 400.0), (5, -5.0)):
        member.table.put(
            Record(
                number,
                member.own.incarnation - round(seconds * INCARNATIONS_PER_S),
                1,
                MemberState.ALIVE,
            )
        )
    member.table.put(Record(6, 0, 0, MemberState.DEAD))  # nobody has ever seen it
    assert member.members_older_by(4.0) == {3, 4}
