"""Endpoints disabled by an operator get no new requests, even after a restart."""

from __future__ import annotations

import time
from contextlib import ExitStack
from pathlib import Path

import orjson
import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.net.override_file import LOCK_RETRY_S, OverrideFile, path_for
from tests.decisions.helpers import actions_of, ask, endpoint_list, entry, make_engine
from tests.net.scenario import Stage
from tests.net.test_operator_address import call, figures, operator_stage


def test_disabled_endpoint_gets_no_attempts_when_all_others_drain() -> None:
    """The only other endpoint drains, and a list says that the disabled endpoint is up.

    Neither may cause a request to the disabled endpoint.
    """
    decision_engine = make_engine(0, limiter_count=1)
    decision_engine.handle(endpoint_list("full", entry("s1"), entry("s2")), 100.0)
    decision_engine.handle(api.EndpointOverridden("s1", True), 100.0)
    sent = {
        s.endpoint
        for i in range(40)
        for s in actions_of(
            ask(decision_engine, 100.0 + i / 100, customer=f"{i}"), api.StartAttempt
        )
    }
    assert sent == {"s2"}
    decision_engine.handle(endpoint_list("full", entry("s2", state="draining"), entry("s1")), 101.0)
    # The list says that s1 is up, but the override still applies.
    assert not actions_of(ask(decision_engine, 101.1), api.StartAttempt)


def test_reenabled_endpoint_warms_up_again() -> None:
    """An endpoint that was disabled for a while has cold caches, so it must warm up again.

    A list with an old start time must not end the warm-up.
    """
    decision_engine = make_engine(0, limiter_count=1)
    decision_engine.handle(endpoint_list("full", entry("s1"), entry("s2")), 100.0)
    decision_engine.handle(api.EndpointOverridden("s1", True), 100.0)
    decision_engine.handle(api.EndpointOverridden("s1", False), 105.0)
    assert decision_engine.endpoints["s1"].is_warming_up(105.5, decision_engine.settings)
    decision_engine.handle(
        endpoint_list("full", entry("s1"), entry("s2")), 106.0
    )  # A start time long ago does not end the warm-up.
    assert decision_engine.endpoints["s1"].is_warming_up(
        106.0, decision_engine.settings
    ) and not decision_engine.endpoints["s2"].is_warming_up(106.0, decision_engine.settings)


def test_set_down_and_set_up_calls_change_the_disabled_endpoints() -> None:
    limiter = operator_stage()
    assert call(limiter, b"set-down s1\n") == b"done set-down s1\n"
    assert (
        call(limiter, b"set-down s1\n") == b"done set-down s1\n"
    )  # a repeated call changes nothing
    assert (
        limiter.service.engine.table.disabled == {"s1"}
        and figures(limiter)["targets_disabled"] == 1
    )
    assert call(limiter, b"set-up s1\n") == b"done set-up s1\n"
    assert not limiter.service.engine.table.disabled and figures(limiter)["targets_disabled"] == 0


def test_set_down_of_a_never_listed_endpoint_is_an_error() -> None:
    assert call(operator_stage(), b"set-down s-unknown\n").startswith(
        b"error no server 's-unknown'"
    )


def test_overrides_survive_a_restart_and_reach_a_parallel_process() -> None:
    """During an upgrade two processes serve under one limiter name.

    An override made in one of them must apply in the other and after a restart.
    """
    first = operator_stage()
    call(first, b"set-down s1\n")
    second = Stage(hosts=1)
    assert second.service.engine.table.disabled == {"s1"}
    second.service.overrides.apply({"s1": False})
    first.now += 1.0
    first.settle()
    assert (
        not first.service.engine.table.disabled
    )  # The endpoint that the other process enabled is enabled in this one too.


def test_calls_at_both_processes_of_an_upgrade_are_all_kept() -> None:
    """Guards against overrides that are lost in an upgrade.

    Each process wrote the set that it had read up to a quarter second earlier, so that servers
    whose call was answered `done` got new requests for good.
    """
    old = operator_stage(hosts=4)
    new = operator_stage(hosts=4)
    assert call(old, b"set-down s1\n") == b"done set-down s1\n"
    assert call(old, b"set-down s2\n") == b"done set-down s2\n"
    assert call(new, b"set-down s3\n") == b"done set-down s3\n"
    assert call(new, b"set-up s2\n") == b"done set-up s2\n"
    for limiter in (old, new):
        limiter.play("wait 0.5")
        assert limiter.service.engine.table.disabled == {"s1", "s3"}
    assert Stage(hosts=4).service.engine.table.disabled == {"s1", "s3"}


def test_override_waits_for_the_other_process_to_finish_its_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two processes that change the file in the same moment."""
    path, other_process = path_for("n0", str(tmp_path)), ExitStack()
    other_process.enter_context(OverrideFile(path).exclusive())
    waits = list[float]()

    def finish_the_other_write(seconds: float) -> None:
        waits.append(seconds)
        OverrideFile(path).write({"s1"})
        other_process.close()

    monkeypatch.setattr(time, "sleep", finish_the_other_write)
    second = OverrideFile(path)
    with second.exclusive():
        assert waits == [LOCK_RETRY_S] and second.read() == {"s1"}


def test_override_is_written_though_a_stopped_process_holds_the_lock(tmp_path: Path) -> None:
    """Guards against a call that is never answered: the other process was stopped in its write."""
    override_file = OverrideFile(path_for("n0", str(tmp_path)))
    with OverrideFile(override_file.path).exclusive(), override_file.exclusive():
        override_file.write({"s1"})
    assert OverrideFile(override_file.path).read() == {"s1"}


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"[]",
        b'{"format": "other", "version": 1, "down": []}',
        b'{"format": "hazelhollow-bans", "version": 9}',
        b'{"format": "hazelhollow-bans", "version": 1, "down": [1]}',
    ],
)
def test_invalid_or_foreign_override_file_is_ignored(text: bytes, tmp_path: Path) -> None:
    """The override file is damaged or belongs to another program.

    The limiter must start anyway and disable nothing.
    """
    path = path_for("n0", str(tmp_path))
    path.write_bytes(text)
    assert OverrideFile(path).read() is None
    assert not Stage(hosts=1).service.engine.table.disabled


def test_override_file_is_replaced_atomically_and_read_back(tmp_path: Path) -> None:
    override_file = OverrideFile(path_for("n0", str(tmp_path)))
    override_file.write({"s2", "s1"})
    assert orjson.loads(override_file.path.read_bytes())["down"] == ["s1", "s2"]
    assert OverrideFile(override_file.path).read() == {"s1", "s2"}
    assert not list(tmp_path.glob("*.part"))
