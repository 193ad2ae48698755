"""Class statistics, compared with straightforward reference computations."""

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
    make_engine,
    request_classes,
)


def reference_limit(
    engine: DecisionEngine, kind: api.RequestClass, weight_by_class: dict[str, float], work: float
) -> float:
    """Returns the limit on the wait of a class, computed from all classes.

    `weight_by_class` and `work` are the recent demand.
    """
    learned = engine.load.classes
    value = {
        c.name: c.priority_weight * learned.units[c.name] / learned.work[c.name]
        for c in engine.settings.classes
    }
    if not engine.context.small_fleet:
        return engine.load.tightest_objective * value[kind.name] / max(value.values())
    objective = min(
        c.latency_objective for c in engine.settings.classes if value[c.name] >= value[kind.name]
    )
    cheapest = min(value, key=value.__getitem__)
    demand_share = (
        weight_by_class.get(cheapest, 0.0) / sum(weight_by_class.values())
        if weight_by_class
        else 0.0
    )
    value[cheapest] *= 1.0 + engine.settings.class_weight / max(demand_share, 0.01)
    mean = (sum(weight_by_class.values()) / work if work else 0.0) or value[kind.name]
    return float(objective * min(1.0, value[kind.name] / mean) ** YIELD_POWER)


class_lists = st.lists(
    st.tuples(st.sampled_from([0.5, 1.0, 2.0, 9.0]), st.sampled_from([0.5, 1.0, 3.0])),
    min_size=1,
    max_size=9,
).map(
    lambda pairs: tuple(
        api.RequestClass(f"c{n}", objective, 20.0, priority, "safe")
        for n, (objective, priority) in enumerate(pairs)
    )
)


observations = st.lists(
    st.tuples(
        st.integers(0, 8), st.sampled_from([1.0, 2.0, 5.0]), st.sampled_from([0.9, 1.0, 1.1, 1.5])
    ),
    max_size=40,
)


@hyp(max_examples=150, deadline=None)
@given(
    class_lists, class_lists, observations, st.sampled_from([1, 3, 40]), st.sampled_from([0.0, 0.5])
)
def test_wait_limit_equals_reference_computed_from_all_classes(
    classes: tuple[api.RequestClass, ...],
    changed_classes: tuple[api.RequestClass, ...],
    learned: list[tuple[int, float, float]],
    limiters: int,
    weight: float,
) -> None:
    engine = make_engine(0, limiter_count=limiters, classes=classes, class_weight=weight)
    weight_by_class, work = dict[str, float](), 0.0
    for turn, (number, units, factor) in enumerate(learned):
        if turn == 20:
            engine.reconfigure(replace(engine.settings, classes=changed_classes))
        kind = engine.settings.classes[number % len(engine.settings.classes)]
        engine.load.classes.learn_units(kind, units, LEARNING_RATE)
        engine.load.classes.learn_work(kind, 1, factor, 1.0)
        engine.load_shedding.demand.add(
            kind.name, kind.priority_weight * units, engine.load.classes.work[kind.name]
        )
        weight_by_class = {
            name: amount * (1.0 - 1.0 / DEMAND_SPAN) for name, amount in weight_by_class.items()
        }
        weight_by_class[kind.name] = (
            weight_by_class.get(kind.name, 0.0) + kind.priority_weight * units
        )
        work = work * (1.0 - 1.0 / DEMAND_SPAN) + engine.load.classes.work[kind.name]
        for one in engine.settings.classes:
            assert engine.load_shedding.wait_limit(one) == pytest.approx(
                reference_limit(engine, one, weight_by_class, work), rel=1e-9
            )
    means = engine.load.classes.units
    assert engine.load.classes.mean_units() == pytest.approx(sum(means.values()) / len(means))


@given(
    st.lists(st.floats(0, 9), min_size=1, max_size=20),
    st.lists(st.tuples(st.integers(0, 19), st.floats(0, 9))),
)
def test_max_tree_finds_maximum_and_first_value_to_reach_a_bound(
    initial: list[float], puts: list[tuple[int, float]]
) -> None:
    tree, reference = MaxTree(initial), list(initial)
    for position, value in puts:
        reference[position % len(reference)] = value
        tree.put(position % len(reference), value)
        assert tree.max() == max(reference)
        for bound in reference:
            assert tree.first_at_least(bound) == next(
                n for n, v in enumerate(reference) if v >= bound
            )


@given(
    st.lists(st.floats(0, 9), min_size=1, max_size=40),
    st.integers(0, 39),
    st.lists(st.floats(0, 9)),
)
def test_max_tree_put_all_equals_single_puts(
    initial: list[float], first: int, values: list[float]
) -> None:
    first %= len(initial)
    values = values[: len(initial) - first]
    at_once, one_by_one = MaxTree(initial), MaxTree(initial)
    at_once.put_all(first, values)
    for position, value in enumerate(values, first):
        one_by_one.put(position, value)
    assert at_once._nodes == one_by_one._nodes


named_class_lists = st.lists(
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


def all_results(stats: ClassStatistics, kinds: Sequence[api.RequestClass]) -> list[Any]:
    values = [stats.value(kind.name) for kind in kinds]
    objectives = [stats.tightest_objective_from(value) for value in values]
    return [
        values,
        objectives,
        stats.highest_value(),
        stats.least_valuable(),
        stats.tightest_objective(),
    ]


changes_of_a_class = st.tuples(
    st.integers(0, 5),
    st.sampled_from([0.1, 0.2, 0.3, 0.5]),
    st.sampled_from([0.5, 1.0, 2.0]),
    st.floats(0.5, 2.0),
)


@given(named_class_lists, named_class_lists, st.lists(changes_of_a_class, max_size=6))
def test_incremental_class_changes_equal_a_complete_rebuild(
    first: list[api.RequestClass],
    last: list[api.RequestClass],
    changes: list[tuple[int, float, float, float]],
) -> None:
    versions = [(first, 1.0)]
    for number, objective, priority, factor in changes:
        kinds = list(versions[-1][0])
        kinds[number % len(kinds)] = replace(
            kinds[number % len(kinds)], latency_objective=objective, priority_weight=priority
        )
        versions.append((kinds, factor))
    stats = ClassStatistics(first)
    for kinds, factor in [*versions, (last, 1.0), (first, 1.0)]:
        stats.reconfigure(kinds)
        rebuilt = ClassStatistics(kinds)
        rebuilt.units, rebuilt.work = dict(stats.units), dict(stats.work)
        rebuilt._place_all(kinds)
        assert all_results(stats, kinds) == all_results(rebuilt, kinds)
        stats.learn_work(kinds[0], 1, factor, 1.0)


def test_change_of_one_class_parses_and_places_only_that_class(
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
    monkeypatch.setattr(ClassStatistics, "_place_all", None)  # its cost grows with all classes
    engine.reconfigure(after)
    assert engine.load.classes.tightest_objective() == engine.load.tightest_objective == 0.4


def test_gossip_resolves_tags_of_classes_added_by_a_change() -> None:
    one, two, three = request_classes(3)
    engine = make_engine(1, classes=(one, two))
    engine.reconfigure(replace(engine.settings, classes=(two, three)))
    assert engine.receiver.class_of == {
        gossip.name_tag(kind.name): kind.name for kind in (two, three)
    }


def test_equal_class_entry_that_is_another_object_is_parsed_again() -> None:
    grade = {"name": "c", "objective": 1, "deadline": 1.0, "effect": "pure"}
    document = {"position": 0, "balancers": 1, "grades": [grade]}
    before = KnownSettings(document, parse_settings(Fields("settings", document)))
    wrong = {**document, "grades": [{**grade, "objective": True}]}  # True == 1 in Python
    with pytest.raises(WireError, match="objective"):
        parse_settings(Fields("settings", wrong), before)


def test_removed_class_still_learns_but_does_not_count() -> None:
    one, two = request_classes(2)
    stats = ClassStatistics((one, two))
    stats.reconfigure((two,))
    stats.learn_work(one, 1, 0.001, 1.0)  # a request of the removed class was in flight
    assert stats.highest_value() == stats.value("c1") and stats.least_valuable() == "c1"
    stats.reconfigure((one, two))
    assert stats.highest_value() == stats.value("c0")


def test_recent_demand_of_a_class_decays_with_later_requests() -> None:
    recent = RecentDemand(10.0)
    recent.add("a", 4.0, 2.0)
    assert (
        recent.mean_value() == 2.0 and recent.share_of("a") == 1.0 and recent.share_of("b") == 0.0
    )
    for _ in range(200):
        recent.add("b", 1.0, 1.0)
    assert recent.share_of("a") < 1e-6 and recent.mean_value() == pytest.approx(1.0)
