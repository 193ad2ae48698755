"""Replication between real processes that are killed, partitioned and restarted."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from hazelhollow.fault_injection import plan
from hazelhollow.fault_injection.loopback_cluster import LoopbackCluster
from hazelhollow.fault_injection.operator_files import disk_file, replica_file
from hazelhollow.fault_injection.run import FaultInjectionRun
from hazelhollow.fault_injection.run_commands import GUARANTEE_VIOLATIONS
from hazelhollow.fault_injection.run_files import read_json_lines
from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.standins.link_faults import LinkFault
from tests.membership.test_membership_processes import Fleet

Event = plan.Event


class ReplicatedFleet(Fleet):
    """A fleet with replication, and calls to its operator addresses.

    The calls are made by tasks of the harness's own scheduler.
    """

    def __init__(self, cluster: LoopbackCluster) -> None:
        super().__init__(cluster)
        self.answers: dict[int, bytes] = {}

    def call(self, name: str, command: str) -> bytes:
        number = len(self.answers)

        def call_operator() -> None:
            self.answers[number] = self.cluster.call(name, command)

        self.scheduler.spawn(call_operator)
        self.until(lambda: number in self.answers)
        return self.answers[number]

    def replica(self, name: str) -> dict[str, Any]:
        first = self.call(name, "fleet").splitlines()
        result: dict[str, Any] = json.loads(first[0])["replica"] if len(first) == 2 else {}
        return result

    def disabled_endpoints(self) -> list[list[str] | None]:
        return [
            self.replica(name).get("hosts_out")
            for name in self.cluster.names
            if self.cluster.processes.members[name].running
        ]

    def apart(self, some: tuple[str, ...]) -> int:
        rest = [name for name in self.cluster.names if name not in some]
        return self.cluster.relay.begin(
            LinkFault(partitioned=True),
            [pair for a in some for b in rest for pair in ((a, b), (b, a))],
        )


@pytest.fixture
def fleet(tmp_path: Path) -> Any:
    (tmp_path / "fleet").mkdir()
    plan_of_four = plan.Plan(name="x", instances=4, hosts=2)
    replicated_fleet = ReplicatedFleet(
        LoopbackCluster(Scheduler(Clock()), plan_of_four, tmp_path / "fleet", operator=disk_file)
    )
    replicated_fleet.until(
        lambda: replicated_fleet.all_alive()
        and all(
            replicated_fleet.replica(name).get("whole") for name in replicated_fleet.cluster.names
        )
    )
    yield replicated_fleet
    replicated_fleet.cluster.close()


def test_an_endpoint_disabled_at_one_limiter_is_disabled_at_all(
    fleet: ReplicatedFleet,
) -> None:
    """One limiter is dead and one partitioned when the call is made; later all are killed at
    once."""
    fleet.cluster.processes.kill("n3")
    number = fleet.apart(("n2",))
    assert fleet.call("n0", "set-down h1").startswith(b"done")
    fleet.until(lambda: fleet.replica("n1").get("hosts_out") == ["h1"])
    assert fleet.replica("n2").get("hosts_out") == []
    fleet.cluster.processes.start("n3")
    fleet.until(lambda: fleet.replica("n3").get("hosts_out") == ["h1"])
    fleet.cluster.relay.end(number)
    fleet.until(lambda: fleet.disabled_endpoints() == [["h1"]] * 4)
    # A call at a limiter that has received the earlier override holds, wherever it is made.
    assert fleet.call("n2", "set-up h1").startswith(b"done")
    fleet.until(lambda: fleet.disabled_endpoints() == [[]] * 4)
    # All limiters are killed at once: the override is restored from the snapshots.
    assert fleet.call("n2", "set-down h0").startswith(b"done")
    fleet.until(lambda: fleet.disabled_endpoints() == [["h0"]] * 4)
    snapshots = [fleet.folder / name / f"replica-{n}" for n, name in enumerate(fleet.cluster.names)]
    fleet.until(lambda: all(path.exists() and b"h0" in path.read_bytes() for path in snapshots))
    for name in fleet.cluster.names:
        fleet.cluster.processes.kill(name)
    for name in fleet.cluster.names:
        fleet.cluster.processes.start(name)
    fleet.until(lambda: fleet.disabled_endpoints() == [["h0"]] * 4)


def test_overrides_on_both_sides_of_a_partition_end_in_disabled(
    fleet: ReplicatedFleet,
) -> None:
    """Two operators enable and disable the same endpoints on two sides of a partition."""
    fleet.call("n0", "set-down h1")
    fleet.until(lambda: fleet.disabled_endpoints() == [["h1"]] * 4)
    number = fleet.apart(("n0", "n1"))
    fleet.call("n0", "set-up h1")
    fleet.call("n2", "set-up h1")
    fleet.call("n2", "set-down h1")  # This side makes one more call than the other.
    fleet.call("n0", "set-up h0")  # This changes nothing.
    fleet.call("n1", "set-down h0")
    fleet.cluster.relay.end(number)
    fleet.until(lambda: fleet.disabled_endpoints() == [["h0", "h1"]] * 4)


def test_a_limiter_that_was_killed_catches_up_from_a_peer_and_logs_it(
    fleet: ReplicatedFleet,
) -> None:
    """One of four limiters is killed and restarted."""
    fleet.until(lambda: all(fleet.replica(name).get("gives") for name in fleet.cluster.names))
    first = fleet.cluster.processes.members["n1"].log.read_text().count("told by member")
    fleet.cluster.processes.kill("n1")
    fleet.cluster.processes.start("n1")
    fleet.until(
        lambda: fleet.cluster.processes.members["n1"].log.read_text().count("told by member")
        > first
    )
    fleet.until(lambda: bool(fleet.replica("n1").get("whole")))


def test_a_damaged_snapshot_is_set_aside_and_the_limiter_serves(fleet: ReplicatedFleet) -> None:
    """The snapshot is overwritten while its limiter is dead."""
    fleet.cluster.processes.kill("n1")
    (fleet.folder / "n1" / "replica-1").write_bytes(b"spoilt")
    fleet.cluster.processes.start("n1")
    fleet.until(lambda: fleet.call("n1", "check").startswith(b"done"))
    assert (fleet.folder / "n1" / "replica-1.bad").read_bytes() == b"spoilt"
    assert "set aside" in fleet.cluster.processes.members["n1"].log.read_text()


def run_drill(
    tmp_path: Path,
    events: tuple[Event, ...],
    operator: Callable[[str, Path], str],
    seconds: float = 13.0,
) -> dict[str, Any]:
    folder = tmp_path / "drill"
    folder.mkdir()
    fault_plan = plan.Plan(name="x", instances=5, seconds=seconds, events=events)
    result = FaultInjectionRun(fault_plan, folder, operator=operator).run()
    promises = [
        key for key in GUARANTEE_VIOLATIONS if key not in ("false_deaths", "views_differ")
    ]  # The tests of membership check these two.
    assert {key: result[key] or 0 for key in promises} == dict.fromkeys(promises, 0)
    return result


def count_servable(folder: Path) -> int:
    """Returns how many of the requests that a limiter answered the quota had room for.

    While all limiters are dead, for as long as the machine takes to start the processes, the quota
    refills up to its burst and no further.
    """
    rate, burst = 20.0, 40.0  # of the plan `gold`
    answered_rows = [
        row
        for row in read_json_lines(folder / "clients.jsonl")
        if row["outcome"] in ("served", "busy")
    ]
    level, at, served = burst, 0.0, 0
    for row in sorted(answered_rows, key=lambda row: row["t"]):
        level, at = min(burst, level + rate * (row["t"] - at)), row["t"]
        if level >= row["units"]:
            level, served = level - row["units"], served + 1
    return served


def test_quotas_hold_through_a_partition_and_the_death_of_a_member(tmp_path: Path) -> None:
    """Two of five limiters are partitioned for 4 s, and one of the others dies in that time."""
    events = (
        Event(at=3.0, what="cut", whom=("n0", "n1"), lasts=4.0),
        Event(at=4.0, what="kill", whom=("n3",), lasts=1.0),
    )
    result = run_drill(tmp_path, events, replica_file)
    assert result["over_quota_units"] <= 12 and result["service_share"] >= 0.85


def test_quotas_hold_when_all_limiters_are_killed_at_once(
    tmp_path: Path,
) -> None:
    """All limiters are killed at once, repeatedly; their snapshots record what was left."""
    events = (Event(at=4.0, what="kill", whom=("*",), lasts=0.3, repeat=3.0, until=8.0),)
    result = run_drill(tmp_path, events, disk_file)
    assert result["over_quota_units"] <= 4
    assert result["accepted"] >= 0.75 * count_servable(tmp_path / "drill")
