"""Load shedding: which requests give way when answers wait."""

from __future__ import annotations

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import parse_settings
from tests.decisions.helpers import (
    CHEAP,
    DEAR,
    LOOKUP,
    actions_of,
    ask,
    count_admitted,
    endpoint_list,
    entry,
    make,
)

LARGE_FLEET = 40


def test_a_long_objective_does_not_let_a_cheap_class_shut_out_a_dear_one() -> None:
    """A cheap class with a long objective filled the queues and shut out the dear one."""
    dear = api.RequestClass(
        "dear", latency_objective=1.0, deadline=4.0, priority_weight=9.0, effect="safe"
    )
    cheap = api.RequestClass(
        "cheap", latency_objective=9.0, deadline=20.0, priority_weight=1.0, effect="safe"
    )
    engine = make(classes=(dear, cheap))
    assert (
        engine.load_shedding.wait_limit(cheap) == 1.0
        and engine.load_shedding.wait_limit(dear) == 1.0
    )


def test_under_pressure_a_retry_past_its_objective_yields() -> None:
    """In an overload old retries took the places of requests that could still be in time."""
    engine = make()
    for endpoint in engine.endpoints.values():
        # seconds of work: a wait between the two limits
        endpoint.in_flight["other", 0], endpoint.last_progress_at = 0.4, 100.0
    assert actions_of(ask(engine, 100.1, customer="a", time_left=2.5), api.RejectRequest)
    assert actions_of(ask(engine, 100.1, customer="b", time_left=4.0), api.StartAttempt)
    assert actions_of(ask(engine, 100.1, customer="c", time_left=3.5), api.StartAttempt)


@pytest.mark.parametrize("marks", [False, True])
def test_first_requests_that_come_with_less_time_are_not_taken_for_late_retries(
    marks: bool,
) -> None:
    """Some clients give a first request 60% of the time, and its retry all that is left.

    A short time left then shows no age.
    """
    engine = make(clients_mark_retries=marks)
    # learned where clients mark nothing, known where they do
    for turn in range(6 if not marks else 0):
        count_admitted(engine, 100.0, 1, customer=f"{turn}", time_left=2.4 + turn / 1000)
        count_admitted(engine, 100.0, 1, customer=f"r{turn}", time_left=3.9)
    for endpoint in engine.endpoints.values():
        endpoint.in_flight["other", 0], endpoint.last_progress_at = 0.4, 100.0
    assert actions_of(ask(engine, 100.1, customer="a", time_left=2.4), api.StartAttempt)
    assert actions_of(
        ask(engine, 100.1, customer="b", time_left=2.0, is_retry=marks), api.RejectRequest
    )


@pytest.mark.parametrize("limiters", [3, 12])
def test_in_a_large_fleet_a_few_requests_alike_do_not_pass_for_a_habit(limiters: int) -> None:
    """Each limiter sees little.

    Retries after a fixed wait, cut alike, would hold for first requests.
    """
    engine = make(limiter_count=limiters)
    count_admitted(engine, 100.0, 1, customer="first", time_left=4.0)
    for turn in range(6):
        count_admitted(engine, 100.0, 1, customer=f"{turn}", time_left=2.4)
    for endpoint in engine.endpoints.values():
        endpoint.in_flight["other", 0], endpoint.last_progress_at = (
            0.7 if limiters > 8 else 0.4,
            100.0,
        )
    late = [
        action.reason
        for action in actions_of(ask(engine, 100.1, customer="a", time_left=2.4), api.RejectRequest)
    ]
    assert late == ([] if limiters == 3 else ["late"])


def test_a_client_that_waits_as_advised_is_in_time() -> None:
    engine = make()
    for endpoint in engine.endpoints.values():
        endpoint.in_flight["other", 0] = 9.0
    (refusal,) = actions_of(ask(engine, 100.0), api.RejectRequest)
    assert 0 < refusal.retry_after < LOOKUP.latency_objective / 2


def slow(engine: DecisionEngine, now: float, elapsed: float, count: int) -> None:
    for i in range(count):
        for send in actions_of(ask(engine, now, customer=f"{now}{i}"), api.StartAttempt):
            engine.handle(
                api.AttemptEnded(send.id, 0, send.endpoint, "ok", elapsed, final=True), now
            )


def test_a_large_fleet_sheds_by_how_long_answers_waited_and_forgets_it() -> None:
    """All endpoints are slow for seconds.

    The fleet sheds load, and admits again once it is over.
    """
    engine = make(0, limiter_count=LARGE_FLEET)
    slow(engine, 100.0, 0.1, 20)
    assert actions_of(ask(engine, 100.0, customer="a"), api.StartAttempt)
    slow(engine, 100.1, 3.0, 60)
    assert actions_of(ask(engine, 100.1, customer="b"), api.RejectRequest)
    for beat in range(200):  # all rejected: nothing tells that it is over
        engine.handle(api.TimerFired("beat"), 100.2 + beat / 10)
    assert actions_of(ask(engine, 121.0, customer="c"), api.StartAttempt)


def test_attempts_in_flight_tell_of_a_slowing() -> None:
    """Endpoints slow down at once, and no answer tells of it yet."""
    engine = make(0, limiter_count=LARGE_FLEET)
    for i in range(5):
        ask(engine, 100.0, customer=f"{i}")
    for beat in range(10):
        engine.handle(api.TimerFired("beat"), 100.0 + beat / 10)
    assert engine.load.queue_wait > 0.3 * LOOKUP.latency_objective


def pressed(**changes: float) -> dict[str, int]:
    """How many of each class a limiter lets in of as many of both, with nothing answered."""
    plan = api.Plan("basic", rate=1000.0, burst=1000.0)
    told = api.Settings(0, 1, (CHEAP, DEAR), (plan,), max_units=4.0, max_attempts=3, **changes)  # type: ignore[arg-type]
    engine, sent = DecisionEngine(told, seed=1), {"cheap": 0, "dear": 0}
    engine.handle(endpoint_list("full", *(entry(f"s{n}") for n in range(4))), 100.0)
    for turn in range(100):
        for name in sent:
            sent[name] += len(
                actions_of(ask(engine, 100.0 + turn / 1000, name, set_size=1), api.StartAttempt)
            )
    return sent


def test_under_pressure_the_class_of_less_value_gives_way_first() -> None:
    assert pressed()["dear"] >= 2 * pressed()["cheap"] > 0


def test_a_goal_that_weighs_the_worst_served_class_lets_none_give_way() -> None:
    sent = pressed(class_weight=1.0)
    assert 0.7 * sent["dear"] <= sent["cheap"] <= 1.5 * sent["dear"]


@pytest.mark.parametrize(
    ("goal", "weight"),
    [
        ({}, 0.0),
        ({"whole": 0.5, "worst_window": 0.25, "worst_class": 0.15}, 0.2),
        ({"whole": 0.0, "worst_class": 1.0}, 1e6),
        ({"whole": 0.45, "worst_window": 0.4, "worst_class": 0.0, "worst_tenant": 0.15}, 0.0),
    ],
)
def test_the_goal_tells_what_the_worst_class_weighs(goal: dict[str, float], weight: float) -> None:
    grades = [{"name": "a", "objective": 1.0, "deadline": 2.0, "effect": "pure"}]
    told = parse_settings(
        Fields("s", {"position": 0, "balancers": 1, "grades": grades, "goal": goal})
    )
    assert told.class_weight == pytest.approx(weight)


def test_work_is_learned_for_each_number_of_units() -> None:
    """Where units are an estimate, a large one may mean far more work than its number says.

    Endpoints must be chosen and filled by the work.
    """
    plan = api.Plan("basic", rate=1000.0, burst=1000.0)
    engine = DecisionEngine(
        api.Settings(0, 1, (CHEAP,), (plan,), max_units=4.0, max_attempts=3), seed=1
    )
    engine.handle(endpoint_list("full", *(entry(f"s{n}") for n in range(4))), 100.0)
    for turn in range(2000):
        units, now = 1.0 + 3.0 * (turn % 2), 100.0 + turn / 10
        (send,) = actions_of(ask(engine, now, "cheap", set_size=1, units=units), api.StartAttempt)
        engine.handle(
            api.AttemptEnded(send.id, 0, send.endpoint, "ok", 0.1 if units == 1.0 else 1.0, True),
            now,
        )
    by_units = []
    for units in (1.0, 4.0):
        (send,) = actions_of(ask(engine, 310.0, "cheap", set_size=1, units=units), api.StartAttempt)
        by_units.append(engine.pending_requests[send.id].attempts[0].work)
        engine.handle(api.AttemptEnded(send.id, 0, send.endpoint, "ok", 0.1, True), 310.0)
    assert by_units[1] > 6 * by_units[0]
