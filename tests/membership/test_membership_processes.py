"""Membership of real processes while links, clocks and processes fail."""

from __future__ import annotations

import json
import os
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from hazelhollow.decisions.gossip.codec import base36
from hazelhollow.fault_injection import plan
from hazelhollow.fault_injection.loopback_cluster import LoopbackCluster
from hazelhollow.fault_injection.operator_files import disk_file, view_file
from hazelhollow.fault_injection.run import FaultInjectionRun
from hazelhollow.fault_injection.run_commands import GUARANTEE_VIOLATIONS
from hazelhollow.fault_injection.run_files import read_json_lines
from hazelhollow.net.scheduler import Clock, Scheduler

Event = plan.Event


def played(tmp_path: Path, one: plan.Plan) -> tuple[dict[str, Any], Path]:
    """The figures of a drill, and the folder with its lines."""
    folder = tmp_path / "drill"
    folder.mkdir()
    return FaultInjectionRun(one, folder, operator=view_file, keep=True).run(), folder


def kept(found: dict[str, Any]) -> dict[str, Any]:
    # nothing is known of an audit that is not on
    return {key: found[key] or 0 for key in GUARANTEE_VIOLATIONS}


def states(folder: Path, observer: str, number: int) -> list[str]:
    """What one limiter held another for, in order."""
    lines = [
        row["members"].get(str(number), ["unknown"])[0]
        for row in read_json_lines(folder / f"{observer}.view.jsonl")
    ]
    return [state for n, state in enumerate(lines) if n == 0 or lines[n - 1] != state]


def test_overlapping_faults_break_no_promise_and_all_agree_in_the_end(tmp_path: Path) -> None:
    """A paused process, a link cut one way, kills, a restart and loss overlap. No promise is
    broken and all agree at the end.
    """
    events = (
        Event(at=1.0, what="pause", whom=("n0",), lasts=5.0),
        Event(at=1.5, what="cut", whom=("n1",), others=("n2",), lasts=5.0, one_way=True),
        Event(at=7.0, what="kill", whom=("n2", "n3"), lasts=4.0),
        Event(at=7.5, what="restart", whom=("n1",)),
        Event(at=8.0, what="lose", whom=("*",), others=("*",), lasts=3.0, amount=0.1),
    )
    load = (
        plan.Load(customer="00000000b4d65521", rate=10.0),
        plan.Load(customer="00000000a1b2c3d4", kind="buy", rate=2.0),
    )
    found, folder = played(
        tmp_path, plan.Plan(name="many", instances=5, seconds=12.0, events=events, load=load)
    )
    assert kept(found) == dict.fromkeys(GUARANTEE_VIOLATIONS, 0)
    assert found["requests"] > 500 and (found["kills"], found["stalls"], found["cuts"]) == (2, 1, 1)
    assert found["settled_s_p99"] < 5.0 and found["suspected_s_max"] < 3.0
    # One that was told to end left; it was not held for dead.
    assert "left" in states(folder, "n4", 1) and "dead" not in states(folder, "n4", 1)


def test_both_sides_of_a_partition_settle_and_then_agree(tmp_path: Path) -> None:
    """The fleet is partitioned for six seconds. Each side holds the other dead, then all agree."""
    events = (Event(at=1.0, what="cut", whom=("n0", "n1"), lasts=6.0),)
    found, folder = played(
        tmp_path, plan.Plan(name="parts", instances=5, seconds=8.0, events=events)
    )
    assert kept(found) == dict.fromkeys(GUARANTEE_VIOLATIONS, 0) and found["settled_s_p99"] < 5.0
    for observer, number in (("n0", 4), ("n4", 0)):
        assert states(folder, observer, number)[-3:] == ["suspect", "dead", "alive"]
    assert "dead" not in states(folder, "n0", 1) + states(folder, "n4", 2)


class Fleet:
    """A world whose scheduler is turned by the test."""

    def __init__(self, cluster: LoopbackCluster) -> None:
        self.folder, self.scheduler, self.cluster = cluster.folder, cluster.scheduler, cluster
        self.scheduler.spawn(self._start)
        self.up = False
        self.until(lambda: self.up)

    def _start(self) -> None:
        self.cluster.start()
        self.up = True

    def until(self, met: Callable[[], bool]) -> None:
        """Within a bound that no sound machine needs."""
        end = self.scheduler.clock() + 30.0
        while not met():
            assert self.scheduler.clock() < end, "not met"
            self.scheduler.turn(longest=0.05)

    def whole(self) -> bool:
        """All hold all for alive."""
        views = [self.view(name) for name in self.cluster.names]
        return all(
            len(view) == len(views) and {entry[0] for entry in view.values()} == {"alive"}
            for view in views
        )

    def view(self, name: str) -> dict[str, Any]:
        lines = read_json_lines(self.folder / f"{name}.view.jsonl")
        members: dict[str, Any] = lines[-1]["members"] if lines else {}
        return members


@pytest.fixture
def fleet(tmp_path: Path) -> Any:
    (tmp_path / "fleet").mkdir()
    three = plan.Plan(name="x", instances=3, hosts=1)
    one = Fleet(LoopbackCluster(Scheduler(Clock()), three, tmp_path / "fleet", operator=view_file))
    yield one
    one.cluster.close()


def test_a_process_stopped_past_its_death_reports_that_it_admits_nothing_before_it_does(
    fleet: Fleet,
) -> None:
    """A process is stopped until the others hold it dead, then continued. It reports that it
    admits nothing before it admits again.
    """
    fleet.until(fleet.whole)
    fleet.cluster.processes.signal("n0", signal.SIGSTOP)
    fleet.until(lambda: fleet.view("n1")["0"][0] == fleet.view("n2")["0"][0] == "dead")
    fleet.cluster.processes.signal("n0", signal.SIGCONT)

    def acting() -> list[bool]:
        return [row["acting"] for row in read_json_lines(fleet.folder / "n0.view.jsonl")]

    fleet.until(lambda: fleet.whole() and acting()[-1])
    assert acting()[0] is False and False in acting()[acting().index(True) :]


def test_of_two_processes_with_one_id_the_later_goes_on_and_the_other_logs_it_and_leaves(
    fleet: Fleet,
) -> None:
    """A second process starts with the id of a running one. The first logs that and ends with
    status 0, the second goes on.
    """
    processes = fleet.cluster.processes
    fleet.until(fleet.whole)
    first = processes.members["n1"]
    incarnation = fleet.view("n0")["1"][1]
    processes.add(
        "again",
        first.command,
        {**first.environment, "RELAY_OPERATOR": f"{fleet.cluster.own(2, 0)[0]}:7001"},
    )
    processes.start("again")
    fleet.until(lambda: processes.reap("n1"))
    assert (
        first.status == 0
        and "another process has number 1 and began later" in first.log.read_text()
    )
    fleet.until(
        lambda: fleet.view("n0")["1"][0] == "alive" and fleet.view("n0")["1"][1] > incarnation
    )
    assert processes.members["again"].running


def test_forged_and_outdated_datagrams_change_nothing(fleet: Fleet) -> None:
    """Garbled, forged and outdated datagrams are sent from a real peer address. They are
    counted and change nothing.
    """
    fleet.until(fleet.whole)
    before = fleet.view("n0")
    relay, target = fleet.cluster.relay, fleet.cluster.own(1, 7946)
    out = relay.datagram_socket("n0", "n1")  # n1's address, as n0 knows it
    old = before["1"][1] - 1
    for text in (
        "v1p nonsense",
        f"v1p 2.{base36(old)}.1.1/1/1 1",
        f"v1p 1.{base36(old)}.9.1/1/1 1 2.{base36(old)}.99.4",
    ):
        out.sendto(text.encode(), target)
    out.sendto(b"\xff\xfe", target)
    json_line = b""

    def counted() -> bool:
        nonlocal json_line
        fleet.cluster.processes.signal("n0", signal.SIGUSR1)  # it prints its counters
        fleet.scheduler.turn(longest=0.05)
        lines = [
            line
            for line in fleet.cluster.processes.members["n0"].log.read_bytes().splitlines()
            if line.startswith(b'{"at"')
        ]
        json_line = lines[-1] if lines else b"{}"
        seen = json.loads(json_line).get("view", {})
        return bool(seen.get("garbled") and seen.get("forged") and seen.get("earlier_life"))

    fleet.until(counted)
    assert fleet.view("n0") == before


def stuck_file(name: str, home: Path) -> str:
    """The view's lines go to a pipe that nobody reads.

    Opening it takes for ever, as on a disk that stands still.
    """
    path = home.parent / f"{name}.view.jsonl"
    if not path.exists():
        os.mkfifo(path)
    return disk_file(name, home)


def test_a_limiter_whose_disk_stands_still_serves_and_ends_and_logs_it(tmp_path: Path) -> None:
    """The disk stands still. The limiter serves, ends within its time and logs that the disk is
    too slow.
    """
    folder = tmp_path / "fleet"
    folder.mkdir()
    two = plan.Plan(name="x", instances=2, hosts=1)
    one = Fleet(LoopbackCluster(Scheduler(Clock()), two, folder, operator=stuck_file))
    answers: list[bytes] = []

    def ask_until_ready() -> None:
        while not answers or not answers[-1].startswith(b"done"):
            answers.append(one.cluster.call("n0", "check"))

    try:
        one.scheduler.spawn(ask_until_ready)
        one.until(lambda: bool(answers) and answers[-1].startswith(b"done"))
        limiter = one.cluster.processes.members["n0"]
        one.cluster.processes.signal("n0", signal.SIGTERM)
        one.until(lambda: one.cluster.processes.reap("n0"))
        assert limiter.status == 0 and "the disk is too slow" in limiter.log.read_text()
    finally:
        one.cluster.close()


class Seeded(LoopbackCluster):
    """Its limiters are told of no peers: each knows the address of n0 alone."""

    def config(self, number: int, order: int = 0) -> dict[str, Any]:
        return super().config(number, order) | {"peers": []}


def test_members_without_a_list_of_peers_find_each_other_by_a_seed_that_may_die_later(
    tmp_path: Path,
) -> None:
    """Limiters know only the address of one seed. They find each other through it and go on
    when it dies.
    """

    def seeded(name: str, home: Path) -> str:
        """Its own configuration, which stands there already, says in which net they are."""
        net = json.loads((home / "config.json").read_text())["peer_listen"].rpartition(".")[0]
        return view_file(name, home) + f'fleet: seeds: ["{net}.1:7946"]\n'

    (tmp_path / "seeded").mkdir()
    cluster = Seeded(
        Scheduler(Clock()),
        plan.Plan(name="x", instances=3, hosts=1),
        tmp_path / "seeded",
        operator=seeded,
    )
    fleet = Fleet(cluster)
    try:
        fleet.until(fleet.whole)
        cluster.processes.kill("n0")
        fleet.until(lambda: {fleet.view(n)["0"][0] for n in ("n1", "n2")} == {"dead"})
        assert fleet.view("n1")["2"][0] == "alive"
        cluster.processes.start("n0")
        fleet.until(fleet.whole)
    finally:
        cluster.close()
