"""One member: what it drops, merges, refutes and admits, and how the decision engine reacts."""

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
from tests.decisions.helpers import actions_of, ask, endpoint_list, entry
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
def test_invalid_datagram_is_counted_and_changes_no_record(
    source: int, text: str, counted: str
) -> None:
    """Garbled, forged, replayed and outdated datagrams are dropped."""
    member = make_member()
    for serial in (4, 5):
        member.receive(1, peer_datagram(PEER, serial=serial), 1000.1)
    before = sorted(member.table)
    member.receive(source, text, 1000.2)
    assert member.counts[counted] == 1 and sorted(member.table) == before


def test_reordered_datagrams_are_accepted_within_the_replay_window() -> None:
    """The network reorders datagrams. They must not be dropped as replays, except one that is far
    behind the newest.
    """
    member = make_member()
    for serial in (5, 3, 4, 70):
        member.receive(1, peer_datagram(PEER, serial=serial), 1000.1)
    assert member.counts["replayed"] == 0
    member.receive(
        1, peer_datagram(PEER, serial=5), 1000.1
    )  # far behind the newest, so it counts as received before
    assert member.counts["replayed"] == 1


def test_member_reported_suspect_or_dead_refutes_it() -> None:
    """A peer reports this member suspect or dead. It must answer with a record of a higher version,
    else the fleet would consider it dead.
    """
    for state in (MemberState.SUSPECT, MemberState.DEAD):
        member = make_member()
        tick_and_ack(member, 1000.0)
        assert member.own.state == MemberState.ALIVE
        member.receive(
            1, peer_datagram(PEER, serial=2, reported=(member.own._replace(state=state),)), 1000.2
        )
        reported = member.table.get(0)
        assert reported and reported.state == MemberState.ALIVE and reported.record_version == 2


def test_process_with_a_later_duplicate_elsewhere_is_superseded() -> None:
    """Two processes run with the same id. The one that started earlier must admit and send nothing
    more.
    """
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


def test_process_with_a_later_duplicate_on_its_machine_is_superseded() -> None:
    """A second process is started on this machine with the same id. The earlier one yields, and
    neither yields to its own announcement.
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


def test_sender_is_identified_by_the_address_in_its_own_record() -> None:
    address = pack_address("127.0.0.9", 7946)
    text = peer_datagram(PEER._replace(address=address))
    assert unpack_address(address) == ("127.0.0.9", 7946)
    assert make_member().identify_sender(text, ("127.0.0.9", 7946)) == 1
    assert (
        make_member().identify_sender(text, ("127.0.0.9", 7947)) is None
        and make_member().identify_sender(peer_datagram(PEER), ("127.0.0.9", 7946)) is None
    )
    assert make_member(own_id=1).identify_sender(text, ("127.0.0.9", 7946)) is None


def test_incarnation_of_an_earlier_run_is_exceeded_once_while_joining() -> None:
    """The clock was set back between two starts, so the fleet knows a higher incarnation. The new
    run exceeds it, but only once and only while joining: after that, a higher incarnation means
    another process.
    """
    member = make_member()
    earlier_run = member.own.incarnation + 10**9
    member.receive(
        1, peer_datagram(PEER, reported=(member.own._replace(incarnation=earlier_run),)), 1000.1
    )
    assert member.own.incarnation > earlier_run and not member.superseded
    member.receive(
        1,
        peer_datagram(
            PEER, serial=2, reported=(member.own._replace(incarnation=member.own.incarnation + 1),)
        ),
        1000.2,
    )
    assert member.superseded


def test_stalled_member_admits_only_after_an_answer_or_alone() -> None:
    """The process was paused for five seconds. It must admit nothing until a peer answers a ping
    sent since then, or until no peer answers in time.
    """
    member = make_member()
    tick_and_ack(member, 1000.0)
    member.tick(1000.25)
    assert member.may_admit
    sent = member.tick(1005.0)
    assert not member.may_admit and sent
    member.receive(1, peer_datagram(PEER, serial=2, kind=MessageKind.ACK, args=(1,)), 1005.05)
    assert not member.may_admit  # an ack of a ping sent before the stall
    dead = member.own._replace(state=MemberState.DEAD)
    tick_and_ack(member, 1005.25, serial=3, reported=(dead,))
    assert (
        member.may_admit and member.own.record_version == dead.record_version + 1
    )  # the ack also reported its death
    member.tick(1010.0)
    for n in range(8):
        member.tick(1010.25 + n * PROBE_INTERVAL_S)
    assert member.may_admit  # no peer is up


def test_suspicions_restart_after_a_stall() -> None:
    """The process was paused for twenty seconds, past the end of a suspicion. It could not receive
    a refutation meanwhile, so the suspect must not be considered dead.
    """
    member = make_member()
    tick_and_ack(member, 1000.0)
    for n in range(1, 8):
        member.tick(1000.0 + n * PROBE_INTERVAL_S)
    suspects = [r for r in member.table if r.state == MemberState.SUSPECT]
    assert suspects  # the peer no longer answers
    member.tick(1020.0)
    assert not [r for r in member.table if r.state == MemberState.DEAD]


def make_engine(fleet_size: int = 3) -> DecisionEngine:
    engine = DecisionEngine(
        replace(SETTINGS, limiter_count=fleet_size, gossip_messages_per_s=100.0), seed=1
    )
    engine.handle(endpoint_list("full", entry("s1")), 1000.0)
    return engine


def test_engine_that_may_not_admit_rejects_requests_without_charging() -> None:
    """The other limiters may consider this one dead. Its engine rejects requests, and admits again
    once it may.
    """
    engine = make_engine()
    engine.handle(api.MembershipChanged(False, (0, 1, 2)), 1000.1)
    rejected = actions_of(ask(engine, 1000.2, "look"), api.RejectRequest)[0]
    assert rejected.reason == "away" and engine.pending_requests == {}
    engine.handle(api.MembershipChanged(True, (0, 1, 2)), 1000.3)
    assert actions_of(ask(engine, 1000.4, "look"), api.StartAttempt)


def gossip_recipients(engine: DecisionEngine, now: float) -> set[int]:
    return {
        action.limiter_id
        for action in engine.handle(api.TimerFired("beat"), now)
        if isinstance(action, api.SendGossip)
    }


@pytest.mark.parametrize(
    "event",
    [
        api.MembershipChanged(True, (0, 1)),
        api.MembershipChanged(True, (0, 1, 2), cannot_hear_us=(2,)),
    ],
)
def test_unreachable_members_get_no_gossip_until_they_return(
    event: api.MembershipChanged,
) -> None:
    """A member is dead, or does not receive from this one. No gossip is sent to it until it
    returns, and then it receives what it missed.
    """
    engine = make_engine()
    engine.handle(event, 1000.1)
    ask(engine, 1000.2, "look", set_size=3)
    assert gossip_recipients(engine, 1000.3) == {1}
    engine.handle(api.MembershipChanged(True, (0, 1, 2)), 1000.4)
    assert 2 in gossip_recipients(engine, 1000.5)  # with the charges made meanwhile


def test_helpers_are_asked_unless_stalled_or_superseded() -> None:
    """A probe has no ack, so helpers are asked, unless this process was paused meanwhile and could
    not receive the ack. A superseded process sends nothing at all.
    """
    now = 1000.0 + PROBE_INTERVAL_S

    def with_pending_probe() -> Membership:
        member = make_member()
        tick_and_ack(member, 1000.0)
        member.receive(2, peer_datagram(PEER._replace(number=2)), 1000.1)
        member.tick(now)
        return member

    on_time = now + with_pending_probe().indirect_probe_after_s
    sent_messages = [
        codec.decode(sent.text, 3) for sent in with_pending_probe().request_indirect_probes(on_time)
    ]
    assert sent_messages and all(
        message and message.kind is MessageKind.PING_REQUEST for message in sent_messages
    )
    assert (
        with_pending_probe().request_indirect_probes(now + PROBE_INTERVAL_S + 1.1 * STALL_S) == []
    )
    superseded = with_pending_probe()
    later = superseded.own._replace(incarnation=superseded.own.incarnation + 1)
    superseded.receive(1, peer_datagram(PEER, serial=2, reported=(later,)), now)
    assert superseded.superseded and superseded.request_indirect_probes(on_time) == []
