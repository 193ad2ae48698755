"""A hollow limiter under the control budget.

Each of its subsystems has its role's part, as in a real limiter.
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


def started_limiter(terms: FleetTerms) -> Incarnation:
    """Starts one limiter of twelve; the others are not present."""
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


def test_budgeted_limiter_paces_gossip_and_gives_each_subsystem_its_part() -> None:
    limiter = started_limiter(FleetTerms(control_bytes_per_s=BUDGET))
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
    assert usage[TrafficRole.MEMBERSHIP].sent > 0, "the first pings did not consume their bytes"
    assert limiter._peers.on_sent is not None, "sent gossip is not debited"


def test_limiter_without_a_budget_does_not_pace_gossip() -> None:
    limiter = started_limiter(FleetTerms())
    assert limiter.engine.gossip.outbox is None


def test_plan_with_too_small_a_budget_is_rejected_naming_the_setting() -> None:
    """The error for a plan with too few bytes a second names the setting."""
    text = f"[fleet]\ncontrol_bytes_per_s = {MIN_BYTES_PER_S - 1}\n"
    with pytest.raises(PlanError, match="control_bytes_per_s"):
        read(text, "plan.toml")
