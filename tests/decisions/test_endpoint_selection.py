"""Endpoint selection: which endpoints are excluded, and how many of a long list are compared."""

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
    make_engine,
)


def test_request_without_a_usable_endpoint_is_rejected_at_once() -> None:
    """The endpoint list is empty. The client must get its answer at once."""
    engine = make_engine()
    engine.handle(endpoint_list("full"), 99.0)
    assert len(actions_of(ask(engine, 100.0), api.RejectRequest)) == 1


def test_draining_or_gone_endpoint_gets_no_new_work() -> None:
    engine = make_engine()
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


def test_silent_endpoint_gets_no_new_work() -> None:
    """An endpoint stops answering with a request in flight.

    It must get no new work until it answers.
    """
    engine = make_engine()
    (hung,) = actions_of(ask(engine, 1.0), api.StartAttempt)
    for name, endpoint in engine.endpoints.items():
        endpoint.work_factor = 1.0 if name == hung.endpoint else 5.0  # it would be preferred
    used_later = set()
    for number in range(40):
        (send,) = actions_of(ask(engine, 1.9, customer=str(number)), api.StartAttempt)
        engine.handle(api.AttemptEnded(send.id, 0, send.endpoint, "ok", 0.05, True), 1.9)
        used_later.add(send.endpoint)
    assert used_later and hung.endpoint not in used_later


def test_small_fleet_compares_all_endpoints_up_to_a_maximum() -> None:
    for count in (MAX_COMPARED, MAX_COMPARED + 1, 500):
        engine = make_engine(0, limiter_count=3)
        engine.handle(endpoint_list("full", *endpoint_entries(count)), 100.0)
        candidates_by_round = [candidates for _, candidates in engine.selection.rounds()]
        assert all(len(candidates) == MAX_COMPARED for candidates in candidates_by_round)
        assert count > MAX_COMPARED or candidates_by_round[0] == list(engine.endpoints.values())


@pytest.mark.parametrize("limiters", [3, LIMITERS])
def test_only_endpoint_that_is_up_is_found_among_many(limiters: int) -> None:
    engine = make_engine(0, limiter_count=limiters)
    engine.handle(
        endpoint_list(
            "full", *(replace(e, state="draining") for e in endpoint_entries(500)), entry("last")
        ),
        100.0,
    )
    assert [send.endpoint for send in actions_of(ask(engine, 100.1), api.StartAttempt)] == ["last"]
    assert engine.unavailable_endpoints() == {f"s{n}" for n in range(500)}


@pytest.mark.parametrize("limiters", [3, LIMITERS])
def test_keyed_retry_goes_to_the_cell_of_the_first_attempt_among_many(limiters: int) -> None:
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
        engine = make_engine(turn % 3, limiter_count=limiters, classes=(order,))
        engine.handle(endpoint_list("full", *endpoint_entries(500)), 100.0)
        (send,) = actions_of(ask(engine, 100.0, "order"), api.StartAttempt)
        (second,) = actions_of(answer(engine, send, 100.1, "reset"), api.StartAttempt)
        assert (
            engine.endpoints[second.endpoint].entry.cell
            == engine.endpoints[send.endpoint].entry.cell
        )
