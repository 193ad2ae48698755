"""The adapter: translation of messages, invalid input, and hosting of engines."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.simulator import wire

ROOT = Path(__file__).parent.parent.parent
PARAMS = {
    "position": 0,
    "balancers": 2,
    "step": 0.002,
    "zone": "a",
    "new_key": [1],
    "grades": [
        {"name": "look", "objective": 1.0, "deadline": 3.0, "effect": "pure", "credit": 1.0}
    ],
    "tariffs": [{"name": "basic", "per_second": 5.0, "most_at_once": 10.0}],
    "family_info": {"inbox_per_s": 100.0, "max_units": 3},
    "policy_limits": {"max_attempts": 3, "peers": True},
    "safety": {"cold": 10.0, "cold_from": 0.2, "tip_multiple": 4.0, "tip_after": 2.0},
}
SERVER = {"server": "10.0.0.1:1", "zone": "a", "cluster": 0, "weight": 1, "stage_state": "live"}
START = [
    {"frame": {"t": 8.0}},
    {"hello": {"who": 0, "rng_seed": 5, "params": PARAMS}},
    {"membership": {"who": 0, "epoch": 1, "kind": "stale_copy", "lines": [SERVER]}},
    {"eof_batch": {}},
]
DEMAND = {
    "who": 0,
    "tid": "t1",
    "lane": "look",
    "budget": 1.0,
    "holder": "ab",
    "entry_points": 2,
    "terms": "basic",
    "quota_units": 1,
    "set_from": 0,
    "unknown": 1,
}


def play(messages: list[object], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    lines = "".join((m if isinstance(m, str) else json.dumps(m)) + "\n" for m in messages)
    return subprocess.run(
        [sys.executable, "-m", "hazelhollow.simulator.adapter"],
        input=lines,
        text=True,
        capture_output=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
    )


def batch(at: float, *messages: object) -> list[object]:
    return [{"frame": {"t": at}}, *messages, {"eof_batch": {}}]


def test_answered_request_produces_send_line_and_clean_exit() -> None:
    done = {
        "who": 0,
        "tid": "t1",
        "status": "success",
        "server": "10.0.0.1:1",
        "ended": True,
        "time_taken": 0.1,
    }
    run = play([*START, *batch(8.1, {"demand": DEMAND}), *batch(8.2, {"completed": done})])
    assert run.returncode == 0 and run.stderr == ""
    replies = [json.loads(line) for line in run.stdout.splitlines()]
    assert {"send": {"who": 0, "tid": "t1", "server": "10.0.0.1:1", "limit": 0.0}} in replies
    assert sum("ack" in r for r in replies) == 3


def test_replies_do_not_depend_on_the_hash_seed() -> None:
    script = [*START]
    for i in range(30):
        script += batch(
            8.1 + i / 10,
            {"demand": {**DEMAND, "tid": f"t{i}", "holder": f"{i % 4:x}"}},
            {"wakeup": {"who": 0, "token": "beat"}},
        )
    assert play(script, "1").stdout == play(script, "2").stdout


@pytest.mark.parametrize(
    "message, words",
    [
        ("{nonsense", ["not JSON"]),
        ({"surprise": {"who": 0}}, ["surprise", "unknown event"]),
        (
            {"demand": {k: v for k, v in DEMAND.items() if k != "budget"}},
            ["demand", "budget", "missing"],
        ),
        ({"demand": {**DEMAND, "tid": 5}}, ["demand", "tid", "wrong type"]),
        (
            {"completed": {"who": 0, "tid": "t", "server": "s", "status": "odd"}},
            ["completed", "status", "odd"],
        ),
        ({"demand": 3}, ["demand", "not an object"]),
    ],
)
def test_invalid_line_ends_the_adapter_with_one_line_error(
    message: object, words: list[str]
) -> None:
    run = play([*START, *batch(8.1, message)])
    assert run.returncode != 0 and len(run.stderr.splitlines()) == 1
    assert all(word in run.stderr for word in words)
    assert run.stdout.endswith('{"ack":{}}\n') and run.stdout.count("ack") == 1


def test_engine_fault_is_reported_with_its_text() -> None:
    hello = {"hello": {"who": 0, "rng_seed": 5, "params": {**PARAMS, "position": 9}}}
    run = play(batch(8.0, hello))
    assert "give_in" in run.stdout and "limiter_id: not one" in run.stdout and run.returncode == 0


def test_event_for_stopped_instance_is_dropped() -> None:
    run = play([*START, *batch(8.1, {"halt": {"who": 0}}, {"demand": DEMAND})])
    assert run.stdout.splitlines()[-1] == '{"ack":{}}' and "send" not in run.stdout


def test_every_action_has_a_line() -> None:
    for action in (
        api.StartAttempt("i", "s"),
        api.CancelAttempt("i", 0),
        api.RejectRequest("i", 0.5),
        api.FailRequest("i"),
        api.SetTimer(1.0, "t"),
        api.SendGossip(1, "x"),
        api.SubscribeToEndpoints(),
        api.WriteLog("x"),
    ):
        ((name, fields),) = json.loads(wire.action_line(3, action)).items()
        assert fields["who"] == 3 and name


def test_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    run = subprocess.run(
        [sys.executable, "-c", code], text=True, capture_output=True, cwd=ROOT, timeout=60
    )
    assert run.returncode == 0 and "StartAttempt" in run.stdout, run.stderr


def test_deploy_file_lists_every_decision_module() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    modules = (ROOT / "hazelhollow" / "decisions").rglob("*.py")
    assert sorted(deploy["policy"]) == sorted(str(path.relative_to(ROOT)) for path in modules)
