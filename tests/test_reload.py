"""Settings read again at SIGHUP.

What changes for new requests, what stays for open ones, and broken files.
"""

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
from hazelhollow.net.requests import Terms
from hazelhollow.platform_config import PlatformConfigError
from tests.scenario import BUY, LOOK, Stage
from tests.test_endings import unanswering
from tests.test_gateway import answer, ask, make, only

EXAMPLE = Path(__file__).parent.parent / "deploy" / "example.json"


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
    path = tmp_path / "config.json"
    path.write_text(broken(kind))
    with pytest.raises(PlatformConfigError, match="config.json"):
        cfg.load({"RELAY_CONFIG": str(path)}, again=True)


@pytest.mark.parametrize("kind", KINDS)
def test_after_a_broken_file_the_old_settings_stay_whole(kind: str, tmp_path: Path) -> None:
    stage = Stage(hosts=1)
    before = stage.service.settings
    path = tmp_path / "config.json"
    path.write_text(broken(kind))
    stage.service.reload(lambda: cfg.load({"RELAY_CONFIG": str(path)}, again=True))
    assert stage.service.settings is before and stage.service.gateway.settings is before
    assert stage.service.stats.reload_failure == 1 and stage.service.stats.reload_success == 0


def test_a_new_class_is_taken_by_new_requests() -> None:
    stage = Stage(hosts=1)
    fresh = api.RequestClass(
        "peek", latency_objective=0.5, deadline=2.0, priority_weight=1.0, effect="safe"
    )
    settings = replace(stage.config.settings, classes=(LOOK, BUY, fresh))
    stage.service.reload(lambda: replace(stage.config, settings=settings))
    ask_peek = "[Q.ASK 00000000b4d65521 r1 c=peek,t=basic,d=1000,units=1,spread=2,first=0]"
    stage.play(f"a send {ask_peek}\ns1 expect {ask_peek}")
    assert stage.service.stats.reload_success == 1


def test_a_dropped_class_is_refused_to_new_requests() -> None:
    stage = Stage(hosts=1)
    settings = replace(stage.config.settings, classes=(BUY,))
    stage.service.reload(lambda: replace(stage.config, settings=settings))
    stage.play("a send [Q.ASK 00000000b4d65521 r1 c=look,t=basic,d=1000,units=1,spread=2,first=0]")
    stage.play("a expect -ERR no such class or plan")


def test_plans_do_not_change_in_a_running_limiter() -> None:
    stage = Stage(hosts=1)
    settings = replace(stage.config.settings, plans=())
    stage.service.reload(lambda: replace(stage.config, settings=settings))
    assert stage.service.stats.reload_failure == 1


def test_an_open_request_keeps_the_attempts_it_came_with() -> None:
    gateway = make(0, limiter_count=1, max_attempts=3)
    (first,) = only(ask(gateway, 100.0, id="r1"), api.StartAttempt)
    gateway.retune(replace(gateway.settings, max_attempts=1))
    assert only(
        answer(gateway, first, 100.1, "error"), api.StartAttempt
    ), "an open request lost its further attempts"
    (later,) = only(ask(gateway, 100.2, id="r2"), api.StartAttempt)
    assert not only(answer(gateway, later, 100.3, "error"), api.StartAttempt)


def test_an_open_request_keeps_its_class_when_the_class_goes() -> None:
    gateway = make(0, limiter_count=1, max_attempts=3)
    (first,) = only(ask(gateway, 100.0, id="r1", kind="issue"), api.StartAttempt)
    gateway.retune(replace(gateway.settings, classes=gateway.settings.classes[:1]))
    answer(gateway, first, 100.1, "ok")  # its class is gone: it ends all the same
    assert "r1" not in gateway.pending_requests or gateway.pending_requests["r1"].ended
    # a class that is gone is sent nowhere
    assert not only(ask(gateway, 100.2, kind="issue"), api.StartAttempt)


def test_how_long_clients_waited_under_another_deadline_says_nothing_of_now() -> None:
    gateway = make(0, limiter_count=20)
    known = {name: gateway.load_shedding.time_left[name] for name in ("lookup", "issue")}
    for patience in known.values():
        assert patience.is_longest(3.0)
    lookup, *rest = gateway.settings.classes
    gateway.retune(
        replace(gateway.settings, classes=(replace(lookup, deadline=lookup.deadline / 2), *rest))
    )
    assert known["lookup"].is_longest(1.5) and not known["issue"].is_longest(1.5)


def test_a_new_time_for_connections_to_come_up_holds_at_once() -> None:
    stage = Stage(hosts=1, connect_timeout=2.0)
    fillers = unanswering(stage)
    stage.service.reload(lambda: replace(stage.config, connect_timeout=0.1))
    stage.play(
        "a send [Q.ASK 00000000b4d65521 r1 "
        "c=look,t=basic,d=1000,units=1,spread=2,first=0]\nwait 0.15"
    )
    assert stage.service.stats.outcomes["connect_failed"] == 1 and len(fillers) == 2


def test_a_request_on_its_way_while_its_class_gets_a_shorter_deadline_keeps_its_own() -> None:
    stage = Stage(hosts=1)
    words = "[Q.ASK 00000000b4d65521 r{0} c=look,t=basic,d={1},units=1,spread=2,first=0]"
    settings = replace(stage.config.settings, classes=(replace(LOOK, deadline=1.2), BUY))
    stage._end("a").sendall(stage.bytes_of(words.format(1, 2900)))  # it lies unread
    stage.service.reload(lambda: replace(stage.config, settings=settings))
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
    """A request that was taken under a longer deadline may still be out."""
    terms, longest = None, dict[str, float]()
    for kinds in told:
        terms = Terms(api.Settings(0, 1, tuple(kinds), ()), terms)
        longest = {kind.name: max(kind.deadline, longest.get(kind.name, 0.0)) for kind in kinds}
        assert terms.longest == longest
        assert terms.classes == {kind.name: kind for kind in kinds}
