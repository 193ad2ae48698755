"""Records, messages and members that the tests of membership share."""

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


of_one = records.map(lambda record: record._replace(number=3))


def alone(me: int = 0, members: int = 3, now: float = 1000.0) -> Membership:
    return Membership(MembershipSettings(me, members, 1), now)


def from_peer(
    sender: Record,
    serial: int = 1,
    kind: MessageKind = MessageKind.PING,
    parts: tuple[int, ...] = (1,),
    reported: tuple[Record, ...] = (),
) -> str:
    return codec.encode(Message(kind, sender, serial, 0, parts), reported)[0]


PEER = Record(1, 36**8, 1, MemberState.ALIVE)


def answered(
    member: Membership, now: float, serial: int = 1, reported: tuple[Record, ...] = ()
) -> list[Datagram]:
    """The peer answers a ping of this beat; an answer to none that waits would wake nobody.

    What the beat sent.
    """
    sent = member.tick(now)
    ping = next(
        m
        for s in sent
        if s.recipient == 1 and (m := codec.decode(s.text, 3)) and m.kind == MessageKind.PING
    )
    member.receive(
        1,
        from_peer(
            PEER, serial=serial, kind=MessageKind.ACK, parts=ping.arguments, reported=reported
        ),
        now + 0.1,
    )
    return sent


def settled(members: int, seed: int = 1, loss: float = 0.0) -> SimulatedFleet:
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


def part(bytes_per_s: float, now: float = START) -> RoleBudget:
    return RoleBudget(ControlBudget(settings_for(bytes_per_s), now), TrafficRole.MEMBERSHIP)


def member_of(members: int, allowance: RoleBudget | None = None) -> Membership:
    return Membership(MembershipSettings(0, members, 1), START, allowance)
