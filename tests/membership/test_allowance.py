"""One member within its part of the control budget."""

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
from tests.membership.helpers import START, member_of, part

ROUNDING = 1e-3  # bytes


def test_a_member_sends_no_more_than_its_allowance_whatever_comes() -> None:
    """A flood of pings. Answers are the last to be held back, and they are counted when they
    are.
    """
    allowance = part(3000.0)
    member = member_of(40, allowance)
    sent = Counter[float]()
    peers = [Record(number, 36**8, 1, MemberState.ALIVE) for number in range(1, 40)]
    for step in range(400):
        now = START + step / 10
        outs = member.tick(now) if step % 5 == 0 else []
        for peer in peers:
            message = Message(MessageKind.PING, peer, step + 1, step, (1,))
            outs = outs + member.receive(peer.number, codec.encode(message, ())[0], now)
        sent[now] += sum(len(send.text) + HEADER_BYTES for send in outs)
    settings = settings_for(3000.0)
    for first, began in enumerate(sent):
        for last in list(sent)[first:]:
            within = sum(size for at, size in sent.items() if began <= at <= last)
            assert within <= settings.rate * (last - began) + settings.burst + ROUNDING
    assert allowance.budget.usage[TrafficRole.MEMBERSHIP].dropped > 0


def test_answers_go_out_when_tables_and_news_find_no_room() -> None:
    """Other traffic has spent the allowance. A request for the table is held back, an ack still
    goes out.
    """
    allowance = part(3000.0)
    member = member_of(40, allowance)
    peer = Record(1, 36**8, 1, MemberState.ALIVE)
    while allowance.take(1, START, 0.25):
        pass
    sums = codec.encode(Message(MessageKind.BUCKET_DIGESTS, peer, 1, 7, tuple(range(32))), ())[0]
    ping = codec.encode(Message(MessageKind.PING, peer, 2, 7, (9,)), ())[0]
    assert member.receive(1, sums, START) == []
    (answer,) = member.receive(1, ping, START)
    assert answer.text.startswith("v1a") and member.counts["held back"] > 0


def test_a_probe_whose_helpers_could_not_be_asked_makes_no_suspect() -> None:
    """The allowance is spent, so no helper is asked. The silence of a probe shows nothing then."""
    allowance = part(3000.0)
    member = member_of(4, allowance)
    for send in member.tick(START):
        ping = codec.decode(send.text, 4)
        assert ping
        answer = Message(
            MessageKind.ACK,
            Record(send.recipient, 36**8, 1, MemberState.ALIVE),
            1,
            7,
            ping.arguments,
        )
        member.receive(send.recipient, codec.encode(answer, ())[0], START)
    for turn in range(1, 12):
        now = START + turn * PROBE_INTERVAL_S
        member.tick(now)
        now += member.indirect_probe_after_s
        while allowance.take(1, now):  # others use all that there is
            pass
        member.request_indirect_probes(now)
    assert member.may_admit and member.counts["suspected"] == 0
