"""Anti-entropy between replicas on a network with loss, duplicates and partitions."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.replication import codec
from hazelhollow.replication.anti_entropy import MAX_DATAGRAMS_PER_REPAIR, ROUNDS_PER_DIGEST
from hazelhollow.replication.count_table import CountRow, CountValue
from hazelhollow.replication.messages import Kind
from hazelhollow.replication.replica import ROUND_INTERVAL_S
from tests.replication.network import NOW, FakeAccounts, Network, charge, rows_of


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 1000), st.sampled_from([0.0, 0.1, 0.3]))
def test_tables_that_differ_converge_through_loss_and_duplicates(
    seed: int, loss_rate: float
) -> None:
    """Up to 30 % of the datagrams are lost, and 20 % arrive twice."""
    net = Network(
        [FakeAccounts() for _ in range(4)],
        seed,
        loss_rate,
        duplicate_rate=0.2,
        complete=(0, 1, 2, 3),
    )
    charged_rows = {
        charge(net, n, base36(36**2 + k), 10 * k + n) for n in range(4) for k in range(12)
    }
    net.run(30.0, net.tables_are_equal)
    assert [rows_of(replica.anti_entropy.counts) for replica in net.all] == [
        charged_rows
    ] * 4 and net.largest_datagram <= codec.MAX_MESSAGE_BYTES


def test_charges_reach_a_member_that_is_cut_off_from_their_source() -> None:
    """Two members never receive from each other; a third sends each the other's counters."""
    net = Network([FakeAccounts() for _ in range(3)], complete=(0, 1, 2))
    net.is_partitioned = lambda a, b: {a, b} == {0, 2}
    row = charge(net, 0, "a", 40)
    net.run(20.0, net.tables_are_equal)
    assert rows_of(net.all[2].anti_entropy.counts) == {row}


def test_a_member_that_is_reachable_again_gets_digests_at_once() -> None:
    """A member was down. Until it is drawn at random among twelve members, seconds could pass."""
    net = Network([FakeAccounts() for _ in range(12)], complete=tuple(range(12)))
    net.running.discard(11)
    row = charge(net, 0, "a", 40)
    net.run(10.0)
    net.running.add(11)
    net.all[0].anti_entropy.member_returned(11)
    net.run(ROUND_INTERVAL_S)
    assert rows_of(net.all[11].anti_entropy.counts) == {row}


def test_members_with_equal_tables_send_digests_only() -> None:
    net = Network([FakeAccounts() for _ in range(3)], complete=(0, 1, 2))
    charge(net, 0, "a", 40)
    net.run(10.0, net.tables_are_equal)
    net.run(2.0)
    bytes_before = net.bytes
    net.run(10.0)
    assert (
        net.bytes - bytes_before
        < 3 * 10 * (1 / (ROUND_INTERVAL_S * ROUNDS_PER_DIGEST)) * codec.MAX_MESSAGE_BYTES
    )


def test_datagrams_of_a_repair_are_bounded_however_much_is_missing() -> None:
    """A member lacks 400 customers and sends its digests ten times in one round."""
    net = Network([FakeAccounts(), FakeAccounts()], complete=(0, 1))
    for n in range(400):
        charge(net, 0, base36(36**2 + n), 10)
    net.all[0].run_round(net.now, [])
    for _ in range(10):
        sent = net.all[0].receive(1, _digests(net, 1), net.now)
        assert (
            len([datagram for datagram in sent if datagram.kind is Kind.COUNTS])
            <= MAX_DATAGRAMS_PER_REPAIR
        )
    assert net.all[0].anti_entropy._datagrams_left <= 0 and not [
        datagram for datagram in sent if datagram.kind is Kind.COUNTS
    ]


def _digests(net: Network, number: int) -> str:
    replica = net.all[number]
    return codec.encode_header(
        Kind.DIGESTS,
        replica.local.incarnation,
        NOW,
        (*replica.anti_entropy.counts.digests(), replica.anti_entropy.overrides.digest(), 1),
    )


def test_a_greater_own_count_from_others_is_counted_and_refused() -> None:
    """A peer reports a greater count of this member than its own. It is refused for the present
    incarnation and accepted for an earlier one, whose charges others may know better."""
    net = Network([FakeAccounts(), FakeAccounts(), FakeAccounts()])
    charge(net, 0, "a", 40)
    for incarnation, refused in (("l0", 1), ("old", 1)):
        text = codec.encode_header(Kind.COUNTS, "l1", NOW) + codec.encode_counts(
            [CountRow("a", "pl", 0, 3, 0, incarnation, CountValue(NOW - 30, NOW - 1, 99))], NOW
        )
        net.all[0].receive(1, text, NOW)
        assert net.all[0].counters["own count told greater"] == refused
    # Another member's copy of an earlier incarnation's count is merged like any other.
    assert {
        row.incarnation: row.value.total for row in rows_of(net.all[0].anti_entropy.counts)
    } == {
        "l0": 40,
        "old": 99,
    }
