"""Retries: which attempts may follow, and that no request takes effect twice."""

from __future__ import annotations

import pytest
from hypothesis import given, seed
from hypothesis import settings as hyp
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.retry import NEVER_RAN
from tests.decisions.helpers import (
    HOLD,
    actions_of,
    answer,
    ask,
    make_engine,
)


def test_unsafe_request_is_retried_only_if_it_cannot_have_run() -> None:
    """A connection broke after the request was sent.

    A request that may have run must not run again; one that never ran may.
    """
    engine = make_engine()
    (send,) = actions_of(ask(engine, 100.0, "issue"), api.StartAttempt)
    assert actions_of(answer(engine, send, 100.1, "reset"), api.FailRequest)
    (send,) = actions_of(ask(engine, 100.2, "issue"), api.StartAttempt)
    assert actions_of(answer(engine, send, 100.3, "full"), api.StartAttempt)


def test_late_events_for_an_ended_request_are_ignored() -> None:
    """A second end of an attempt and a disconnect arrive after the request has ended.

    They must neither cause an error nor reopen the request.
    """
    engine = make_engine()
    (send,) = actions_of(ask(engine, 100.0), api.StartAttempt)
    answer(engine, send, 100.1)
    assert answer(engine, send, 100.2, "timeout") == []
    assert engine.handle(api.ClientDisconnected(send.id), 100.3) == []
    assert engine.pending_requests == {}


STATUSES = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "never_sent")


@seed(1)
@hyp(max_examples=300, deadline=None, derandomize=True, database=None)
@given(
    kind=st.sampled_from(["lookup", "issue", "hold"]),
    statuses=st.lists(st.sampled_from(STATUSES), min_size=1, max_size=4),
    waits=st.lists(st.floats(0.001, 1.5), min_size=4, max_size=4),
)
def test_every_request_ends_once_and_takes_effect_at_most_once(
    kind: str, statuses: list[str], waits: list[float]
) -> None:
    """Attempts end with every status in every order.

    Each request must get one final answer, and none may take effect twice.
    """
    engine, now = make_engine(), 100.0
    actions = ask(engine, now, kind)
    zones = {s.entry.name: s.entry.zone for s in engine.endpoints.values()}
    ran: list[tuple[str, float]] = []
    for number, status in enumerate([*statuses, "timeout", "timeout", "timeout"]):
        sends = actions_of(actions, api.StartAttempt)
        finals = [a for a in actions if isinstance(a, api.RejectRequest | api.FailRequest)]
        assert len(sends) + len(finals) == 1
        if ran and kind == "issue":
            assert not sends and not actions_of(finals, api.RejectRequest)
        if ran and kind == "hold":
            assert not actions_of(finals, api.RejectRequest)
            for send in sends:
                assert zones[send.endpoint] == ran[0][0] and now < ran[0][1] + HOLD.dedup_window
        if finals:
            assert engine.pending_requests == {}
            return
        sent_at, now = now, now + waits[number % 4]
        if status not in NEVER_RAN:
            ran.append((zones[sends[0].endpoint], sent_at))
        final = status == "ok"
        event = api.AttemptEnded(sends[0].id, number, sends[0].endpoint, status, 0.1, final=final)  # type: ignore[arg-type]
        actions = engine.handle(event, now)
        if final:
            assert not actions_of(actions, api.StartAttempt) and engine.pending_requests == {}
            return
    raise AssertionError("the request got no final answer")


def test_attempt_aborted_at_once_costs_little_of_the_retry_budget() -> None:
    """Many immediate resets cost the endpoints nothing.

    If they used up the retry budget, requests would fail although a retry could succeed.
    """
    for elapsed, max_retries in ((0.0002, 200), (0.5, 30)):
        engine, retried = make_engine(), 0
        for number in range(200):
            (send,) = actions_of(ask(engine, 1.0 + number, customer=str(number)), api.StartAttempt)
            event = api.AttemptEnded(send.id, 0, send.endpoint, "reset", elapsed)
            again = actions_of(engine.handle(event, 1.0 + number), api.StartAttempt)
            retried += len(again)
            for further in again:
                engine.handle(
                    api.AttemptEnded(send.id, 1, further.endpoint, "ok", 0.1, True), 1.0 + number
                )
        assert 0.9 * max_retries <= retried <= max_retries


def retries_after_hang(
    engine: DecisionEngine, kind: str, wait: float, answers: bool
) -> tuple[list[str], str]:
    """Returns the endpoints of the retries of a hung attempt, and the endpoint of that attempt.

    Thirty other requests are answered before it starts.
    """
    for number in range(30):
        for send in actions_of(
            ask(engine, 1.0 + number / 10, customer=str(number)), api.StartAttempt
        ):
            engine.handle(
                api.AttemptEnded(send.id, 0, send.endpoint, "ok", 0.02, True), 1.02 + number / 10
            )
    (send,) = actions_of(ask(engine, 5.0, kind), api.StartAttempt)
    engine.load.queue_wait = wait
    if answers:
        engine.endpoints[send.endpoint].last_progress_at = 5.7
    cancels = actions_of(engine.handle(api.TimerFired("beat"), 5.75), api.CancelAttempt)
    actions = [
        engine.handle(api.AttemptEnded(c.id, c.attempt, send.endpoint, "cancelled", 0.75), 5.75)
        for c in cancels
    ]
    return [
        again.endpoint for a in actions for again in actions_of(a, api.StartAttempt)
    ], send.endpoint


@pytest.mark.parametrize("answers", [False, True])
def test_hung_attempt_at_low_load_is_retried_at_another_endpoint(answers: bool) -> None:
    """An endpoint accepts a request and never answers, while others answer at once."""
    engine = make_engine(cancellation=True)
    (other,), first = retries_after_hang(engine, "lookup", 0.0, answers)
    assert other != first
    # a single lost answer does not make the endpoint a failing one
    assert bool(engine.endpoints[first].outlier_records) is not answers


def test_hung_attempt_is_kept_in_overload_or_if_unsafe_to_repeat() -> None:
    """An attempt hangs in an overload, or is unsafe, or cancellation is off.

    A retry would add load in an overload, and could repeat the effect of an unsafe request.
    """
    assert retries_after_hang(make_engine(cancellation=True), "lookup", 0.5, False)[0] == []
    assert retries_after_hang(make_engine(cancellation=True), "issue", 0.0, False)[0] == []
    assert retries_after_hang(make_engine(), "lookup", 0.0, False)[0] == []
