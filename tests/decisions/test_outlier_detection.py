"""Outlier detection: failures, ejection, and what does not count as an outlier."""

from __future__ import annotations

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip import codec as gossip
from tests.decisions.helpers import (
    actions_of,
    ask,
    endpoint_list,
    entry,
    make_engine,
)

LARGE_FLEET = 40


def test_few_costly_requests_do_not_make_an_endpoint_look_slow() -> None:
    engine = make_engine()
    endpoint = engine.endpoints["s0"]
    for i in range(40):
        (send,) = actions_of(ask(engine, 100.0 + i, customer=f"{i}"), api.StartAttempt)
        cost = 20.0 if i % 20 == 0 else 0.1
        engine.handle(
            api.AttemptEnded(send.id, 0, send.endpoint, "ok", cost, final=True), 100.5 + i
        )
    assert all(s.work_factor < 2.0 for s in engine.endpoints.values()) and endpoint.work_factor > 0


def test_endpoint_that_fails_one_class_still_serves_the_others() -> None:
    """An endpoint fails every request of one class. It must continue to serve the others."""
    engine = make_engine()
    engine.handle(api.TimerFired("beat"), 100.3)
    for _ in range(3):
        engine.outliers.record_failure(engine.endpoints["s0"], "lookup")
    used = {"lookup": set[str](), "issue": set[str]()}
    for i in range(20):
        for kind, names in used.items():
            names |= {
                s.endpoint
                for s in actions_of(
                    ask(engine, 100.4, kind, customer=f"{kind}{i}"), api.StartAttempt
                )
            }
    assert "s0" not in used["lookup"] and "s0" in used["issue"]


def test_failures_reported_by_peers_eject_an_endpoint_for_the_class() -> None:
    """Each limiter of a large fleet sees too few failures to eject an endpoint by itself.

    The failures that all of them report must together eject it.
    """
    engine = make_engine(0, limiter_count=LARGE_FLEET)
    tag = engine.endpoints["s1"].tag
    for sender in (4, 5, 6):
        text = gossip.encode_header(100, 0.0, "aa") + gossip.encode(
            gossip.FailureReport(tag, gossip.name_tag("lookup"))
        )
        engine.handle(api.GossipReceived(sender, text), 100.1)
    used = {
        s.endpoint
        for i in range(40)
        for s in actions_of(ask(engine, 100.2, customer=f"{i}"), api.StartAttempt)
    }
    assert "s1" not in used and len(used) == 3


def test_late_answer_at_low_load_counts_as_a_failure_of_the_endpoint() -> None:
    """An endpoint answers late while the others are fast; it may stop answering next."""
    engine = make_engine(0, limiter_count=LARGE_FLEET)
    (send,) = actions_of(ask(engine, 100.0), api.StartAttempt)
    engine.handle(api.AttemptEnded(send.id, 0, send.endpoint, "ok", 1.5, final=True), 101.5)
    assert engine.endpoints[send.endpoint].outlier_records["lookup"].failures == 1.0


def fail(engine: DecisionEngine, status: api.Status, count: int) -> None:
    for i in range(count):
        for send in actions_of(
            ask(engine, 100.0 + i / 100, customer=f"{status}{i}"), api.StartAttempt
        ):
            ended = api.AttemptEnded(send.id, 0, send.endpoint, status, 0.003)
            engine.handle(ended, 100.01 + i / 100)


@pytest.mark.parametrize(
    "status, overloaded",
    [("error", False), ("connect_failed", False), ("reset", False), ("full", True)],
)
def test_immediate_failures_are_no_overload_but_full_queues_are(
    status: api.Status, overloaded: bool
) -> None:
    """A zone is lost, and attempts fail immediately.

    This must not count as an overload; full queues must.
    """
    engine = make_engine(0, limiter_count=LARGE_FLEET)
    engine.handle(endpoint_list("full", *(entry(f"s{i}") for i in range(60))), 100.0)
    fail(engine, status, 30)
    assert (engine.load.queue_wait > 0.35 * engine.load.tightest_objective) == overloaded


def test_refused_connection_ejects_at_once_only_in_a_large_fleet() -> None:
    """An endpoint refuses connections.

    A limiter of a large fleet uses it too rarely to count three failures.
    """
    for limiters, ejected in ((LARGE_FLEET, 1), (3, 0)):
        engine = make_engine(0, limiter_count=limiters)
        (send,) = actions_of(ask(engine, 100.0), api.StartAttempt)
        engine.handle(api.AttemptEnded(send.id, 0, send.endpoint, "connect_failed", 0.003), 100.01)
        assert engine.endpoints[send.endpoint].outlier_records[""].ejections == ejected
