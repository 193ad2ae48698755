"""A hollow limiter under the control budget.

Each of its subsystems has its part, as a real one's has.
"""

from __future__ import annotations

import random

import pytest

from hazelhollow.control_budget.budget import MIN_BYTES_PER_S, TrafficRole, settings_for
from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.scale import settings, topology
from hazelhollow.scale.errors import PlanError
from hazelhollow.scale.hollow import Incarnation, IncarnationHost, InitialSettings
from hazelhollow.scale.load import populate
from hazelhollow.scale.measure import Meter
from hazelhollow.scale.network import HollowPeerSocket, NetworkState
from hazelhollow.scale.plan import FleetTerms, read
from hazelhollow.scale.results import Size

SIZE = Size(limiters=12, servers=4, routes=1, tenants=12, requests_per_s=1.0)
BUDGET = 4000.0


def incarnation(terms: FleetTerms) -> Incarnation:
    """One limiter of twelve that has started; the others are not there."""
    scheduler, meter = Scheduler(Clock()), Meter()
    peers = HollowPeerSocket(scheduler, NetworkState(meter), 0, ("127.0.0.1", 0), lambda: 0)
    shared = settings.document(SIZE, populate(SIZE, terms, 1).quotas, terms)
    initial = InitialSettings(
        settings.own_document(shared, 0, topology.make_topology(SIZE.limiters, terms)), 0
    )
    host = IncarnationHost(scheduler, meter, peers, lambda _: None, lambda _: None)
    limiter = Incarnation(host, initial, terms, random.Random(1).randrange(99))
    limiter.start(())
    return limiter


def test_under_a_budget_gossip_has_the_rate_of_its_role_and_each_subsystem_a_part() -> None:
    limiter = incarnation(FleetTerms(control_bytes_per_s=BUDGET))
    quota = settings_for(BUDGET).roles[TrafficRole.QUOTA]
    assert (
        limiter.engine.gossip.outbox is not None
        and limiter.engine.gossip.outbox.bytes.rate == quota.rate
    )
    assert limiter.engine.gossip.outbox.bytes.capacity <= quota.burst
    assert (
        limiter._budget is not None
        and limiter.membership is not None
        and limiter.membership.membership.allowance is not None
    )
    usage = limiter._budget.budget.usage
    assert usage[TrafficRole.MEMBERSHIP].sent > 0, "its first pings ask for their bytes"
    assert limiter._peers.on_sent is not None, "gossip is debited as it leaves"


def test_without_a_budget_there_is_none() -> None:
    limiter = incarnation(FleetTerms())
    assert limiter.engine.gossip.outbox is None


def test_a_plan_with_too_small_a_budget_is_refused_with_its_place() -> None:
    """A plan with too few bytes a second: the error names the setting."""
    text = f"[fleet]\ncontrol_bytes_per_s = {MIN_BYTES_PER_S - 1}\n"
    with pytest.raises(PlanError, match="control_bytes_per_s"):
        read(text, "plan.toml")
