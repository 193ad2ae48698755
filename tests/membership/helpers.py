"""Records, messages and members shared by the tests of membership."""

from __future__ import annotations

from hypothesis import strategies as st

from hazelhollow.bench.fleet import SimulatedFleet
from hazelhollow.control_budget.budget import (
    ControlBudget,
    RoleBudget,
    TrafficRole,
    settings_for,
)
from hazelhollow.membership import codec
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.membership import Membership
from hazelhollow.membership.records import (
    MemberState,
    Record,
    pack_address,
)
from hazelhollow.membership.sender import Datagram
from hazelhollow.membership.settings import MembershipSettings

MEMBERS = 40


records = st.builds(
    Record,
    st.integers(0, MEMBERS - 1),
    st.integers(0, 36**9),
    st.integers(0, 50),
    st.integers(0, MemberState.LEFT),
    st.lists(st.integers(0, MEMBERS - 1), max_size=codec.MAX_UNREACHABLE).map(tuple),
    st.text("abc0189", max_size=codec.MAX_VERSIONS_BYTES),
    st.sampled_from(["", pack_address("127.0.0.9", 7946)]),
)


records_of_one_member = records.map(lambda record: record._replace(number=3))


def make_member(own_id: int = 0, members: int = 3, now: float = 1000.0) -> Membership:
    return Membership(MembershipSettings(own_id, members, 1), now)


def peer_datagram(
    sender: Record,
    serial: int = 1,
    kind: MessageKind = MessageKind.PING,
    args: tuple[int, ...] = (1,),
    reported: tuple[Record, ...] = (),
) -> str:
    return codec.encode(Message(kind, sender, serial, 0, args), reported)[0]


PEER = Record(1, 36**8, 1, MemberState.ALIVE)


def tick_and_ack(
    member: Membership, now: float, serial: int = 1, reported: tuple[Record, ...] = ()
) -> list[Datagram]:
    """Runs a tick and lets the peer ack the ping that it sent.

    An ack that matches no pending probe would not complete joining. Returns the datagrams of the
    tick.
    """
    sent = member.tick(now)
    ping = next(
        m
        for s in sent
        if s.recipient == 1 and (m := codec.decode(s.text, 3)) and m.kind == MessageKind.PING
    )
    member.receive(
        1,
        peer_datagram(
            PEER, serial=serial, kind=MessageKind.ACK, args=ping.arguments, reported=reported
        ),
        now + 0.1,
    )
    return sent


def settled_fleet(members: int, seed: int = 1, loss: float = 0.0) -> SimulatedFleet:
    sim = SimulatedFleet(members, seed, loss)
    sim.start_all()
    assert sim.settle(timeout_s=10.0) is not None
    return sim


def states(sim: SimulatedFleet, observer: int) -> dict[int, str]:
    return {
        number: state
        for number, (state, _) in sim.members[observer].membership.member_states().items()
    }


START = 1000.0


def membership_budget(bytes_per_s: float, now: float = START) -> RoleBudget:
    return RoleBudget(ControlBudget(settings_for(bytes_per_s), now), TrafficRole.MEMBERSHIP)


def make_member_of_fleet(members: int, allowance: RoleBudget | None = None) -> Membership:
    return Membership(MembershipSettings(0, members, 1), START, allowance)
