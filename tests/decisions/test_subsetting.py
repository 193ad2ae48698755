"""Subsetting: which endpoints a limiter of a large fleet uses."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.outlier_detection import OutlierRecord
from hazelhollow.decisions.subsetting import MIN_LIMITERS_PER_ENDPOINT, MIN_SUBSET_SIZE, subset
from tests.decisions.helpers import (
    actions_of,
    answer,
    ask,
    endpoint_list,
    entry,
    make_engine,
)

ENDPOINT_NAMES = [f"s{i:02}" for i in range(60)]


@pytest.mark.parametrize(
    "limiters, count", [(9, 30), (9, 500), (20, 60), (40, 60), (40, 5000), (100, 60), (300, 1000)]
)
def test_subsets_cover_all_endpoints_about_equally(limiters: int, count: int) -> None:
    uses = Counter(
        endpoint_number
        for limiter_id in range(limiters)
        for endpoint_number in subset(range(count), limiter_id, limiters)
    )
    mean_uses = sum(uses.values()) / count
    assert len(uses) == count and mean_uses >= MIN_LIMITERS_PER_ENDPOINT
    assert max(uses.values()) <= mean_uses + 4 and min(uses.values()) >= mean_uses - 4


@hyp(max_examples=60, deadline=None)
@given(st.integers(0, 59), st.integers(0, 99))
def test_removing_an_endpoint_moves_a_subset_by_at_most_one_position(
    removed: int, limiter_id: int
) -> None:
    before = subset(ENDPOINT_NAMES, limiter_id, 100)
    after = subset(
        [candidate for i, candidate in enumerate(ENDPOINT_NAMES) if i != removed], limiter_id, 100
    )
    assert (
        len(set(before) - set(after) - {ENDPOINT_NAMES[removed]}) <= 1
        and len(set(after) - set(before)) <= 2
    )


def test_few_endpoints_are_all_in_every_subset() -> None:
    assert subset(ENDPOINT_NAMES[:12], 7, 40) == ENDPOINT_NAMES[:12] and subset([], 7, 40) == []


def used(
    limiters: int,
    changes: dict[str, api.EndpointEntry],
    ejected: frozenset[str] = frozenset(),
    count: int = 300,
) -> set[str]:
    """Returns the endpoints of one engine's last 100 requests of `count`, each answered at once."""
    engine, names = make_engine(2, limiter_count=limiters), set[str]()
    engine.handle(
        endpoint_list("full", *(changes.get(name, entry(name)) for name in ENDPOINT_NAMES)), 0.0
    )
    for name in ejected:
        record = engine.endpoints[name].outlier_records[""] = OutlierRecord()
        record.failures, record.updated_at = 9.0, 100.0
        record.ejections, record.ejected_until = 1, 1100.0
    for i in range(count):
        now = 100.0 + i / 10
        for send in actions_of(ask(engine, now, customer=f"{i}"), api.StartAttempt):
            names |= {send.endpoint} if i >= count - 100 else set()
            answer(engine, send, now)
    return names


def test_large_fleet_uses_subsets_and_small_fleet_all_endpoints() -> None:
    assert len(used(40, {})) == MIN_SUBSET_SIZE
    small = make_engine(2, limiter_count=3)
    small.handle(endpoint_list("full", *(entry(name) for name in ENDPOINT_NAMES)), 0.0)
    assert len(next(small.selection.rounds())[1]) == len(ENDPOINT_NAMES)


def test_draining_or_ejected_endpoints_of_a_subset_are_replaced() -> None:
    """Endpoints of a limiter's subset drain or are ejected. Others must replace them."""
    own_subset = used(40, {})
    drained = used(40, {name: entry(name, state="draining") for name in own_subset})
    assert not drained & own_subset and len(drained) == MIN_SUBSET_SIZE
    # the replacements are drawn from all other endpoints
    assert len(used(40, {}, ejected=frozenset(own_subset)) - own_subset) > MIN_SUBSET_SIZE


def test_warming_endpoints_have_a_separate_subset() -> None:
    cold = {name: entry(name, started=95.0) for name in ENDPOINT_NAMES[:30]}
    found = used(40, cold, count=40)
    assert (
        found & set(ENDPOINT_NAMES[30:])
        and len(found & set(ENDPOINT_NAMES[30:])) <= MIN_SUBSET_SIZE
    )
