"""Quotas: charge, settlement and refund, the limit on open requests, and the ceiling."""

from __future__ import annotations

import random
from zlib import crc32

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip.codec import base36
from tests.decisions.helpers import (
    HARD,
    actions_of,
    answer,
    ask,
    count_admitted,
    endpoint_list,
    make_engine,
)


def test_quota_refills_up_to_its_burst() -> None:
    engine = make_engine()
    assert count_admitted(engine, 100.0, 30) == 12
    assert count_admitted(engine, 102.0, 30) == 8
    assert count_admitted(engine, 120.0, 30) == 12


def test_settlement_above_the_estimate_can_make_the_quota_negative() -> None:
    engine = make_engine()
    (send,) = actions_of(ask(engine, 100.0, units=4.0), api.StartAttempt)
    answer(engine, send, 100.0, true_units=20.0)
    assert count_admitted(engine, 100.0, 5) == 0
    assert count_admitted(engine, 102.0, 5) == 0  # the level is still 0
    assert count_admitted(engine, 103.0, 5) > 0


def test_quota_refills_continuously() -> None:
    engine = make_engine()
    assert count_admitted(engine, 100.0, 30) == 12
    assert count_admitted(engine, 100.5, 30) == 2
    assert count_admitted(engine, 101.0, 30) == 2


def test_repeated_answer_settles_its_request_only_once() -> None:
    """Two answers to one request may both carry true units. Only the first may change the quota."""
    engine = make_engine()
    (send,) = actions_of(ask(engine, 100.0, units=4.0), api.StartAttempt)
    answer(engine, send, 100.0, true_units=1.0)
    answer(engine, send, 100.0, true_units=1.0)
    assert count_admitted(engine, 100.0, 30) == 11


def test_true_units_of_a_second_attempt_settle_nothing() -> None:
    engine = make_engine()
    (send,) = actions_of(ask(engine, 100.0, units=2.0), api.StartAttempt)
    (second,) = actions_of(answer(engine, send, 100.1, "error", true_units=4.0), api.StartAttempt)
    engine.handle(api.AttemptEnded(second.id, 1, second.endpoint, "ok", 0.1, True, 4.0), 100.2)
    assert next(iter(engine.accounts.values())).quota.level == pytest.approx(12.0 - 4.0, abs=1.0)


def test_request_beyond_the_quota_is_rejected_with_its_refill_time() -> None:
    engine = make_engine()
    count_admitted(engine, 100.0, 12)
    (rejection,) = actions_of(ask(engine, 100.0), api.RejectRequest)
    assert 0 < rejection.retry_after <= 1.0 and rejection.reason == "quota"


def test_rejection_carries_its_reason_for_the_counters() -> None:
    assert [
        r.reason for r in actions_of(ask(make_engine(), 0.0, plan_name="hard"), api.RejectRequest)
    ] == ["ceiling"]  # the ceiling is empty at the start
    assert [
        r.reason for r in actions_of(ask(make_engine(), 0.0, plan_name="none"), api.RejectRequest)
    ] == ["unknown"]
    without_endpoints = make_engine()
    without_endpoints.handle(endpoint_list("full"), 0.0)
    assert [r.reason for r in actions_of(ask(without_endpoints, 0.0), api.RejectRequest)] == [
        "no server"
    ]


@pytest.mark.parametrize("run", range(5))
def test_ceiling_holds_while_limiters_restart_and_all_gossip_is_lost(run: int) -> None:
    """Limiters are killed and restarted, and no datagram arrives.

    Together they must not exceed the ceiling.
    """
    rng, level, at = random.Random(run), HARD.ceiling_burst, 100.0
    fleet = [make_engine(i) for i in range(3)]
    for _ in range(3000):
        now = at + rng.expovariate(60.0)
        level, at = min(HARD.ceiling_burst, level + HARD.ceiling_rate * (now - at)), now
        number = rng.choice((0, 0, 0, 1, 2))
        if rng.random() < 0.002:
            fleet[number] = make_engine(number)
            fleet[number].context.started_at = now
        units = float(rng.randint(1, 4))
        for send in actions_of(
            ask(fleet[number], now, plan_name="hard", units=units), api.StartAttempt
        ):
            level -= units
            answer(fleet[number], send, now)
        assert level >= -1e-6


def open_requests_admitted(engine: DecisionEngine, now: float) -> int:
    """Returns how many of 8 requests of one customer are admitted while none ends."""
    return sum(
        bool(actions_of(ask(engine, now, plan_name="few"), api.StartAttempt)) for _ in range(8)
    )


def test_open_limit_includes_the_estimated_open_requests_of_peers() -> None:
    """A fixed share of a small limit rejects requests that the set has room for.

    Without shares or an estimate, a busy set would exceed the limit.
    """
    few = api.Plan("few", rate=100.0, burst=300.0, open_limit=6)
    assert open_requests_admitted(make_engine(plans=(few,)), 1.0) == 6
    key = base36(crc32(b"c") % 36**5)
    # Units charged per second by each of two peers; a request takes a sixth of a second.
    for units, expected in (
        (4, 4),
        (10, 2),
        (90, 2),
    ):
        engine = make_engine(plans=(few,))
        for peer in (1, 2):
            engine.handle(api.GossipReceived(peer, f"h10x {key}:0:0:3:0:{base36(10 * units)}"), 1.9)
        assert open_requests_admitted(engine, 1.9) == expected


def test_reported_open_requests_of_peers_decay_as_they_are_expected_to_end() -> None:
    few, key = api.Plan("few", rate=100.0, burst=300.0, open_limit=6), base36(crc32(b"c") % 36**5)
    for elapsed, expected in ((0.0, 2), (0.9, 5)):
        engine = make_engine(plans=(few,))
        for peer in (1, 2):
            engine.handle(api.GossipReceived(peer, f"h10x {key}:0:0:3:0:{base36(10)}:2"), 1.0)
        assert open_requests_admitted(engine, 1.0 + elapsed) == expected


def test_quota_reserves_units_for_charges_of_peers_not_yet_received() -> None:
    quick, key = api.Plan("quick", rate=1.0, burst=100.0), base36(crc32(b"c") % 36**5)
    for received, expected in ((0, 10), (50, 8)):
        engine = make_engine(plans=(quick,))
        ask(engine, 1.9, plan_name="quick", units=0.001)
        engine.handle(api.GossipReceived(1, f"h10x {key}:0:0:3:0:{base36(10 * received)}"), 1.9)
        engine.accounts[key].quota.level = 10.0
        assert (
            sum(
                bool(actions_of(ask(engine, 1.9, plan_name="quick"), api.StartAttempt))
                for _ in range(20)
            )
            == expected
        )
