"""Records, the merge rule, and the member table with its digests."""

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
from tests.membership.helpers import make_member, records, records_of_one_member


@given(records_of_one_member, records_of_one_member, records_of_one_member)
def test_merging_is_associative_commutative_and_idempotent(a: Record, b: Record, c: Record) -> None:
    """Otherwise order, duplication or loss of records would make members hold different ones."""
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, b) == merge(b, a) and merge(a, a) == a


@given(st.lists(records, max_size=30), st.randoms(use_true_random=False))
def test_tables_with_records_merged_in_any_order_have_equal_digests(
    reported: list[Record], rng: random.Random
) -> None:
    member, other, shuffled = MemberTable(), MemberTable(), reported + reported
    rng.shuffle(shuffled)
    for table, to_put in ((member, reported), (other, shuffled)):
        for record in to_put:
            table.put(record)
    assert sorted(member) == sorted(other)
    assert (member.digest(), member.bucket_digests()) == (other.digest(), other.bucket_digests())


@given(st.lists(records, min_size=1, max_size=30), records)
def test_newer_record_changes_only_the_digest_of_its_bucket(
    reported: list[Record], extra: Record
) -> None:
    member, other = MemberTable(), MemberTable()
    for record in reported:
        member.put(record)
        other.put(record)
    before = member.get(extra.number)
    other.put(extra)
    is_known = (before and before[:4]) == (other.get(extra.number) or extra)[:4]
    differ = [
        n
        for n, (a, b) in enumerate(
            zip(member.bucket_digests(), other.bucket_digests(), strict=True)
        )
        if a != b
    ]
    assert differ == ([] if is_known else [extra.number % BUCKETS])


def test_joined_bitmap_has_bits_for_joined_unsuspected_members() -> None:
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


def test_members_older_by_some_time_are_found_by_incarnation() -> None:
    member = make_member()
    for number, seconds in ((2, 3.9), (3, 4.1), (4, 400.0), (5, -5.0)):
        member.table.put(
            Record(
                number,
                member.own.incarnation - round(seconds * INCARNATIONS_PER_S),
                1,
                MemberState.ALIVE,
            )
        )
    member.table.put(Record(6, 0, 0, MemberState.DEAD))  # incarnation 0: no member has ever seen it
    assert member.members_older_by(4.0) == {3, 4}
