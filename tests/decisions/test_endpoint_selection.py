"""Endpoint selection: which endpoints get nothing, and how few of many are compared."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.endpoint_selection import MAX_COMPARED
from tests.decisions.helpers import (
    LIMITERS,
    actions_of,
    answer,
    ask,
    endpoint_entries,
    endpoint_list,
    entry,
    make,
)


def test_without_a_usable_endpoint_a_request_is_rejected() -> None:
    """All endpoints are gone or draining. The client must get its answer at once."""
    engine = make()
    engine.handle(endpoint_list("full"), 99.0)
    assert len(actions_of(ask(engine, 100.0), api.RejectRequest)) == 1


def test_a_draining_or_gone_endpoint_gets_nothing_new() -> None:
    engine = make()
    engine.handle(
        endpoint_list("change", entry("s0", state="draining"), entry("s2", state="gone")), 99.0
    )
    engine.handle(endpoint_list("change", entry("s1", state="gone")), 99.0)
    used = {
        s.endpoint
        for _ in range(9)
        for s in actions_of(ask(engine, 100.0, customer=f"{_}"), api.StartAttempt)
    }
    assert used == {"s3"}


def test_an_endpoint_that_answers_nothing_gets_nothing_new() -> None:
    """An endpoint goes silent with a request in flight.

    It must get nothing new until it answers.
    """
    engine = make()
    (hangs,) = actions_of(ask(engine, 1.0), api.StartAttempt)
    for name, endpoint in engine.endpoints.items():
        endpoint.work_factor = 1.0 if name == hangs.endpoint else 5.0  # else it would be the best
    later = set()
    for number in range(40):
        (send,) = actions_of(ask(engine, 1.9, customer=str(number)), api.StartAttempt)
        engine.handle(api.AttemptEnded(send.id, 0, send.endpoint, "ok", 0.05, True), 1.9)
        later.add(send.endpoint)
    assert later and hangs.endpoint not in later


def test_up_to_so_many_endpoints_all_are_compared_where_loads_are_known() -> None:
    for count in (MAX_COMPARED, MAX_COMPARED + 1, 500):
        engine = make(0, limiter_count=3)
        engine.handle(endpoint_list("full", *endpoint_entries(count)), 100.0)
        drawn = [some for _, some in engine.selection.rounds()]
        assert all(len(some) == MAX_COMPARED for some in drawn)
        assert count > MAX_COMPARED or drawn[0] == list(engine.endpoints.values())


@pytest.mark.parametrize("limiters", [3, LIMITERS])
def test_among_many_endpoints_the_one_that_is_up_is_found(limiters: int) -> None:
    engine = make(0, limiter_count=limiters)
    engine.handle(
        endpoint_list(
            "full", *(replace(e, state="draining") for e in endpoint_entries(500)), entry("last")
        ),
        100.0,
    )
    assert [send.endpoint for send in actions_of(ask(engine, 100.1), api.StartAttempt)] == ["last"]
    assert engine.unavailable_endpoints() == {f"s{n}" for n in range(500)}


@pytest.mark.parametrize("limiters", [3, LIMITERS])
def test_among_many_endpoints_a_retry_finds_those_that_drop_a_repeat(limiters: int) -> None:
    order = api.RequestClass(
        "order",
        latency_objective=3.0,
        deadline=4.0,
        priority_weight=1.0,
        effect="keyed",
        dedup_scope="cell",
        dedup_window=2.0,
    )
    for turn in range(10):
        engine = make(turn % 3, limiter_count=limiters, classes=(order,))
        engine.handle(endpoint_list("full", *endpoint_entries(500)), 100.0)
        (send,) = actions_of(ask(engine, 100.0, "order"), api.StartAttempt)
        (again,) = actions_of(answer(engine, send, 100.1, "reset"), api.StartAttempt)
        assert (
            engine.endpoints[again.endpoint].entry.cell
            == engine.endpoints[send.endpoint].entry.cell
        )
