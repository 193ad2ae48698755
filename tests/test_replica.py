"""Counts that only grow, their merge and exchange, catch-up, hosts put out by hand, and snapshots.

The modules alone.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.replication import codec, replica, snapshot
from hazelhollow.replication.codec import AccountCopy, Override, RecentCount
from hazelhollow.replication.count_table import (
    KEPT_FOR,
    CountRow,
    CountTable,
    CountValue,
    contradiction,
    merge,
)
from hazelhollow.replication.overrides import OverrideTable

NOW = 1_700_000_000
values = st.builds(
    CountValue,
    st.integers(NOW - 9, NOW - 7),
    st.integers(NOW - 6, NOW),
    st.integers(0, 40),
    st.integers(0, 1),
)
rows = st.builds(
    CountRow,
    st.sampled_from("ab"),
    st.just("pl"),
    st.just(0),
    st.just(3),
    st.integers(0, 2),
    st.sampled_from(["l1", "l2"]),
    values,
)


def book_of(some: list[CountRow], period: int = NOW) -> CountTable:
    book = CountTable()
    book.turn(period)
    for row in some:
        book.put(row)
    return book


def held(book: CountTable) -> set[CountRow]:
    return {row for key in book.customers for row in book.rows(key)}


@given(values, values, values)
def test_the_merge_of_counts_is_associative_commutative_and_idempotent(
    a: CountValue, b: CountValue, c: CountValue
) -> None:
    assert merge(a, merge(b, c)) == merge(merge(a, b), c)
    assert merge(a, b) == merge(b, a) and merge(a, a) == a


@given(values, values)
def test_a_merge_lowers_nothing_and_is_sure_only_of_what_the_member_said(
    a: CountValue, b: CountValue
) -> None:
    one = merge(a, b)
    for value in (a, b):
        assert one.through >= value.through and (one.since, one.total) >= (value.since, value.total)
    assert one.through in (a.through, b.through) and (one.since, one.total) in (
        a[::2][:2],
        b[::2][:2],
    )
    assert one.sure == any(value.sure and value[:3] == one[:3] for value in (a, b))


hands = st.builds(
    Override,
    st.just("h"),
    st.integers(0, 3),
    st.integers(0, 1),
    st.integers(0, 3),
    st.integers(0, 3),
)


@given(st.lists(hands, min_size=1, max_size=6), st.randoms(use_true_random=False))
def test_calls_of_operators_end_the_same_in_any_order_and_however_often(
    calls: list[Override], chance: random.Random
) -> None:
    one, other = OverrideTable(), OverrideTable()
    for call in calls:
        one.put(call)
    for call in chance.sample([*calls, *calls], 2 * len(calls)):
        other.put(call)
    assert one.calls == other.calls and one.digest() == other.digest()


@given(st.lists(rows, max_size=20), st.randoms(use_true_random=False))
def test_books_that_got_the_same_rows_in_any_order_and_doubled_are_the_same(
    some: list[CountRow], chance: random.Random
) -> None:
    one, other = book_of(some), book_of(chance.sample([*some, *some], 2 * len(some)))
    assert held(one) == held(other) and one.sums() == other.sums() and not one.differ(other.sums())


def true_history(some: list[CountRow]) -> list[CountRow]:
    """The same rows, so that all of one count can be true.

    Of two the later `through` has the greater (since, total), and the same `through` has the same.
    """
    by_count: dict[tuple[str, int, str], list[CountValue]] = {}
    for row in some:
        by_count.setdefault((row.key, row.member, row.incarnation), []).append(row.value)
    told: dict[tuple[str, int, str, int], tuple[int, int]] = {}
    for who, found in by_count.items():
        amounts = sorted((value.since, value.total) for value in found)
        for through, amount in zip(sorted(value.through for value in found), amounts, strict=True):
            told[(*who, through)] = amount
    changed = []
    for row in some:
        since, total = told[row.key, row.member, row.incarnation, row.value.through]
        changed.append(row._replace(value=row.value._replace(since=since, total=total)))
    return changed


def counts_in(book: CountTable) -> dict[tuple[str, int, str], int]:
    """Which counts it holds, and until when they are kept."""
    return {(row.key, row.member, row.incarnation): row.value.through for row in held(book)}


def exchange_rows(one: CountTable, other: CountTable) -> None:
    """All that each holds, to the other."""
    for source, target in ((one, other), (other, one)):
        for row in held(source):
            target.put(row)


@given(st.lists(rows, max_size=20).map(true_history), st.integers(1, KEPT_FOR + 8))
def test_what_is_folded_in_is_let_go_by_all_at_once_and_is_not_taken_again(
    some: list[CountRow], later: int
) -> None:
    early, late = book_of(some), book_of(some, NOW + later)
    early.turn(NOW + later)
    assert held(early) == held(late) and early.sums() == late.sums()
    assert all(row.value.through > NOW + later - KEPT_FOR for row in held(early))
    for row in some:
        early.put(row)
    assert early.sums() == late.sums()
    early.turn(NOW + 2 * KEPT_FOR)
    assert not early.customers and early.sums() == CountTable().sums()


def heard(through: int, total: int, since: int = NOW - 9) -> CountRow:
    return CountRow("a", "pl", 0, 3, 1, "l1", CountValue(since, through, total, 0))


@given(st.lists(rows, max_size=20), st.integers(1, KEPT_FOR + 8))
# the greater total is the first too old
@example([heard(NOW - 6, 1), heard(NOW - 5, 0)], KEPT_FOR - 6)
# so is the later beginning
@example([heard(NOW - 6, 0, since=NOW - 8), heard(NOW - 5, 5)], KEPT_FOR - 6)
@example([heard(NOW - 6, 3), heard(NOW - 5, 2), heard(NOW - 4, 1)], KEPT_FOR - 5)
def test_what_is_folded_in_is_let_go_by_all_at_once_also_where_hearsay_contradicts_itself(
    some: list[CountRow], later: int
) -> None:
    """One that begins late refuses what is too old.

    So that it may know less of a count than another; which counts are kept, and until when, is the
    same at both before they have told each other anything, and one exchange makes up for the rest.
    """
    early, late = book_of(some), book_of(some, NOW + later)
    early.turn(NOW + later)
    kept = counts_in(early)
    assert kept == counts_in(late)
    assert all(through > NOW + later - KEPT_FOR for through in kept.values())
    before = held(early)
    for row in some:
        early.put(row)
    assert held(early) == before  # nothing is taken again
    exchange_rows(late, early)
    assert held(early) == held(late) == before and early.sums() == late.sums()
    known = {(row.key, row.member, row.incarnation): row.value for row in before}
    for row in some:
        if row.value.through > NOW + later - KEPT_FOR:
            value = known[row.key, row.member, row.incarnation]
            assert (value.since, value.total) >= (row.value.since, row.value.total)
    for book in (early, late):
        book.turn(NOW + 2 * KEPT_FOR)
        assert not book.customers and book.sums() == CountTable().sums()


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
def test_copies_that_cannot_both_be_true_are_told_apart_from_those_that_can(
    one: CountValue, other: CountValue, why: str
) -> None:
    assert contradiction(one, other) == contradiction(other, one) == why


def test_contradictions_are_counted_and_settled_by_the_rule_not_by_who_spoke_last() -> None:
    low, high = (
        CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 4, total))
        for total in (10, 12)
    )
    for order in ((low, high), (high, low)):
        book = book_of(list(order))
        assert held(book) == {high} and book.troubles == {"two histories": 1}
    ahead = book_of([CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW, NOW + 60, 5))])
    assert not ahead.customers and ahead.troubles == {"from the future": 1}


def test_a_member_that_confirms_what_was_heard_of_it_is_no_news_and_is_sure_from_then_on() -> None:
    heard = CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 4, 10, 0))
    book = book_of([heard])
    sums, sure = book.sums(), heard._replace(value=heard.value._replace(sure=1))
    assert not book.put(sure) and held(book) == {sure} and book.sums() == sums
    book.put(sure._replace(value=sure.value._replace(total=12)))
    assert book.troubles == {"two histories": 1}  # that was its own word


def test_what_others_heard_later_is_not_taken_for_the_members_own_word() -> None:
    sure = CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 6, 10))
    book = book_of([sure, heard(NOW - 4, 8)])
    assert held(book) == {heard(NOW - 4, 10)}  # no total through NOW - 4 was said by the member
    grown = sure._replace(value=CountValue(NOW - 9, NOW - 4, 12))
    assert book.put(grown) and held(book) == {grown} and not book.troubles


# Words

slices = st.builds(
    AccountCopy,
    st.sampled_from(["a1", "zz9"]),
    st.just("pl"),
    st.integers(0, 4),
    st.integers(1, 5),
    st.integers(0, 9999),
    st.lists(
        st.builds(
            RecentCount,
            st.integers(0, 4),
            st.just("l1"),
            values.map(lambda value: value._replace(sure=1)),
            st.integers(0, 99),
            st.integers(0, 99),
        ),
        max_size=3,
    ).map(tuple),
)


@given(slices, st.lists(rows, min_size=1, max_size=3), hands)
def test_what_is_written_is_read_again(
    one: AccountCopy, some: list[CountRow], call: Override
) -> None:
    line = (
        codec.head(codec.GIVE, "l1", NOW, (1, 2, 3))
        + codec.slice_word(one, NOW, 200)
        + f" {codec.NOBODY}"
    )
    message = codec.read(line, 5)
    assert message is not None and message.slices == (one, None) and message.parts == (1, 2, 3)
    alike = [row._replace(key="a") for row in some]
    message = codec.read(codec.head(codec.ROWS, "l1", NOW) + codec.row_words(alike, NOW), 5)
    assert message is not None and list(message.rows) == alike
    message = codec.read(codec.head(codec.HANDS, "l1", NOW) + codec.hand_word(call), 5)
    assert message is not None and message.hands == (call,)


@given(st.text(max_size=60))
def test_what_is_no_message_is_none(text: str) -> None:
    assert codec.read("c1" + text, 5) is None or text[0] in "rgnhqs"


@pytest.mark.parametrize(
    "text",
    [
        "c1r l1/1",
        "c2r l1/1 ",
        "c1x l1/1 ",
        "c1r l1/1  a:pl:0:0:1.l1.1.1.1",
        "c1r l1/1  a:pl:9:1:1.l1.1.1.1",
        "c1r l1/1  a:pl:0:1:9.l1.1.1.1",
        "c1r l1/1  a:pl:0:1:1.l1.1.1",
        "c1r l1/1  a:pl:0:1:1.l1.-1.1.1",
        "c1q l1/1 1-2",
        "c1q l1/1 1-2-3 a",
        "c1h l1/1  h:1:2:1:1",
        "c1h l1/1  :1:1:1:1",
        "c1r " + "l" * 9 + "/1 ",
        "c1r l1/1 " + " " * 300,
        "c1g l1/1 1-2-3 a:pl:0:1:1:1.l1.1.1.1.1",
        "c1r L1/1 ",
    ],
)
def test_a_message_that_any_part_of_is_not_so_is_none(text: str) -> None:
    assert codec.read(text, 5) is None


def test_a_message_longer_than_a_datagram_may_be_is_none() -> None:
    many = [
        CountRow("a", "pl", 0, 3, 1, f"l{n}", CountValue(NOW - 9, NOW - 4, 1000)) for n in range(20)
    ]
    text = codec.head(codec.ROWS, "l1", NOW) + codec.row_words(many, NOW)
    assert len(text) > codec.MOST_BYTES and codec.read(text, 5) is None


# Exchange


class Known:
    """A decision module that knows so many customers."""

    def __init__(self, customers: int = 0) -> None:
        self.keys = [base36(n + 36**3) for n in range(customers)]

    def learn(self, pieces: list[AccountCopy]) -> None:
        self.keys += [one.key for one in pieces if one.key not in self.keys]

    def short(self) -> list[str]:
        return list(self.keys)

    def slice(self, key: str) -> AccountCopy | None:
        return (
            AccountCopy(
                key,
                "pl",
                0,
                3,
                7,
                (RecentCount(0, "l0", CountValue(NOW - 50, NOW - 2, 100), 10, 10),),
            )
            if key in self.keys
            else None
        )


class Net:
    """Exchanges that hear each other, with a clock.

    What is lost, doubled or late is drawn from a seed.
    """

    def __init__(
        self,
        sources: list[Known],
        seed: int = 1,
        lose: float = 0.0,
        double: float = 0.0,
        whole: tuple[int, ...] = (0, 1),
    ) -> None:
        self.random, self.now, self.lose, self.double = (
            random.Random(seed),
            float(NOW),
            lose,
            double,
        )
        self.all = [
            replica.Replica(n, len(sources), f"l{n}", seed + n, source)
            for n, source in enumerate(sources)
        ]
        for number in whole:
            self.all[number].whole, self.all[number].told_by = True, number
        self.up = set(range(len(sources)))
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.deaf = self.cut
        self.older: dict[
            int, set[int]
        ] = {}  # by member: those that it knows to be older; none: it knows nothing
        self.got: list[list[AccountCopy]] = [[] for _ in sources]
        self.bytes = self.most = 0

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        began = self.now
        while self.now < began + seconds and not until():
            self.now += replica.BEAT
            for one in self.all:
                if one.me in self.up:
                    present = sorted(n for n in self.up if n != one.me and not self.cut(one.me, n))
                    self.carry(one.me, one.beat(self.now, present, self.older.get(one.me)))
        return self.now - began

    def carry(self, source: int, sends: list[replica.Datagram]) -> None:
        """Datagrams and what they bring about, in an order drawn by chance."""
        waiting = [(source, send) for send in sends]
        while waiting:
            a, send = waiting.pop(self.random.randrange(len(waiting)))
            self.most = max(self.most, len(send.text))
            self.bytes += len(send.text)
            if (
                send.number not in self.up
                or self.cut(a, send.number)
                or self.deaf(a, send.number)
                or self.random.random() < self.lose
            ):
                continue
            if self.random.random() < self.double:
                waiting.append((a, send))
            one = self.all[send.number]
            waiting += [(one.me, answer) for answer in one.heard(a, send.text, self.now)]
            pieces, one.slices = [piece for piece, _ in one.slices], []
            self.got[one.me] += pieces
            if isinstance(one.source, Known):
                one.source.learn(pieces)

    def same(self) -> bool:
        return len({tuple(one.book.sums()) for one in self.all if one.me in self.up}) == 1


def charge(net: Net, number: int, key: str, total: int, through: int = NOW - 2) -> CountRow:
    row = CountRow(key, "pl", 0, 3, number, f"l{number}", CountValue(NOW - 30, through, total))
    net.all[number].book.turn(NOW)
    net.all[number].charged(row)
    return row


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 1000), st.sampled_from([0.0, 0.1, 0.3]))
def test_books_that_differ_are_brought_together_through_loss_and_doubling(
    seed: int, lose: float
) -> None:
    net = Net([Known() for _ in range(4)], seed, lose, double=0.2, whole=(0, 1, 2, 3))
    told = {charge(net, n, base36(36**2 + k), 10 * k + n) for n in range(4) for k in range(12)}
    net.run(30.0, net.same)
    assert [held(one.book) for one in net.all] == [told] * 4 and net.most <= codec.MOST_BYTES


def test_charges_made_during_a_partition_are_told_by_any_member_that_knows_them() -> None:
    net = Net([Known() for _ in range(3)], whole=(0, 1, 2))
    net.cut = lambda a, b: {a, b} == {0, 2}  # these two never hear each other
    row = charge(net, 0, "a", 40)
    net.run(20.0, net.same)
    assert held(net.all[2].book) == {row}


def test_a_member_that_is_back_is_told_at_once_and_not_when_chance_comes_to_it() -> None:
    net = Net([Known() for _ in range(12)], whole=tuple(range(12)))
    net.up.discard(11)
    row = charge(net, 0, "a", 40)
    net.run(10.0)
    net.up.add(11)
    net.all[0].returned(11)
    net.run(replica.BEAT)
    assert held(net.all[11].book) == {row}


def test_nothing_is_sent_for_what_is_alike_but_digests() -> None:
    net = Net([Known() for _ in range(3)], whole=(0, 1, 2))
    charge(net, 0, "a", 40)
    net.run(10.0, net.same)
    net.run(2.0)
    before = net.bytes
    net.run(10.0)
    assert (
        net.bytes - before < 3 * 10 * (1 / (replica.BEAT * replica.SYNC_EVERY)) * codec.MOST_BYTES
    )


@settings(max_examples=12, deadline=None)
@given(st.integers(0, 1000), st.sampled_from([0.0, 0.1, 0.3]), st.integers(0, 400))
def test_one_that_begins_is_told_of_every_customer_once_through_loss_and_doubling(
    seed: int, lose: float, customers: int
) -> None:
    net = Net([Known(customers), Known(customers), Known()], seed, lose, double=0.2)
    new = net.all[2]
    net.run(120.0, lambda: new.whole)
    assert new.whole and (new.told_by is not None)
    assert sorted(one.key for one in net.got[2]) == sorted(net.all[0].source.short())


def test_a_giver_that_dies_half_way_is_followed_by_another() -> None:
    net = Net([Known(3000), Known(3000), Known()])
    new = net.all[2]
    net.run(30.0, lambda: len(net.got[2]) > 200)
    assert new._fetch is not None and not new.whole
    net.up.discard(new._fetch.giver)
    net.run(60.0, lambda: new.whole)
    assert new.whole and {one.key for one in net.got[2]} == set(net.all[0].source.short())


def test_a_giver_that_says_nothing_is_given_up_for_another() -> None:
    net = Net([Known(30), Known(30), Known()])
    silent = 1
    net.deaf = lambda a, b: a == silent and b == 2  # it hears and is not heard, though it is there
    net.all[2].random = random.Random(
        next(s for s in range(99) if random.Random(s).choice([0, 1]) == silent)
    )
    net.run(20.0, lambda: net.all[2].whole)
    assert net.all[2].told_by == 0 and net.all[2].counts["givers lost"] == 1


def test_ten_that_begin_at_once_are_all_told() -> None:
    net = Net([Known(500)] + [Known() for _ in range(10)], lose=0.1, whole=(0,))
    net.run(60.0, lambda: all(one.whole for one in net.all))
    assert all(len({one.key for one in got}) == 500 for got in net.got[1:])


def test_where_nobody_is_whole_all_are_after_asking_each_other() -> None:
    net = Net([Known() for _ in range(4)], whole=())
    net.run(10.0, lambda: all(one.whole for one in net.all))
    assert all(one.whole and one.told_by is None for one in net.all)


def test_one_that_meets_nobody_is_whole_after_a_while_and_not_before() -> None:
    net = Net([Known(), Known()], whole=())
    net.up = {0}
    net.run(replica.ALONE - replica.BEAT)
    assert not net.all[0].whole
    net.run(2.0)
    assert net.all[0].whole


def test_one_that_is_not_whole_gives_nothing() -> None:
    net = Net([Known(5), Known()], whole=())
    answer = net.all[0].heard(1, codec.head(codec.ASK, "l1", NOW, (7, 0, 96)), NOW)
    assert [send.text for send in answer] == [codec.head(codec.NOT_WHOLE, "l0", NOW, (7,))]


def test_one_that_nobody_could_tell_gives_nothing_until_it_has_been_there_for_a_while() -> None:
    net = Net([Known(5), Known(), Known()], whole=())
    net.up = {0}
    net.run(replica.ALONE + 1.0)
    assert net.all[0].whole and not net.all[0].gives()
    net.up = {0, 1}
    net.run(1.5, lambda: net.all[1].whole)
    assert net.all[1].told_by is None
    net.run(replica.GIVES_AFTER)
    net.up = {0, 2}
    net.run(5.0, lambda: net.all[2].whole)
    assert net.all[2].told_by == 0


def test_a_large_fleet_that_began_together_is_whole_soon_though_nobody_can_tell_anything() -> None:
    net = Net([Known() for _ in range(120)], whole=())
    net.older = {one.me: set() for one in net.all}
    took = net.run(30.0, lambda: all(one.whole for one in net.all))
    assert took <= replica.GIVES_AFTER + 2 * replica.BEAT
    assert all(one.told_by is None for one in net.all)


def test_one_that_begins_asks_those_that_are_older_whoever_else_began_with_it() -> None:
    net = Net([Known(5), Known(5), *(Known() for _ in range(60))])
    net.older = {one.me: {0, 1} for one in net.all}
    assert net.run(2.0, lambda: all(one.whole for one in net.all)) < 2.0
    assert {one.told_by for one in net.all[2:]} == {0, 1}


@pytest.mark.parametrize("answers", [False, True])
def test_one_older_member_is_waited_for_until_it_has_answered(answers: bool) -> None:
    net = Net([Known(5), *(Known() for _ in range(20))], whole=(0,))
    net.older = {one.me: {0} for one in net.all}
    net.deaf = lambda a, b: not answers and b == 0
    net.run(replica.GIVES_AFTER + 1.0)
    assert [one.told_by for one in net.all[1:] if one.whole] == [0] * (20 if answers else 0)


def test_one_whose_clock_makes_all_look_older_asks_some_of_them_alone() -> None:
    members = 3 * replica.MOST_REFUSALS
    net = Net([Known() for _ in range(members)], whole=())
    net.older = {one.me: set(range(members)) - {one.me} for one in net.all}
    most = max(replica.GIVES_AFTER, replica.MOST_REFUSALS * replica.BEAT) + 2 * replica.BEAT
    assert net.run(60.0, lambda: all(one.whole for one in net.all)) <= most


def test_one_that_began_from_its_snapshot_gives_at_once() -> None:
    net = Net([Known(5), Known(), Known()], whole=())
    net.all[0].whole = net.all[0].restored = True
    net.run(2.0, lambda: net.all[1].whole)
    assert net.all[1].told_by == 0


def test_a_piece_of_another_catch_up_or_from_another_member_is_not_taken() -> None:
    net = Net([Known(200), Known(200), Known()])
    new = net.all[2]
    new.beat(net.now, [0, 1])
    assert new._fetch is not None
    giver, number = new._fetch.giver, new._fetch.number
    piece = codec.slice_word(AccountCopy("zz9", "pl", 0, 3, 7, ()), NOW, 200)
    for source, told in ((1 - giver, number), (giver, number + 1)):
        new.heard(source, codec.head(codec.GIVE, "l0", NOW, (told, 0, 1)) + piece, net.now)
        assert not new.slices and not new.whole
    new.heard(giver, codec.head(codec.GIVE, "l0", NOW, (number, 0, 1)) + piece, net.now)
    assert new.whole and [one.key for one, _ in new.slices] == ["zz9"]


def test_a_giver_that_the_view_holds_for_gone_is_left_at_the_next_beat() -> None:
    net = Net([Known(200), Known(200), Known()])
    new = net.all[2]
    new.beat(net.now, [0, 1])
    assert new._fetch is not None
    other = 1 - new._fetch.giver
    new.beat(net.now + replica.BEAT, [other])
    sent = new.beat(net.now + 2 * replica.BEAT, [other])
    assert new._fetch is not None and new._fetch.giver == other and sent[0].number == other


def test_what_is_sent_for_one_that_differs_is_bounded_however_much_it_lacks() -> None:
    net = Net([Known(), Known()], whole=(0, 1))
    for n in range(400):
        charge(net, 0, base36(36**2 + n), 10)
    net.all[0].beat(net.now, [])
    for _ in range(10):
        sent = net.all[0].heard(1, _sums(net, 1), net.now)
        assert len([send for send in sent if send.text[2] == codec.ROWS]) <= replica.PIECES
    assert net.all[0]._pieces <= 0 and not [send for send in sent if send.text[2] == codec.ROWS]


def _sums(net: Net, number: int) -> str:
    one = net.all[number]
    return codec.head(codec.SUMS, one.incarnation, NOW, (*one.book.sums(), one.hands.digest(), 1))


def test_places_mean_the_same_for_as_long_as_one_catch_up_lasts() -> None:
    net = Net([Known(300), Known(), Known()], whole=(0,))
    source = net.all[0].source
    assert isinstance(source, Known)
    source.short = lambda: net.random.sample(source.keys, len(source.keys))  # type: ignore[method-assign]
    net.run(10.0, lambda: net.all[1].whole)
    assert len({one.key for one in net.got[1]}) == 300


def test_what_a_giver_sends_a_second_is_bounded() -> None:
    net = Net([Known(4000), Known()], whole=(0,))
    asked = codec.head(codec.ASK, "l1", NOW, (7, 0, 96))
    sent = sum(len(net.all[0].heard(1, asked, NOW + 1)) for _ in range(100))
    assert sent <= replica.GIVES_AT_ONCE


def test_a_customer_that_the_giver_has_let_go_meanwhile_leaves_no_gap() -> None:
    net = Net([Known(40), Known(), Known()], whole=(0,))
    source = net.all[0].source
    assert isinstance(source, Known)
    listed = source.short()
    source.short = lambda: listed  # type: ignore[method-assign]
    source.keys = source.keys[::2]
    net.run(5.0, lambda: net.all[1].whole)
    assert net.all[1].whole and {one.key for one in net.got[1]} == set(listed[::2])


def test_nobody_else_adds_to_a_members_own_count() -> None:
    net = Net([Known(), Known(), Known()])
    charge(net, 0, "a", 40)
    for incarnation, counted in (("l0", 1), ("old", 1)):
        text = codec.head(codec.ROWS, "l1", NOW) + codec.row_words(
            [CountRow("a", "pl", 0, 3, 0, incarnation, CountValue(NOW - 30, NOW - 1, 99))], NOW
        )
        net.all[0].heard(1, text, NOW)
        assert net.all[0].counts["own count told greater"] == counted
    # Its own earlier incarnation's count is as good as anybody's.
    assert {row.incarnation: row.value.total for row in held(net.all[0].book)} == {
        "l0": 40,
        "old": 99,
    }


@pytest.mark.parametrize("text", ["c1r nonsense", "v1p 1", "c1q l1/1 1-2"])
def test_what_cannot_be_read_is_dropped_and_counted(text: str) -> None:
    net = Net([Known(3), Known()])
    assert net.all[0].heard(1, text, NOW) == [] and net.all[0].counts["garbled"] == 1


# Hosts put out by hand


def test_a_call_reaches_all_and_what_holds_after_a_split_follows_from_the_rule() -> None:
    net = Net([Known() for _ in range(4)], whole=(0, 1, 2, 3))
    net.carry(0, net.all[0].call("h1", True, net.now))
    net.run(10.0, lambda: all(one.hands.out() == {"h1": True} for one in net.all))
    net.cut = lambda a, b: (a < 2) != (b < 2)
    net.carry(0, net.all[0].call("h2", True, net.now - 500.0))  # its clock is behind
    net.carry(3, net.all[3].call("h1", False, net.now + 500.0))
    net.carry(3, net.all[3].call("h2", True, net.now))
    # made after having seen that it was out: goes on
    net.carry(3, net.all[3].call("h2", False, net.now))
    net.cut = lambda a, b: False
    net.run(20.0, lambda: len({one.hands.digest() for one in net.all}) == 1)
    assert [one.hands.out() for one in net.all] == [{"h1": False, "h2": False}] * 4


def test_of_two_concurrent_overrides_the_disabling_one_holds_whatever_the_clocks() -> None:
    out, back = Override("h", 2, 1, 5, 0), Override("h", 2, 0, 900, 3)
    for order in ((out, back), (back, out)):
        one = OverrideTable()
        for call in order:
            one.put(call)
        assert one.out() == {"h": True}


def test_a_call_that_changes_nothing_is_none() -> None:
    one = OverrideTable()
    assert (
        one.call("h", False, 1.0, 0) is None
        and one.call("h", True, 1.0, 0)
        and one.call("h", True, 2.0, 0) is None
    )


def test_digests_are_those_of_earlier_versions() -> None:
    """Overrides were hashed by the name of their class, which a rename would have changed: members
    of two versions would have sent each other all overrides for ever. The numbers are of c5118d0.
    """
    one = OverrideTable()
    assert one.digest() == 577735
    one.put(Override("s-0001", 2, 0, 1_700_000_002_000, 4))
    one.put(Override("10.0.0.7:9000", 9, 1, 1_700_000_004_500, 1))
    assert one.digest() == 926526
    one.put(Override("it's", 3, 1, 7, 0))
    assert one.digest() == 523789
    table = book_of(
        [
            CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 4, 10)),
            CountRow("zz", "pl", 0, 3, 2, "l2", CountValue(NOW - 9, NOW - 2, 77, 0)),
        ]
    )
    assert {n: sum_ for n, sum_ in enumerate(table.sums()) if sum_} == {1: 1107499, 3: 1155812}


# Snapshots

KEPT = snapshot.Snapshot(
    snapshot.FORMAT,
    snapshot.VERSION,
    float(NOW),
    2,
    [snapshot.SavedAccount("a", "gold", 0, 3, 12.5)],
    [("h", 1, 1, 5, 0)],
)


def test_a_snapshot_is_read_as_it_was_written(tmp_path: Path) -> None:
    file = snapshot.SnapshotFile(tmp_path, 2)
    assert file.load(NOW) is None
    file.save(KEPT)
    assert file.load(NOW + 1.0) == KEPT and KEPT.calls() == [Override("h", 1, 1, 5, 0)]
    assert os.listdir(tmp_path) == ["replica-2"]


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (b"", "spoilt"),
        (snapshot.write(KEPT)[:-1], "spoilt"),
        (snapshot.write(KEPT).replace(b"gold", b"golf"), "spoilt"),
        (snapshot.write(snapshot.Snapshot("other", 1, NOW, 2, [], [])), "other"),
        (snapshot.write(snapshot.Snapshot(snapshot.FORMAT, 2, NOW, 2, [], [])), "version 2"),
        (snapshot.write(snapshot.Snapshot(snapshot.FORMAT, 1, NOW, 1, [], [])), "member 1"),
        (
            snapshot.write(snapshot.Snapshot(snapshot.FORMAT, 1, NOW - 7200.0, 2, [], [])),
            "7200 s old",
        ),
        (b"\x8b\x98w\x07abc", "spoilt"),
    ],
)
def test_a_spoilt_or_old_snapshot_is_set_aside_and_said_and_is_not_fatal(
    data: bytes, says: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    file = snapshot.SnapshotFile(tmp_path, 2)
    file.path.write_bytes(data)
    assert file.load(NOW) is None and says in caplog.text
    assert os.listdir(tmp_path) == ["replica-2.bad"]


def test_a_disk_that_takes_nothing_is_said_once_and_costs_the_snapshot_alone(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    file = snapshot.SnapshotFile(tmp_path / "absent", 2)
    file.save(KEPT)
    file.save(KEPT)
    assert caplog.text.count("cannot be written") == 1 and file.load(NOW) is None
