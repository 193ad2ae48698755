"""Load shedding: which requests are rejected first under load."""

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
    make_engine,
)

LARGE_FLEET = 40


def test_low_value_class_with_long_objective_does_not_starve_others() -> None:
    """A low-value class with a long objective filled the queues and starved a valuable one."""
    dear = api.RequestClass(
        "dear", latency_objective=1.0, deadline=4.0, priority_weight=9.0, effect="safe"
    )
    cheap = api.RequestClass(
        "cheap", latency_objective=9.0, deadline=20.0, priority_weight=1.0, effect="safe"
    )
    engine = make_engine(classes=(dear, cheap))
    assert (
        engine.load_shedding.wait_limit(cheap) == 1.0
        and engine.load_shedding.wait_limit(dear) == 1.0
    )


def test_under_load_a_retry_past_its_objective_is_rejected() -> None:
    """In an overload, late retries displaced requests that could still be in time."""
    engine = make_engine()
    for endpoint in engine.endpoints.values():
        # seconds of work; the wait lies between the two limits
        endpoint.in_flight["other", 0], endpoint.last_progress_at = 0.4, 100.0
    assert actions_of(ask(engine, 100.1, customer="a", time_left=2.5), api.RejectRequest)
    assert actions_of(ask(engine, 100.1, customer="b", time_left=4.0), api.StartAttempt)
    assert actions_of(ask(engine, 100.1, customer="c", time_left=3.5), api.StartAttempt)


@pytest.mark.parametrize("marks", [False, True])
def test_first_requests_with_a_short_timeout_do_not_count_as_late_retries(
    marks: bool,
) -> None:
    """Some clients wait 60% of the deadline for a first request, and the rest for its retry.

    A first request then has a short time left, which must not count as age.
    """
    engine = make_engine(clients_mark_retries=marks)
    # must be learned unless clients mark their retries
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
def test_large_fleet_does_not_learn_a_timeout_from_a_few_equal_requests(limiters: int) -> None:
    """Each limiter of a large fleet sees few requests.

    Retries after a fixed wait have equal remaining times and would count as first requests.
    """
    engine = make_engine(limiter_count=limiters)
    count_admitted(engine, 100.0, 1, customer="first", time_left=4.0)
    for turn in range(6):
        count_admitted(engine, 100.0, 1, customer=f"{turn}", time_left=2.4)
    for endpoint in engine.endpoints.values():
        endpoint.in_flight["other", 0], endpoint.last_progress_at = (
            0.7 if limiters > 8 else 0.4,
            100.0,
        )
    reasons = [
        action.reason
        for action in actions_of(ask(engine, 100.1, customer="a", time_left=2.4), api.RejectRequest)
    ]
    assert reasons == ([] if limiters == 3 else ["late"])


def test_retry_after_in_an_overload_is_less_than_half_the_objective() -> None:
    engine = make_engine()
    for endpoint in engine.endpoints.values():
        endpoint.in_flight["other", 0] = 9.0
    (rejection,) = actions_of(ask(engine, 100.0), api.RejectRequest)
    assert 0 < rejection.retry_after < LOOKUP.latency_objective / 2


def answer_requests(engine: DecisionEngine, now: float, elapsed: float, count: int) -> None:
    for i in range(count):
        for send in actions_of(ask(engine, now, customer=f"{now}{i}"), api.StartAttempt):
            engine.handle(
                api.AttemptEnded(send.id, 0, send.endpoint, "ok", elapsed, final=True), now
            )


def test_large_fleet_sheds_by_learned_queue_wait_which_decays() -> None:
    """All endpoints are slow for seconds.

    The fleet must shed load, and admit requests again afterwards.
    """
    engine = make_engine(0, limiter_count=LARGE_FLEET)
    answer_requests(engine, 100.0, 0.1, 20)
    assert actions_of(ask(engine, 100.0, customer="a"), api.StartAttempt)
    answer_requests(engine, 100.1, 3.0, 60)
    assert actions_of(ask(engine, 100.1, customer="b"), api.RejectRequest)
    for round_number in range(
        200
    ):  # all requests are rejected, so no answer shows that the endpoints have recovered
        engine.handle(api.TimerFired("beat"), 100.2 + round_number / 10)
    assert actions_of(ask(engine, 121.0, customer="c"), api.StartAttempt)


def test_attempts_in_flight_raise_the_queue_wait_before_late_answers() -> None:
    """Endpoints slow down suddenly, and no answer shows it yet."""
    engine = make_engine(0, limiter_count=LARGE_FLEET)
    for i in range(5):
        ask(engine, 100.0, customer=f"{i}")
    for round_number in range(10):
        engine.handle(api.TimerFired("beat"), 100.0 + round_number / 10)
    assert engine.load.queue_wait > 0.3 * LOOKUP.latency_objective


def admitted_under_load(**changes: float) -> dict[str, int]:
    """Returns how many of 100 requests of each class are admitted while none is answered."""
    plan = api.Plan("basic", rate=1000.0, burst=1000.0)
    settings = api.Settings(0, 1, (CHEAP, DEAR), (plan,), max_units=4.0, max_attempts=3, **changes)  # type: ignore[arg-type]
    engine, sent = DecisionEngine(settings, seed=1), {"cheap": 0, "dear": 0}
    engine.handle(endpoint_list("full", *(entry(f"s{n}") for n in range(4))), 100.0)
    for turn in range(100):
        for name in sent:
            sent[name] += len(
                actions_of(ask(engine, 100.0 + turn / 1000, name, set_size=1), api.StartAttempt)
            )
    return sent


def test_under_load_the_class_of_lower_value_is_rejected_first() -> None:
    assert admitted_under_load()["dear"] >= 2 * admitted_under_load()["cheap"] > 0


def test_weight_of_the_worst_served_class_equalizes_admission() -> None:
    sent = admitted_under_load(class_weight=1.0)
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
def test_class_weight_is_derived_from_the_goal(goal: dict[str, float], weight: float) -> None:
    grades = [{"name": "a", "objective": 1.0, "deadline": 2.0, "effect": "pure"}]
    settings = parse_settings(
        Fields("s", {"position": 0, "balancers": 1, "grades": grades, "goal": goal})
    )
    assert settings.class_weight == pytest.approx(weight)


def test_work_is_learned_separately_for_each_number_of_units() -> None:
    """Requests with many estimated units may need more work than in proportion to their units.

    Endpoint selection must use the work learned for that number of units.
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
