"""Reload of the settings on SIGHUP: new requests, open requests and unreadable files."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow import platform_config as cfg
from hazelhollow.decisions import interface as api
from hazelhollow.net.requests import RequestLimits
from hazelhollow.platform_config import PlatformConfigError
from tests.decisions.helpers import actions_of, answer, ask, make_engine
from tests.net.scenario import BUY, LOOK, Stage
from tests.net.test_connection_ends import block_connects

EXAMPLE = Path(__file__).parent.parent.parent / "deploy" / "example.json"


def document() -> dict[str, Any]:
    loaded: dict[str, Any] = json.loads(EXAMPLE.read_text())
    return loaded


def damaged_config(kind: str) -> str:
    """Returns the text of a configuration file that a reload must reject."""
    config_document = document()
    grades = config_document["settings"]["grades"]
    if kind == "empty":
        return ""
    if kind == "cut off":
        return json.dumps(config_document)[:200]
    if kind == "no settings":
        del config_document["settings"]
    elif kind == "a class without deadline":
        del grades[0]["deadline"]
    elif kind == "deadline zero":
        grades[0]["deadline"] = 0
    elif kind == "deadline below zero":
        grades[0]["deadline"] = -1.5
    elif kind == "attempts zero":
        config_document["settings"]["policy_limits"]["max_attempts"] = 0
    elif kind == "deadline a text":
        grades[0]["deadline"] = "3"
    elif kind == "not an object":
        return "[1, 2]"
    return json.dumps(config_document)


KINDS = [
    "empty",
    "cut off",
    "no settings",
    "a class without deadline",
    "deadline zero",
    "deadline below zero",
    "attempts zero",
    "deadline a text",
    "not an object",
]


@pytest.mark.parametrize("kind", KINDS)
def test_damaged_file_is_rejected_with_its_name(kind: str, tmp_path: Path) -> None:
    """The configuration file is damaged in one of several ways.

    Loading it must fail with an error that names the file.
    """
    path = tmp_path / "config.json"
    path.write_text(damaged_config(kind))
    with pytest.raises(PlatformConfigError, match="config.json"):
        cfg.load({"RELAY_CONFIG": str(path)}, is_reload=True)


@pytest.mark.parametrize("kind", KINDS)
def test_damaged_file_leaves_the_settings_unchanged(kind: str, tmp_path: Path) -> None:
    """SIGHUP finds a damaged file. No part of it may be applied, and the failure is counted."""
    stage = Stage(hosts=1)
    before = stage.service.settings_reload.settings
    path = tmp_path / "config.json"
    path.write_text(damaged_config(kind))
    stage.service.settings_reload.reload(
        lambda: cfg.load({"RELAY_CONFIG": str(path)}, is_reload=True)
    )
    assert (
        stage.service.settings_reload.settings is before and stage.service.engine.settings is before
    )
    assert stage.service.stats.reload_failure == 1 and stage.service.stats.reload_success == 0


def test_new_class_is_accepted_for_new_requests() -> None:
    stage = Stage(hosts=1)
    new_class = api.RequestClass(
        "peek", latency_objective=0.5, deadline=2.0, priority_weight=1.0, effect="safe"
    )
    settings = replace(stage.config.settings, classes=(LOOK, BUY, new_class))
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=settings))
    ask_peek = "[Q.ASK 00000000b4d65521 r1 c=peek,t=basic,d=1000,units=1,spread=2,first=0]"
    stage.play(f"a send {ask_peek}\ns1 expect {ask_peek}")
    assert stage.service.stats.reload_success == 1


def test_removed_class_is_rejected_for_new_requests() -> None:
    """A reload removes a class. New requests of that class must get an error."""
    stage = Stage(hosts=1)
    settings = replace(stage.config.settings, classes=(BUY,))
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=settings))
    stage.play("a send [Q.ASK 00000000b4d65521 r1 c=look,t=basic,d=1000,units=1,spread=2,first=0]")
    stage.play("a expect -ERR no such class or plan")


def test_reload_with_different_plans_is_rejected() -> None:
    """A reload changes the plans, to which budgets belong. It must be rejected completely."""
    stage = Stage(hosts=1)
    settings = replace(stage.config.settings, plans=())
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=settings))
    assert stage.service.stats.reload_failure == 1


def test_open_request_keeps_its_number_of_attempts() -> None:
    """A reload lowers the number of attempts while a request is open.

    The request must keep the number with which it arrived.
    """
    decision_engine = make_engine(0, limiter_count=1, max_attempts=3)
    (first,) = actions_of(ask(decision_engine, 100.0, id="r1"), api.StartAttempt)
    decision_engine.reconfigure(replace(decision_engine.settings, max_attempts=1))
    assert actions_of(
        answer(decision_engine, first, 100.1, "error"), api.StartAttempt
    ), "an open request lost its further attempts"
    (later,) = actions_of(ask(decision_engine, 100.2, id="r2"), api.StartAttempt)
    assert not actions_of(answer(decision_engine, later, 100.3, "error"), api.StartAttempt)


def test_open_request_of_a_removed_class_still_ends() -> None:
    """A reload removes the class of an open request. The request must still complete."""
    decision_engine = make_engine(0, limiter_count=1, max_attempts=3)
    (first,) = actions_of(ask(decision_engine, 100.0, id="r1", kind="issue"), api.StartAttempt)
    decision_engine.reconfigure(
        replace(decision_engine.settings, classes=decision_engine.settings.classes[:1])
    )
    answer(decision_engine, first, 100.1, "ok")  # its class was removed, but the request still ends
    assert (
        "r1" not in decision_engine.pending_requests or decision_engine.pending_requests["r1"].ended
    )
    # a request of a removed class is not sent
    assert not actions_of(ask(decision_engine, 100.2, kind="issue"), api.StartAttempt)


def test_changed_deadline_resets_the_time_left_statistics() -> None:
    """A reload changes a class's deadline.

    The time-left statistics collected under the old deadline must not be used with the new one.
    """
    decision_engine = make_engine(0, limiter_count=20)
    statistics = {
        name: decision_engine.load_shedding.time_left[name] for name in ("lookup", "issue")
    }
    for class_statistics in statistics.values():
        assert class_statistics.is_longest(3.0)
    lookup, *rest = decision_engine.settings.classes
    decision_engine.reconfigure(
        replace(
            decision_engine.settings, classes=(replace(lookup, deadline=lookup.deadline / 2), *rest)
        )
    )
    assert statistics["lookup"].is_longest(1.5) and not statistics["issue"].is_longest(1.5)


def test_new_connect_timeout_applies_to_the_next_connection() -> None:
    """A reload shortens the connect timeout.

    It must apply to the next connection.
    """
    stage = Stage(hosts=1, connect_timeout=2.0)
    fillers = block_connects(stage)
    stage.service.settings_reload.reload(lambda: replace(stage.config, connect_timeout=0.1))
    stage.play(
        "a send [Q.ASK 00000000b4d65521 r1 "
        "c=look,t=basic,d=1000,units=1,spread=2,first=0]\nwait 0.15"
    )
    assert stage.service.stats.outcomes["connect_failed"] == 1 and len(fillers) == 2


def test_unread_request_keeps_the_deadline_from_before_the_reload() -> None:
    """A reload shortens a deadline while a request with the longer deadline has not been read yet.

    That request must still be accepted.
    """
    stage = Stage(hosts=1)
    request = "[Q.ASK 00000000b4d65521 r{0} c=look,t=basic,d={1},units=1,spread=2,first=0]"
    settings = replace(stage.config.settings, classes=(replace(LOOK, deadline=1.2), BUY))
    stage._end("a").sendall(stage.bytes_of(request.format(1, 2900)))  # not read yet
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=settings))
    stage.play(f"s1 expect {request.format(1, 2900)}\nwait 2.5\na expect nothing")
    stage.play(f"b send {request.format(2, 3001)}\nb expect -ERR d out of range")


class_lists = st.lists(
    st.builds(
        api.RequestClass,
        name=st.sampled_from("abcd"),
        latency_objective=st.just(0.1),
        deadline=st.sampled_from([0.5, 1.0, 2.0]),
        priority_weight=st.just(1.0),
        effect=st.just("safe"),
    ),
    min_size=1,
    unique_by=lambda kind: kind.name,
)


@given(st.lists(class_lists, min_size=1, max_size=6))
def test_longest_deadline_is_kept_while_its_class_is_listed(
    reloads: list[list[api.RequestClass]],
) -> None:
    """A request accepted under a longer deadline may still be open when the deadline is shortened.

    The longest deadline must therefore stay the limit.
    """
    limits, longest = None, dict[str, float]()
    for kinds in reloads:
        limits = RequestLimits(api.Settings(0, 1, tuple(kinds), ()), limits)
        longest = {kind.name: max(kind.deadline, longest.get(kind.name, 0.0)) for kind in kinds}
        assert limits.longest_deadline == longest
        assert limits.classes == {kind.name: kind for kind in kinds}
