"""Anti-entropy between replicas on a network that loses, doubles and cuts."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.replication import codec
from hazelhollow.replication.anti_entropy import MAX_DATAGRAMS_PER_REPAIR, ROUNDS_PER_DIGEST
from hazelhollow.replication.count_table import CountRow, CountValue
from hazelhollow.replication.messages import Kind
from hazelhollow.replication.replica import ROUND_INTERVAL_S
from tests.replication.network import NOW, KnownAccounts, Network, charge, rows_of


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 1000), st.sampled_from([0.0, 0.1, 0.3]))
def test_tables_that_differ_converge_through_loss_and_duplicates(seed: int, lose: float) -> None:
    """Up to three datagrams of ten are lost and two of ten arrive twice."""
    net = Network([KnownAccounts() for _ in range(4)], seed, lose, double=0.2, whole=(0, 1, 2, 3))
    told = {charge(net, n, base36(36**2 + k), 10 * k + n) for n in range(4) for k in range(12)}
    net.run(30.0, net.same)
    assert [rows_of(one.anti_entropy.counts) for one in net.all] == [
        told
    ] * 4 and net.most <= codec.MAX_MESSAGE_BYTES


def test_charges_reach_a_member_that_cannot_hear_who_made_them() -> None:
    """Two members never hear each other; a third tells each of the other's charges."""
    net = Network([KnownAccounts() for _ in range(3)], whole=(0, 1, 2))
    net.cut = lambda a, b: {a, b} == {0, 2}  # these two never hear each other
    row = charge(net, 0, "a", 40)
    net.run(20.0, net.same)
    assert rows_of(net.all[2].anti_entropy.counts) == {row}


def test_a_returned_member_gets_digests_at_once() -> None:
    """A member was away; waiting for a random draw among twelve would take seconds."""
    net = Network([KnownAccounts() for _ in range(12)], whole=tuple(range(12)))
    net.up.discard(11)
    row = charge(net, 0, "a", 40)
    net.run(10.0)
    net.up.add(11)
    net.all[0].anti_entropy.member_returned(11)
    net.run(ROUND_INTERVAL_S)
    assert rows_of(net.all[11].anti_entropy.counts) == {row}


def test_equal_tables_cost_digests_only() -> None:
    net = Network([KnownAccounts() for _ in range(3)], whole=(0, 1, 2))
    charge(net, 0, "a", 40)
    net.run(10.0, net.same)
    net.run(2.0)
    before = net.bytes
    net.run(10.0)
    assert (
        net.bytes - before
        < 3 * 10 * (1 / (ROUND_INTERVAL_S * ROUNDS_PER_DIGEST)) * codec.MAX_MESSAGE_BYTES
    )


def test_what_a_repair_sends_is_bounded_however_much_is_missing() -> None:
    """A member lacks 400 customers and asks ten times in one round."""
    net = Network([KnownAccounts(), KnownAccounts()], whole=(0, 1))
    for n in range(400):
        charge(net, 0, base36(36**2 + n), 10)
    net.all[0].run_round(net.now, [])
    for _ in range(10):
        sent = net.all[0].receive(1, _digests(net, 1), net.now)
        assert len([send for send in sent if send.kind is Kind.COUNTS]) <= MAX_DATAGRAMS_PER_REPAIR
    assert net.all[0].anti_entropy._datagrams_left <= 0 and not [
        send for send in sent if send.kind is Kind.COUNTS
    ]


def _digests(net: Network, number: int) -> str:
    one = net.all[number]
    return codec.encode_header(
        Kind.DIGESTS,
        one.local.incarnation,
        NOW,
        (*one.anti_entropy.counts.digests(), one.anti_entropy.overrides.digest(), 1),
    )


def test_a_greater_own_count_from_others_is_counted_and_refused() -> None:
    """A peer claims that this member charged more than it did. That is refused for this incarnation
    and believed for an earlier one, which others may know better."""
    net = Network([KnownAccounts(), KnownAccounts(), KnownAccounts()])
    charge(net, 0, "a", 40)
    for incarnation, counted in (("l0", 1), ("old", 1)):
        text = codec.encode_header(Kind.COUNTS, "l1", NOW) + codec.encode_counts(
            [CountRow("a", "pl", 0, 3, 0, incarnation, CountValue(NOW - 30, NOW - 1, 99))], NOW
        )
        net.all[0].receive(1, text, NOW)
        assert net.all[0].counters["own count told greater"] == counted
    # Its own earlier incarnation's count is as good as anybody's.
    assert {
        row.incarnation: row.value.total for row in rows_of(net.all[0].anti_entropy.counts)
    } == {
        "l0": 40,
        "old": 99,
    }
