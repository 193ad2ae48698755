"""The harness itself.

The relay's faults, plans, the checker's eyes, and that nothing is left when a harness dies.
"""

from __future__ import annotations

import json
import os
import select
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.fault_injection import checker, plan, process_sweeper, shrink, supervisor
from hazelhollow.fault_injection.drawn_plans import QUIET_END_S, drawn_plan
from hazelhollow.fault_injection.errors import CommandError, PlanError
from hazelhollow.fault_injection.fault_history import FaultHistory
from hazelhollow.fault_injection.named_plans import NAMED, named_plan
from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.standins.discovery import Discovery, Host
from hazelhollow.standins.link_faults import LinkFault
from hazelhollow.standins.relay import DatagramRoute, Relay

LOOPBACK = ("127.0.0.1", 0)


def readable(sock: socket.socket, seconds: float) -> bool:
    """Not by select(): a run of many tests may hold more descriptors than that can name."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(seconds * 1000))


class Net:
    """Two datagram sockets, `a` and `b`, that know each other by the relay's addresses.

    The clock is set by hand.
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self.scheduler = Scheduler(lambda: self.now)
        self.relay = Relay(self.scheduler, seed=1)
        self.socks = {name: self._sock() for name in "ab"}
        own = {name: sock.getsockname() for name, sock in self.socks.items()}
        self.known = {"a": self._free(), "b": self._free()}  # by whom it stands for
        for sender, receiver in (("a", "b"), ("b", "a")):
            route = DatagramRoute(self.known[receiver], own[sender], own[receiver])
            self.relay.relay_datagrams(sender, receiver, route)

    @staticmethod
    def _sock() -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(LOOPBACK)
        sock.setblocking(False)
        return sock

    def _free(self) -> tuple[str, int]:
        with self._sock() as sock:
            address: tuple[str, int] = sock.getsockname()
            return address

    def send(self, who: str, *texts: str) -> None:
        other = "b" if who == "a" else "a"
        for text in texts:
            self.socks[who].sendto(text.encode(), self.known[other])
        self.turn()

    def turn(self, seconds: float = 0.0) -> None:
        self.now += seconds
        for _ in range(6):
            self.scheduler.turn(longest=0.001)

    def got(self, who: str) -> list[str]:
        found = []
        while readable(self.socks[who], 0.01):
            data, sender = self.socks[who].recvfrom(100)
            assert (
                sender == self.known["b" if who == "a" else "a"]
            )  # the peer's own, as the receiver knows it
            found.append(data.decode())
        return found

    def close(self) -> None:
        self.relay.close()
        for sock in self.socks.values():
            sock.close()


@pytest.fixture
def net() -> Any:
    one = Net()
    one.turn()
    yield one
    one.close()


@pytest.mark.parametrize(
    ("fault", "passes", "other_way"),
    [
        (LinkFault(), ["1", "2"], ["3"]),
        (LinkFault(partitioned=True), [], ["3"]),
        (LinkFault(reset=True), [], ["3"]),
        (LinkFault(loss=1.0), [], ["3"]),
        (LinkFault(duplication=1.0), ["1", "1", "2", "2"], ["3"]),
        (LinkFault(max_datagrams_per_s=1.0), ["1"], ["3"]),
        (LinkFault(stalled=True), [], ["3"]),
        (LinkFault(delay=0.5), [], ["3"]),
    ],
)
def test_a_fault_hits_one_direction_alone(
    net: Net, fault: LinkFault, passes: list[str], other_way: list[str]
) -> None:
    net.relay.begin(fault, [("a", "b")])
    net.send("a", "1", "2")
    net.send("b", "3")
    assert (net.got("b"), net.got("a")) == (passes, other_way)


def test_what_a_stall_or_a_delay_held_back_comes_and_what_a_cut_took_does_not(net: Net) -> None:
    for fault, late in (
        (LinkFault(stalled=True), ["x"]),
        (LinkFault(delay=0.5), ["x"]),
        (LinkFault(partitioned=True), []),
    ):
        number = net.relay.begin(fault, [("a", "b")])
        net.send("a", "x")
        net.relay.end(number)
        net.turn(0.6)
        assert net.got("b") == late


def test_a_fault_that_ends_does_not_end_another(net: Net) -> None:
    first = net.relay.begin(LinkFault(partitioned=True), [("a", "b")])
    second = net.relay.begin(LinkFault(partitioned=True), [("a", "b"), ("b", "a")])
    net.relay.end(second)
    net.send("a", "x")
    assert net.got("b") == []
    net.relay.end(first)
    net.send("a", "y")
    assert net.got("b") == ["y"]


def test_a_stranger_is_not_passed_on(net: Net) -> None:
    with Net._sock() as stranger:
        stranger.sendto(b"forged", net.known["b"])
        net.turn()
        assert net.got("b") == []


class Wire:
    """A listener behind the relay and one client of it."""

    def __init__(self) -> None:
        self.scheduler = Scheduler(Clock())
        self.relay = Relay(self.scheduler, seed=1)
        self.server = socket.create_server(LOOPBACK)
        with socket.create_server(LOOPBACK) as probe:
            listen = probe.getsockname()
        self.relay.relay_connections("c", "n0", listen, self.server.getsockname())
        self.client = socket.create_connection(listen)
        self.until(lambda: readable(self.server, 0))
        self.far, _ = self.server.accept()
        for sock in (self.client, self.far):
            sock.setblocking(False)

    def until(self, met: Callable[[], bool]) -> None:
        for _ in range(2000):
            self.scheduler.turn(longest=0.005)
            if met():
                return
        raise AssertionError("not met")

    def receives(self, sock: socket.socket) -> bytes | None:
        """What has come after some turns.

        None: nothing, b"": the end; raises ConnectionResetError.
        """
        for _ in range(20):
            self.scheduler.turn(longest=0.002)
        try:
            return sock.recv(100)
        except BlockingIOError:
            return None

    def close(self) -> None:
        self.relay.close()
        for sock in (self.client, self.far, self.server):
            sock.close()


def test_connections_stall_and_go_on_and_a_cut_ends_those_whose_bytes_it_kept() -> None:
    wire = Wire()
    wire.client.send(b"one")
    assert wire.receives(wire.far) == b"one"
    number = wire.relay.begin(LinkFault(stalled=True), [("c", "n0")])
    wire.client.send(b"two")
    wire.far.send(b"back")
    assert wire.receives(wire.far) is None and wire.receives(wire.client) == b"back"
    wire.relay.end(number)
    assert wire.receives(wire.far) == b"two"
    number = wire.relay.begin(LinkFault(partitioned=True), [("c", "n0")])
    wire.client.send(b"three")
    assert wire.receives(wire.far) is None
    wire.relay.end(number)
    with pytest.raises(ConnectionResetError):
        wire.receives(wire.client)
    wire.close()


def test_a_reset_ends_connections_and_a_close_passes_as_a_close() -> None:
    wire = Wire()
    wire.far.close()
    assert wire.receives(wire.client) == b""
    wire.close()
    wire = Wire()
    wire.relay.begin(LinkFault(reset=True), [("n0", "c")])
    with pytest.raises(ConnectionResetError):
        wire.receives(wire.client)
    wire.close()


def test_discovery_gives_each_limiter_its_addresses_and_all_for_a_foreign_index() -> None:
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


# Plans


@given(st.integers(0, 10_000), st.integers(2, 20))
def test_a_drawn_plan_is_playable_the_same_again_and_reads_as_written(
    seed: int, instances: int
) -> None:
    one = drawn_plan(seed, instances)
    plan.check(one)
    assert one == drawn_plan(seed, instances) == plan.read(plan.write(one))
    assert one.events and plan.end_of_last_fault(one) <= one.seconds - QUIET_END_S + 0.01


@pytest.mark.parametrize("name", NAMED)
def test_named_plans_are_playable(name: str) -> None:
    for instances in (2, 5, 20):
        plan.check(named_plan(name, instances))


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("{", "truncated"),
        ('{"name": "x", "colour": 1}', "colour"),
        ('{"name": "x", "events": [{"at": 1, "what": "melt", "whom": ["n0"]}]}', "melt"),
        (
            '{"name": "x", "events": [{"at": 1, "what": "kill", "whom": ["n9"]}]}',
            "event 0 (kill): no process n9",
        ),
        (
            '{"name": "x", "events": [{"at": 30, "what": "kill", "whom": ["n0"]}]}',
            "within the drill",
        ),
        (
            '{"name": "x", "events": [{"at": 1, "what": "lose", "whom": ["n0"], "amount": 3}]}',
            "share",
        ),
        (
            (
                '{"name": "x", "events": [{"at": 1, "what": "cut", "whom": ["n0"], "lasts": '
                '2, "repeat": 1}]}'
            ),
            "come again",
        ),
        ('{"name": "x", "load": [{"customer": "1", "plan": "tin"}]}', "gold and iron"),
    ],
)
def test_a_bad_plan_is_refused_with_its_place(text: str, says: str) -> None:
    with pytest.raises(PlanError, match=says.replace("(", r"\(").replace(")", r"\)")):
        plan.read(text)


def test_pairs_of_a_fault() -> None:
    one = plan.Plan(name="x", instances=3)
    event = plan.Event(at=1, what="cut", whom=("n0",))
    assert plan.pairs(one, event) == [("n0", "n1"), ("n0", "n2"), ("n1", "n0"), ("n2", "n0")]
    assert plan.pairs(
        one, plan.Event(at=1, what="cut", whom=("n0",), others=("h0",), one_way=True)
    ) == [("n0", "h0")]


def test_shrinking_keeps_what_matters() -> None:
    one = drawn_plan(5, 8)
    guilty = one.events[len(one.events) // 2]
    small, trials = shrink.shrink(one, lambda p: guilty in p.events, 60)
    assert small.events == (guilty,) and trials <= 60 and small.seconds < one.seconds
    assert shrink.shrink(one, lambda p: False, 60)[0] == one


# The checker: each promise broken is seen, and an excused one is not


def played(folder: Path, **files: list[dict[str, Any]]) -> dict[str, Any]:
    (folder / "plan.json").write_bytes(
        plan.write(plan.Plan(name="x", instances=2, hosts=1, seconds=10))
    )
    load = [{"what": "load", "t": 100.0, "until": 110.0, "whom": []}]
    every: dict[str, list[dict[str, Any]]] = {"faults": [], "clients": [], "h0": [], "relay": []}
    for name, lines in (every | files).items():
        lines = load + lines if name == "faults" else lines
        (folder / f"{name.replace('_', '.')}.jsonl").write_text(
            "".join(json.dumps(line) + "\n" for line in lines)
        )
    return checker.check(folder)


def asked(number: int, **other: Any) -> dict[str, Any]:
    return {
        "t": 101.0 + number / 1000,
        "end": 101.05,
        "id": f"r{number}",
        "to": "n0",
        "customer": "c",
        "plan": "gold",
        "kind": "look",
        "units": 1,
        "patience": 1.0,
        "extra": 0,
        "outcome": "served",
        "value": f"served r{number}",
    } | other


def ran(number: int, t: float = 101.01) -> dict[str, Any]:
    return {"t": t, "id": f"r{number}"}


LATE = [{"what": "late", "whom": [], "t": 102.0, "late": 0.5}]
KILL = [
    {"what": "kill", "whom": ["n0"], "t": 100.9, "on": True},
    {"what": "kill", "whom": ["n0"], "t": 101.5, "on": False},
]


@pytest.mark.parametrize(
    ("row", "host", "faults", "key", "value"),
    [
        (asked(1), [ran(1)], [], "lost", 0),
        (asked(1, outcome="silent", end=102.5), [], [], "lost", 1),
        (asked(1, outcome="reset"), [], [], "lost", 1),
        (asked(1, outcome="reset"), [], KILL, "lost", 0),
        (asked(1, outcome="silent", end=102.5), [], LATE, "lost", 0),
        (asked(1, outcome="silent", end=102.5), [], LATE, "unsure", 1),
        (asked(1, outcome="silent", end=100.5), [], LATE, "unsure", 0),
        (asked(1, end=102.4), [ran(1)], [], "lost", 1),
        (asked(1, extra=1), [ran(1)], [], "doubled", 1),
        (asked(1), [], [], "untrue_answers", 1),
        (asked(1, value="served r2"), [ran(1)], [], "untrue_answers", 1),
        (asked(1, kind="buy", outcome="busy"), [ran(1)], [], "untrue_answers", 1),
        (asked(1, kind="buy"), [ran(1), ran(1)], [], "repeats_not_allowed", 1),
        (asked(1), [ran(1), ran(1)], [], "repeats_not_allowed", 0),
    ],
)
def test_the_checker_sees_a_broken_promise(
    tmp_path: Path,
    row: dict[str, Any],
    host: list[dict[str, Any]],
    faults: list[dict[str, Any]],
    key: str,
    value: int,
) -> None:
    assert played(tmp_path, clients=[row], h0=host, faults=faults)[key] == value


@pytest.mark.parametrize(
    ("many", "name", "over", "passed"),
    [(240, "gold", 0, 0), (250, "gold", 10, 0), (30, "iron", -90, 1)],
)
def test_the_checker_counts_units_beyond_quotas_and_ceilings(
    tmp_path: Path, many: int, name: str, over: float, passed: int
) -> None:
    rows = [asked(n, plan=name) for n in range(many)]
    found = played(tmp_path, clients=rows, h0=[ran(n) for n in range(many)])
    assert (found["over_quota_units"], found["ceilings_passed"]) == (over, passed)


def seen(t: float, **members: str) -> dict[str, Any]:
    return {"t": t, "members": {name[1:]: [state, "life"] for name, state in members.items()}}


def test_the_checker_sees_views_that_differ_false_deaths_and_how_long_settling_took(
    tmp_path: Path,
) -> None:
    both = [seen(99, n0="alive", n1="alive")]
    assert played(tmp_path, n0_view=both, n1_view=both)["views_differ"] == 0
    found = played(tmp_path, n0_view=[*both, seen(105, n0="alive", n1="dead")], n1_view=both)
    assert (found["views_differ"], found["false_deaths"]) == (1, 1)
    gone = [{"what": "kill", "whom": ["n1"], "t": 103.0, "on": True}]
    lines = [*both, seen(104, n0="alive", n1="suspect"), seen(105.5, n0="alive", n1="dead")]
    found = played(tmp_path, n0_view=lines, n1_view=both, faults=gone)
    assert (
        found["views_differ"],
        found["false_deaths"],
        found["settled_s_p99"],
        found["suspected_s_max"],
    ) == (0, 0, 2.5, 1.0)


def test_one_that_was_suspected_before_it_died_was_not_suspected_late(tmp_path: Path) -> None:
    gone = [{"what": "kill", "whom": ["n1"], "t": 103.0, "on": True}]
    lines = [
        seen(99, n0="alive", n1="alive"),
        seen(101, n0="alive", n1="suspect"),
        seen(102.5, n0="alive", n1="dead"),
        seen(109, n0="alive", n1="left"),
    ]
    assert played(tmp_path, n0_view=lines, n1_view=lines[:1], faults=gone)["suspected_s_max"] == 0.0
    early = [
        seen(99, n0="alive", n1="alive"),
        seen(101, n0="alive", n1="suspect"),
        seen(102.5, n0="alive", n1="alive"),
        seen(104, n0="alive", n1="dead"),
    ]
    assert played(tmp_path, n0_view=early, n1_view=early[:1], faults=gone)["suspected_s_max"] == 1.0


def test_a_command_whose_library_is_missing_says_so_whatever_comes_after_it(
    capsys: pytest.CaptureFixture[str],
) -> None:
    from hazelhollow.cli import _missing

    with pytest.raises(SystemExit) as ended:
        _missing("fleet", "msgspec").main(["up", "--instances", "3"])
    assert ended.value.code == 2 and "'fleet' needs msgspec" in capsys.readouterr().err


# Real processes


def alive(pid: int) -> bool:
    return (
        process_sweeper.start_time(pid) != ""
        and Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    )


@pytest.fixture
def start_fleet() -> Any:
    """What a test that fails has left is ended."""
    started: list[subprocess.Popen[bytes]] = []

    def start(folder: Path) -> subprocess.Popen[bytes]:
        started.append(started_fleet(folder))
        return started[-1]

    yield start
    for one in started:
        one.kill()
        one.wait()


def started_fleet(folder: Path) -> subprocess.Popen[bytes]:
    words = [
        sys.executable,
        "-m",
        "hazelhollow",
        "fleet",
        "up",
        "--instances",
        "2",
        "--hosts",
        "1",
        "--state",
        str(folder),
    ]
    one = subprocess.Popen(words, stdout=subprocess.PIPE)
    assert one.stdout
    assert one.stdout.readline().startswith(b"ready n0") and one.stdout.readline().startswith(
        b"ready n1"
    )
    return one


def wait_until(met: Callable[[], bool], watched: subprocess.Popen[bytes]) -> None:
    """A condition, however long it takes within a bound that no sound machine needs."""
    done = select.poll()
    for _ in range(3000):
        if met():
            return
        done.poll(10)
        watched.poll()
    raise AssertionError("not met")


def test_a_fleet_is_broken_by_hand_and_nothing_is_left_after_down(
    tmp_path: Path, start_fleet: Callable[[Path], subprocess.Popen[bytes]]
) -> None:
    folder = tmp_path / "fleet"
    one = start_fleet(folder)
    pids = [int(line.split()[0]) for line in (folder / "pids").read_text().splitlines()]
    assert len(pids) == 3 and all(alive(pid) for pid in pids)

    def views() -> list[dict[str, str]]:
        found = supervisor.command(folder, do="status")["processes"]
        return [
            {n: entry["state"] for n, entry in row["view"].items()}
            for row in found
            if "view" in row
        ]

    wait_until(lambda: views() == [{"0": "alive", "1": "alive"}] * 2, one)
    with pytest.raises(CommandError, match="no process 'n7'"):
        supervisor.command(folder, do="kill", name="n7")
    supervisor.command(folder, do="cut", a="n0", b="n1", one_way=True)
    status = supervisor.command(folder, do="status")
    assert [(link["from"], link["to"]) for link in status["links"]] == [("n0", "n1")]
    supervisor.command(folder, do="kill", name="n1")

    def rows() -> dict[str, str]:
        return {
            row["name"]: row["state"]
            for row in supervisor.command(folder, do="status")["processes"]
        }

    wait_until(lambda: rows()["n1"] == "ended", one)
    supervisor.command(folder, do="start", name="n1")
    supervisor.command(folder, do="heal")
    assert supervisor.command(folder, do="status")["links"] == [] and rows()["n1"] == "running"
    supervisor.command(folder, do="down")
    assert one.wait() == 0
    assert not any(alive(pid) for pid in pids) and not folder.exists()


def test_another_than_the_owner_of_the_token_is_refused(
    tmp_path: Path, start_fleet: Callable[[Path], subprocess.Popen[bytes]]
) -> None:
    folder, other = tmp_path / "fleet", tmp_path / "other"
    one = start_fleet(folder)
    told = json.loads((folder / supervisor.FILE).read_text())
    other.mkdir()
    (other / supervisor.FILE).write_text(json.dumps(told | {"token": "0" * 32}))
    with pytest.raises(CommandError, match="not the token"):
        supervisor.command(other, do="down")
    with pytest.raises(CommandError, match="no fleet is up"):
        supervisor.command(tmp_path, do="down")
    one.send_signal(signal.SIGTERM)
    assert one.wait() == 0 and not folder.exists()


def janitor_of(folder: Path) -> int:
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            words = path.read_bytes().split(b"\0")
        except OSError:
            continue
        if (
            b"hazelhollow.fault_injection.process_sweeper" in words
            and str(folder).encode() in words
        ):
            return int(path.parent.name)
    raise AssertionError("no janitor")


@pytest.mark.parametrize("janitor_too", [False, True])
def test_nothing_is_left_when_the_supervisor_itself_is_killed(
    tmp_path: Path, janitor_too: bool, start_fleet: Callable[[Path], subprocess.Popen[bytes]]
) -> None:
    folder = tmp_path / "fleet"
    one = start_fleet(folder)
    pids = [int(line.split()[0]) for line in (folder / "pids").read_text().splitlines()]
    os.kill(pids[1], signal.SIGSTOP)  # one that stands still must go too
    if janitor_too:
        os.kill(janitor_of(folder), signal.SIGKILL)
    one.kill()
    one.wait()
    wait_until(lambda: not any(alive(pid) for pid in pids) and folder.exists() == janitor_too, one)


def test_the_janitor_ends_what_the_book_names_and_leaves_a_number_that_is_another_process_now(
    tmp_path: Path,
) -> None:
    both = [
        subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE) for _ in range(2)
    ]
    lines = [
        f"{both[0].pid} {process_sweeper.start_time(both[0].pid)}",
        f"{both[1].pid} 12345",
        "half a li",
        "",
    ]
    (tmp_path / "pids").write_text("\n".join(lines))
    assert process_sweeper.sweep(tmp_path) == [both[0].pid]
    assert both[0].wait() == -signal.SIGKILL and both[1].poll() is None
    both[1].kill()
    both[1].wait()


def test_a_drill_counts_what_two_parts_let_in_and_loses_nothing(tmp_path: Path) -> None:
    source, out = tmp_path / "plan.json", tmp_path / "out.json"
    events = (
        plan.Event(at=1.0, what="cut", whom=("n0",), lasts=3.0),
        plan.Event(at=2.0, what="kill", whom=("n1",), lasts=0.3),
    )
    source.write_bytes(plan.write(plan.Plan(name="cut", instances=3, seconds=6.0, events=events)))
    words = [sys.executable, "-m", "hazelhollow", "fleet", "drill", str(source), "--json", str(out)]
    assert subprocess.run(words, capture_output=True).returncode == 0
    found = json.loads(out.read_text())
    assert (
        found["requests"] > 300
        and found["accepted"] > 100
        and (found["cuts"], found["kills"]) == (1, 1)
    )
    assert {
        key: found[key]
        for key in ("lost", "doubled", "untrue_answers", "repeats_not_allowed", "ceilings_passed")
    } == dict.fromkeys(
        ("lost", "doubled", "untrue_answers", "repeats_not_allowed", "ceilings_passed"), 0
    )
    assert plan.read(json.dumps(found["plan"])).events == events


@given(st.integers(0, 500), st.integers(2, 20))
def test_drawn_changes_are_the_same_for_a_seed_grow_in_order_and_can_be_played(
    seed: int, instances: int
) -> None:
    one = drawn_plan(seed, instances, changes=True)
    plan.check(one)
    assert one == drawn_plan(seed, instances, changes=True) == plan.read(plan.write(one))
    given_ = [(event.at, int(event.amount)) for event in one.events if event.what == "settings"]
    assert [order for _, order in sorted(given_)] == [1, 2, 3] and plan.newest_revision(one) == 3
    assert [
        event for event in drawn_plan(seed, instances).events if event.what in ("settings", "old")
    ] == []


def test_a_zone_stands_for_its_limiters_and_hosts() -> None:
    one = plan.Plan(
        name="x",
        instances=4,
        hosts=3,
        zones=2,
        events=(plan.Event(at=1, what="cut", whom=("z1",), lasts=2),),
    )
    plan.check(one)
    (event,) = plan.expanded_events(one)
    assert event.whom == ("n2", "n3", "h1")
    hit = plan.pairs(one, event)
    assert (
        ("n2", "h0") in hit
        and ("n0", "n2") in hit
        and ("h1", "n0") in hit
        and ("n2", "n3") not in hit
    )
    with pytest.raises(PlanError, match="z2"):
        plan.check(
            plan.Plan(
                name="x", zones=2, events=(plan.Event(at=1, what="cut", whom=("z2",), lasts=2),)
            )
        )


@pytest.mark.parametrize("amount", [0.0, 0.5])
def test_settings_of_no_order_are_refused(amount: float) -> None:
    with pytest.raises(PlanError, match="whole number"):
        plan.check(
            plan.Plan(
                name="x", events=(plan.Event(at=1, what="settings", whom=("n0",), amount=amount),)
            )
        )


def test_who_served_by_old_settings_is_told_from_probes_and_only_after_it_could_hear(
    tmp_path: Path,
) -> None:
    """n1 serves by the old ones for 2 s; n2 was cut off until then; n3 takes nothing new."""
    rows = {
        "faults.jsonl": [
            {"t": 100.0, "what": "load", "until": 120.0, "whom": []},
            {"t": 105.0, "what": "settings", "whom": ["n0"], "order": 1},
            {
                "t": 104.0,
                "what": "cut",
                "pairs": [["n2", "n0"], ["n0", "n2"]],
                "number": 1,
                "on": True,
            },
            {
                "t": 109.0,
                "what": "cut",
                "pairs": [["n2", "n0"], ["n0", "n2"]],
                "number": 1,
                "on": False,
            },
        ],
        "probes.jsonl": [
            {"t": 106.0, "end": 106.1, "to": "n0", "order": 1, "new": "served", "look": "served"},
            {"t": 107.0, "end": 107.1, "to": "n1", "order": 1, "new": "unknown", "look": "served"},
            {"t": 108.0, "end": 108.1, "to": "n2", "order": 1, "new": "unknown", "look": "served"},
            {"t": 119.0, "end": 119.1, "to": "n3", "order": 1, "new": "unknown", "look": "busy"},
        ],
    }
    for name, lines in rows.items():
        (tmp_path / name).write_text("\n".join(map(json.dumps, lines)))
    found = checker.settings(tmp_path, {"instances": 4}, FaultHistory(rows["faults.jsonl"]))
    assert found == {"acted_on_old_after_s_p99": 2.0, "stragglers": 1}
