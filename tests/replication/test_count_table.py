"""The counters of charges: their merge, expiry and contradictions."""

from __future__ import annotations

import random

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from hazelhollow.replication.count_table import (
    RETENTION_PERIODS,
    CountRow,
    CountTable,
    CountValue,
    contradiction,
    merge,
)
from tests.replication.network import NOW, rows, rows_of, table_of, values


@given(values, values, values)
def test_merge_is_associative_commutative_and_idempotent(
    a: CountValue, b: CountValue, c: CountValue
) -> None:
    assert merge(a, merge(b, c)) == merge(merge(a, b), c)
    assert merge(a, b) == merge(b, a) and merge(a, a) == a


@given(values, values)
def test_merge_lowers_nothing_and_is_first_hand_only_if_the_member_reported_it(
    a: CountValue, b: CountValue
) -> None:
    one = merge(a, b)
    for value in (a, b):
        assert one.through >= value.through and (one.since, one.total) >= (value.since, value.total)
    assert one.through in (a.through, b.through) and (one.since, one.total) in (
        a[::2][:2],
        b[::2][:2],
    )
    assert one.first_hand == any(value.first_hand and value[:3] == one[:3] for value in (a, b))


@given(st.lists(rows, max_size=20), st.randoms(use_true_random=False))
def test_tables_that_got_the_same_rows_in_any_order_and_twice_are_equal(
    some: list[CountRow], chance: random.Random
) -> None:
    one, other = table_of(some), table_of(chance.sample([*some, *some], 2 * len(some)))
    assert (
        rows_of(one) == rows_of(other)
        and one.digests() == other.digests()
        and not one.differing_buckets(other.digests())
    )


def true_history(some: list[CountRow]) -> list[CountRow]:
    """The same rows, so that all of one count can be true.

    Of two the later `through` has the greater (since, total), and the same `through` has the same.
    """
    by_count: dict[tuple[str, int, str], list[CountValue]] = {}
    for row in some:
        by_count.setdefault((row.customer, row.member, row.incarnation), []).append(row.value)
    told: dict[tuple[str, int, str, int], tuple[int, int]] = {}
    for who, found in by_count.items():
        amounts = sorted((value.since, value.total) for value in found)
        for through, amount in zip(sorted(value.through for value in found), amounts, strict=True):
            told[(*who, through)] = amount
    changed = []
    for row in some:
        since, total = told[row.customer, row.member, row.incarnation, row.value.through]
        changed.append(row._replace(value=row.value._replace(since=since, total=total)))
    return changed


def counts_in(table: CountTable) -> dict[tuple[str, int, str], int]:
    """Which counts it holds, and until when they are kept."""
    return {
        (row.customer, row.member, row.incarnation): row.value.through for row in rows_of(table)
    }


def exchange_rows(one: CountTable, other: CountTable) -> None:
    """All that each holds, to the other."""
    for source, target in ((one, other), (other, one)):
        for row in rows_of(source):
            target.merge_in(row)


def hearsay(through: int, total: int, since: int = NOW - 9) -> CountRow:
    return CountRow("a", "pl", 0, 3, 1, "l1", CountValue(since, through, total, 0))


@given(st.lists(rows, max_size=20).map(true_history), st.integers(1, RETENTION_PERIODS + 8))
def test_expired_counters_are_dropped_by_all_at_once_and_not_taken_again(
    some: list[CountRow], later: int
) -> None:
    early, late = table_of(some), table_of(some, NOW + later)
    early.advance(NOW + later)
    assert rows_of(early) == rows_of(late) and early.digests() == late.digests()
    assert all(row.value.through > NOW + later - RETENTION_PERIODS for row in rows_of(early))
    for row in some:
        early.merge_in(row)
    assert early.digests() == late.digests()
    early.advance(NOW + 2 * RETENTION_PERIODS)
    assert not early.customers and early.digests() == CountTable().digests()


@given(st.lists(rows, max_size=20), st.integers(1, RETENTION_PERIODS + 8))
# the greater total is the first too old
@example([hearsay(NOW - 6, 1), hearsay(NOW - 5, 0)], RETENTION_PERIODS - 6)
# so is the later beginning
@example([hearsay(NOW - 6, 0, since=NOW - 8), hearsay(NOW - 5, 5)], RETENTION_PERIODS - 6)
@example([hearsay(NOW - 6, 3), hearsay(NOW - 5, 2), hearsay(NOW - 4, 1)], RETENTION_PERIODS - 5)
def test_counters_expire_at_all_at_once_also_where_hearsay_contradicts_itself(
    some: list[CountRow], later: int
) -> None:
    """One that begins late refuses what is too old.

    So that it may know less of a count than another; which counts are kept, and until when, is the
    same at both before they have told each other anything, and one exchange makes up for the rest.
    """
    early, late = table_of(some), table_of(some, NOW + later)
    early.advance(NOW + later)
    kept = counts_in(early)
    assert kept == counts_in(late)
    assert all(through > NOW + later - RETENTION_PERIODS for through in kept.values())
    before = rows_of(early)
    for row in some:
        early.merge_in(row)
    assert rows_of(early) == before  # nothing is taken again
    exchange_rows(late, early)
    assert rows_of(early) == rows_of(late) == before and early.digests() == late.digests()
    known = {(row.customer, row.member, row.incarnation): row.value for row in before}
    for row in some:
        if row.value.through > NOW + later - RETENTION_PERIODS:
            value = known[row.customer, row.member, row.incarnation]
            assert (value.since, value.total) >= (row.value.since, row.value.total)
    for table in (early, late):
        table.advance(NOW + 2 * RETENTION_PERIODS)
        assert not table.customers and table.digests() == CountTable().digests()


@pytest.mark.parametrize(
    ("one", "other", "why"),
    [
        (CountValue(1, 5, 10), CountValue(1, 5, 10), ""),
        (CountValue(1, 5, 10), CountValue(1, 6, 10), ""),
        (CountValue(1, 5, 10), CountValue(1, 5, 11), "two histories"),
        (CountValue(1, 5, 10), CountValue(1, 6, 9), "fell"),
        (CountValue(1, 5, 10), CountValue(4, 6, 2), ""),  # let go of, and counted anew
        (CountValue(1, 5, 10), CountValue(1, 6, 9, 0), ""),  # heard, and not all of it
    ],
)
def test_contradicting_copies_are_told_apart_from_those_that_can_both_be_true(
    one: CountValue, other: CountValue, why: str
) -> None:
    """Two processes with one number report two totals, which operators must hear of."""
    assert contradiction(one, other) == contradiction(other, one) == why


def test_contradictions_are_counted_and_settled_by_the_merge_rule() -> None:
    """Two totals of one period arrive in either order: the greater holds and it is counted once."""
    low, high = (
        CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 4, total))
        for total in (10, 12)
    )
    for order in ((low, high), (high, low)):
        table = table_of(list(order))
        assert rows_of(table) == {high} and table.contradictions == {"two histories": 1}
    ahead = table_of([CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW, NOW + 60, 5))])
    assert not ahead.customers and ahead.contradictions == {"from the future": 1}


def test_a_first_hand_copy_of_hearsay_is_no_news_and_counts_as_first_hand() -> None:
    heard = CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 4, 10, 0))
    table = table_of([heard])
    sums, sure = table.digests(), heard._replace(value=heard.value._replace(first_hand=1))
    assert not table.merge_in(sure) and rows_of(table) == {sure} and table.digests() == sums
    table.merge_in(sure._replace(value=sure.value._replace(total=12)))
    assert table.contradictions == {"two histories": 1}  # that was its own word


def test_later_hearsay_is_not_taken_for_first_hand() -> None:
    """Hearsay that went on after a lost datagram raised `through`; the member's own next value was
    then called a contradiction."""
    sure = CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 6, 10))
    table = table_of([sure, hearsay(NOW - 4, 8)])
    assert rows_of(table) == {
        hearsay(NOW - 4, 10)
    }  # no total through NOW - 4 was said by the member
    grown = sure._replace(value=CountValue(NOW - 9, NOW - 4, 12))
    assert table.merge_in(grown) and rows_of(table) == {grown} and not table.contradictions
