"""A member within its part of the control budget."""

from __future__ import annotations

from collections import Counter

from hazelhollow.control_budget.budget import (
    HEADER_BYTES,
    TrafficRole,
    settings_for,
)
from hazelhollow.membership import codec
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.records import (
    MemberState,
    Record,
)
from hazelhollow.membership.timing import PROBE_INTERVAL_S
from tests.membership.helpers import START, make_member_of_fleet, membership_budget

ROUNDING = 1e-3  # bytes


def test_flood_of_pings_is_answered_within_the_allowance() -> None:
    """Every peer pings at every step, so that answers alone exceed the allowance. In no window may
    the member send more than that. Answers are the last to be withheld, and withheld ones are
    counted.
    """
    allowance = membership_budget(3000.0)
    member = make_member_of_fleet(40, allowance)
    sent = Counter[float]()
    peers = [Record(number, 36**8, 1, MemberState.ALIVE) for number in range(1, 40)]
    for step in range(400):
        now = START + step / 10
        datagrams = member.tick(now) if step % 5 == 0 else []
        for peer in peers:
            message = Message(MessageKind.PING, peer, step + 1, step, (1,))
            datagrams = datagrams + member.receive(peer.number, codec.encode(message, ())[0], now)
        sent[now] += sum(len(datagram.text) + HEADER_BYTES for datagram in datagrams)
    settings = settings_for(3000.0)
    for first, began in enumerate(sent):
        for last in list(sent)[first:]:
            sent_bytes = sum(size for at, size in sent.items() if began <= at <= last)
            assert sent_bytes <= settings.rate * (last - began) + settings.burst + ROUNDING
    assert allowance.budget.usage[TrafficRole.MEMBERSHIP].dropped > 0


def test_exhausted_allowance_withholds_tables_but_not_answers() -> None:
    """Other traffic has consumed most of the allowance. Table records are withheld, but an ack is
    still sent, since a member without acks would be suspected.
    """
    allowance = membership_budget(3000.0)
    member = make_member_of_fleet(40, allowance)
    peer = Record(1, 36**8, 1, MemberState.ALIVE)
    while allowance.take(1, START, 0.25):
        pass
    digests = codec.encode(Message(MessageKind.BUCKET_DIGESTS, peer, 1, 7, tuple(range(32))), ())[0]
    ping = codec.encode(Message(MessageKind.PING, peer, 2, 7, (9,)), ())[0]
    assert member.receive(1, digests, START) == []
    (answer,) = member.receive(1, ping, START)
    assert answer.text.startswith("v1a") and member.counts["held back"] > 0


def test_probe_without_budget_for_helpers_suspects_nobody() -> None:
    """The allowance is exhausted whenever a probe needs helpers. A missing ack is then
    inconclusive, and must not make the target suspect.
    """
    allowance = membership_budget(3000.0)
    member = make_member_of_fleet(4, allowance)
    for datagram in member.tick(START):
        ping = codec.decode(datagram.text, 4)
        assert ping
        answer = Message(
            MessageKind.ACK,
            Record(datagram.recipient, 36**8, 1, MemberState.ALIVE),
            1,
            7,
            ping.arguments,
        )
        member.receive(datagram.recipient, codec.encode(answer, ())[0], START)
    for period in range(1, 12):
        now = START + period * PROBE_INTERVAL_S
        member.tick(now)
        now += member.indirect_probe_after_s
        while allowance.take(1, now):  # other traffic exhausts the allowance
            pass
        member.request_indirect_probes(now)
    assert member.may_admit and member.counts["suspected"] == 0
