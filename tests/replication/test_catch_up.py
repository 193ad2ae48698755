"""Catch-up of a new member: choice of the source, lost datagrams, and completion without one."""

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
from tests.replication.network import NOW, FakeAccounts, Network


@settings(max_examples=12, deadline=None)
@given(st.integers(0, 1000), st.sampled_from([0.0, 0.1, 0.3]), st.integers(0, 400))
def test_new_member_gets_each_customer_once_despite_loss_and_duplicates(
    seed: int, loss_rate: float, customers: int
) -> None:
    """Up to 30 % of the datagrams are lost, and 20 % arrive twice."""
    net = Network(
        [FakeAccounts(customers), FakeAccounts(customers), FakeAccounts()],
        seed,
        loss_rate,
        duplicate_rate=0.2,
    )
    new = net.all[2]
    net.run(120.0, lambda: new.catch_up.is_complete)
    assert new.catch_up.is_complete and (new.catch_up.completed_by is not None)
    assert sorted(account.customer for account in net.received[2]) == sorted(
        net.all[0].source.customers_below_full()
    )


def test_a_source_that_dies_during_the_transfer_is_replaced() -> None:
    """The source of a transfer dies after 200 of 3000 accounts."""
    net = Network([FakeAccounts(3000), FakeAccounts(3000), FakeAccounts()])
    new = net.all[2]
    net.run(30.0, lambda: len(net.received[2]) > 200)
    assert new.catch_up.transfer is not None and not new.catch_up.is_complete
    net.running.discard(new.catch_up.transfer.source)
    net.run(60.0, lambda: new.catch_up.is_complete)
    assert new.catch_up.is_complete and {account.customer for account in net.received[2]} == set(
        net.all[0].source.customers_below_full()
    )


def test_an_unresponsive_source_is_replaced() -> None:
    """The source receives requests, but its answers are lost while membership considers it up."""
    net = Network([FakeAccounts(30), FakeAccounts(30), FakeAccounts()])
    unresponsive = 1
    net.is_dropped = lambda a, b: a == unresponsive and b == 2
    net.all[2].random.seed(
        next(s for s in range(99) if random.Random(s).choice([0, 1]) == unresponsive)
    )
    net.run(20.0, lambda: net.all[2].catch_up.is_complete)
    assert net.all[2].catch_up.completed_by == 0 and net.all[2].counters["givers lost"] == 1


def test_ten_members_that_start_together_all_catch_up() -> None:
    net = Network(
        [FakeAccounts(500)] + [FakeAccounts() for _ in range(10)], loss_rate=0.1, complete=(0,)
    )
    net.run(60.0, lambda: all(replica.catch_up.is_complete for replica in net.all))
    assert all(
        len({account.customer for account in received}) == 500 for received in net.received[1:]
    )


def test_if_nobody_is_complete_all_complete_after_asking_each_other() -> None:
    """All members were killed and start together: each is refused by all others."""
    net = Network([FakeAccounts() for _ in range(4)], complete=())
    net.run(10.0, lambda: all(replica.catch_up.is_complete for replica in net.all))
    assert all(
        replica.catch_up.is_complete and replica.catch_up.completed_by is None
        for replica in net.all
    )


def test_a_member_without_peers_is_complete_only_after_a_timeout() -> None:
    net = Network([FakeAccounts(), FakeAccounts()], complete=())
    net.running = {0}
    net.run(ALONE_AFTER_S - ROUND_INTERVAL_S)
    assert not net.all[0].catch_up.is_complete
    net.run(2.0)
    assert net.all[0].catch_up.is_complete


def test_a_member_that_is_not_complete_refuses_transfers() -> None:
    net = Network([FakeAccounts(5), FakeAccounts()], complete=())
    answer = net.all[0].receive(
        1, codec.encode_header(Kind.TRANSFER_REQUEST, "l1", NOW, (7, 0, 96)), NOW
    )
    assert [send.text for send in answer] == [
        codec.encode_header(Kind.NOT_COMPLETE, "l0", NOW, (7,))
    ]


def test_a_member_that_completed_without_source_serves_only_later() -> None:
    """The first member of a fleet knows only what it admitted by its cautious share. If it served
    at once, it would transfer that as if it were the complete state."""
    net = Network([FakeAccounts(5), FakeAccounts(), FakeAccounts()], complete=())
    net.running = {0}
    net.run(ALONE_AFTER_S + 1.0)
    assert net.all[0].catch_up.is_complete and not net.all[0].catch_up.can_serve()
    net.running = {0, 1}
    net.run(1.5, lambda: net.all[1].catch_up.is_complete)
    assert net.all[1].catch_up.completed_by is None
    net.run(FULL_KNOWLEDGE_AFTER_S)
    net.running = {0, 2}
    net.run(5.0, lambda: net.all[2].catch_up.is_complete)
    assert net.all[2].catch_up.completed_by == 0


def test_a_large_fleet_that_started_together_is_complete_soon() -> None:
    """120 members start at once; when each asked all others in turn, it took half a minute."""
    net = Network([FakeAccounts() for _ in range(120)], complete=())
    net.older = {replica.local.number: set() for replica in net.all}
    seconds = net.run(30.0, lambda: all(replica.catch_up.is_complete for replica in net.all))
    assert seconds <= FULL_KNOWLEDGE_AFTER_S + 2 * ROUND_INTERVAL_S
    assert all(replica.catch_up.completed_by is None for replica in net.all)


def test_a_new_member_asks_older_members_first() -> None:
    """Sixty members start at once, and two others are complete."""
    net = Network([FakeAccounts(5), FakeAccounts(5), *(FakeAccounts() for _ in range(60))])
    net.older = {replica.local.number: {0, 1} for replica in net.all}
    assert net.run(2.0, lambda: all(replica.catch_up.is_complete for replica in net.all)) < 2.0
    assert {replica.catch_up.completed_by for replica in net.all[2:]} == {0, 1}


@pytest.mark.parametrize("answers", [False, True])
def test_new_members_wait_for_one_older_member_until_it_answers(answers: bool) -> None:
    """The others must not complete without the only complete member until it answers."""
    net = Network([FakeAccounts(5), *(FakeAccounts() for _ in range(20))], complete=(0,))
    net.older = {replica.local.number: {0} for replica in net.all}
    net.is_dropped = lambda a, b: not answers and b == 0
    net.run(FULL_KNOWLEDGE_AFTER_S + 1.0)
    assert [
        replica.catch_up.completed_by for replica in net.all[1:] if replica.catch_up.is_complete
    ] == [0] * (20 if answers else 0)


def test_a_member_to_which_all_look_older_asks_only_some() -> None:
    """A clock that is ahead makes all others look older than they are."""
    members = 3 * MAX_REFUSALS
    net = Network([FakeAccounts() for _ in range(members)], complete=())
    net.older = {
        replica.local.number: set(range(members)) - {replica.local.number} for replica in net.all
    }
    limit = max(FULL_KNOWLEDGE_AFTER_S, MAX_REFUSALS * ROUND_INTERVAL_S) + 2 * ROUND_INTERVAL_S
    assert net.run(60.0, lambda: all(replica.catch_up.is_complete for replica in net.all)) <= limit


def test_a_member_that_was_restored_from_its_snapshot_serves_at_once() -> None:
    net = Network([FakeAccounts(5), FakeAccounts(), FakeAccounts()], complete=())
    net.all[0].catch_up.is_complete = net.all[0].catch_up.is_restored = True
    net.run(2.0, lambda: net.all[1].catch_up.is_complete)
    assert net.all[1].catch_up.completed_by == 0


def test_a_piece_of_another_transfer_or_member_is_ignored() -> None:
    """Late pieces of an abandoned transfer arrive during the next one."""
    net = Network([FakeAccounts(200), FakeAccounts(200), FakeAccounts()])
    new = net.all[2]
    new.run_round(net.now, [0, 1])
    assert new.catch_up.transfer is not None
    source_number, transfer_number = new.catch_up.transfer.source, new.catch_up.transfer.number
    piece = codec.encode_account(AccountCopy("zz9", "pl", 0, 3, 7, ()), NOW, 200)
    for sender, sent_number in (
        (1 - source_number, transfer_number),
        (source_number, transfer_number + 1),
    ):
        new.receive(
            sender,
            codec.encode_header(Kind.TRANSFER_PIECE, "l0", NOW, (sent_number, 0, 1)) + piece,
            net.now,
        )
        assert not new.catch_up.new_accounts and not new.catch_up.is_complete
    new.receive(
        source_number,
        codec.encode_header(Kind.TRANSFER_PIECE, "l0", NOW, (transfer_number, 0, 1)) + piece,
        net.now,
    )
    assert new.catch_up.is_complete and [
        account.customer for account, _ in new.catch_up.new_accounts
    ] == ["zz9"]


def test_a_source_that_is_no_longer_present_is_replaced_next_round() -> None:
    """The source disappears from membership before it has answered."""
    net = Network([FakeAccounts(200), FakeAccounts(200), FakeAccounts()])
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


def test_positions_keep_their_customers_during_a_transfer() -> None:
    """The source's order of customers changes with every request that it serves."""
    net = Network([FakeAccounts(300), FakeAccounts(), FakeAccounts()], complete=(0,))
    source = net.all[0].source
    assert isinstance(source, FakeAccounts)
    source.customers_below_full = lambda: net.random.sample(source.keys, len(source.keys))  # type: ignore[method-assign]
    net.run(10.0, lambda: net.all[1].catch_up.is_complete)
    assert len({account.customer for account in net.received[1]}) == 300


def test_datagrams_sent_by_a_source_per_second_are_bounded() -> None:
    net = Network([FakeAccounts(4000), FakeAccounts()], complete=(0,))
    request = codec.encode_header(Kind.TRANSFER_REQUEST, "l1", NOW, (7, 0, 96))
    sent = sum(len(net.all[0].receive(1, request, NOW + 1)) for _ in range(100))
    assert sent <= DATAGRAM_BURST


def test_a_customer_that_the_source_has_forgotten_leaves_no_gap() -> None:
    """Half of the listed customers are forgotten before they are requested."""
    net = Network([FakeAccounts(40), FakeAccounts(), FakeAccounts()], complete=(0,))
    source = net.all[0].source
    assert isinstance(source, FakeAccounts)
    listed = source.customers_below_full()
    source.customers_below_full = lambda: listed  # type: ignore[method-assign]
    source.keys = source.keys[::2]
    net.run(5.0, lambda: net.all[1].catch_up.is_complete)
    assert net.all[1].catch_up.is_complete and {
        account.customer for account in net.received[1]
    } == set(listed[::2])
