"""Endpoints that share an address, or restart under their name: who listens there."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.net.endpoint_list import EndpointList
from tests.net.scenario import BUY, LOOK, SETTINGS, START, Stage
from tests.net.test_scenarios import DO, VALUE, ask


def entry(name: str, address: str = "10.0.0.1:1", **values: Any) -> dict[str, Any]:
    return {"name": name, "address": address, "zone": "a", "group": 0, "status": "in_service",
            "since_ms": 0, **values}  # fmt: skip


def apply(listed: EndpointList, kind: str, *entries: dict[str, Any]) -> dict[str, str]:
    """Returns the states that the decision engine is told."""
    document = {"index": 1, "snapshot": kind == "whole", "endpoints": list(entries)}
    return {one.name: one.state for one in listed.apply(document).entries}


@pytest.mark.parametrize(
    ("order", "since_ms"),
    [("old first", 0), ("old first", 5000), ("new first", 5000)],
    ids=["listed last", "started and listed last", "started last"],
)
def test_only_the_last_occupant_of_an_address_gets_requests(order: str, since_ms: int) -> None:
    listed, old, new = EndpointList(), entry("old"), entry("new", since_ms=since_ms, group=1)
    pair = (old, new) if order == "old first" else (new, old)
    assert apply(listed, "whole", *pair) == {"old": "draining", "new": "up"}
    assert set(listed.in_service_addresses()) == {"new"}
    # The list repeats the old one, as long as it has not noticed.
    assert apply(listed, "change", old) == {"old": "draining"}
    assert apply(listed, "whole", *pair) == {"old": "draining", "new": "up"}


def test_successor_that_is_told_as_a_change_supersedes_the_listed_one() -> None:
    listed = EndpointList()
    apply(listed, "whole", entry("old"), entry("other", "10.0.0.2:1"))
    assert apply(listed, "change", entry("new", since_ms=9000)) == {"new": "up", "old": "draining"}
    # When the successor goes, the entry that is left is the only one again.
    told = apply(listed, "change", entry("new", status="terminated"))
    assert told == {"new": "gone", "old": "up"}
    assert set(listed.in_service_addresses()) == {"old", "other"}


def test_successor_at_another_address_leaves_the_others_alone() -> None:
    listed = EndpointList()
    apply(listed, "whole", entry("old"), entry("new", since_ms=9000))
    assert apply(listed, "change", entry("new", "10.0.0.9:1", since_ms=9000)) == {
        "new": "up",
        "old": "up",
    }


def test_restarted_endpoint_gets_no_request_on_a_connection_from_before() -> None:
    """A list tells a later start of the same name at the same address."""
    stage = Stage(hosts=1)
    stage.play(
        f"a send {ask(1)}\ns1 expect {ask(1)}\ns1 send {VALUE}\na expect $2\\r\\nhi\nwait 0.1"
    )
    table = stage.table("whole", 2, "s1:in_service")
    table["endpoints"][0]["since_ms"] = START * 1000
    stage.service._endpoints_changed(stage.service.endpoint_list.apply(table))
    stage.play("s1.1 expect closed")


KEYED = replace(BUY, dedup_scope="cell", dedup_window=5.0, latency_objective=3.0)


@pytest.mark.parametrize("started", [-0.5, 1.8], ids=["before the attempt", "long after it"])
def test_attempt_that_may_have_reached_the_successor_is_not_repeated_in_the_old_group(
    started: float,
) -> None:
    """The list tells late that another server has taken over the address of the attempt."""
    stage = Stage(hosts=2, settings=replace(SETTINGS, classes=(LOOK, KEYED)))
    listed = stage.service.endpoint_list
    table = stage.table("whole", 2, "s1:in_service")
    stage.service._endpoints_changed(listed.apply(table))
    command = DO.format(1).replace("d=1000", "d=3000")
    stage.play(f"a send {command}\ns1 expect {command}")
    attempted_at = stage.now
    stage.now += 1.9
    table = stage.table("whole", 3, "s1:in_service", "s2:in_service")
    successor = {**table["endpoints"][0], "name": "s9", "group": 1}
    successor["since_ms"] = int((attempted_at + started) * 1000)
    table["endpoints"].append(successor)
    stage.service._endpoints_changed(listed.apply(table))
    stage.play("s1 close")
    if started < 0:
        stage.play("a expect -ERR failed")
        assert stage.service.stats.attempts == 1
    else:
        retried = command.replace("d=3000", "d=1100")
        stage.play(f"s2 expect {retried}\ns2 send {VALUE}\na expect $2\\r\\nhi")


def test_entry_changes_group_while_its_attempt_is_out() -> None:
    """The attempt ran in the group that the entry named when it started."""
    stage = Stage(hosts=2, settings=replace(SETTINGS, classes=(LOOK, KEYED)))
    listed = stage.service.endpoint_list
    stage.service._endpoints_changed(listed.apply(stage.table("whole", 2, "s1:in_service")))
    stage.play(f"a send {DO.format(1)}\ns1 expect {DO.format(1)}")
    table = stage.table("whole", 3, "s1:in_service", "s2:in_service")
    table["endpoints"][0]["group"] = table["endpoints"][1]["group"] = 7
    stage.service._endpoints_changed(listed.apply(table))
    stage.play("s1 close\na expect -ERR failed")
    assert stage.service.stats.attempts == 1


def test_execution_without_an_address_is_never_ambiguous() -> None:
    """In the simulator the name is the address, so that no entry has one."""
    event = api.EndpointsUpdated("full", (api.EndpointEntry("s", "up", "a", 0, 1.0, 9.0),))
    stage = Stage(hosts=1)
    engine = stage.service.engine
    execution = api.Execution("a", 1, "", 10.0)
    engine.executions.add("c", "r", execution, 10.0)
    engine.handle(event, 20.0)
    assert not execution.is_ambiguous
