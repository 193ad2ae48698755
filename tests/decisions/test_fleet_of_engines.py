"""Forty engines together: what gossip costs and what becomes of quotas."""

from __future__ import annotations

from hazelhollow.bench.engine_fleet import EngineFleet, FleetOptions


def test_large_sets_are_told_seldom_enough_that_charges_find_room() -> None:
    counts = [EngineFleet(seed).play(10.0) for seed in (1, 2)]
    sent, offered = sum(c.attempts for c in counts), sum(c.offered_value for c in counts)
    # 189 where a quarter of a burst is news
    assert sum(c.gossip_bytes for c in counts) / sent < 150
    assert sum(c.dropped_datagrams for c in counts) < 0.008 * sum(
        c.gossip_datagrams for c in counts
    )
    assert (
        sum(c.served_value for c in counts) / offered > 0.88
    )  # an attempt takes half a second: the first are still out
    assert sum(c.excess_value for c in counts) / offered < 0.04
    assert min(c.lowest_ceiling for c in counts) >= 0.0


def test_quotas_hold_in_sets_that_no_hub_can_tell_within_a_second() -> None:
    count = EngineFleet(3, FleetOptions(limiters=150, units_per_s=800.0, endpoints=90)).play(8.0)
    assert (
        count.excess_value / count.offered_value < 0.11
    )  # 0.17 where each hub tells all of a set, the members in their order
    assert count.served_value / count.offered_value > 0.85  # 0.85 there
