"""Which attempts are cancelled for another one, and that the other one follows."""

from __future__ import annotations

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from tests.decisions.helpers import actions_of, ask, endpoint_list, entry, make_engine

START = 10.0
ROUND = api.TimerFired("beat")


def quick_engine() -> DecisionEngine:
    """Returns an engine that has learned that endpoints answer within 20 ms."""
    engine = make_engine(cancellation=True)
    for number in range(60):
        now = 1.0 + number / 10
        for send in actions_of(ask(engine, now, customer=f"{number}"), api.StartAttempt):
            answered = api.AttemptEnded(send.id, 0, send.endpoint, "ok", 0.02, True)
            engine.handle(answered, now + 0.02)
    assert engine.load.is_low()
    return engine


def begin(engine: DecisionEngine, count: int = 1, kind: str = "lookup") -> list[api.StartAttempt]:
    """Starts requests at START, each of a customer of its own."""
    sends = [
        send
        for number in range(count)
        for send in actions_of(
            ask(engine, START, kind, customer=f"c{number}", time_left=3.0), api.StartAttempt
        )
    ]
    assert len(sends) == count
    return sends


def progressed(send: api.StartAttempt, at: float, attempt: int = 0) -> api.AnswersProgressed:
    return api.AnswersProgressed((api.AnswerProgress(send.id, attempt, at),))


def cancel(
    engine: DecisionEngine, event: api.Event, now: float
) -> tuple[list[api.CancelAttempt], list[api.Action]]:
    """Passes an event, and performs cancellations as a driver does.

    Returns the cancellations and all other actions that followed them.
    """
    queue = [*engine.handle(event, now)]
    cancelled, others = list[api.CancelAttempt](), list[api.Action]()
    while queue:
        action = queue.pop(0)
        if not isinstance(action, api.CancelAttempt):
            others.append(action)
            continue
        cancelled.append(action)
        endpoint = engine.pending_requests[action.id].attempts[action.attempt].endpoint.entry.name
        elapsed = now - START
        ended = api.AttemptEnded(action.id, action.attempt, endpoint, "cancelled", elapsed)
        queue += engine.handle(ended, now)
    return cancelled, others


def test_attempt_is_judged_by_its_age_although_its_answer_has_begun() -> None:
    """A head comes at once and the value later: only the attempt without a byte is cancelled."""
    engine = quick_engine()
    begun, silent = begin(engine, 2)
    engine.handle(progressed(begun, START + 0.03), START + 0.05)
    cancelled, others = cancel(engine, ROUND, START + 0.8)
    assert [(one.id, one.reason) for one in cancelled] == [(silent.id, "hung")]
    assert [send.id for send in actions_of(others, api.StartAttempt)] == [silent.id]


def test_attempts_cancelled_in_one_round_share_a_retry_that_only_one_can_have() -> None:
    """The budget pays for three of eight: three are cancelled, and each has its retry."""
    engine = quick_engine()
    begin(engine, 8)
    engine.retry_budget.available = 3.5
    cancelled, others = cancel(engine, ROUND, START + 0.8)
    retried = [send.id for send in actions_of(others, api.StartAttempt)]
    assert len(retried) == 3 and retried == [one.id for one in cancelled]
    assert actions_of(others, api.RejectRequest) == []


@pytest.mark.parametrize("reason", ["hung", "last try"])
def test_attempt_without_an_endpoint_for_another_is_cancelled(reason: str) -> None:
    engine = quick_engine()
    (send,) = begin(engine)
    draining = [entry(f"s{i}", "ab"[i % 2], state="draining") for i in range(4)]
    engine.handle(endpoint_list("change", *draining), START + 0.1)
    now = START + (0.8 if reason == "hung" else 2.8)
    if reason == "last try":
        engine.handle(progressed(send, START + 0.1), START + 0.2)
    assert cancel(engine, ROUND, now)[0] == []


def test_answer_that_stays_silent_until_the_request_is_nearly_over_gets_no_retry() -> None:
    """A head and nothing: another endpoint is asked with 0.3 s left, after the objective."""
    engine = quick_engine()
    (send,) = begin(engine)
    engine.handle(progressed(send, START + 0.03), START + 0.05)
    for tenth in range(1, 27):
        assert cancel(engine, ROUND, START + tenth / 10)[0] == []
    cancelled, others = cancel(engine, ROUND, START + 2.75)
    (again,) = actions_of(others, api.StartAttempt)
    assert [one.reason for one in cancelled] == ["last try"] and again.endpoint != send.endpoint
    assert engine.endpoints[send.endpoint].outlier_records["lookup"].failures == 1.0


def test_answer_that_flows_is_cancelled_when_the_request_is_nearly_over() -> None:
    engine = quick_engine()
    (send,) = begin(engine)
    engine.handle(progressed(send, START + 2.6), START + 2.7)
    assert cancel(engine, ROUND, START + 2.75)[0] == []


def test_second_pause_of_a_request_is_taken_for_another_fault() -> None:
    """The answers of two endpoints pause: the request has a slow answer, and the second is kept."""
    engine = quick_engine()
    (send,) = begin(engine)
    (first,), others = cancel(engine, api.AnswerStalled(send.id, 0), START + 0.6)
    assert first.reason == "stalled" and actions_of(others, api.StartAttempt)
    assert cancel(engine, api.AnswerStalled(send.id, 1), START + 0.9)[0] == []


def test_answers_that_come_slowly_are_taken_for_an_overload_or_a_faulty_endpoint() -> None:
    """Their parts come for 1.5 s; the endpoints began to answer at once."""
    engine = quick_engine()
    sends = begin(engine, 6)
    for send in sends:
        engine.handle(progressed(send, START + 0.03), START + 0.05)
    for tenth in range(1, 15):
        engine.handle(ROUND, START + tenth / 10)
    assert engine.load.is_low()
    for send in sends:
        ended = api.AttemptEnded(
            send.id, 0, send.endpoint, "ok", 1.5, True, answer_time=1.47
        )  # fmt: skip
        engine.handle(ended, START + 1.5)
    assert engine.load.is_low()
    assert not any(engine.endpoints[send.endpoint].outlier_records for send in sends)


@pytest.mark.parametrize("is_flowing", [True, False])
def test_answer_that_flows_at_the_deadline_counts_as_a_failure(is_flowing: bool) -> None:
    engine = quick_engine()
    (send,) = begin(engine)
    engine.handle(progressed(send, START + (2.9 if is_flowing else 0.1)), START + 2.9)
    ended = api.AttemptEnded(send.id, 0, send.endpoint, "timeout", 3.0, False)
    engine.handle(ended, START + 3.0)
    assert bool(engine.endpoints[send.endpoint].outlier_records) is not is_flowing


def test_endpoint_whose_answer_flows_is_silent_for_other_requests() -> None:
    engine = quick_engine()
    (send,) = begin(engine)
    engine.handle(progressed(send, START + 0.9), START + 0.9)
    assert send.endpoint not in engine.unavailable_endpoints()
    engine.handle(ROUND, START + 1.6)
    assert send.endpoint in engine.unavailable_endpoints()


def test_attempt_is_cancelled_again_before_its_end_is_known() -> None:
    engine = quick_engine()
    begin(engine)
    first = actions_of(engine.handle(ROUND, START + 0.8), api.CancelAttempt)
    engine.load.queue_wait = 0.0  # others are answered at once
    again = actions_of(engine.handle(ROUND, START + 0.87), api.CancelAttempt)
    assert len(first) == 1 and again == []


def test_value_that_is_forwarded_loses_its_attempt_when_its_time_is_nearly_over() -> None:
    engine = quick_engine()
    (send,) = begin(engine)
    engine.handle(progressed(send, START + 0.03), START + 0.05)
    engine.handle(api.AttemptStarted(send.id, 0, send.endpoint), START + 0.06)
    assert cancel(engine, ROUND, START + 2.75)[0] == []


def test_slow_class_gives_up_a_silent_answer_long_before_the_end() -> None:
    """Its work is 0.5 s, twice that would be half of its client's time; 0.5 s are enough."""
    slow = api.RequestClass(
        "slow", latency_objective=3.0, deadline=4.0, priority_weight=1.0, effect="safe"
    )
    engine = make_engine(classes=(slow,))
    (send,) = begin(engine, kind="slow")
    for endpoint in engine.endpoints.values():
        endpoint.work_factor = 0.2
    engine.handle(progressed(send, START + 0.03), START + 0.05)
    assert cancel(engine, ROUND, START + 2.4)[0] == []
    assert [one.reason for one in cancel(engine, ROUND, START + 2.6)[0]] == ["last try"]


def test_check_whether_a_retry_could_start_changes_later_draws() -> None:
    engine = quick_engine()
    (send,) = begin(engine)
    request = engine.pending_requests[send.id]
    before = engine.context.random.getstate()
    assert engine.attempts.can_replace(request, request.attempts[0], request.deadline)
    assert engine.context.random.getstate() == before and request.attempts[0].in_flight


def test_hung_attempt_whose_retry_ends_after_the_objective_has_none() -> None:
    """The other endpoints are slow: the retry is late, but in its client's time."""
    engine = quick_engine()
    (send,) = begin(engine)
    for name, endpoint in engine.endpoints.items():
        if name != send.endpoint:
            endpoint.work_factor = 10.0
    cancelled, others = cancel(engine, ROUND, START + 0.8)
    (again,) = actions_of(others, api.StartAttempt)
    assert [one.reason for one in cancelled] == ["hung"] and again.endpoint != send.endpoint
