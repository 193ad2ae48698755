"""Operators' overrides of endpoints: which holds, and how they reach all members."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.replication.count_table import CountRow, CountValue
from hazelhollow.replication.overrides import Override, OverrideTable
from tests.replication.network import NOW, KnownAccounts, Network, overrides, table_of


def test_digests_are_those_of_earlier_versions() -> None:
    """Overrides were hashed by the name of their class, which a rename would have changed: members
    of two versions would have sent each other all overrides for ever. The numbers are of c5118d0.
    """
    one = OverrideTable()
    assert one.digest() == 577735
    one.merge_in(Override("s-0001", 2, 0, 1_700_000_002_000, 4))
    one.merge_in(Override("10.0.0.7:9000", 9, 1, 1_700_000_004_500, 1))
    assert one.digest() == 926526
    one.merge_in(Override("it's", 3, 1, 7, 0))
    assert one.digest() == 523789
    table = table_of(
        [
            CountRow("a", "pl", 0, 3, 1, "l1", CountValue(NOW - 9, NOW - 4, 10)),
            CountRow("zz", "pl", 0, 3, 2, "l2", CountValue(NOW - 9, NOW - 2, 77, 0)),
        ]
    )
    assert {n: sum_ for n, sum_ in enumerate(table.digests()) if sum_} == {1: 1107499, 3: 1155812}


@given(st.lists(overrides, min_size=1, max_size=6), st.randoms(use_true_random=False))
def test_overrides_end_the_same_in_any_order_and_however_often(
    calls: list[Override], chance: random.Random
) -> None:
    one, other = OverrideTable(), OverrideTable()
    for call in calls:
        one.merge_in(call)
    for call in chance.sample([*calls, *calls], 2 * len(calls)):
        other.merge_in(call)
    assert one.by_endpoint == other.by_endpoint and one.digest() == other.digest()


def test_an_override_reaches_all_and_the_rule_says_which_holds_after_a_partition() -> None:
    """Operators on both sides of a partition override the same endpoints; one has a slow clock."""
    net = Network([KnownAccounts() for _ in range(4)], whole=(0, 1, 2, 3))
    net.carry(0, net.all[0].set_override("h1", True, net.now))
    net.run(
        10.0, lambda: all(one.anti_entropy.overrides.disabled() == {"h1": True} for one in net.all)
    )
    net.cut = lambda a, b: (a < 2) != (b < 2)
    net.carry(0, net.all[0].set_override("h2", True, net.now - 500.0))  # its clock is behind
    net.carry(3, net.all[3].set_override("h1", False, net.now + 500.0))
    net.carry(3, net.all[3].set_override("h2", True, net.now))
    # made after having seen that it was out: goes on
    net.carry(3, net.all[3].set_override("h2", False, net.now))
    net.cut = lambda a, b: False
    net.run(20.0, lambda: len({one.anti_entropy.overrides.digest() for one in net.all}) == 1)
    assert [one.anti_entropy.overrides.disabled() for one in net.all] == [
        {"h1": False, "h2": False}
    ] * 4


def test_of_two_concurrent_overrides_the_disabling_one_holds_whatever_the_clocks() -> None:
    """Two operators who do not know of each other; the clock of the one that enables is ahead."""
    out, back = Override("h", 2, 1, 5, 0), Override("h", 2, 0, 900, 3)
    for order in ((out, back), (back, out)):
        one = OverrideTable()
        for call in order:
            one.merge_in(call)
        assert one.disabled() == {"h": True}


def test_an_override_that_changes_nothing_is_not_made() -> None:
    one = OverrideTable()
    assert (
        one.set_local("h", False, 1.0, 0) is None
        and one.set_local("h", True, 1.0, 0)
        and one.set_local("h", True, 2.0, 0) is None
    )
