"""Simulated fleets in virtual time: the member states after faults of links and processes."""

from __future__ import annotations

import pytest

from hazelhollow.bench import fleet as bench
from hazelhollow.bench import zones
from hazelhollow.bench.fleet import SimulatedFleet
from hazelhollow.control_budget.budget import (
    TrafficRole,
    settings_for,
)
from hazelhollow.membership import codec
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.records import (
    MemberState,
    Record,
)
from tests.membership.helpers import settled, states


@pytest.mark.parametrize("seed", range(5))
def test_twenty_members_started_together_agree(seed: int) -> None:
    settled(20, seed)


def test_members_that_never_started_are_dead_until_they_start() -> None:
    """Two of eight members never start. The others consider them dead, and agree again after one
    of them starts.
    """
    sim = SimulatedFleet(8, 1)
    for number in range(2, 8):
        sim.start(number)
    assert sim.settle(timeout_s=10.0) is not None
    assert states(sim, 5)[0] == "dead"
    sim.start(0)
    assert sim.settle(timeout_s=5.0) is not None


@pytest.mark.parametrize("seed", range(3))
def test_crashes_of_one_and_of_half_and_their_restarts_settle(seed: int) -> None:
    """One member crashes and restarts, then half of the fleet. Each time, the members that are up
    agree within seconds.
    """
    sim = settled(12, seed)
    for crashed in ([4], [0, 1, 2, 3, 5, 6]):
        for number in crashed:
            sim.kill(number)
        began = sim.now
        assert sim.settle(timeout_s=6.0) is not None
        assert all(sim.suspected[number] - began < 3.0 for number in crashed)
        for number in crashed:
            sim.start(number)
        assert sim.settle(timeout_s=5.0) is not None


@pytest.mark.parametrize("seed", range(3))
def test_both_sides_of_a_partition_settle_and_agree_after_it_heals(seed: int) -> None:
    """During a partition each side considers the other dead; after it heals, all agree."""
    sim = settled(12, seed)
    sim.is_cut = lambda a, b: (a < 5) != (b < 5)
    assert sim.settle(lambda: sim.agreed(range(5)) and sim.agreed(range(5, 12)), 10.0) is not None
    assert states(sim, 0)[11] == "dead"
    sim.is_cut = lambda a, b: False
    assert sim.settle(timeout_s=5.0) is not None


def test_cut_link_causes_no_death_and_both_ends_report_it() -> None:
    """One link fails in both directions. Indirect probes still reach both ends: no suspicion lasts,
    and both ends report the other as unreachable.
    """
    sim = settled(8)
    sim.is_cut = lambda a, b: {a, b} == {2, 6}
    sim.reset_counters()
    sim.run(15.0)
    assert sim.deaths == [] and sim.agreed()
    assert sim.members[2].membership.unreachable() == [6] and sim.members[
        6
    ].membership.unreachable() == [2]
    assert sim.members[2].membership.cannot_hear_us() == (6,) and {
        r.unreachable for r in sim.members[4].membership.table if r.number == 2
    } == {(6,)}
    sim.is_cut = lambda a, b: False
    sim.run(8.0)
    assert (
        sim.members[2].membership.unreachable() == []
        and sim.members[6].membership.cannot_hear_us() == ()
    )


def test_link_cut_one_way_is_reported_by_the_end_that_cannot_receive() -> None:
    """One link fails in one direction. Only the end that no longer receives reports it, and no
    member is considered dead.
    """
    sim = settled(8)
    sim.is_cut = lambda a, b: (a, b) == (2, 6)
    sim.run(15.0)
    assert (
        sim.members[6].membership.unreachable() == [2]
        and sim.members[2].membership.unreachable() == []
    )
    assert sim.members[2].membership.cannot_hear_us() == (6,) and sim.agreed()


def test_member_whose_datagrams_are_lost_is_dead_until_they_arrive_again() -> None:
    """One member receives datagrams, but all that it sends are lost. The others consider it dead
    until its datagrams arrive again.
    """
    sim = settled(6)
    sim.is_cut = lambda a, b: a == 3
    sim.run(8.0)
    assert all(states(sim, n)[3] == "dead" for n in range(6) if n != 3)
    sim.is_cut = lambda a, b: False
    assert sim.settle(timeout_s=5.0) is not None


def test_fleet_settles_after_links_stop_flapping() -> None:
    """A partition starts or ends every half second. Once the links stay up, all agree."""
    sim = settled(10)
    for half_second in range(12):
        sim.is_cut = (lambda a, b: (a < 5) != (b < 5)) if half_second % 2 else (lambda a, b: False)
        sim.run(0.5)
    sim.is_cut = lambda a, b: False
    assert sim.settle(timeout_s=5.0) is not None


def test_paused_member_admits_no_work_before_it_refutes_its_death() -> None:
    """A process is paused for eight seconds and considered dead meanwhile. After it resumes, it
    admits nothing until a peer has reported its death to it and it has refuted that.
    """
    sim = settled(6)
    sim.pause(2)
    sim.run(8.0)
    assert states(sim, 0)[2] == "dead"
    member = sim.members[2].membership
    version_before = member.own.record_version
    sim.resume(2)
    assert not member.may_admit
    assert sim.settle(lambda: member.may_admit, 1.0) is not None
    assert member.own.record_version > version_before and sim.settle(timeout_s=5.0) is not None


def test_member_that_left_is_not_dead_and_can_return() -> None:
    sim = settled(6)
    sim.send(sim.members[2], sim.members[2].membership.leave(sim.now))
    sim.kill(2)
    sim.run(3.0)
    assert {states(sim, n)[2] for n in (0, 1, 3)} == {"left"}
    sim.start(2)
    assert sim.settle(timeout_s=5.0) is not None


def test_member_restarted_with_an_earlier_clock_raises_its_incarnation() -> None:
    """A member crashes and restarts with its clock set back by an hour. Its new incarnation is
    lower than the one that its peers know, so that it has to choose a higher one.
    """
    sim = settled(6)
    sim.kill(2)
    sim.start(2, clock_back=3600.0)
    assert sim.settle(timeout_s=6.0) is not None
    assert sim.members[2].membership.counts["life_raised"] == 1


def test_record_missed_by_dissemination_is_found_by_digests() -> None:
    """One member has a record that is no longer piggybacked on its datagrams. The others request it
    because the digests of the tables differ.
    """
    sim = SimulatedFleet(7, 1)
    for number in range(6):
        sim.start(number)
    assert sim.settle(timeout_s=10.0) is not None
    sim.run(10.0)
    missed = Record(6, 36**8, 3, MemberState.LEFT)
    # as if its dissemination had ended before it reached any other member
    sim.members[0].membership.table.put(missed)
    sim.run(5.0)
    assert {member.membership.table.get(6) for member in sim.members.values()} == {missed}


def test_datagram_loss_causes_no_death_at_constant_traffic_per_member() -> None:
    """A tenth of all datagrams is lost. No member is considered dead, and the datagrams per member
    do not grow with the fleet.
    """
    rates = []
    for members in (8, 48):
        sim = settled(members, loss=0.1)
        sim.run(20.0)
        sim.reset_counters()
        sim.run(10.0)
        assert sim.deaths == []
        rates.append(sim.sent_datagrams / members)
    assert rates[1] < 1.3 * rates[0]


@pytest.mark.parametrize("contended", [False, True])
def test_fleet_within_its_budget_settles_without_false_deaths(contended: bool) -> None:
    """A zone fails and returns and a region is cut off, with a budget of 4000 bytes per second.
    Each phase settles and keeps to the budget.
    """
    found = zones.simulate(24, 1, 0.0, zones.allowances(4000.0, contended), lambda text: None)
    phases = {name: phase for name, phase in found.items() if isinstance(phase, dict)}
    settings, rate = settings_for(4000.0), settings_for(4000.0).rate
    if contended:
        rate = settings.roles[TrafficRole.MEMBERSHIP].rate
    for name, phase in phases.items():
        assert phase["settled_s"] is not None, name
        assert phase["worst_second"] <= rate + settings.burst, name
        assert phase["worst_ten_seconds"] <= rate + settings.burst / 10.0, name
    assert found["false_deaths"] == 0


def test_healed_partition_causes_no_false_death() -> None:
    """A partition heals whose sides have more members than are pinged at once. No member may be
    considered dead because its turn to be pinged has not come yet.
    """
    sim = zones.ObservedFleet(48, 3, 0.0, lambda now: None)
    sim.start_all()
    assert sim.settle() is not None
    cut = set(range(16))
    rest = set(range(16, 48))
    sim.is_cut = lambda a, b: (a in cut) != (b in cut)
    assert sim.settle(lambda: sim.agreed(cut) and sim.agreed(rest)) is not None
    sim.false_deaths.clear()
    sim.is_cut = lambda a, b: False
    assert sim.settle() is not None
    assert not sim.false_deaths


def test_older_record_from_a_peer_is_answered_with_the_newer_one() -> None:
    """All members request the records of a member whose table differs. A record of it that is older
    than the receiver's is answered with the newer one.
    """
    sim = SimulatedFleet(8, 1)
    sim.start_all()
    assert sim.settle() is not None
    member = sim.members[2].membership
    newer = member.table.get(5)
    assert newer is not None
    older = Message(
        MessageKind.RECORDS,
        Record(3, sim.members[3].membership.own.incarnation, 9, MemberState.ALIVE),
        10**6,
        7,
    )
    replies = member.receive(3, codec.encode(older, [newer._replace(record_version=0)])[0], sim.now)
    message = codec.decode(replies[-1].text, 8)
    assert (
        message
        and replies[-1].recipient == 3
        and message.kind == MessageKind.RECORDS
        and newer in message.records
    )


def test_fleet_report_has_each_scenario_by_size() -> None:
    found = bench.report([6], 2, 0.1, 0.5, lambda text: None)["6"]
    assert found["false_deaths"] == 0 and found["member_minutes"] == 3.0
    assert all(
        found[key]["not_settled"] == 0 and found[key]["worst"] < 6
        for key in ("start", "one_dead", "half_dead", "split", "heal")
    )
