"""Tests of the count model, of the bench's replica measurements, and of their commands."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from hazelhollow.bench import replica
from hazelhollow.bench.commands import bench
from hazelhollow.bench.count_model.cluster import Bounds, Step
from hazelhollow.bench.count_model.exploration import explore, replay
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
def test_every_order_of_steps_within_bounds_counts_each_charge_once(bounds: Bounds) -> None:
    exploration = explore(bounds)
    assert exploration.failure == "" and exploration.states > 100


LATE_WRITE = Bounds(members=3, turns=4, copies=0, lags=0, depth=12)
PLANTED = [
    ("late gossip counts beside its count", FAST, ()),
    ("a count forgets what gossip told", FAST, ()),
    ("who spoke last is right", LATE_WRITE, (CHARGE, TURN, TURN, COUNTS, CHARGE, TURN, TURN)),
    ("catch-up forgets what was charged meanwhile", Bounds(depth=4), ()),
]


@pytest.mark.parametrize(("name", "bounds", "first"), PLANTED)
def test_planted_mistake_is_found_and_written_as_a_fault_plan(
    name: str, bounds: Bounds, first: tuple[Step, ...], tmp_path: Path
) -> None:
    """A mistake is planted in merge, gossip or catch-up. The model must find it and write it as a
    fault plan; the steps violate an invariant with the mistake and none without it."""
    with plant_mistake(name):
        exploration = explore(bounds, first=first)
    assert exploration.failure and len(exploration.steps) <= bounds.depth
    fault_plan = as_plan(bounds, exploration.steps, exploration.failure)
    plan.check(fault_plan)
    (tmp_path / "plan.json").write_bytes(plan.write(fault_plan))
    assert load_plan(tmp_path / "plan.json") == fault_plan
    with (
        pytest.raises(InvariantError),
        plant_mistake(name),
    ):
        replay(bounds, exploration.steps).check()
        replay(bounds, exploration.steps).check_after_exchange()
    replay(bounds, exploration.steps).check()


def test_model_command_reports_the_violation_and_writes_its_fault_plan(tmp_path: Path) -> None:
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
def test_catch_up_transfers_every_customer_once(lose: float) -> None:
    measured = replica.catch_up(300, lose, seed=1)
    assert measured["told"] == 300 and measured["seconds"] < replica.CATCH_UP_TIMEOUT_S


def test_bytes_sent_per_member_do_not_grow_with_the_fleet() -> None:
    few_members, many_members = (
        replica.steady(members, 50, seed=1, seconds=10)["bytes"] for members in (4, 16)
    )
    assert many_members < 2.5 * few_members


def test_a_replicated_count_takes_at_most_300_bytes() -> None:
    assert replica.memory(300) <= 300


def test_replica_command_prints_json_and_rejects_bad_arguments() -> None:
    result = CliRunner().invoke(
        bench, ["replica", "--customers", "50", "--lose", "0", "--fleets", "3", "--seeds", "1"]
    )
    assert result.exit_code == 0 and json.loads(result.output)["catch_up"][0]["told"] == 50
    result = CliRunner().invoke(bench, ["replica", "--customers", "x"])
    assert result.exit_code == 2
