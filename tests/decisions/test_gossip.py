"""Gossip: charges reported by peers, and unusable datagrams."""

from __future__ import annotations

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.gossip.codec import MAX_DATAGRAM_BYTES, base36
from tests.decisions.helpers import (
    actions_of,
    ask,
    count_admitted,
    endpoint_list,
    entry,
    make_engine,
)


def gossip_round(source: DecisionEngine, now: float, to: int) -> list[api.GossipReceived]:
    sends = actions_of(source.handle(api.TimerFired("beat"), now), api.SendGossip)
    return [
        api.GossipReceived(source.settings.limiter_id, t.text) for t in sends if t.limiter_id == to
    ]


def test_repeated_datagram_is_charged_once() -> None:
    """The network delivers a datagram several times.

    If its charges counted each time, requests of customers with units left would be rejected.
    """
    one, other = make_engine(0), make_engine(1)
    assert count_admitted(one, 100.0, 9) == 9
    for message in gossip_round(one, 100.1, to=1) * 3:
        other.handle(message, 100.2)
    assert count_admitted(other, 100.2, 30) == 2  # of 3 units left: more charges may be in transit


def test_lost_datagram_is_made_up_for_by_the_next_and_final_charges() -> None:
    """A datagram is lost.

    The next one must include its charges, or a peer would admit the same units again.
    """
    one, other = make_engine(0), make_engine(1)
    count_admitted(one, 100.0, 5)
    gossip_round(one, 100.1, to=1)  # lost
    count_admitted(one, 100.2, 4)
    for message in gossip_round(one, 101.1, to=1):
        other.handle(message, 101.2)
    assert count_admitted(other, 101.2, 30) <= 3 + 4


def test_reports_of_closed_periods_are_dropped() -> None:
    """A datagram arrives seconds late.

    The period that it reports is closed, so it must have no effect.
    """
    one, other = make_engine(0), make_engine(1)
    count_admitted(one, 100.0, 9)
    messages = gossip_round(one, 100.1, to=1)
    for message in messages:
        other.handle(message, 103.0)
    assert count_admitted(other, 103.0, 30) == 12


def test_charges_are_sent_only_to_other_members_of_the_set() -> None:
    one = make_engine(0)
    count_admitted(one, 100.0, 3, set_size=2)
    sends = actions_of(one.handle(api.TimerFired("beat"), 100.1), api.SendGossip)
    assert [t.limiter_id for t in sends if ":" in t.text] == [1]


def test_loads_that_fill_a_datagram_do_not_displace_charges() -> None:
    """Loads of many endpoints can fill a datagram, but all charges must still be sent."""
    one = make_engine(0, limiter_count=8)
    one.handle(endpoint_list("full", *(entry(f"x{i}") for i in range(80))), 99.0)
    for i in range(60):
        ask(one, 100.0, customer=f"k{i}")
    reported: set[str] = set()
    for flush in range(8):
        for message in gossip_round(one, 100.1 + flush / 100, to=1):
            assert len(message.text) <= MAX_DATAGRAM_BYTES
            reported |= {item.split(":")[0] for item in message.text.split() if ":" in item}
    assert len(reported) == 60


@pytest.mark.parametrize(
    "text",
    [
        "",
        "h",
        "h1 2.0 100",
        "x{p}0aa {k}:0:0:3:0:2i",
        "h{p}0aa {k}:9:0:3:0:2i",
        "h{p}0aa {k}:0:9:3:0:2i",
        "h{p}0aa {k}:0:0:9:0:2i",
        "h{p}0aa {k}:0:0:0:0:2i",
        "h{p}0aa {k}:0:0:3:0:-2i",
        "h{p}0aa {k}:0:0:3:0:2.5",
        "h{p}0aa {k}:0:0:3:0",
        "h{p}0aa {k}:0:0:3:0:2i \x00",
        "h{p}0aa {k}:0:0:3:0:2i a=nan=",
        "h{p}0aa {k}/0/-1",
        "h{p}0aa {k}/7/2i",
        "h{p}0aa {k}/0/inf.",
        "h{old}0aa {k}:0:0:3:0:2i",
        "h{old}0aa {k}/0/2i",
        "h{p}0aa s!9",
        "h{p}0aa {k}:0:0:3:2:2i",
        "h{p}0aa {k}:0:0:3:0:2i  ",
        "h{p}0aa {k}:0:0:3:0:2i" + " s!0" * 99,
    ],
)
def test_invalid_datagram_has_no_effect(text: str) -> None:
    """A datagram is truncated, malformed or from a foreign program.

    No part of it may be applied, not even the valid reports.
    """
    engine = make_engine(0)
    fields = {"k": _key_of("c"), "p": base36(100 % 36), "old": base36(97 % 36)}
    engine.handle(api.GossipReceived(1, text.format(**fields)), 100.0)
    assert count_admitted(engine, 100.0, 30) == 12 and not engine.endpoints["s0"].outlier_records


@pytest.mark.parametrize("sender", [7, -1, 0])
def test_datagram_with_a_sender_that_is_no_peer_has_no_effect(sender: int) -> None:
    """The sender's number is not that of a peer, so its charges must not be applied."""
    engine = make_engine(0)
    text = f"h{base36(100 % 36)}0aa {_key_of('c')}:0:0:3:0:2i"
    engine.handle(api.GossipReceived(sender, text), 100.0)
    assert count_admitted(engine, 100.0, 30) == 12
    engine.handle(
        api.GossipReceived(1, text), 100.0
    )  # the same datagram from a peer charges 9 units
    assert count_admitted(engine, 102.25, 30) == 0 and count_admitted(engine, 102.5, 30) == 1


def _key_of(customer: str) -> str:
    engine = make_engine(2)
    ask(engine, 100.0, customer=customer)
    return next(iter(engine.accounts))
