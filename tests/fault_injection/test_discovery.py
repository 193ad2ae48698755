"""The stand-in for discovery: the documents that limiters poll."""

from __future__ import annotations

import json

from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.standins.discovery import Discovery, Host


def test_each_limiter_gets_its_addresses_and_a_snapshot_after_a_restart() -> None:
    """Each limiter gets its own addresses of the endpoints. After discovery has restarted with an
    older index, a call with a newer index is answered with a snapshot.
    """
    discovery = Discovery(Scheduler(Clock()))
    discovery.change(Host("h0", {"n0": "a:1", "n1": "b:1"}))
    discovery.change(Host("h1", {"n0": "a:2", "n1": "b:2"}))
    first = json.loads(discovery.document("n1", None))
    assert [e["address"] for e in first["endpoints"]] == ["b:1", "b:2"] and first["snapshot"]
    discovery.change(Host("h1", {"n0": "a:2", "n1": "b:2"}, state="gone"))
    change = json.loads(discovery.document("n0", first["index"]))
    assert not change["snapshot"] and [e["status"] for e in change["endpoints"]] == ["terminated"]
    assert len(json.loads(discovery.document("n0", None))["endpoints"]) == 1
    discovery.restart(1)
    assert json.loads(discovery.document("n0", change["index"]))["snapshot"]
