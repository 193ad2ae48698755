"""What is learned of classes, against the plain definitions."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.load_estimate import LEARNING_RATE
from hazelhollow.decisions.load_shedding import DEMAND_SPAN, YIELD_POWER
from hazelhollow.decisions.state.class_statistics import ClassStatistics, RecentDemand
from hazelhollow.decisions.state.max_tree import MaxTree
from hazelhollow.simulator.errors import WireError
from hazelhollow.simulator.fields import Fields
from hazelhollow.simulator.settings_document import KnownSettings, parse_settings
from tests.decisions.helpers import (
    make,
    request_classes,
)


def plain_limit(
    engine: DecisionEngine, kind: api.RequestClass, worth: dict[str, float], work: float
) -> float:
    """As it was reckoned for each request, over all classes.

    `worth`, `work`: what was asked for lately.
    """
    learned = engine.load.classes
    value = {
        c.name: c.priority_weight * learned.units[c.name] / learned.work[c.name]
        for c in engine.settings.classes
    }
    if not engine.context.small_fleet:
        return engine.load.tightest_objective * value[kind.name] / max(value.values())
    longest = min(
        c.latency_objective for c in engine.settings.classes if value[c.name] >= value[kind.name]
    )
    cheapest = min(value, key=value.__getitem__)
    part = worth.get(cheapest, 0.0) / sum(worth.values()) if worth else 0.0
    value[cheapest] *= 1.0 + engine.settings.class_weight / max(part, 0.01)
    mean = (sum(worth.values()) / work if work else 0.0) or value[kind.name]
    return float(longest * min(1.0, value[kind.name] / mean) ** YIELD_POWER)


class_lists = st.lists(
    st.tuples(st.sampled_from([0.5, 1.0, 2.0, 9.0]), st.sampled_from([0.5, 1.0, 3.0])),
    min_size=1,
    max_size=9,
).map(
    lambda pairs: tuple(
        api.RequestClass(f"c{n}", aim, 20.0, worth, "safe") for n, (aim, worth) in enumerate(pairs)
    )
)


lessons = st.lists(
    st.tuples(
        st.integers(0, 8), st.sampled_from([1.0, 2.0, 5.0]), st.sampled_from([0.9, 1.0, 1.1, 1.5])
    ),
    max_size=40,
)


@hyp(max_examples=150, deadline=None)
@given(class_lists, class_lists, lessons, st.sampled_from([1, 3, 40]), st.sampled_from([0.0, 0.5]))
def test_the_limit_of_a_class_is_what_a_look_at_all_classes_says(
    classes: tuple[api.RequestClass, ...],
    later: tuple[api.RequestClass, ...],
    learned: list[tuple[int, float, float]],
    limiters: int,
    weight: float,
) -> None:
    engine = make(0, limiter_count=limiters, classes=classes, class_weight=weight)
    worth, work = dict[str, float](), 0.0
    for turn, (number, units, factor) in enumerate(learned):
        if turn == 20:
            engine.reconfigure(replace(engine.settings, classes=later))
        kind = engine.settings.classes[number % len(engine.settings.classes)]
        engine.load.classes.learn_units(kind, units, LEARNING_RATE)
        engine.load.classes.learn_work(kind, 1, factor, 1.0)
        engine.load_shedding.demand.add(
            kind.name, kind.priority_weight * units, engine.load.classes.work[kind.name]
        )
        worth = {name: amount * (1.0 - 1.0 / DEMAND_SPAN) for name, amount in worth.items()}
        worth[kind.name] = worth.get(kind.name, 0.0) + kind.priority_weight * units
        work = work * (1.0 - 1.0 / DEMAND_SPAN) + engine.load.classes.work[kind.name]
        for one in engine.settings.classes:
            assert engine.load_shedding.wait_limit(one) == pytest.approx(
                plain_limit(engine, one, worth, work), rel=1e-9
            )
    means = engine.load.classes.units
    assert engine.load.classes.mean_units() == pytest.approx(sum(means.values()) / len(means))


@given(
    st.lists(st.floats(0, 9), min_size=1, max_size=20),
    st.lists(st.tuples(st.integers(0, 19), st.floats(0, 9))),
)
def test_a_tree_finds_the_maximum_and_the_first_that_reaches_a_bound(
    start: list[float], puts: list[tuple[int, float]]
) -> None:
    tree, plain = MaxTree(start), list(start)
    for place, value in puts:
        plain[place % len(plain)] = value
        tree.put(place % len(plain), value)
        assert tree.max() == max(plain)
        for least in plain:
            assert tree.first_at_least(least) == next(n for n, v in enumerate(plain) if v >= least)


@given(
    st.lists(st.floats(0, 9), min_size=1, max_size=40),
    st.integers(0, 39),
    st.lists(st.floats(0, 9)),
)
def test_numbers_put_at_many_places_at_once_are_as_those_put_one_by_one(
    start: list[float], first: int, values: list[float]
) -> None:
    first %= len(start)
    values = values[: len(start) - first]
    at_once, one_by_one = MaxTree(start), MaxTree(start)
    at_once.put_all(first, values)
    for place, value in enumerate(values, first):
        one_by_one.put(place, value)
    assert at_once._nodes == one_by_one._nodes


told_classes = st.lists(
    st.builds(
        api.RequestClass,
        name=st.sampled_from("abcdef"),
        latency_objective=st.sampled_from([0.1, 0.2, 0.5]),
        deadline=st.just(1.0),
        priority_weight=st.sampled_from([0.5, 1.0, 2.0]),
        effect=st.just("safe"),
    ),
    min_size=1,
    unique_by=lambda kind: kind.name,
)


def shown(stats: ClassStatistics, request_classes: Sequence[api.RequestClass]) -> list[Any]:
    values = [stats.value(kind.name) for kind in request_classes]
    aims = [stats.tightest_objective_from(value) for value in values]
    return [values, aims, stats.highest_value(), stats.least_valuable(), stats.tightest_objective()]


changes_of_a_class = st.tuples(
    st.integers(0, 5),
    st.sampled_from([0.1, 0.2, 0.3, 0.5]),
    st.sampled_from([0.5, 1.0, 2.0]),
    st.floats(0.5, 2.0),
)


@given(told_classes, told_classes, st.lists(changes_of_a_class, max_size=6))
def test_settings_changed_class_by_class_are_as_if_all_were_new(
    first: list[api.RequestClass],
    last: list[api.RequestClass],
    changes: list[tuple[int, float, float, float]],
) -> None:
    told = [(first, 1.0)]
    for number, aim, worth, factor in changes:
        request_classes = list(told[-1][0])
        request_classes[number % len(request_classes)] = replace(
            request_classes[number % len(request_classes)],
            latency_objective=aim,
            priority_weight=worth,
        )
        told.append((request_classes, factor))
    stats = ClassStatistics(first)
    for request_classes, factor in [*told, (last, 1.0), (first, 1.0)]:
        stats.reconfigure(request_classes)
        plain = ClassStatistics(request_classes)
        plain.units, plain.work = dict(stats.units), dict(stats.work)
        plain._place_all(request_classes)
        assert shown(stats, request_classes) == shown(plain, request_classes)
        stats.learn_work(request_classes[0], 1, factor, 1.0)


def test_one_changed_class_of_many_is_parsed_and_placed_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    grades = [
        {"name": f"c{n}", "objective": 0.5, "deadline": 1.0, "effect": "pure"} for n in range(50)
    ]
    document = {"position": 0, "balancers": 1, "grades": grades}
    before = KnownSettings(document, parse_settings(Fields("settings", document)))
    engine = DecisionEngine(before.settings, 1)
    changed = {
        **document,
        "grades": [{**one, "objective": 0.4} if n == 7 else one for n, one in enumerate(grades)],
    }
    after = parse_settings(Fields("settings", changed), before)
    assert after == parse_settings(Fields("settings", changed))
    assert [n for n in range(50) if after.classes[n] is not before.settings.classes[n]] == [7]
    monkeypatch.setattr(ClassStatistics, "_place_all", None)  # what costs as much as all classes
    engine.reconfigure(after)
    assert engine.load.classes.tightest_objective() == engine.load.tightest_objective == 0.4


def test_gossip_names_classes_that_came_with_a_change() -> None:
    one, two, three = request_classes(3)
    engine = make(1, classes=(one, two))
    engine.reconfigure(replace(engine.settings, classes=(two, three)))
    assert engine.receiver.class_of == {
        gossip.name_tag(kind.name): kind.name for kind in (two, three)
    }


def test_an_entry_that_only_looks_the_same_is_parsed_again() -> None:
    grade = {"name": "c", "objective": 1, "deadline": 1.0, "effect": "pure"}
    document = {"position": 0, "balancers": 1, "grades": [grade]}
    before = KnownSettings(document, parse_settings(Fields("settings", document)))
    wrong = {**document, "grades": [{**grade, "objective": True}]}  # which is equal to 1
    with pytest.raises(WireError, match="objective"):
        parse_settings(Fields("settings", wrong), before)


def test_a_class_that_is_listed_no_more_is_learned_of_and_counts_no_more() -> None:
    one, two = request_classes(2)
    stats = ClassStatistics((one, two))
    stats.reconfigure((two,))
    stats.learn_work(one, 1, 0.001, 1.0)  # a request of it was still out
    assert stats.highest_value() == stats.value("c1") and stats.least_valuable() == "c1"
    stats.reconfigure((one, two))
    assert stats.highest_value() == stats.value("c0")


def test_what_was_asked_for_lately_fades() -> None:
    asked = RecentDemand(10.0)
    asked.add("a", 4.0, 2.0)
    assert asked.mean_value() == 2.0 and asked.share_of("a") == 1.0 and asked.share_of("b") == 0.0
    for _ in range(200):
        asked.add("b", 1.0, 1.0)
    assert asked.share_of("a") < 1e-6 and asked.mean_value() == pytest.approx(1.0)
