"""State that must stay bounded with any number of customers, classes and failures."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

from hazelhollow.decisions.outlier_detection import MAX_RECORDS
from hazelhollow.decisions.state.accounts import Account, Opening
from tests.decisions.helpers import (
    ENGINE_SETTINGS,
    LIMITERS,
    engine_with_charges,
    make_engine,
    request_classes,
)


def test_large_set_selects_busiest_members_first_then_random_others() -> None:
    account = Account(make_engine().context.plans["basic"], "3", Opening(1.0, 0.0, 0.0, False))
    account.place_set(7, 500, replace(ENGINE_SETTINGS, limiter_count=600))
    account.charges.reported = {
        ("9.aa", 5): 2.0,
        ("300.bb", 5): 7.0,
        ("9.aa", 4): 1.0,
        ("3.cc", 5): 9.0,
        ("8.d", 5): 0.0,
    }
    seen = Counter[int]()
    for turn in range(60):
        selected = account.busiest_members(600, 40, random.Random(turn))
        # 3 is not in the set
        assert selected[:2] == [300, 9] and len(set(selected)) == len(selected) == 40
        assert all(account.includes(number, 600) for number in selected)
        seen.update(selected[2:])
    assert len(seen) > 400
    assert account.busiest_members(600, 1, random.Random(1)) == [300]
    assert sorted(account.busiest_members(600, 500, random.Random(1))) == sorted(
        account.members(600)
    )


def test_endpoint_with_expired_failures_of_many_classes_keeps_few_records() -> None:
    engine = make_engine(0, limiter_count=LIMITERS, classes=request_classes(300))
    endpoint = engine.endpoints["s0"]
    for number in range(300):
        engine.context.now = 100.0 + number
        engine.outliers.record_failure(endpoint, f"c{number}")
    assert len(endpoint.outlier_records) <= MAX_RECORDS and "c299" in endpoint.outlier_records


def test_only_latest_failures_are_reported_and_old_ones_are_dropped() -> None:
    engine = make_engine(0, limiter_count=LIMITERS)
    for number, tag in enumerate("abcab"):
        engine.context.now = 100.0 + number
        engine.outliers.record_for_gossip(tag, "k")
    assert engine.outliers.latest_failures(2, 10.0) == [("a", "k"), ("b", "k")]
    assert engine.outliers.latest_failures(3, 3.0) == [("c", "k"), ("a", "k"), ("b", "k")][-2 - 1 :]
    engine.context.now = 200.0
    assert engine.outliers.latest_failures(3, 3.0) == [] and not engine.outliers.recent_failures


def test_outdated_updates_are_examined_only_once() -> None:
    engine = engine_with_charges(50)
    unsent = {(f"gone{n}", 50): "" for n in range(3000)}
    for _ in range(7):
        assert engine.composer.fill_datagram("head", unsent) == "head"
    assert not unsent
