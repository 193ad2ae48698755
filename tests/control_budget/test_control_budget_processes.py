"""Real processes within a small budget for control traffic, amid kills, partitions and changes."""

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
from tests.membership.test_membership_processes import state_history

MEMBERS = 6
BUDGET = settings_for(MIN_BYTES_PER_S)
# Maximum delay in seconds with which the relay, which shares the machine, reads a datagram.
RELAY_DELAY_S = 1.0


# An operator file with all subsystems enabled, and the smallest budget.
bounded_file = partial(control_file, bytes_per_s=MIN_BYTES_PER_S)


class Datagram(NamedTuple):
    """A datagram; `size` is in bytes including headers."""

    at: float
    size: int


class Meter:
    """The datagrams that each limiter sends, as the relay reads them before any loss."""

    def __init__(self, relay: relays.Relay) -> None:
        self._relay = relay
        self._names = {id(link): sender for (sender, _), link in relay.links.items()}
        self._forward = relay.forward
        # each process has its own budget, and its own burst
        self.incarnations: dict[str, int] = defaultdict(int)
        self.sent: dict[tuple[str, int], list[Datagram]] = defaultdict(list)
        relay.forward = self._count  # type: ignore[method-assign]

    def _count(self, link: Link, datagram: relays.Datagram) -> None:
        name = self._names[id(link)]
        row = Datagram(self._relay.scheduler.clock(), len(datagram.data) + HEADER_BYTES)
        self.sent[name, self.incarnations[name]].append(row)
        self._forward(link, datagram)

    def check(self) -> None:
        """Asserts that no limiter exceeds its budget, gossip included, in any window."""
        for name, datagrams in self.sent.items():
            cumulative_bytes = [0, *itertools.accumulate(row.size for row in datagrams)]
            for first, last in itertools.combinations(range(0, len(datagrams), 3), 2):
                window = datagrams[last].at - datagrams[first].at + RELAY_DELAY_S
                sent = cumulative_bytes[last + 1] - cumulative_bytes[first]
                assert sent <= BUDGET.rate * window + BUDGET.burst, (name, window)


class BoundedFleet(Audited):
    """A fleet within the smallest budget, whose datagrams are measured."""

    def __init__(self, cluster: LoopbackCluster) -> None:
        super().__init__(cluster)
        self.meter = Meter(cluster.relay)

    def control(self, name: str) -> dict[str, Any]:
        lines = self.call(name, "fleet").splitlines()
        report: dict[str, Any] = json.loads(lines[0])["control"]
        return report

    def start(self, name: str) -> None:
        """Restarts a limiter that was killed."""
        self.meter.incarnations[name] += 1
        self.cluster.processes.start(name)

    def is_seen_as(self, observers: Iterable[str], number: int, state: str) -> bool:
        return all(self.state(name, number) == state for name in observers)

    def assert_never_dead(self, names: Iterable[str]) -> None:
        """Asserts that none of these limiters ever considered another of them dead."""
        names = list(names)
        for observer, other in itertools.permutations(names, 2):
            assert "dead" not in state_history(
                self.folder, observer, self.cluster.names.index(other)
            )


@pytest.fixture
def bounded(tmp_path: Path) -> Any:
    (tmp_path / "fleet").mkdir()
    six = plan.Plan(name="x", instances=MEMBERS, hosts=1)
    fleet = BoundedFleet(
        LoopbackCluster(Scheduler(Clock()), six, tmp_path / "fleet", operator=bounded_file)
    )
    fleet.until(lambda: fleet.all_alive() and fleet.orders() == [0] * MEMBERS)
    yield fleet
    fleet.cluster.close()


def test_drill_within_the_budget_breaks_no_promise(tmp_path: Path) -> None:
    """Links, processes and settings fail and change at once, under load and within the budget."""
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
    drill = plan.Plan(name="bounded", instances=5, seconds=10.0, events=events, load=load)
    found = FaultInjectionRun(drill, folder, operator=control_file, keep=True).run()
    assert {key: found[key] or 0 for key in GUARANTEE_VIOLATIONS} == dict.fromkeys(
        GUARANTEE_VIOLATIONS, 0
    )
    assert found["requests"] > 400 and (found["kills"], found["stalls"], found["cuts"]) == (1, 1, 1)


def test_paced_gossip_reserves_no_share_for_a_peer_that_is_up(bounded: BoundedFleet) -> None:
    """In a small fleet, a pause in a peer's gossip means that the peer is down. Paced gossip
    pauses at times, which must not reserve a share of the quotas for a peer that is up.
    """
    min_datagrams = 600 + sum(map(len, bounded.meter.sent.values()))

    def checked_until_enough_datagrams() -> bool:
        for name in bounded.cluster.names:
            document = json.loads(bounded.call(name, "fleet").splitlines()[0])
            alive = [n for n, one in document["members"].items() if one["state"] == "alive"]
            assert not set(document["out_of_reach"]).intersection(map(int, alive)), name
        return sum(map(len, bounded.meter.sent.values())) >= min_datagrams

    bounded.until(checked_until_enough_datagrams)
    bounded.meter.check()


def test_fleet_agrees_after_kills_during_a_change_of_settings(bounded: BoundedFleet) -> None:
    """Two of six limiters are killed while new settings spread. The others agree, the two return
    and adopt the new settings, and no budget is exceeded.
    """
    names, killed = bounded.cluster.names, ("n4", "n5")
    survivors = [name for name in names if name not in killed]
    bounded.change("n0", 1)
    for name in killed:
        bounded.cluster.processes.kill(name)
    bounded.until(
        lambda: all(bounded.is_seen_as(survivors, names.index(name), "dead") for name in killed)
    )
    bounded.until(lambda: bounded.orders(*survivors) == [1] * len(survivors))
    for name in killed:
        bounded.start(name)  # with its previous files
    bounded.until(lambda: bounded.all_alive() and bounded.orders() == [1] * MEMBERS)
    bounded.assert_never_dead(survivors)
    bounded.meter.check()
    roles = bounded.control("n0")["roles"]
    assert roles["configuration"]["sent"] > 0 and roles["view"]["sent"] > 0
    assert (
        sum(roles[role.value]["deferred"] for role in TrafficRole) > 0
    ), "no message was deferred: the budget was not exhausted"


def test_limiter_that_starts_with_newer_settings_spreads_them(
    bounded: BoundedFleet,
) -> None:
    """It has never acted on the older settings, so it cannot compute the difference from them."""
    names = bounded.cluster.names
    bounded.cluster.processes.kill("n0")
    bounded.until(lambda: bounded.is_seen_as(names[1:], 0, "dead"))
    bounded.cluster.write_files("n0", 1)
    bounded.start("n0")
    bounded.until(lambda: bounded.all_alive() and bounded.orders() == [1] * MEMBERS)
    logs = [bounded.cluster.processes.members[name].log.read_text() for name in names]
    assert not any("nobody gave order" in log for log in logs)
    bounded.meter.check()


def test_settings_changed_during_a_partition_reach_all_after_the_heal(
    bounded: BoundedFleet,
) -> None:
    """The settings change on one side of a partition. After the heal all limiters act on them, and
    neither side ever considered its own members dead.
    """
    names = bounded.cluster.names
    changed_side, other_side = names[:3], names[3:]
    cut = bounded.apart(tuple(changed_side))
    bounded.until(
        lambda: all(bounded.is_seen_as(changed_side, names.index(n), "dead") for n in other_side)
        and all(bounded.is_seen_as(other_side, names.index(n), "dead") for n in changed_side)
    )
    bounded.change("n0", 1)
    bounded.until(lambda: bounded.orders(*changed_side) == [1] * len(changed_side))
    assert bounded.orders(*other_side) == [0] * len(other_side)
    bounded.cluster.relay.end(cut)
    bounded.until(lambda: bounded.all_alive() and bounded.orders() == [1] * MEMBERS)
    for side in (changed_side, other_side):
        bounded.assert_never_dead(side)
    bounded.meter.check()


def test_limiter_with_an_older_revision_is_reported_within_the_budget(
    bounded: BoundedFleet,
) -> None:
    """One limiter cannot use the new settings. Even with the smallest budget the others must
    report it as behind.
    """
    for name in bounded.cluster.names[:-1]:  # a plan changes, so they are restarted with it
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
