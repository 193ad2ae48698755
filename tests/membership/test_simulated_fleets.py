"""Simulated fleets on a virtual clock while links and processes fail: what the members record."""

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
from tests.membership.helpers import settled_fleet, states


@pytest.mark.parametrize("seed", range(5))
def test_twenty_members_started_simultaneously_agree(seed: int) -> None:
    settled_fleet(20, seed)


def test_fleet_agrees_that_its_first_members_are_dead() -> None:
    """Two of eight members never start. The others consider them dead, and agree again once one of
    them starts.
    """
    sim = SimulatedFleet(8, 1)
    for number in range(2, 8):
        sim.start(number)
    assert sim.settle(timeout_s=10.0) is not None
    assert states(sim, 5)[0] == "dead"
    sim.start(0)
    assert sim.settle(timeout_s=5.0) is not None


@pytest.mark.parametrize("seed", range(3))
def test_fleet_agrees_after_crashes_of_one_and_of_half_its_members(seed: int) -> None:
    """One member crashes and returns, then half of the fleet. All members that are up agree within
    seconds each time.
    """
    sim = settled_fleet(12, seed)
    for gone in ([4], [0, 1, 2, 3, 5, 6]):
        for number in gone:
            sim.kill(number)
        began = sim.now
        assert sim.settle(timeout_s=6.0) is not None
        assert all(sim.suspected[number] - began < 3.0 for number in gone)
        for number in gone:
            sim.start(number)
        assert sim.settle(timeout_s=5.0) is not None


@pytest.mark.parametrize("seed", range(3))
def test_each_side_of_a_partition_agrees_and_all_do_after_it_heals(seed: int) -> None:
    """Each side considers the other dead until the partition heals."""
    sim = settled_fleet(12, seed)
    sim.is_cut = lambda a, b: (a < 5) != (b < 5)
    assert sim.settle(lambda: sim.agreed(range(5)) and sim.agreed(range(5, 12)), 10.0) is not None
    assert states(sim, 0)[11] == "dead"
    sim.is_cut = lambda a, b: False
    assert sim.settle(timeout_s=5.0) is not None


def test_both_ends_of_a_failed_link_report_it_and_nobody_is_dead() -> None:
    """One link fails in both directions. Helpers reach both ends, so neither may be considered
    dead, and each end reports that it cannot receive from the other.
    """
    sim = settled_fleet(8)
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


def test_link_failed_in_one_direction_is_reported_by_its_receiver() -> None:
    """Only the end that no longer receives reports the link, and no member is considered dead."""
    sim = settled_fleet(8)
    sim.is_cut = lambda a, b: (a, b) == (2, 6)
    sim.run(15.0)
    assert (
        sim.members[6].membership.unreachable() == [2]
        and sim.members[2].membership.unreachable() == []
    )
    assert sim.members[2].membership.cannot_hear_us() == (6,) and sim.agreed()


def test_member_that_cannot_send_is_considered_dead_until_it_can() -> None:
    """One member receives from all others, but none receives from it. They consider it dead until
    its datagrams arrive again.
    """
    sim = settled_fleet(6)
    sim.is_cut = lambda a, b: a == 3
    sim.run(8.0)
    assert all(states(sim, n)[3] == "dead" for n in range(6) if n != 3)
    sim.is_cut = lambda a, b: False
    assert sim.settle(timeout_s=5.0) is not None


def test_fleet_agrees_once_flapping_links_are_stable() -> None:
    """A partition begins and heals repeatedly, every half second."""
    sim = settled_fleet(10)
    for interval in range(12):
        sim.is_cut = (lambda a, b: (a < 5) != (b < 5)) if interval % 2 else (lambda a, b: False)
        sim.run(0.5)
    sim.is_cut = lambda a, b: False
    assert sim.settle(timeout_s=5.0) is not None


def test_paused_member_learns_of_its_death_before_it_admits_work() -> None:
    """A process is stopped for eight seconds. It must admit nothing until a peer has reported its
    death to it, and must then refute the report.
    """
    sim = settled_fleet(6)
    sim.pause(2)
    sim.run(8.0)
    assert states(sim, 0)[2] == "dead"
    member = sim.members[2].membership
    version = member.own.record_version
    sim.resume(2)
    assert not member.may_admit
    assert sim.settle(lambda: member.may_admit, 1.0) is not None
    assert member.own.record_version > version and sim.settle(timeout_s=5.0) is not None


def test_member_that_left_is_not_dead_and_can_return() -> None:
    sim = settled_fleet(6)
    sim.send(sim.members[2], sim.members[2].membership.leave(sim.now))
    sim.kill(2)
    sim.run(3.0)
    assert {states(sim, n)[2] for n in (0, 1, 3)} == {"left"}
    sim.start(2)
    assert sim.settle(timeout_s=5.0) is not None


def test_member_restarted_with_its_clock_set_back_is_alive() -> None:
    """A member crashes and restarts with its clock an hour back. Its incarnation is too low, so it
    must raise it to be accepted.
    """
    sim = settled_fleet(6)
    sim.kill(2)
    sim.start(2, clock_back=3600.0)
    assert sim.settle(timeout_s=6.0) is not None
    assert sim.members[2].membership.counts["life_raised"] == 1


def test_record_missed_by_dissemination_is_found_by_digests() -> None:
    """One member holds a record that is no longer piggybacked. The other members find it through
    differing digests.
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


def test_loss_makes_nobody_dead_and_message_rate_is_independent_of_size() -> None:
    """A tenth of all datagrams is lost. No member is considered dead, and a member of a larger
    fleet sends no more datagrams.
    """
    rates = []
    for members in (8, 48):
        sim = settled_fleet(members, loss=0.1)
        sim.run(20.0)
        sim.reset_counters()
        sim.run(10.0)
        assert sim.deaths == []
        rates.append(sim.sent_datagrams / members)
    assert rates[1] < 1.3 * rates[0]


@pytest.mark.parametrize("contended", [False, True])
def test_budgeted_fleet_agrees_in_each_phase_without_false_deaths(contended: bool) -> None:
    """A zone fails and returns and a region is cut off, within a budget of 4000 bytes a second.
    Every phase must settle within it.
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


def test_nobody_is_dead_after_a_heal_without_having_been_pinged() -> None:
    """A partition heals with more members on each side than are pinged at once. Members that have
    not been pinged yet must not be considered dead.
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
    """A member whose table differs is asked by all others, and may have no budget to ask back. So
    the recipient of an older record answers with the newer one.
    """
    sim = SimulatedFleet(8, 1)
    sim.start_all()
    assert sim.settle() is not None
    member = sim.members[2].membership
    known = member.table.get(5)
    assert known is not None
    older = Message(
        MessageKind.RECORDS,
        Record(3, sim.members[3].membership.own.incarnation, 9, MemberState.ALIVE),
        10**6,
        7,
    )
    datagrams = member.receive(
        3, codec.encode(older, [known._replace(record_version=0)])[0], sim.now
    )
    message = codec.decode(datagrams[-1].text, 8)
    assert (
        message
        and datagrams[-1].recipient == 3
        and message.kind == MessageKind.RECORDS
        and known in message.records
    )


def test_bench_reports_each_scenario_by_fleet_size() -> None:
    found = bench.report([6], 2, 0.1, 0.5, lambda text: None)["6"]
    assert found["false_deaths"] == 0 and found["member_minutes"] == 3.0
    assert all(
        found[key]["not_settled"] == 0 and found[key]["worst"] < 6
        for key in ("start", "one_dead", "half_dead", "split", "heal")
    )
