"""Endpoints disabled by an operator: nothing new for them, also after a restart."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.net.override_file import OverrideFile, path_for
from tests.decisions.helpers import actions_of, ask, endpoint_list, entry, make
from tests.net.scenario import Stage
from tests.net.test_operator_address import call, figures, stage


def test_a_banned_server_gets_nothing_even_when_all_others_fail() -> None:
    """An operator disables an endpoint.

    Neither a drain of the only other one nor a list that says it is up may bring it a request.
    """
    gateway = make(0, limiter_count=1)
    gateway.handle(endpoint_list("full", entry("s1"), entry("s2")), 100.0)
    gateway.handle(api.EndpointOverridden("s1", True), 100.0)
    sent = {
        s.endpoint
        for i in range(40)
        for s in actions_of(ask(gateway, 100.0 + i / 100, customer=f"{i}"), api.StartAttempt)
    }
    assert sent == {"s2"}
    gateway.handle(endpoint_list("full", entry("s2", state="draining"), entry("s1")), 101.0)
    # the list says it is up: the ban holds all the same
    assert not actions_of(ask(gateway, 101.1), api.StartAttempt)


def test_a_server_put_back_is_cold() -> None:
    """An endpoint that was disabled for a while has empty caches.

    It starts slowly again, and a list with an old start time does not change that.
    """
    gateway = make(0, limiter_count=1)
    gateway.handle(endpoint_list("full", entry("s1"), entry("s2")), 100.0)
    gateway.handle(api.EndpointOverridden("s1", True), 100.0)
    gateway.handle(api.EndpointOverridden("s1", False), 105.0)
    assert gateway.endpoints["s1"].is_warming_up(105.5, gateway.settings)
    gateway.handle(
        endpoint_list("full", entry("s1"), entry("s2")), 106.0
    )  # a list that says it is old does not warm it
    assert gateway.endpoints["s1"].is_warming_up(106.0, gateway.settings) and not gateway.endpoints[
        "s2"
    ].is_warming_up(106.0, gateway.settings)


def test_set_down_and_up_by_the_operator_address() -> None:
    one = stage()
    assert call(one, b"set-down s1\n") == b"done set-down s1\n"
    assert call(one, b"set-down s1\n") == b"done set-down s1\n"  # said again, nothing more changes
    assert one.service.engine.table.disabled == {"s1"} and figures(one)["targets_disabled"] == 1
    assert call(one, b"set-up s1\n") == b"done set-up s1\n"
    assert not one.service.engine.table.disabled and figures(one)["targets_disabled"] == 0


def test_an_id_never_listed_is_owed_a_no() -> None:
    assert call(stage(), b"set-down s-unknown\n").startswith(b"error no server 's-unknown'")


def test_bans_hold_over_a_restart_and_reach_a_process_beside() -> None:
    """During an upgrade two processes serve under one name.

    What an operator says to one of them must hold in the other, and after a restart.
    """
    first = stage()
    call(first, b"set-down s1\n")
    second = Stage(hosts=1)
    assert second.service.engine.table.disabled == {"s1"}
    second.service.overrides.replace(set())
    first.now += 1.0
    first.settle()
    assert (
        not first.service.engine.table.disabled
    )  # what the other one put back, this one puts back too


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
def test_a_broken_or_foreign_file_is_not_taken(text: bytes, tmp_path: Path) -> None:
    """The override file was damaged, or is another program's.

    The limiter starts all the same and disables nothing.
    """
    path = path_for("n0", str(tmp_path))
    path.write_bytes(text)
    assert OverrideFile(path).read() is None
    assert not Stage(hosts=1).service.engine.table.disabled


def test_the_file_is_written_whole_and_read_back(tmp_path: Path) -> None:
    keeper = OverrideFile(path_for("n0", str(tmp_path)))
    keeper.write({"s2", "s1"})
    assert orjson.loads(keeper.path.read_bytes())["down"] == ["s1", "s2"]
    assert OverrideFile(keeper.path).read() == {"s1", "s2"}
    assert not list(tmp_path.glob("*.part"))
