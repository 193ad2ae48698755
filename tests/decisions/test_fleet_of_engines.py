"""Simulated fleets of decision engines: gossip traffic, and how well quotas hold."""

from __future__ import annotations

from hazelhollow.bench.engine_fleet import EngineFleet, FleetOptions


def test_announcements_to_large_sets_leave_room_for_charges() -> None:
    runs = [EngineFleet(seed).simulate(10.0) for seed in (1, 2)]
    sent, offered = sum(c.attempts for c in runs), sum(c.offered_value for c in runs)
    # 189 bytes per attempt if every change by a quarter of the burst is announced
    assert sum(c.gossip_bytes for c in runs) / sent < 150
    assert sum(c.dropped_datagrams for c in runs) < 0.008 * sum(c.gossip_datagrams for c in runs)
    # attempts take half a second, and the last ones are still in flight at the end
    assert sum(c.served_value for c in runs) / offered > 0.88
    assert sum(c.excess_value for c in runs) / offered < 0.04
    assert min(c.lowest_ceiling for c in runs) >= 0.0


def test_quotas_hold_in_sets_that_a_hub_cannot_notify_within_a_second() -> None:
    count = EngineFleet(3, FleetOptions(limiters=150, units_per_s=800.0, endpoints=90)).simulate(
        8.0
    )
    # 0.17 if each hub notifies all members of a set in order
    assert count.excess_value / count.offered_value < 0.11
    assert count.served_value / count.offered_value > 0.85  # 0.85 in that case
