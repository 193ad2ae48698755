"""Fleets on a virtual clock while links and processes fail: what members come to hold."""

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
def test_twenty_started_in_the_same_moment_agree(seed: int) -> None:
    settled(20, seed)


def test_a_fleet_whose_first_members_are_dead_agrees_on_that() -> None:
    """Two of eight never start. The others hold them dead, and agree again once one of them
    starts.
    """
    sim = SimulatedFleet(8, 1)
    for number in range(2, 8):
        sim.start(number)
    assert sim.settle(timeout_s=10.0) is not None
    assert states(sim, 5)[0] == "dead"
    sim.start(0)
    assert sim.settle(timeout_s=5.0) is not None


@pytest.mark.parametrize("seed", range(3))
def test_a_crash_a_crash_of_half_and_their_return_settle(seed: int) -> None:
    """One member crashes, then half of the fleet, then they return. All that are up agree
    within seconds each time.
    """
    sim = settled(12, seed)
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
def test_both_sides_of_a_partition_settle_and_then_together(seed: int) -> None:
    """A partition: each side holds the other dead. It heals, and all agree."""
    sim = settled(12, seed)
    sim.is_cut = lambda a, b: (a < 5) != (b < 5)
    assert sim.settle(lambda: sim.agreed(range(5)) and sim.agreed(range(5, 12)), 10.0) is not None
    assert states(sim, 0)[11] == "dead"
    sim.is_cut = lambda a, b: False
    assert sim.settle(timeout_s=5.0) is not None


def test_a_cut_link_between_two_kills_nobody_and_both_name_whom_they_cannot_hear() -> None:
    """One link fails in both directions. Helpers answer for both ends: nobody is suspected for
    long, both report it.
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


def test_a_link_cut_one_way_is_reported_by_the_side_that_cannot_hear() -> None:
    """One link fails in one direction. Only the end that no longer hears reports it, and nobody
    dies.
    """
    sim = settled(8)
    sim.is_cut = lambda a, b: (a, b) == (2, 6)
    sim.run(15.0)
    assert (
        sim.members[6].membership.unreachable() == [2]
        and sim.members[2].membership.unreachable() == []
    )
    assert sim.members[2].membership.cannot_hear_us() == (6,) and sim.agreed()


def test_a_member_that_nobody_hears_is_dead_to_the_others_until_it_can_send() -> None:
    """One member hears all and is heard by none. The others hold it dead until its datagrams
    arrive again.
    """
    sim = settled(6)
    sim.is_cut = lambda a, b: a == 3
    sim.run(8.0)
    assert all(states(sim, n)[3] == "dead" for n in range(6) if n != 3)
    sim.is_cut = lambda a, b: False
    assert sim.settle(timeout_s=5.0) is not None


def test_flapping_links_settle_once_they_hold() -> None:
    """A partition comes and goes twice a second. Once links hold, all agree."""
    sim = settled(10)
    for turn in range(12):
        sim.is_cut = (lambda a, b: (a < 5) != (b < 5)) if turn % 2 else (lambda a, b: False)
        sim.run(0.5)
    sim.is_cut = lambda a, b: False
    assert sim.settle(timeout_s=5.0) is not None


def test_a_member_paused_past_its_death_learns_of_it_before_it_admits_work() -> None:
    """A process is stopped for eight seconds. It admits nothing until a peer has told it of its
    death, then refutes.
    """
    sim = settled(6)
    sim.pause(2)
    sim.run(8.0)
    assert states(sim, 0)[2] == "dead"
    member = sim.members[2].membership
    turn = member.own.record_version
    sim.resume(2)
    assert not member.may_admit
    assert sim.settle(lambda: member.may_admit, 1.0) is not None
    assert member.own.record_version > turn and sim.settle(timeout_s=5.0) is not None


def test_a_member_that_left_is_not_dead_and_can_come_back() -> None:
    sim = settled(6)
    sim.send(sim.members[2], sim.members[2].membership.leave(sim.now))
    sim.kill(2)
    sim.run(3.0)
    assert {states(sim, n)[2] for n in (0, 1, 3)} == {"left"}
    sim.start(2)
    assert sim.settle(timeout_s=5.0) is not None


def test_a_member_that_restarts_with_its_clock_set_back_is_alive() -> None:
    """A crash, and a restart with the clock an hour back: its incarnation is too low, and it
    takes a higher one.
    """
    sim = settled(6)
    sim.kill(2)
    sim.start(2, clock_back=3600.0)
    assert sim.settle(timeout_s=6.0) is not None
    assert sim.members[2].membership.counts["life_raised"] == 1


def test_what_dissemination_missed_is_found_by_digests() -> None:
    """One member holds a record that no longer rides along. Differing digests make the others
    ask for it.
    """
    sim = SimulatedFleet(7, 1)
    for number in range(6):
        sim.start(number)
    assert sim.settle(timeout_s=10.0) is not None
    sim.run(10.0)
    missed = Record(6, 36**8, 3, MemberState.LEFT)
    # as if the rumour of it had died out before it came to anybody
    sim.members[0].membership.table.put(missed)
    sim.run(5.0)
    assert {member.membership.table.get(6) for member in sim.members.values()} == {missed}


def test_loss_kills_nobody_and_messages_do_not_grow_with_the_fleet() -> None:
    """A tenth of all datagrams is lost. Nobody is held dead, and a member of a larger fleet
    sends no more.
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
def test_a_fleet_within_its_budget_settles_and_holds_nobody_falsely_dead(contended: bool) -> None:
    """A zone dies and returns and a region is cut off, within 4000 bytes a second: every phase
    settles.
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


def test_after_a_heal_nobody_is_held_dead_for_want_of_a_ping() -> None:
    """A partition with more members on each side than are pinged at once heals. Nobody dies for
    want of a ping.
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


def test_an_older_record_that_a_peer_sends_is_answered_with_the_newer_one() -> None:
    """All members ask the one whose table differs. What it sends that is older is answered with
    what is newer.
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
    sends = member.receive(3, codec.encode(older, [known._replace(record_version=0)])[0], sim.now)
    message = codec.decode(sends[-1].text, 8)
    assert (
        message
        and sends[-1].recipient == 3
        and message.kind == MessageKind.RECORDS
        and known in message.records
    )


def test_the_bench_reports_each_scenario_by_size() -> None:
    found = bench.report([6], 2, 0.1, 0.5, lambda text: None)["6"]
    assert found["false_deaths"] == 0 and found["member_minutes"] == 3.0
    assert all(
        found[key]["not_settled"] == 0 and found[key]["worst"] < 6
        for key in ("start", "one_dead", "half_dead", "split", "heal")
    )
