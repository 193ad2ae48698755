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
def test_merge_never_decreases_and_is_first_hand_only_if_reported(
    a: CountValue, b: CountValue
) -> None:
    merged = merge(a, b)
    for value in (a, b):
        assert merged.through >= value.through and (merged.since, merged.total) >= (
            value.since,
            value.total,
        )
    assert merged.through in (a.through, b.through) and (merged.since, merged.total) in (
        a[::2][:2],
        b[::2][:2],
    )
    assert merged.first_hand == any(
        value.first_hand and value[:3] == merged[:3] for value in (a, b)
    )


@given(st.lists(rows, max_size=20), st.randoms(use_true_random=False))
def test_same_rows_in_any_order_and_twice_give_equal_tables(
    rows_to_merge: list[CountRow], rng: random.Random
) -> None:
    first_table, second_table = (
        table_of(rows_to_merge),
        table_of(rng.sample([*rows_to_merge, *rows_to_merge], 2 * len(rows_to_merge))),
    )
    assert (
        rows_of(first_table) == rows_of(second_table)
        and first_table.digests() == second_table.digests()
        and not first_table.differing_buckets(second_table.digests())
    )


def true_history(rows_to_merge: list[CountRow]) -> list[CountRow]:
    """Returns the rows with values changed so that no two of one counter contradict each other.

    Of two values the one with the later `through` has the greater (since, total), and values with
    the same `through` have the same.
    """
    by_count: dict[tuple[str, int, str], list[CountValue]] = {}
    for row in rows_to_merge:
        by_count.setdefault((row.customer, row.member, row.incarnation), []).append(row.value)
    values_by_through: dict[tuple[str, int, str, int], tuple[int, int]] = {}
    for who, found in by_count.items():
        amounts = sorted((value.since, value.total) for value in found)
        for through, amount in zip(sorted(value.through for value in found), amounts, strict=True):
            values_by_through[(*who, through)] = amount
    consistent_rows = []
    for row in rows_to_merge:
        since, total = values_by_through[
            row.customer, row.member, row.incarnation, row.value.through
        ]
        consistent_rows.append(row._replace(value=row.value._replace(since=since, total=total)))
    return consistent_rows


def counts_in(table: CountTable) -> dict[tuple[str, int, str], int]:
    """Returns `through` of each counter in the table, which determines when it expires."""
    return {
        (row.customer, row.member, row.incarnation): row.value.through for row in rows_of(table)
    }


def exchange_rows(first_table: CountTable, second_table: CountTable) -> None:
    """Merges all rows of each table into the other."""
    for source, target in ((first_table, second_table), (second_table, first_table)):
        for row in rows_of(source):
            target.merge_in(row)


def second_hand(through: int, total: int, since: int = NOW - 9) -> CountRow:
    return CountRow("a", "pl", 0, 3, 1, "l1", CountValue(since, through, total, 0))


@given(st.lists(rows, max_size=20).map(true_history), st.integers(1, RETENTION_PERIODS + 8))
def test_all_members_drop_expired_counters_at_once_and_refuse_copies(
    rows_to_merge: list[CountRow], periods_later: int
) -> None:
    early, late = table_of(rows_to_merge), table_of(rows_to_merge, NOW + periods_later)
    early.advance(NOW + periods_later)
    assert rows_of(early) == rows_of(late) and early.digests() == late.digests()
    assert all(
        row.value.through > NOW + periods_later - RETENTION_PERIODS for row in rows_of(early)
    )
    for row in rows_to_merge:
        early.merge_in(row)
    assert early.digests() == late.digests()
    early.advance(NOW + 2 * RETENTION_PERIODS)
    assert not early.customers and early.digests() == CountTable().digests()


@given(st.lists(rows, max_size=20), st.integers(1, RETENTION_PERIODS + 8))
# The counter with the greater total is the first to be too old.
@example([second_hand(NOW - 6, 1), second_hand(NOW - 5, 0)], RETENTION_PERIODS - 6)
# The counter with the later `since` is the first to be too old.
@example([second_hand(NOW - 6, 0, since=NOW - 8), second_hand(NOW - 5, 5)], RETENTION_PERIODS - 6)
@example(
    [second_hand(NOW - 6, 3), second_hand(NOW - 5, 2), second_hand(NOW - 4, 1)],
    RETENTION_PERIODS - 5,
)
def test_contradicting_second_hand_counters_expire_everywhere_at_once(
    rows_to_merge: list[CountRow], periods_later: int
) -> None:
    """A member that starts late refuses rows that are too old.

    So its value of a counter may be smaller than another member's. Both keep the same counters,
    with the same expiry, before they have exchanged anything, and one exchange makes them equal.
    """
    early, late = table_of(rows_to_merge), table_of(rows_to_merge, NOW + periods_later)
    early.advance(NOW + periods_later)
    kept = counts_in(early)
    assert kept == counts_in(late)
    assert all(through > NOW + periods_later - RETENTION_PERIODS for through in kept.values())
    before = rows_of(early)
    for row in rows_to_merge:
        early.merge_in(row)
    assert rows_of(early) == before  # No expired row is accepted again.
    exchange_rows(late, early)
    assert rows_of(early) == rows_of(late) == before and early.digests() == late.digests()
    kept_values = {(row.customer, row.member, row.incarnation): row.value for row in before}
    for row in rows_to_merge:
        if row.value.through > NOW + periods_later - RETENTION_PERIODS:
            value = kept_values[row.customer, row.member, row.incarnation]
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
        (CountValue(1, 5, 10), CountValue(4, 6, 2), ""),  # dropped, and counted from the start
        (CountValue(1, 5, 10), CountValue(1, 6, 9, 0), ""),  # second-hand, and incomplete
    ],
)
def test_contradiction_gives_its_reason_or_nothing_if_both_can_be_true(
    one: CountValue, other: CountValue, why: str
) -> None:
    """Two processes with the same member number report two totals; operators must be notified."""
    assert contradiction(one, other) == contradiction(other, one) == why


def test_contradictions_are_counted_and_settled_by_the_merge_rule() -> None:
    """Two totals of one period arrive in either order. The greater one holds, and the contradiction
    is counted once."""
    low, high = (
        CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 4, total))
        for total in (10, 12)
    )
    for order in ((low, high), (high, low)):
        table = table_of(list(order))
        assert rows_of(table) == {high} and table.contradictions == {"two histories": 1}
    ahead = table_of([CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW, NOW + 60, 5))])
    assert not ahead.customers and ahead.contradictions == {"from the future": 1}


def test_first_hand_copy_of_a_second_hand_value_is_stored_but_no_change() -> None:
    second_hand_row = CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 4, 10, 0))
    table = table_of([second_hand_row])
    digests_before, first_hand_row = (
        table.digests(),
        second_hand_row._replace(value=second_hand_row.value._replace(first_hand=1)),
    )
    assert (
        not table.merge_in(first_hand_row)
        and rows_of(table) == {first_hand_row}
        and table.digests() == digests_before
    )
    table.merge_in(first_hand_row._replace(value=first_hand_row.value._replace(total=12)))
    assert table.contradictions == {"two histories": 1}  # It contradicts the first-hand value.


def test_later_second_hand_value_is_not_treated_as_first_hand() -> None:
    """After a lost datagram, later gossip raised `through` of a value that stayed marked as
    first-hand. The member's own next value was then counted as a contradiction."""
    first_hand_row = CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 6, 10))
    table = table_of([first_hand_row, second_hand(NOW - 4, 8)])
    assert rows_of(table) == {
        second_hand(NOW - 4, 10)
    }  # The member itself reported no total through NOW - 4.
    grown = first_hand_row._replace(value=CountValue(NOW - 9, NOW - 4, 12))
    assert table.merge_in(grown) and rows_of(table) == {grown} and not table.contradictions
