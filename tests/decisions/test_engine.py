"""The engine in general: determinism, invalid input, and bounded state."""

from __future__ import annotations

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip.codec import base36
from tests.decisions.helpers import (
    actions_of,
    answer,
    ask,
    endpoint_list,
    entry,
    make_engine,
)


def test_invalid_requests_are_rejected_once_and_at_once() -> None:
    engine = make_engine()
    for invalid in ({"class_name": "x"}, {"plan_name": "x"}, {"units": 0.0}, {"time_left": 0.0}):
        assert len(actions_of(ask(engine, 100.0, **invalid), api.RejectRequest)) == 1


def test_customers_that_never_return_leave_no_state() -> None:
    engine = make_engine()
    for i in range(2000):
        for send in actions_of(ask(engine, 100.0 + i * 0.01, customer=f"k{i}"), api.StartAttempt):
            answer(engine, send, 100.0 + i * 0.01)
    for i in range(200):
        engine.handle(api.TimerFired("beat"), 130.0 + i / 10)
    assert (
        not engine.accounts
        and not engine.pending_requests
        and not any(engine.gossip.unsent.values())
    )


def test_same_events_and_seed_produce_the_same_actions() -> None:
    def run() -> list[api.Action]:
        engine, actions = make_engine(), []
        for i in range(50):
            actions += ask(engine, 100.0 + i / 10, id=f"q{i}", customer=f"{i % 5}")
        return actions

    assert run() == run()


@pytest.mark.parametrize(
    "name, value",
    [
        ("limiter_id", 3),
        ("max_attempts", 0),
        ("gossip_messages_per_s", 0.0),
        ("classes", ()),
        ("plans", (api.Plan("p", 1.0, 0.0),)),
    ],
)
def test_invalid_setting_is_named_in_the_error(name: str, value: object) -> None:
    with pytest.raises(ValueError, match=name):
        make_engine(**{str(name): value})  # type: ignore[arg-type]


def test_one_time_customers_and_failing_endpoints_leave_bounded_state() -> None:
    engine, max_accounts = make_engine(), 0
    for second in range(1, 60):
        engine.handle(api.TimerFired("beat"), float(second))
        for n in range(20):
            (send,) = actions_of(
                ask(engine, second + 0.1, customer=f"{second}-{n}"), api.StartAttempt
            )
            status: api.Status = "error" if n % 5 == 0 else "ok"
            engine.handle(
                api.AttemptEnded(send.id, 0, send.endpoint, status, 0.1, True), second + 0.2
            )
        engine.handle(
            endpoint_list("change", entry(f"s{second % 4}", started=float(second))), second + 0.5
        )
        max_accounts = max(max_accounts, len(engine.accounts))
    assert (
        max_accounts <= 20 * 5
        and not engine.pending_requests
        and not engine.outliers.recent_failures
        and len(engine.endpoints) == 4
    )


def test_account_with_charges_still_being_reported_is_kept() -> None:
    """A new account would count the repeatedly reported total as a new charge."""
    engine, header, identities = make_engine(), "h{}0x ", set()
    charge = f"{base36(77)}:0:0:3:0:"
    for tenth in range(10, 50):
        engine.handle(api.TimerFired("beat"), tenth / 10)
        period = base36(tenth // 10)
        engine.handle(
            api.GossipReceived(1, header.format(period) + charge + base36(10)), tenth / 10 + 0.01
        )
        identities.add(id(engine.accounts[base36(77)]))
    assert len(identities) == 1
