"""The bench's model of all that can happen to counts, and its measurements of catch-up and cost."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from hazelhollow.bench import replica
from hazelhollow.bench.commands import bench
from hazelhollow.bench.count_model.cluster import Bounds, Step
from hazelhollow.bench.count_model.exploration import explore, play
from hazelhollow.bench.count_model.fault_plan import as_plan
from hazelhollow.bench.count_model.planted_mistakes import plant_mistake
from hazelhollow.bench.errors import InvariantError
from hazelhollow.fault_injection import plan
from hazelhollow.fault_injection.run_commands import load_plan

CHARGE, TURN, COUNTS = Step("charge", (0,)), Step("turn"), Step("counts", (0, 1))
FAST = Bounds(charges=1, sends=2, turns=3, crashes=0, copies=0, depth=9)


@pytest.mark.parametrize(
    "bounds",
    [
        Bounds(depth=5),
        Bounds(charges=1, sends=1, turns=2, copies=0, depth=7),
        FAST,
        Bounds(members=3, lags=0, copies=0, depth=4),
    ],
)
def test_in_every_order_up_to_these_bounds_each_charge_counts_once(bounds: Bounds) -> None:
    found = explore(bounds)
    assert found.failure == "" and found.states > 100


LATE = Bounds(members=3, turns=4, copies=0, lags=0, depth=12)
PLANTED = [
    ("late gossip counts beside its count", FAST, ()),
    ("a count forgets what gossip told", FAST, ()),
    ("who spoke last is right", LATE, (CHARGE, TURN, TURN, COUNTS, CHARGE, TURN, TURN)),
    ("catch-up forgets what was charged meanwhile", Bounds(depth=4), ()),
]


@pytest.mark.parametrize(("name", "bounds", "first"), PLANTED)
def test_planted_mistakes_are_found_and_become_plans(
    name: str, bounds: Bounds, first: tuple[Step, ...], tmp_path: Path
) -> None:
    """A mistake in merge, gossip or catch-up: the model must find it and make a plan of it."""
    with plant_mistake(name):
        found = explore(bounds, first=first)
    assert found.failure and len(found.steps) <= bounds.depth
    fault_plan = as_plan(bounds, found.steps, found.failure)
    plan.check(fault_plan)
    (tmp_path / "plan.json").write_bytes(plan.write(fault_plan))
    assert load_plan(tmp_path / "plan.json") == fault_plan
    with (
        pytest.raises(InvariantError),
        plant_mistake(name),
    ):  # the same steps break it again, and only with the mistake
        play(bounds, found.steps).check()
        play(bounds, found.steps).check_after_exchange()
    play(bounds, found.steps).check()


def test_the_command_says_what_broke_and_how(tmp_path: Path) -> None:
    arguments = [
        "model",
        "--depth",
        "4",
        "--plant",
        "catch-up forgets what was charged meanwhile",
        "--plan",
        str(tmp_path / "p.json"),
    ]
    result = CliRunner().invoke(bench, arguments)
    assert (
        result.exit_code == 1
        and "crash" in result.output
        and plan.read((tmp_path / "p.json").read_bytes()).events
    )
    result = CliRunner().invoke(bench, ["model", "--depth", "3"])
    assert result.exit_code == 0 and "counts once" in result.output


@pytest.mark.parametrize("lose", [0.0, 0.3])
def test_catch_up_tells_of_every_customer_once(lose: float) -> None:
    found = replica.catch_up(300, lose, seed=1)
    assert found["told"] == 300 and found["seconds"] < replica.CATCH_UP_TIMEOUT_S


def test_what_a_member_sends_does_not_grow_with_the_fleet() -> None:
    few, many = (replica.steady(members, 50, seed=1, seconds=10)["bytes"] for members in (4, 16))
    assert many < 2.5 * few


def test_a_count_takes_few_bytes() -> None:
    assert replica.memory(300) <= 300


def test_the_commands_figures_are_json_and_bad_arguments_are_refused() -> None:
    result = CliRunner().invoke(
        bench, ["replica", "--customers", "50", "--lose", "0", "--fleets", "3", "--seeds", "1"]
    )
    assert result.exit_code == 0 and json.loads(result.output)["catch_up"][0]["told"] == 50
    result = CliRunner().invoke(bench, ["replica", "--customers", "x"])
    assert result.exit_code == 2
