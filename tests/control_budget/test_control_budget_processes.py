"""Real processes within a small budget of control traffic, while several are killed at once, cut
off, and given new settings.
"""

from __future__ import annotations

import itertools
import json
from collections import defaultdict
from collections.abc import Iterable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from hazelhollow.control_budget.budget import (
    HEADER_BYTES,
    MIN_BYTES_PER_S,
    TrafficRole,
    settings_for,
)
from hazelhollow.fault_injection import plan
from hazelhollow.fault_injection.loopback_cluster import LoopbackCluster
from hazelhollow.fault_injection.operator_files import control_file
from hazelhollow.fault_injection.plan import FIRST_PLAN_REVISION
from hazelhollow.fault_injection.run import FaultInjectionRun
from hazelhollow.fault_injection.run_commands import GUARANTEE_VIOLATIONS
from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.standins import relay as relays
from hazelhollow.standins.link_faults import Link
from tests.configuration.test_audit_processes import Audited
from tests.membership.test_membership_processes import states

MEMBERS = 6
BUDGET = settings_for(MIN_BYTES_PER_S)
# seconds by which the relay, which shares the machine with all of them, may read a datagram late
LATE = 1.0


# An operator file with everything on, and the smallest budget.
bounded_file = partial(control_file, bytes_per_s=MIN_BYTES_PER_S)


class Datagram(NamedTuple):
    """`size`: bytes with headers."""

    at: float
    size: int


class Meter:
    """What each limiter sends, as the relay reads it, whether or not it is lost on the way."""

    def __init__(self, relay: relays.Relay) -> None:
        self._relay = relay
        self._names = {id(link): sender for (sender, _), link in relay.links.items()}
        self._forward = relay.forward
        # each process has a budget, and a burst, of its own
        self.incarnations: dict[str, int] = defaultdict(int)
        self.sent: dict[tuple[str, int], list[Datagram]] = defaultdict(list)
        relay.forward = self._count  # type: ignore[method-assign]

    def _count(self, link: Link, datagram: relays.Datagram) -> None:
        name = self._names[id(link)]
        row = Datagram(self._relay.scheduler.clock(), len(datagram.data) + HEADER_BYTES)
        self.sent[name, self.incarnations[name]].append(row)
        self._forward(link, datagram)

    def check(self) -> None:
        """In no window more than the budget, the gossip's part included."""
        for name, rows in self.sent.items():
            sums = [0, *itertools.accumulate(row.size for row in rows)]
            for first, last in itertools.combinations(range(0, len(rows), 3), 2):
                window = rows[last].at - rows[first].at + LATE
                sent = sums[last + 1] - sums[first]
                assert sent <= BUDGET.rate * window + BUDGET.burst, (name, window)


class Bounded(Audited):
    def __init__(self, cluster: LoopbackCluster) -> None:
        super().__init__(cluster)
        self.meter = Meter(cluster.relay)

    def control(self, name: str) -> dict[str, Any]:
        first = self.call(name, "fleet").splitlines()
        found: dict[str, Any] = json.loads(first[0])["control"]
        return found

    def start(self, name: str) -> None:
        """One that was killed, again."""
        self.meter.incarnations[name] += 1
        self.cluster.processes.start(name)

    def held(self, observers: Iterable[str], number: int, state: str) -> bool:
        return all(self.state(name, number) == state for name in observers)

    def never_dead(self, names: Iterable[str]) -> None:
        """None of these held another of them for dead."""
        names = list(names)
        for observer, other in itertools.permutations(names, 2):
            assert "dead" not in states(self.folder, observer, self.cluster.names.index(other))


@pytest.fixture
def bounded(tmp_path: Path) -> Any:
    (tmp_path / "fleet").mkdir()
    six = plan.Plan(name="x", instances=MEMBERS, hosts=1)
    one = Bounded(
        LoopbackCluster(Scheduler(Clock()), six, tmp_path / "fleet", operator=bounded_file)
    )
    one.until(lambda: one.whole() and one.orders() == [0] * MEMBERS)
    yield one
    one.cluster.close()


def test_a_drill_within_the_budget_breaks_no_promise(tmp_path: Path) -> None:
    """Links, processes and settings fail and change at once under load, within the budget. No
    promise of the drill is broken.
    """
    events = (
        plan.Event(at=1.0, what="cut", whom=("n0", "n1"), lasts=3.0),
        plan.Event(at=2.0, what="settings", whom=("n2",), amount=1.0),
        plan.Event(at=3.0, what="kill", whom=("n3",), lasts=3.0),
        plan.Event(at=4.5, what="pause", whom=("n4",), lasts=3.0),
        plan.Event(at=7.0, what="restart", whom=("n1",)),
    )
    load = (
        plan.Load(customer="00000000b4d65521", rate=10.0),
        plan.Load(customer="00000000a1b2c3d4", kind="buy", rate=2.0),
    )
    folder = tmp_path / "drill"
    folder.mkdir()
    one = plan.Plan(name="bounded", instances=5, seconds=10.0, events=events, load=load)
    found = FaultInjectionRun(one, folder, operator=control_file, keep=True).run()
    assert {key: found[key] or 0 for key in GUARANTEE_VIOLATIONS} == dict.fromkeys(
        GUARANTEE_VIOLATIONS, 0
    )
    assert found["requests"] > 400 and (found["kills"], found["stalls"], found["cuts"]) == (1, 1, 1)


def test_paced_gossip_leaves_no_part_to_a_peer_that_is_up(bounded: Bounded) -> None:
    """In a small fleet silent gossip means that a peer is gone; paced gossip is silent at
    times. No part is left to a peer that is up.
    """
    enough = 600 + sum(map(len, bounded.meter.sent.values()))

    def looked_at_while_they_talk() -> bool:
        for name in bounded.cluster.names:
            document = json.loads(bounded.call(name, "fleet").splitlines()[0])
            well = [n for n, one in document["members"].items() if one["state"] == "alive"]
            assert not set(document["out_of_reach"]).intersection(map(int, well)), name
        return sum(map(len, bounded.meter.sent.values())) >= enough

    bounded.until(looked_at_while_they_talk)
    bounded.meter.check()


def test_several_killed_at_once_while_settings_change(bounded: Bounded) -> None:
    """Two of six limiters are killed while new settings spread. The rest agree, the two come
    back with the new ones, and no budget is passed.
    """
    names, killed = bounded.cluster.names, ("n4", "n5")
    rest = [name for name in names if name not in killed]
    bounded.change("n0", 1)
    for name in killed:
        bounded.cluster.processes.kill(name)
    bounded.until(lambda: all(bounded.held(rest, names.index(name), "dead") for name in killed))
    bounded.until(lambda: bounded.orders(*rest) == [1] * len(rest))
    for name in killed:
        bounded.start(name)  # with the files that it had
    bounded.until(lambda: bounded.whole() and bounded.orders() == [1] * MEMBERS)
    bounded.never_dead(rest)
    bounded.meter.check()
    roles = bounded.control("n0")["roles"]
    assert roles["configuration"]["sent"] > 0 and roles["view"]["sent"] > 0
    assert sum(roles[role.value]["deferred"] for role in TrafficRole) > 0, "the budget did not bind"


def test_a_limiter_that_starts_with_newer_settings_gives_them_to_all_in_time(
    bounded: Bounded,
) -> None:
    """It has never acted on the older ones, so that it can tell no difference from them."""
    names = bounded.cluster.names
    bounded.cluster.processes.kill("n0")
    bounded.until(lambda: bounded.held(names[1:], 0, "dead"))
    bounded.cluster.write_files("n0", 1)
    bounded.start("n0")
    bounded.until(lambda: bounded.whole() and bounded.orders() == [1] * MEMBERS)
    logs = [bounded.cluster.processes.members[name].log.read_text() for name in names]
    assert not any("nobody gave order" in log for log in logs)
    bounded.meter.check()


def test_a_cut_in_two_parts_and_its_heal(bounded: Bounded) -> None:
    """The fleet is partitioned and the settings change on one side. After the heal all act on
    them, and neither side ever held its own members dead.
    """
    names = bounded.cluster.names
    one, other = names[:3], names[3:]
    number = bounded.apart(tuple(one))
    bounded.until(
        lambda: all(bounded.held(one, names.index(n), "dead") for n in other)
        and all(bounded.held(other, names.index(n), "dead") for n in one)
    )
    bounded.change("n0", 1)
    bounded.until(lambda: bounded.orders(*one) == [1] * len(one))
    assert bounded.orders(*other) == [0] * len(other)
    bounded.cluster.relay.end(number)
    bounded.until(lambda: bounded.whole() and bounded.orders() == [1] * MEMBERS)
    for side in (one, other):
        bounded.never_dead(side)
    bounded.meter.check()


def test_a_limiter_with_an_older_revision_is_still_reported(bounded: Bounded) -> None:
    """One limiter cannot take the new settings, while the budgets are at their least. The
    others report it as behind.
    """
    for name in bounded.cluster.names[:-1]:  # a plan changes: they are started again with it
        bounded.cluster.processes.kill(name)
        bounded.cluster.write_files(name, FIRST_PLAN_REVISION)
        bounded.start(name)
    behind = str(MEMBERS - 1)

    def reported(name: str) -> bool:
        found = bounded.audit(name).get("members", {})
        return (found.get(behind, {}).get("order"), bounded.audit(name).get("order")) == (
            0,
            FIRST_PLAN_REVISION,
        )

    bounded.until(lambda: all(reported(name) for name in bounded.cluster.names[:-1]))
    bounded.until(lambda: bounded.audit(f"n{behind}").get("state") in ("behind", "shut out"))
    bounded.meter.check()
