"""The engine as a whole: its determinism, bad input, and that nothing grows for ever."""

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
    make,
)


def test_odd_requests_get_their_one_answer_at_once() -> None:
    engine = make()
    for odd in ({"class_name": "x"}, {"plan_name": "x"}, {"units": 0.0}, {"time_left": 0.0}):
        assert len(actions_of(ask(engine, 100.0, **odd), api.RejectRequest)) == 1


def test_nothing_grows_with_customers_that_never_come_back() -> None:
    engine = make()
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


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def play() -> list[api.Action]:
        engine, seen = make(), []
        for i in range(50):
            seen += ask(engine, 100.0 + i / 10, id=f"q{i}", customer=f"{i % 5}")
        return seen

    assert play() == play()


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
def test_settings_that_cannot_be_acted_on_are_named(name: str, value: object) -> None:
    with pytest.raises(ValueError, match=name):
        make(**{str(name): value})  # type: ignore[arg-type]


def test_customers_that_come_once_and_endpoints_that_fail_leave_nothing_behind() -> None:
    engine, most = make(), 0
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
        most = max(most, len(engine.accounts))
    assert (
        most <= 20 * 5
        and not engine.pending_requests
        and not engine.outliers.recent_failures
        and len(engine.endpoints) == 4
    )


def test_an_account_whose_charges_are_still_told_is_not_forgotten_in_between() -> None:
    """A fresh account would take the total that is told again for a new charge."""
    engine, head, seen = make(), "h{}0x ", set()
    charge = f"{base36(77)}:0:0:3:0:"
    for tenth in range(10, 50):
        engine.handle(api.TimerFired("beat"), tenth / 10)
        period = base36(tenth // 10)
        engine.handle(
            api.GossipReceived(1, head.format(period) + charge + base36(10)), tenth / 10 + 0.01
        )
        seen.add(id(engine.accounts[base36(77)]))
    assert len(seen) == 1
