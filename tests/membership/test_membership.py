"""One member: what it drops, learns, refutes and admits; and what the decision engine does."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.membership import codec
from hazelhollow.membership.codec import MessageKind
from hazelhollow.membership.membership import Membership
from hazelhollow.membership.records import (
    MemberState,
    pack_address,
    unpack_address,
)
from hazelhollow.membership.timing import PROBE_INTERVAL_S, STALL_S
from tests.decisions.helpers import ask, entry, only, servers
from tests.membership.helpers import PEER, make_member, peer_datagram, tick_and_ack
from tests.net.scenario import SETTINGS


@pytest.mark.parametrize(
    ("source", "text", "counted"),
    [
        (1, "v1 nonsense", "garbled"),
        (1, peer_datagram(PEER)[:20], "garbled"),
        (2, peer_datagram(PEER), "forged"),
        (0, peer_datagram(PEER._replace(number=0)), "forged"),
        (1, peer_datagram(PEER, serial=5), "replayed"),
        (1, peer_datagram(PEER, serial=4), "replayed"),
        (
            1,
            peer_datagram(PEER._replace(incarnation=PEER.incarnation - 1), serial=9),
            "earlier_life",
        ),
    ],
)
def test_what_is_dropped_is_counted_and_changes_nothing(
    source: int, text: str, counted: str
) -> None:
    """Datagrams that are garbled, forged, replayed or of an earlier incarnation change no
    record and are counted.
    """
    member = make_member()
    for serial in (4, 5):
        member.receive(1, peer_datagram(PEER, serial=serial), 1000.1)
    before = sorted(member.table)
    member.receive(source, text, 1000.2)
    assert member.counts[counted] == 1 and sorted(member.table) == before


def test_datagrams_that_overtake_each_other_are_not_replays() -> None:
    """The network reorders datagrams. They are read; one far behind the newest counts as
    replayed.
    """
    member = make_member()
    for serial in (5, 3, 4, 70):
        member.receive(1, peer_datagram(PEER, serial=serial), 1000.1)
    assert member.counts["replayed"] == 0
    member.receive(
        1, peer_datagram(PEER, serial=5), 1000.1
    )  # far behind the newest counts as come before
    assert member.counts["replayed"] == 1


def test_a_member_that_is_reported_suspect_or_dead_refutes_it() -> None:
    """A peer reports this member suspect or dead. It answers with a record of a higher version."""
    for state in (MemberState.SUSPECT, MemberState.DEAD):
        member = make_member()
        tick_and_ack(member, 1000.0)
        assert member.own.state == MemberState.ALIVE
        member.receive(
            1, peer_datagram(PEER, serial=2, reported=(member.own._replace(state=state),)), 1000.2
        )
        reported = member.table.get(0)
        assert reported and reported.state == MemberState.ALIVE and reported.record_version == 2


def test_the_later_start_of_two_with_one_id_goes_on() -> None:
    """Two processes run with one id. The one that started earlier admits and sends nothing more."""
    member = make_member()
    tick_and_ack(member, 1000.0)
    member.receive(
        1,
        peer_datagram(
            PEER, serial=2, reported=(member.own._replace(incarnation=member.own.incarnation + 1),)
        ),
        1000.2,
    )
    assert member.superseded and not member.may_admit and member.tick(1000.3) == []


def test_a_duplicate_on_this_machine_that_started_later_goes_on() -> None:
    """A second process is started on this machine with the same id. The earlier one
    yields; neither yields to its own announcement.
    """
    member, later = make_member(), make_member(now=1001.0)
    assert member.detect_duplicate(member.own_announcement()) and later.detect_duplicate(
        member.own_announcement()
    )
    assert not member.superseded and not later.superseded
    assert (
        member.detect_duplicate(later.own_announcement())
        and member.superseded
        and not later.detect_duplicate(peer_datagram(PEER))
    )


def test_a_sender_is_identified_by_the_address_in_its_own_record() -> None:
    address = pack_address("127.0.0.9", 7946)
    text = peer_datagram(PEER._replace(address=address))
    assert unpack_address(address) == ("127.0.0.9", 7946)
    assert make_member().identify_sender(text, ("127.0.0.9", 7946)) == 1
    assert (
        make_member().identify_sender(text, ("127.0.0.9", 7947)) is None
        and make_member().identify_sender(peer_datagram(PEER), ("127.0.0.9", 7946)) is None
    )
    assert make_member(limiter_id=1).identify_sender(text, ("127.0.0.9", 7946)) is None


def test_a_clock_set_back_is_outbid_only_while_joining_and_once() -> None:
    """The clock was set back between two starts. The new run takes a higher incarnation, once,
    and only while it joins.
    """
    member = make_member()
    later = member.own.incarnation + 10**9
    member.receive(
        1, peer_datagram(PEER, reported=(member.own._replace(incarnation=later),)), 1000.1
    )
    assert member.own.incarnation > later and not member.superseded
    member.receive(
        1,
        peer_datagram(
            PEER, serial=2, reported=(member.own._replace(incarnation=member.own.incarnation + 1),)
        ),
        1000.2,
    )
    assert member.superseded


def test_after_a_stall_a_member_admits_only_once_a_peer_has_answered_or_it_is_alone() -> None:
    """The process stood still for five seconds. It admits nothing until a peer answers a ping
    sent since, or nobody does.
    """
    member = make_member()
    tick_and_ack(member, 1000.0)
    member.tick(1000.25)
    assert member.may_admit
    sent = member.tick(1005.0)
    assert not member.may_admit and sent
    member.receive(1, peer_datagram(PEER, serial=2, kind=MessageKind.ACK, arguments=(1,)), 1005.05)
    assert not member.may_admit  # it answers a ping of before
    dead = member.own._replace(state=MemberState.DEAD)
    tick_and_ack(member, 1005.25, serial=3, reported=(dead,))
    assert (
        member.may_admit and member.own.record_version == dead.record_version + 1
    )  # it has learned of its death first
    member.tick(1010.0)
    for n in range(8):
        member.tick(1010.25 + n * PROBE_INTERVAL_S)
    assert member.may_admit  # nobody is there


def test_a_stall_of_its_own_makes_no_member_dead() -> None:
    """The process stood still for twenty seconds, past the end of a suspicion. That suspicion
    begins again.
    """
    member = make_member()
    tick_and_ack(member, 1000.0)
    for n in range(1, 8):
        member.tick(1000.0 + n * PROBE_INTERVAL_S)
    suspects = [r for r in member.table if r.state == MemberState.SUSPECT]
    assert suspects  # the peer says nothing any more
    member.tick(1020.0)
    assert not [r for r in member.table if r.state == MemberState.DEAD]


def engine_of(gateways: int = 3) -> DecisionEngine:
    member = DecisionEngine(
        replace(SETTINGS, limiter_count=gateways, gossip_messages_per_s=100.0), seed=1
    )
    member.handle(servers("full", entry("s1")), 1000.0)
    return member


def test_an_engine_that_may_not_admit_rejects_and_charges_nothing() -> None:
    """This limiter may be dead to the others. Its engine rejects what arrives, and admits again
    once it may.
    """
    member = engine_of()
    member.handle(api.MembershipChanged(False, (0, 1, 2)), 1000.1)
    refused = only(ask(member, 1000.2, "look"), api.RejectRequest)[0]
    assert refused.reason == "away" and member.pending_requests == {}
    member.handle(api.MembershipChanged(True, (0, 1, 2)), 1000.3)
    assert only(ask(member, 1000.4, "look"), api.StartAttempt)


def gossip_recipients(member: DecisionEngine, now: float) -> set[int]:
    return {
        action.limiter_id
        for action in member.handle(api.TimerFired("beat"), now)
        if isinstance(action, api.SendGossip)
    }


@pytest.mark.parametrize(
    "event",
    [
        api.MembershipChanged(True, (0, 1)),
        api.MembershipChanged(True, (0, 1, 2), cannot_hear_us=(2,)),
    ],
)
def test_members_that_are_gone_or_cannot_hear_get_no_gossip_until_they_are_back(
    event: api.MembershipChanged,
) -> None:
    """A member died, or cannot hear this one. No gossip is sent to it until it is back, and
    then what it missed.
    """
    member = engine_of()
    member.handle(event, 1000.1)
    ask(member, 1000.2, "look", set_size=3)
    assert gossip_recipients(member, 1000.3) == {1}
    member.handle(api.MembershipChanged(True, (0, 1, 2)), 1000.4)
    assert 2 in gossip_recipients(member, 1000.5)  # with what was charged meanwhile


def test_helpers_are_asked_for_a_silent_member_but_not_after_a_stall_or_once_superseded() -> None:
    """A probe has no ack. Helpers are asked, unless this process stood still meanwhile: it could
    not read the ack. A superseded process sends nothing at all.
    """
    now = 1000.0 + PROBE_INTERVAL_S

    def waiting() -> Membership:
        member = make_member()
        tick_and_ack(member, 1000.0)
        member.receive(2, peer_datagram(PEER._replace(number=2)), 1000.1)
        member.tick(now)
        return member

    on_time = now + waiting().indirect_probe_after_s
    asked = [codec.decode(sent.text, 3) for sent in waiting().request_indirect_probes(on_time)]
    assert asked and all(message and message.kind is MessageKind.PING_REQUEST for message in asked)
    assert waiting().request_indirect_probes(now + PROBE_INTERVAL_S + 1.1 * STALL_S) == []
    superseded = waiting()
    later = superseded.own._replace(incarnation=superseded.own.incarnation + 1)
    superseded.receive(1, peer_datagram(PEER, serial=2, reported=(later,)), now)
    assert superseded.superseded and superseded.request_indirect_probes(on_time) == []
