"""Operators' overrides of endpoints: their merge rule, and how they reach all members."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.replication.count_table import CountRow, CountValue
from hazelhollow.replication.overrides import Override, OverrideTable
from tests.replication.network import NOW, FakeAccounts, Network, overrides, table_of


def test_digests_equal_those_of_earlier_versions() -> None:
    """Overrides were hashed by the name of their class. If a rename of the class changed the hash,
    members of two versions would send each other all overrides for ever. The numbers are those of
    commit c5118d0.
    """
    override_table = OverrideTable()
    assert override_table.digest() == 577735
    override_table.merge_in(Override("s-0001", 2, 0, 1_700_000_002_000, 4))
    override_table.merge_in(Override("10.0.0.7:9000", 9, 1, 1_700_000_004_500, 1))
    assert override_table.digest() == 926526
    override_table.merge_in(Override("it's", 3, 1, 7, 0))
    assert override_table.digest() == 523789
    table = table_of(
        [
            CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 4, 10)),
            CountRow("zz", "pl", 0, 3, 2, "l2", CountValue(NOW - 9, NOW - 2, 77, 0)),
        ]
    )
    assert {
        n: bucket_digest for n, bucket_digest in enumerate(table.digests()) if bucket_digest
    } == {
        1: 1107499,
        3: 1155812,
    }


@given(st.lists(overrides, min_size=1, max_size=6), st.randoms(use_true_random=False))
def test_overrides_converge_in_any_order_and_with_duplicates(
    made_overrides: list[Override], rng: random.Random
) -> None:
    override_table, other = OverrideTable(), OverrideTable()
    for override in made_overrides:
        override_table.merge_in(override)
    for override in rng.sample([*made_overrides, *made_overrides], 2 * len(made_overrides)):
        other.merge_in(override)
    assert (
        override_table.by_endpoint == other.by_endpoint
        and override_table.digest() == other.digest()
    )


def test_override_reaches_all_and_merge_rule_decides_after_partition() -> None:
    """Operators on both sides of a partition override the same endpoints, and the clock of one
    member is 500 s behind."""
    net = Network([FakeAccounts() for _ in range(4)], complete=(0, 1, 2, 3))
    net.deliver(0, net.all[0].set_override("h1", True, net.now))
    net.run(
        10.0,
        lambda: all(
            replica.anti_entropy.overrides.disabled() == {"h1": True} for replica in net.all
        ),
    )
    net.is_partitioned = lambda a, b: (a < 2) != (b < 2)
    net.deliver(0, net.all[0].set_override("h2", True, net.now - 500.0))
    net.deliver(3, net.all[3].set_override("h1", False, net.now + 500.0))
    net.deliver(3, net.all[3].set_override("h2", True, net.now))
    # This was made after member 3 had disabled the endpoint itself, so it holds by Lamport time.
    net.deliver(3, net.all[3].set_override("h2", False, net.now))
    net.is_partitioned = lambda a, b: False
    net.run(
        20.0, lambda: len({replica.anti_entropy.overrides.digest() for replica in net.all}) == 1
    )
    assert [replica.anti_entropy.overrides.disabled() for replica in net.all] == [
        {"h1": False, "h2": False}
    ] * 4


def test_of_concurrent_overrides_the_disabling_one_holds() -> None:
    """Two operators act without knowledge of each other. The clock of the member that enables the
    endpoint is ahead."""
    disabling, enabling = Override("h", 2, 1, 5, 0), Override("h", 2, 0, 900, 3)
    for order in ((disabling, enabling), (enabling, disabling)):
        override_table = OverrideTable()
        for override in order:
            override_table.merge_in(override)
        assert override_table.disabled() == {"h": True}


def test_an_override_that_changes_nothing_is_not_made() -> None:
    override_table = OverrideTable()
    assert (
        override_table.set_local("h", False, 1.0, 0) is None
        and override_table.set_local("h", True, 1.0, 0)
        and override_table.set_local("h", True, 2.0, 0) is None
    )
