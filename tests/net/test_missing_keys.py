"""Configuration files that lack a key: at SIGHUP the old settings stay, whole."""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from hazelhollow import platform_config as cfg
from hazelhollow.missing_keys import OPTIONAL_KEYS, find_missing_keys
from hazelhollow.net.settings_reload import SettingsReload
from hazelhollow.net.stats import Stats
from hazelhollow.platform_config import PlatformConfigError
from tests.net.scenario import HEAD, Stage
from tests.net.test_scenarios import DO, GET
from tests.net.test_settings_reload import document as example

Path_ = tuple[str | int, ...]

READ = {
    "name": "read", "objective": 1.0, "aim_stretch": 2.0, "deadline": 3.0, "effect": "pure",
    "dedup_scope": "all", "window": 5.0, "credit": 2.0, "late_share": 0.2, "streamed": False,
}  # fmt: skip
ORDER = READ | {"name": "order", "effect": "token", "dedup_scope": "cell", "window": 6.0}
FILE: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:8500",
    "operator": "127.0.0.1:7000",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "peer_listen": "127.0.0.1:7946",
    "peers": ["127.0.0.1:7946"],
    "known": {"index": 1, "snapshot": True, "endpoints": []},
    "settings": {
        "position": 0,
        "balancers": 1,
        "zone": "hall-a",
        "zones": ["hall-a"],
        "step": 0.002,
        "registry_mode": "push",
        "clients": {"marks_retry": False},
        "costs": {"cross_zone": 0.0091, "waste": 0.03},
        "goal": {"whole": 0.5, "worst_window": 0.25, "worst_class": 0.1, "worst_tenant": 0.15},
        "grades": [READ, ORDER],
        "tariffs": [
            {"name": "gold", "per_second": 5.0, "most_at_once": 10.0, "price": 1.8, "max_out": 0,
             "over_worth": 0.0, "excess_cost": 1.0, "ceiling_rate": 0.0, "hard_burst": 0.0,
             "tolerance": 0.0}
        ],
        "family_info": {"max_units": 6, "inbox_per_s": 60.0, "post_paid": False},
        "policy_limits": {"max_attempts": 6, "cancelling": True, "conn_idle": 30.0,
                          "connect_timeout": 0.25, "max_open": 20000, "max_retry_after": 1.0,
                          "parallel_tries": True, "peers": True, "retry_after": False},
        "report": {"how": "none", "fields": []},
        "safety": {"answer_slack": 0.008, "drain_grace": 0.25, "cold": 18.0, "cold_from": 0.25,
                   "tip_after": 3.0, "tip_multiple": 2.0, "ask_within": 10.0},
    },
}  # fmt: skip


def key_paths(value: Any, path: Path_ = ()) -> Iterator[Path_]:
    """Yields the path of each key at any depth, without the contents of the endpoint list."""
    items: Any = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        if isinstance(value, dict):
            yield (*path, key)
        if isinstance(item, dict | list) and key != "known":
            yield from key_paths(item, (*path, key))


REQUIRED_PATHS = [path for path in key_paths(FILE) if path[-1] not in OPTIONAL_KEYS]


def without(path: Path_, whole: dict[str, Any] = FILE) -> dict[str, Any]:
    changed = copy.deepcopy(whole)
    parent: Any = changed
    for key in path[:-1]:
        parent = parent[key]
    del parent[path[-1]]
    return changed


class RunningLimiter:
    """The settings of a running limiter and its file, which a reload reads again."""

    def __init__(self, path: Path, file: dict[str, Any]) -> None:
        self.path, self.stats = path, Stats()
        path.write_text(json.dumps(file))
        self.applied: list[object] = []
        self.settings_reload = SettingsReload(
            cfg.load({"RELAY_CONFIG": str(path)}),
            self.stats,
            None,
            self.applied.append,
            self.applied.append,
        )

    def accepts(self, file: dict[str, Any]) -> bool:
        """Reloads; checks that a rejected file has changed nothing."""
        before, counted = self.settings_reload.settings, self.stats.reload_success
        self.applied.clear()
        self.path.write_text(json.dumps(file))
        self.settings_reload.reload(
            lambda: cfg.load({"RELAY_CONFIG": str(self.path)}, is_reload=True)
        )
        accepted = self.stats.reload_success > counted
        assert accepted or (self.settings_reload.settings is before and not self.applied)
        return accepted


@pytest.fixture
def running(tmp_path: Path) -> RunningLimiter:
    return RunningLimiter(tmp_path / "config.json", FILE)


@pytest.mark.parametrize("path", REQUIRED_PATHS, ids=lambda path: ".".join(map(str, path)))
def test_file_that_lacks_one_key_changes_nothing(path: Path_, running: RunningLimiter) -> None:
    """Guards against a default in place of a key that was forgotten, at any depth of the file.

    Without `dedup_scope` of a keyed class, orders ran at two cells; without `safety` there was no
    slow start. 57 of 76 such files were accepted.
    """
    assert not running.accepts(without(path))
    assert running.stats.reload_failure == 1
    assert running.accepts(FILE)


@pytest.mark.parametrize("path", [("grades", 1, "dedup_scope"), ("safety", "answer_slack")])
def test_null_in_place_of_a_value_counts_as_a_missing_key(
    path: Path_, running: RunningLimiter
) -> None:
    """Guards against a null that passes as a value; some keys of a file are not read otherwise."""
    file = copy.deepcopy(FILE)
    parent: Any = file["settings"]
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = None
    assert not running.accepts(file)


def test_null_in_force_is_not_required(tmp_path: Path) -> None:
    """A null is as good as no value, so the next file need not have the key."""
    running = RunningLimiter(tmp_path / "config.json", FILE | {"counter": None})
    assert running.accepts(FILE)


def test_message_names_the_file_and_all_missing_keys(
    running: RunningLimiter, caplog: pytest.LogCaptureFixture
) -> None:
    running.accepts(without(("limits",), without(("settings", "grades", 1, "window"))))
    assert "settings.grades: field 'window' is missing" in caplog.text
    running.accepts(without(("limits",), without(("settings", "grades", 0, "window"))))
    assert "missing keys that are in force: 2" in caplog.text
    assert "limits, settings.grades[read].window" in caplog.text


@pytest.mark.parametrize("key", ["dedup_scope", "window"])
def test_keyed_class_without_its_dedup_rule_is_rejected_at_start_too(
    key: str, tmp_path: Path
) -> None:
    """Guards against the default of the start, where no file in force shows what is missing."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(without(("settings", "grades", 1, key))))
    with pytest.raises(PlatformConfigError, match=f"field '{key}' is missing"):
        cfg.load({"RELAY_CONFIG": str(path)})


def test_unknown_dedup_scope_of_a_keyed_class_is_rejected(running: RunningLimiter) -> None:
    """Guards against a misspelt scope, which was accepted."""
    file = copy.deepcopy(FILE)
    file["settings"]["grades"][1]["dedup_scope"] = "cells"
    assert not running.accepts(file)


@pytest.mark.parametrize("missing", ["effect", "objective", "credit", "dedup_scope", "window"])
def test_added_keyed_class_needs_the_keys_of_the_others(
    missing: str, running: RunningLimiter
) -> None:
    added = {key: value for key, value in (ORDER | {"name": "new"}).items() if key != missing}
    file = copy.deepcopy(FILE)
    file["settings"]["grades"].append(added)
    assert not running.accepts(file)


def test_keys_that_a_file_may_leave_out_are_not_required(running: RunningLimiter) -> None:
    """The check must not turn down what the platform allows to leave out or to change."""
    file = copy.deepcopy(FILE)
    grades = file["settings"]["grades"]
    del grades[0]["aim_stretch"]
    assert running.accepts(file)  # documented as optional
    unkeyed = {"dedup_scope", "window"}
    grades.append({key: value for key, value in grades[0].items() if key not in unkeyed})
    grades[-1]["name"] = "safe to repeat"
    assert running.accepts(file)  # only a keyed class needs a scope and a window
    del grades[1]
    assert running.accepts(file)  # a class is dropped
    file["settings"]["safety"]["new_key"] = 1.0
    assert running.accepts(file)


def test_example_file_that_leaves_out_most_keys_is_accepted_again(tmp_path: Path) -> None:
    """A file is compared with the one in force, so a deployment's short file stays lawful."""
    running = RunningLimiter(tmp_path / "config.json", example())
    assert running.accepts(example())
    assert not running.accepts(without(("settings", "policy_limits"), example()))


def test_each_missing_key_of_a_class_is_named() -> None:
    before = {"grades": [READ, ORDER]}
    assert find_missing_keys(before, {"grades": [READ, {"name": "order"}]}) == [
        f"grades[order].{key}" for key in ORDER if key not in OPTIONAL_KEYS | {"name"}
    ]


@pytest.mark.parametrize(("group_key", "same_endpoint"), [("group", False), ("absent", True)])
def test_keyed_request_is_repeated_in_a_known_cell_only(
    group_key: str, same_endpoint: bool
) -> None:
    """Guards against a common cell for list entries without `group`: a request would run twice.

    Then only the endpoint itself is known to drop the repeat.
    """
    stage = Stage(hosts=2)
    table = stage.table("whole", 2, "s1:in_service", "s2:in_service")
    for entry in table["endpoints"]:
        entry[group_key] = entry.pop("group")
    stage.play(f"disco expect {GET}")
    body = json.dumps(table)
    stage._end("disco").sendall((HEAD % (len(body), body)).encode())
    stage.settle()
    stage.play(f"a send {DO.format(1)}")
    (connection,) = stage.service.pool._connections
    first = connection.endpoint.name
    stage.play(f"{first} expect {DO.format(1)}\n{first} close")
    (connection,) = stage.service.pool._connections
    assert stage.service.stats.attempts == 2
    assert (connection.endpoint.name == first) is same_endpoint
