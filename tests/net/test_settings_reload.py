"""Settings read again on SIGHUP: new requests, open ones, and files that cannot be read."""

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
from tests.decisions.helpers import actions_of, answer, ask, make
from tests.net.scenario import BUY, LOOK, Stage
from tests.net.test_connection_ends import unanswering

EXAMPLE = Path(__file__).parent.parent.parent / "deploy" / "example.json"


def document() -> dict[str, Any]:
    loaded: dict[str, Any] = json.loads(EXAMPLE.read_text())
    return loaded


def broken(kind: str) -> str:
    """The text of one of the files that a reload must turn down."""
    whole = document()
    grades = whole["settings"]["grades"]
    if kind == "empty":
        return ""
    if kind == "cut off":
        return json.dumps(whole)[:200]
    if kind == "no settings":
        del whole["settings"]
    elif kind == "a class without deadline":
        del grades[0]["deadline"]
    elif kind == "deadline zero":
        grades[0]["deadline"] = 0
    elif kind == "deadline below zero":
        grades[0]["deadline"] = -1.5
    elif kind == "attempts zero":
        whole["settings"]["policy_limits"]["max_attempts"] = 0
    elif kind == "deadline a text":
        grades[0]["deadline"] = "3"
    elif kind == "not an object":
        return "[1, 2]"
    return json.dumps(whole)


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
def test_a_broken_file_is_refused_and_says_where(kind: str, tmp_path: Path) -> None:
    """The configuration file is damaged in one of several ways.

    Reading it fails with a line that names the file.
    """
    path = tmp_path / "config.json"
    path.write_text(broken(kind))
    with pytest.raises(PlatformConfigError, match="config.json"):
        cfg.load({"RELAY_CONFIG": str(path)}, again=True)


@pytest.mark.parametrize("kind", KINDS)
def test_after_a_broken_file_the_old_settings_stay_whole(kind: str, tmp_path: Path) -> None:
    """SIGHUP finds a damaged file. No part of it is taken, and the failure is counted."""
    stage = Stage(hosts=1)
    before = stage.service.settings_reload.settings
    path = tmp_path / "config.json"
    path.write_text(broken(kind))
    stage.service.settings_reload.reload(lambda: cfg.load({"RELAY_CONFIG": str(path)}, again=True))
    assert (
        stage.service.settings_reload.settings is before and stage.service.engine.settings is before
    )
    assert stage.service.stats.reload_failure == 1 and stage.service.stats.reload_success == 0


def test_a_new_class_is_taken_by_new_requests() -> None:
    stage = Stage(hosts=1)
    fresh = api.RequestClass(
        "peek", latency_objective=0.5, deadline=2.0, priority_weight=1.0, effect="safe"
    )
    settings = replace(stage.config.settings, classes=(LOOK, BUY, fresh))
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=settings))
    ask_peek = "[Q.ASK 00000000b4d65521 r1 c=peek,t=basic,d=1000,units=1,spread=2,first=0]"
    stage.play(f"a send {ask_peek}\ns1 expect {ask_peek}")
    assert stage.service.stats.reload_success == 1


def test_a_dropped_class_is_refused_to_new_requests() -> None:
    """A reload drops a class. New requests of it get an error."""
    stage = Stage(hosts=1)
    settings = replace(stage.config.settings, classes=(BUY,))
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=settings))
    stage.play("a send [Q.ASK 00000000b4d65521 r1 c=look,t=basic,d=1000,units=1,spread=2,first=0]")
    stage.play("a expect -ERR no such class or plan")


def test_plans_do_not_change_in_a_running_limiter() -> None:
    """A reload changes the plans, which budgets belong to. It is refused as a whole."""
    stage = Stage(hosts=1)
    settings = replace(stage.config.settings, plans=())
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=settings))
    assert stage.service.stats.reload_failure == 1


def test_an_open_request_keeps_the_attempts_it_came_with() -> None:
    """A reload lowers the number of attempts while a request is open.

    The request keeps those that it came with.
    """
    gateway = make(0, limiter_count=1, max_attempts=3)
    (first,) = actions_of(ask(gateway, 100.0, id="r1"), api.StartAttempt)
    gateway.reconfigure(replace(gateway.settings, max_attempts=1))
    assert actions_of(
        answer(gateway, first, 100.1, "error"), api.StartAttempt
    ), "an open request lost its further attempts"
    (later,) = actions_of(ask(gateway, 100.2, id="r2"), api.StartAttempt)
    assert not actions_of(answer(gateway, later, 100.3, "error"), api.StartAttempt)


def test_an_open_request_keeps_its_class_when_the_class_goes() -> None:
    """A reload drops the class of an open request. The request is still served, with retries."""
    gateway = make(0, limiter_count=1, max_attempts=3)
    (first,) = actions_of(ask(gateway, 100.0, id="r1", kind="issue"), api.StartAttempt)
    gateway.reconfigure(replace(gateway.settings, classes=gateway.settings.classes[:1]))
    answer(gateway, first, 100.1, "ok")  # its class is gone: it ends all the same
    assert "r1" not in gateway.pending_requests or gateway.pending_requests["r1"].ended
    # a class that is gone is sent nowhere
    assert not actions_of(ask(gateway, 100.2, kind="issue"), api.StartAttempt)


def test_how_long_clients_waited_under_another_deadline_says_nothing_of_now() -> None:
    """A reload changes a class's deadline.

    What was learned under the old one must not be used for the new.
    """
    gateway = make(0, limiter_count=20)
    known = {name: gateway.load_shedding.time_left[name] for name in ("lookup", "issue")}
    for patience in known.values():
        assert patience.is_longest(3.0)
    lookup, *rest = gateway.settings.classes
    gateway.reconfigure(
        replace(gateway.settings, classes=(replace(lookup, deadline=lookup.deadline / 2), *rest))
    )
    assert known["lookup"].is_longest(1.5) and not known["issue"].is_longest(1.5)


def test_a_new_time_for_connections_to_come_up_holds_at_once() -> None:
    """A reload shortens the time in which connections have to come up.

    The next connection is held to it.
    """
    stage = Stage(hosts=1, connect_timeout=2.0)
    fillers = unanswering(stage)
    stage.service.settings_reload.reload(lambda: replace(stage.config, connect_timeout=0.1))
    stage.play(
        "a send [Q.ASK 00000000b4d65521 r1 "
        "c=look,t=basic,d=1000,units=1,spread=2,first=0]\nwait 0.15"
    )
    assert stage.service.stats.outcomes["connect_failed"] == 1 and len(fillers) == 2


def test_a_request_on_its_way_while_its_class_gets_a_shorter_deadline_keeps_its_own() -> None:
    """A reload shortens a deadline while a request with the longer one is on its way.

    That request is still accepted.
    """
    stage = Stage(hosts=1)
    words = "[Q.ASK 00000000b4d65521 r{0} c=look,t=basic,d={1},units=1,spread=2,first=0]"
    settings = replace(stage.config.settings, classes=(replace(LOOK, deadline=1.2), BUY))
    stage._end("a").sendall(stage.bytes_of(words.format(1, 2900)))  # it lies unread
    stage.service.settings_reload.reload(lambda: replace(stage.config, settings=settings))
    stage.play(f"s1 expect {words.format(1, 2900)}\nwait 2.5\na expect nothing")
    stage.play(f"b send {words.format(2, 3001)}\nb expect -ERR d out of range")


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
def test_the_longest_patience_of_a_class_lasts_as_long_as_the_class_is_listed(
    told: list[list[api.RequestClass]],
) -> None:
    """A request that was taken under a longer deadline may still be out when the deadline is
    shortened. The longest one stays the limit.
    """
    limits, longest = None, dict[str, float]()
    for kinds in told:
        limits = RequestLimits(api.Settings(0, 1, tuple(kinds), ()), limits)
        longest = {kind.name: max(kind.deadline, longest.get(kind.name, 0.0)) for kind in kinds}
        assert limits.longest_deadline == longest
        assert limits.classes == {kind.name: kind for kind in kinds}
