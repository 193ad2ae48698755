"""Plans of fault-injection runs: drawn, named, read from files, validated and shrunk."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.fault_injection import plan, shrink
from hazelhollow.fault_injection.drawn_plans import QUIET_END_S, drawn_plan
from hazelhollow.fault_injection.errors import PlanError
from hazelhollow.fault_injection.named_plans import NAMED, named_plan


@given(st.integers(0, 10_000), st.integers(2, 20))
def test_drawn_plan_is_valid_reproducible_and_survives_a_round_trip(
    seed: int, instances: int
) -> None:
    drawn = drawn_plan(seed, instances)
    plan.check(drawn)
    assert drawn == drawn_plan(seed, instances) == plan.read(plan.write(drawn))
    assert drawn.events and plan.end_of_last_fault(drawn) <= drawn.seconds - QUIET_END_S + 0.01


@pytest.mark.parametrize("name", NAMED)
def test_named_plans_are_valid(name: str) -> None:
    for instances in (2, 5, 20):
        plan.check(named_plan(name, instances))


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("{", "truncated"),
        ('{"name": "x", "colour": 1}', "colour"),
        ('{"name": "x", "events": [{"at": 1, "what": "melt", "whom": ["n0"]}]}', "melt"),
        (
            '{"name": "x", "events": [{"at": 1, "what": "kill", "whom": ["n9"]}]}',
            "event 0 (kill): no process n9",
        ),
        (
            '{"name": "x", "events": [{"at": 30, "what": "kill", "whom": ["n0"]}]}',
            "affects 'n0' from 30 to 30 s: it must name a process and lie within the drill's 24 s",
        ),
        (
            '{"name": "x", "events": [{"at": 1, "what": "lose", "whom": ["n0"], "amount": 3}]}',
            "share",
        ),
        (
            (
                '{"name": "x", "events": [{"at": 1, "what": "cut", "whom": ["n0"], "lasts": '
                '2, "repeat": 1}]}'
            ),
            "would overlap",
        ),
        ('{"name": "x", "load": [{"customer": "1", "plan": "tin"}]}', "gold and iron"),
    ],
)
def test_invalid_plan_is_refused_with_its_location(text: str, says: str) -> None:
    """A plan with a mistake is refused before it starts, and the message names the place."""
    with pytest.raises(PlanError, match=says.replace("(", r"\(").replace(")", r"\)")):
        plan.read(text)


def test_link_fault_affects_both_directions_unless_one_way() -> None:
    three_limiters = plan.Plan(name="x", instances=3)
    event = plan.Event(at=1, what="cut", whom=("n0",))
    assert plan.pairs(three_limiters, event) == [
        ("n0", "n1"),
        ("n0", "n2"),
        ("n1", "n0"),
        ("n2", "n0"),
    ]
    assert plan.pairs(
        three_limiters, plan.Event(at=1, what="cut", whom=("n0",), others=("h0",), one_way=True)
    ) == [("n0", "h0")]


def test_shrinking_keeps_the_event_that_causes_the_failure() -> None:
    """A failing plan shrinks to the event that makes it fail; a plan that does not fail stays."""
    drawn = drawn_plan(5, 8)
    culprit = drawn.events[len(drawn.events) // 2]
    smaller, trials = shrink.shrink(drawn, lambda p: culprit in p.events, 60)
    assert smaller.events == (culprit,) and trials <= 60 and smaller.seconds < drawn.seconds
    assert shrink.shrink(drawn, lambda p: False, 60)[0] == drawn


@given(st.integers(0, 500), st.integers(2, 20))
def test_drawn_settings_changes_are_valid_and_rise_in_revision(seed: int, instances: int) -> None:
    drawn = drawn_plan(seed, instances, changes=True)
    plan.check(drawn)
    assert drawn == drawn_plan(seed, instances, changes=True) == plan.read(plan.write(drawn))
    settings_events = [
        (event.at, int(event.amount)) for event in drawn.events if event.what == "settings"
    ]
    assert [revision for _, revision in sorted(settings_events)] == [
        1,
        2,
        3,
    ] and plan.newest_revision(drawn) == 3
    assert [
        event for event in drawn_plan(seed, instances).events if event.what in ("settings", "old")
    ] == []


def test_zone_expands_to_its_limiters_and_hosts() -> None:
    """A fault on a zone affects its limiters and hosts, which still reach each other. A zone that
    does not exist is refused.
    """
    two_zones = plan.Plan(
        name="x",
        instances=4,
        hosts=3,
        zones=2,
        events=(plan.Event(at=1, what="cut", whom=("z1",), lasts=2),),
    )
    plan.check(two_zones)
    (event,) = plan.expanded_events(two_zones)
    assert event.whom == ("n2", "n3", "h1")
    affected = plan.pairs(two_zones, event)
    assert (
        ("n2", "h0") in affected
        and ("n0", "n2") in affected
        and ("h1", "n0") in affected
        and ("n2", "n3") not in affected
    )
    with pytest.raises(PlanError, match="z2"):
        plan.check(
            plan.Plan(
                name="x", zones=2, events=(plan.Event(at=1, what="cut", whom=("z2",), lasts=2),)
            )
        )


@pytest.mark.parametrize("amount", [0.0, 0.5])
def test_settings_event_without_an_integer_revision_is_refused(amount: float) -> None:
    """A settings event whose revision is 0 or a fraction is refused."""
    with pytest.raises(PlanError, match="an integer from 1 on"):
        plan.check(
            plan.Plan(
                name="x", events=(plan.Event(at=1, what="settings", whom=("n0",), amount=amount),)
            )
        )
