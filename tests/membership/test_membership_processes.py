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


def run_drill(tmp_path: Path, drill: plan.Plan) -> tuple[dict[str, Any], Path]:
    """Runs a drill; returns its results and the directory with its output files."""
    folder = tmp_path / "drill"
    folder.mkdir()
    return FaultInjectionRun(drill, folder, operator=view_file, keep=True).run(), folder


def broken_promises(results: dict[str, Any]) -> dict[str, Any]:
    # the results of an audit that is disabled are None
    return {key: results[key] or 0 for key in GUARANTEE_VIOLATIONS}


def state_history(folder: Path, observer: str, number: int) -> list[str]:
    """The sequence of states in which one limiter has seen another."""
    lines = [
        row["members"].get(str(number), ["unknown"])[0]
        for row in read_json_lines(folder / f"{observer}.view.jsonl")
    ]
    return [state for n, state in enumerate(lines) if n == 0 or lines[n - 1] != state]


def test_overlapping_faults_break_no_promise_and_all_agree_after_them(tmp_path: Path) -> None:
    """A paused process, a link cut in one direction, kills, a restart and datagram loss overlap."""
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
    results, folder = run_drill(
        tmp_path, plan.Plan(name="many", instances=5, seconds=12.0, events=events, load=load)
    )
    assert broken_promises(results) == dict.fromkeys(GUARANTEE_VIOLATIONS, 0)
    assert results["requests"] > 500 and (results["kills"], results["stalls"], results["cuts"]) == (
        2,
        1,
        1,
    )
    assert results["settled_s_p99"] < 5.0 and results["suspected_s_max"] < 3.0
    # A limiter that was asked to stop has left; it was not considered dead.
    assert "left" in state_history(folder, "n4", 1) and "dead" not in state_history(folder, "n4", 1)


def test_both_sides_of_a_partition_settle_and_all_agree_after_it(tmp_path: Path) -> None:
    """The fleet is partitioned for six seconds. Each side considers the other dead, but none of its
    own members; after the heal all agree.
    """
    events = (Event(at=1.0, what="cut", whom=("n0", "n1"), lasts=6.0),)
    results, folder = run_drill(
        tmp_path, plan.Plan(name="parts", instances=5, seconds=8.0, events=events)
    )
    assert (
        broken_promises(results) == dict.fromkeys(GUARANTEE_VIOLATIONS, 0)
        and results["settled_s_p99"] < 5.0
    )
    for observer, number in (("n0", 4), ("n4", 0)):
        assert state_history(folder, observer, number)[-3:] == ["suspect", "dead", "alive"]
    assert "dead" not in state_history(folder, "n0", 1) + state_history(folder, "n4", 2)


class Fleet:
    """A cluster of processes whose scheduler is run by the test."""

    def __init__(self, cluster: LoopbackCluster) -> None:
        self.folder, self.scheduler, self.cluster = cluster.folder, cluster.scheduler, cluster
        self.scheduler.spawn(self._start)
        self.up = False
        self.until(lambda: self.up)

    def _start(self) -> None:
        self.cluster.start()
        self.up = True

    def until(self, is_met: Callable[[], bool]) -> None:
        """Runs the scheduler until a condition holds.

        The limit of 30 s is more than any healthy machine needs.
        """
        end = self.scheduler.clock() + 30.0
        while not is_met():
            assert self.scheduler.clock() < end, "condition not met within 30 s"
            self.scheduler.turn(longest=0.05)

    def all_alive(self) -> bool:
        """Whether each limiter sees all limiters as alive."""
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


def test_process_continued_after_its_death_first_admits_nothing(
    fleet: Fleet,
) -> None:
    """A process is stopped until the others consider it dead, and then continued. It must report
    that it admits nothing before it admits again.
    """
    fleet.until(fleet.all_alive)
    fleet.cluster.processes.signal("n0", signal.SIGSTOP)
    fleet.until(lambda: fleet.view("n1")["0"][0] == fleet.view("n2")["0"][0] == "dead")
    fleet.cluster.processes.signal("n0", signal.SIGCONT)

    def acting() -> list[bool]:
        return [row["acting"] for row in read_json_lines(fleet.folder / "n0.view.jsonl")]

    # A thread beside the event loop writes the rows, so the row of the pause may arrive late.
    fleet.until(
        lambda: fleet.all_alive() and acting()[-1] and False in acting()[acting().index(True) :]
    )
    assert acting()[0] is False


def test_earlier_of_two_processes_with_one_id_logs_that_and_ends(
    fleet: Fleet,
) -> None:
    """A second process starts with the id of a running one. The first must log that and end with
    status 0, and the second must become alive.
    """
    processes = fleet.cluster.processes
    fleet.until(fleet.all_alive)
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
        and "another process with limiter id 1 started later" in first.log.read_text()
    )
    fleet.until(
        lambda: fleet.view("n0")["1"][0] == "alive" and fleet.view("n0")["1"][1] > incarnation
    )
    assert processes.members["again"].running


def test_garbled_forged_and_outdated_datagrams_change_nothing(fleet: Fleet) -> None:
    """Such datagrams are sent from a real peer's address. They must be counted, and change no
    record.
    """
    fleet.until(fleet.all_alive)
    before = fleet.view("n0")
    relay, target = fleet.cluster.relay, fleet.cluster.own(1, 7946)
    out = relay.datagram_socket("n0", "n1")  # a socket whose address n0 knows as n1's
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


def blocked_history_file(name: str, home: Path) -> str:
    """An operator file whose history file is a pipe without a reader.

    Opening it blocks forever, as on a disk that hangs.
    """
    path = home.parent / f"{name}.view.jsonl"
    if not path.exists():
        os.mkfifo(path)
    return disk_file(name, home)


def test_limiter_with_a_hanging_disk_serves_ends_and_logs_that(tmp_path: Path) -> None:
    """A disk that hangs must not block requests or the shutdown, and the log must name it."""
    folder = tmp_path / "fleet"
    folder.mkdir()
    two = plan.Plan(name="x", instances=2, hosts=1)
    one = Fleet(LoopbackCluster(Scheduler(Clock()), two, folder, operator=blocked_history_file))
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


class SeededCluster(LoopbackCluster):
    """A cluster whose limiters have no list of peers; each knows only the address of n0."""

    def config(self, number: int, order: int = 0) -> dict[str, Any]:
        return super().config(number, order) | {"peers": []}


def test_members_find_each_other_by_a_seed_and_survive_its_death(
    tmp_path: Path,
) -> None:
    """Limiters that know only the address of one seed find each other through it, and stay in
    contact when it dies.
    """

    def seeded(name: str, home: Path) -> str:
        """Reads the network prefix from the limiter's configuration file, which exists already."""
        net = json.loads((home / "config.json").read_text())["peer_listen"].rpartition(".")[0]
        return view_file(name, home) + f'fleet: seeds: ["{net}.1:7946"]\n'

    (tmp_path / "seeded").mkdir()
    cluster = SeededCluster(
        Scheduler(Clock()),
        plan.Plan(name="x", instances=3, hosts=1),
        tmp_path / "seeded",
        operator=seeded,
    )
    fleet = Fleet(cluster)
    try:
        fleet.until(fleet.all_alive)
        cluster.processes.kill("n0")
        fleet.until(lambda: {fleet.view(n)["0"][0] for n in ("n1", "n2")} == {"dead"})
        assert fleet.view("n1")["2"][0] == "alive"
        cluster.processes.start("n0")
        fleet.until(fleet.all_alive)
    finally:
        cluster.close()
