"""Catch-up of a new member: its source, loss, silence, and when nobody knows more."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhollow.replication import codec
from hazelhollow.replication.catch_up import ALONE_AFTER_S, FULL_KNOWLEDGE_AFTER_S, MAX_REFUSALS
from hazelhollow.replication.catch_up_server import DATAGRAM_BURST
from hazelhollow.replication.messages import AccountCopy, Kind
from hazelhollow.replication.replica import ROUND_INTERVAL_S
from tests.replication.network import NOW, KnownAccounts, Network


@settings(max_examples=12, deadline=None)
@given(st.integers(0, 1000), st.sampled_from([0.0, 0.1, 0.3]), st.integers(0, 400))
def test_a_new_member_is_told_of_every_customer_once_through_loss_and_duplicates(
    seed: int, lose: float, customers: int
) -> None:
    """Up to three datagrams of ten are lost and two of ten arrive twice."""
    net = Network(
        [KnownAccounts(customers), KnownAccounts(customers), KnownAccounts()],
        seed,
        lose,
        double=0.2,
    )
    new = net.all[2]
    net.run(120.0, lambda: new.catch_up.is_complete)
    assert new.catch_up.is_complete and (new.catch_up.completed_by is not None)
    assert sorted(one.customer for one in net.got[2]) == sorted(
        net.all[0].source.customers_below_full()
    )


def test_a_source_that_dies_half_way_is_followed_by_another() -> None:
    """The source of a transfer dies after 200 of 3000 accounts."""
    net = Network([KnownAccounts(3000), KnownAccounts(3000), KnownAccounts()])
    new = net.all[2]
    net.run(30.0, lambda: len(net.got[2]) > 200)
    assert new.catch_up.transfer is not None and not new.catch_up.is_complete
    net.up.discard(new.catch_up.transfer.source)
    net.run(60.0, lambda: new.catch_up.is_complete)
    assert new.catch_up.is_complete and {one.customer for one in net.got[2]} == set(
        net.all[0].source.customers_below_full()
    )


def test_a_silent_source_is_given_up_for_another() -> None:
    """The source receives and its answers are lost, though membership has it as up."""
    net = Network([KnownAccounts(30), KnownAccounts(30), KnownAccounts()])
    silent = 1
    net.deaf = lambda a, b: a == silent and b == 2  # it hears and is not heard, though it is there
    net.all[2].random.seed(next(s for s in range(99) if random.Random(s).choice([0, 1]) == silent))
    net.run(20.0, lambda: net.all[2].catch_up.is_complete)
    assert net.all[2].catch_up.completed_by == 0 and net.all[2].counters["givers lost"] == 1


def test_ten_members_that_begin_at_once_all_catch_up() -> None:
    net = Network([KnownAccounts(500)] + [KnownAccounts() for _ in range(10)], lose=0.1, whole=(0,))
    net.run(60.0, lambda: all(one.catch_up.is_complete for one in net.all))
    assert all(len({one.customer for one in got}) == 500 for got in net.got[1:])


def test_where_nobody_is_complete_all_are_after_asking_each_other() -> None:
    """All members were killed and begin together: each is refused by all others."""
    net = Network([KnownAccounts() for _ in range(4)], whole=())
    net.run(10.0, lambda: all(one.catch_up.is_complete for one in net.all))
    assert all(one.catch_up.is_complete and one.catch_up.completed_by is None for one in net.all)


def test_a_member_that_meets_nobody_is_complete_after_a_while_and_not_before() -> None:
    net = Network([KnownAccounts(), KnownAccounts()], whole=())
    net.up = {0}
    net.run(ALONE_AFTER_S - ROUND_INTERVAL_S)
    assert not net.all[0].catch_up.is_complete
    net.run(2.0)
    assert net.all[0].catch_up.is_complete


def test_a_member_that_is_not_complete_refuses_transfers() -> None:
    net = Network([KnownAccounts(5), KnownAccounts()], whole=())
    answer = net.all[0].receive(
        1, codec.encode_header(Kind.TRANSFER_REQUEST, "l1", NOW, (7, 0, 96)), NOW
    )
    assert [send.text for send in answer] == [
        codec.encode_header(Kind.NOT_COMPLETE, "l0", NOW, (7,))
    ]


def test_a_member_that_nobody_could_tell_serves_nothing_for_a_while() -> None:
    """The first member of a fleet knows only its cautious share; served at once, it would hand that
    on as if it were all."""
    net = Network([KnownAccounts(5), KnownAccounts(), KnownAccounts()], whole=())
    net.up = {0}
    net.run(ALONE_AFTER_S + 1.0)
    assert net.all[0].catch_up.is_complete and not net.all[0].catch_up.can_serve()
    net.up = {0, 1}
    net.run(1.5, lambda: net.all[1].catch_up.is_complete)
    assert net.all[1].catch_up.completed_by is None
    net.run(FULL_KNOWLEDGE_AFTER_S)
    net.up = {0, 2}
    net.run(5.0, lambda: net.all[2].catch_up.is_complete)
    assert net.all[2].catch_up.completed_by == 0


def test_a_large_fleet_that_began_together_is_complete_soon() -> None:
    """120 members begin at once; asking each other one by one took half a minute."""
    net = Network([KnownAccounts() for _ in range(120)], whole=())
    net.older = {one.local.number: set() for one in net.all}
    took = net.run(30.0, lambda: all(one.catch_up.is_complete for one in net.all))
    assert took <= FULL_KNOWLEDGE_AFTER_S + 2 * ROUND_INTERVAL_S
    assert all(one.catch_up.completed_by is None for one in net.all)


def test_a_new_member_asks_older_members_first() -> None:
    """Sixty members begin at once beside two that know all."""
    net = Network([KnownAccounts(5), KnownAccounts(5), *(KnownAccounts() for _ in range(60))])
    net.older = {one.local.number: {0, 1} for one in net.all}
    assert net.run(2.0, lambda: all(one.catch_up.is_complete for one in net.all)) < 2.0
    assert {one.catch_up.completed_by for one in net.all[2:]} == {0, 1}


@pytest.mark.parametrize("answers", [False, True])
def test_one_older_member_is_waited_for_until_it_has_answered(answers: bool) -> None:
    """The one member that knows all is silent: nobody may take silence for knowing nothing."""
    net = Network([KnownAccounts(5), *(KnownAccounts() for _ in range(20))], whole=(0,))
    net.older = {one.local.number: {0} for one in net.all}
    net.deaf = lambda a, b: not answers and b == 0
    net.run(FULL_KNOWLEDGE_AFTER_S + 1.0)
    assert [one.catch_up.completed_by for one in net.all[1:] if one.catch_up.is_complete] == [0] * (
        20 if answers else 0
    )


def test_a_member_to_whom_all_look_older_asks_only_some_of_them() -> None:
    """A clock that is ahead makes all others look older than they are."""
    members = 3 * MAX_REFUSALS
    net = Network([KnownAccounts() for _ in range(members)], whole=())
    net.older = {one.local.number: set(range(members)) - {one.local.number} for one in net.all}
    most = max(FULL_KNOWLEDGE_AFTER_S, MAX_REFUSALS * ROUND_INTERVAL_S) + 2 * ROUND_INTERVAL_S
    assert net.run(60.0, lambda: all(one.catch_up.is_complete for one in net.all)) <= most


def test_a_member_that_was_restored_from_its_snapshot_serves_at_once() -> None:
    net = Network([KnownAccounts(5), KnownAccounts(), KnownAccounts()], whole=())
    net.all[0].catch_up.is_complete = net.all[0].catch_up.is_restored = True
    net.run(2.0, lambda: net.all[1].catch_up.is_complete)
    assert net.all[1].catch_up.completed_by == 0


def test_a_piece_of_another_transfer_or_from_another_member_is_not_taken() -> None:
    """Late pieces of a transfer that was given up arrive during the next."""
    net = Network([KnownAccounts(200), KnownAccounts(200), KnownAccounts()])
    new = net.all[2]
    new.run_round(net.now, [0, 1])
    assert new.catch_up.transfer is not None
    giver, number = new.catch_up.transfer.source, new.catch_up.transfer.number
    piece = codec.encode_account(AccountCopy("zz9", "pl", 0, 3, 7, ()), NOW, 200)
    for source, told in ((1 - giver, number), (giver, number + 1)):
        new.receive(
            source,
            codec.encode_header(Kind.TRANSFER_PIECE, "l0", NOW, (told, 0, 1)) + piece,
            net.now,
        )
        assert not new.catch_up.new_accounts and not new.catch_up.is_complete
    new.receive(
        giver, codec.encode_header(Kind.TRANSFER_PIECE, "l0", NOW, (number, 0, 1)) + piece, net.now
    )
    assert new.catch_up.is_complete and [one.customer for one, _ in new.catch_up.new_accounts] == [
        "zz9"
    ]


def test_a_source_that_membership_holds_for_dead_is_left_in_the_next_round() -> None:
    """The source disappears from membership before it has answered."""
    net = Network([KnownAccounts(200), KnownAccounts(200), KnownAccounts()])
    new = net.all[2]
    new.run_round(net.now, [0, 1])
    assert new.catch_up.transfer is not None
    other = 1 - new.catch_up.transfer.source
    new.run_round(net.now + ROUND_INTERVAL_S, [other])
    sent = new.run_round(net.now + 2 * ROUND_INTERVAL_S, [other])
    assert (
        new.catch_up.transfer is not None
        and new.catch_up.transfer.source == other
        and sent[0].member == other
    )


def test_places_mean_the_same_for_as_long_as_one_transfer_lasts() -> None:
    """The source's order of customers changes with every request that it serves."""
    net = Network([KnownAccounts(300), KnownAccounts(), KnownAccounts()], whole=(0,))
    source = net.all[0].source
    assert isinstance(source, KnownAccounts)
    source.customers_below_full = lambda: net.random.sample(source.keys, len(source.keys))  # type: ignore[method-assign]
    net.run(10.0, lambda: net.all[1].catch_up.is_complete)
    assert len({one.customer for one in net.got[1]}) == 300


def test_what_a_source_sends_a_second_is_bounded() -> None:
    net = Network([KnownAccounts(4000), KnownAccounts()], whole=(0,))
    asked = codec.encode_header(Kind.TRANSFER_REQUEST, "l1", NOW, (7, 0, 96))
    sent = sum(len(net.all[0].receive(1, asked, NOW + 1)) for _ in range(100))
    assert sent <= DATAGRAM_BURST


def test_a_customer_that_the_source_has_forgotten_leaves_no_gap() -> None:
    """Half of the listed customers are forgotten before they are asked for."""
    net = Network([KnownAccounts(40), KnownAccounts(), KnownAccounts()], whole=(0,))
    source = net.all[0].source
    assert isinstance(source, KnownAccounts)
    listed = source.customers_below_full()
    source.customers_below_full = lambda: listed  # type: ignore[method-assign]
    source.keys = source.keys[::2]
    net.run(5.0, lambda: net.all[1].catch_up.is_complete)
    assert net.all[1].catch_up.is_complete and {one.customer for one in net.got[1]} == set(
        listed[::2]
    )
