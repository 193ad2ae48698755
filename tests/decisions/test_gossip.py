"""Gossip: charges that peers report, and datagrams that cannot be used."""

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
    make,
)


def tell(source: DecisionEngine, now: float, to: int) -> list[api.GossipReceived]:
    told = actions_of(source.handle(api.TimerFired("beat"), now), api.SendGossip)
    return [
        api.GossipReceived(source.settings.limiter_id, t.text) for t in told if t.limiter_id == to
    ]


def test_reports_add_up_and_a_repeated_datagram_changes_nothing() -> None:
    """The network delivers a datagram twice.

    A charge counted twice would reject customers with units left.
    """
    one, other = make(0), make(1)
    assert count_admitted(one, 100.0, 9) == 9
    for message in tell(one, 100.1, to=1) * 3:
        other.handle(message, 100.2)
    assert count_admitted(other, 100.2, 30) == 2  # of 3: some more may be on its way


def test_a_lost_datagram_is_made_up_for_by_the_next_and_by_the_final_charges() -> None:
    """A datagram is lost.

    Its charges must show up with the next one, or a peer would admit them again.
    """
    one, other = make(0), make(1)
    count_admitted(one, 100.0, 5)
    tell(one, 100.1, to=1)  # lost
    count_admitted(one, 100.2, 4)
    for message in tell(one, 101.1, to=1):
        other.handle(message, 101.2)
    assert count_admitted(other, 101.2, 30) <= 3 + 4


def test_reports_of_closed_periods_are_dropped() -> None:
    """A datagram comes seconds late.

    The period it tells of is closed, and it must change nothing.
    """
    one, other = make(0), make(1)
    count_admitted(one, 100.0, 9)
    messages = tell(one, 100.1, to=1)
    for message in messages:
        other.handle(message, 103.0)
    assert count_admitted(other, 103.0, 30) == 12


def test_only_the_other_members_of_a_set_are_told_its_charges() -> None:
    one = make(0)
    count_admitted(one, 100.0, 3, set_size=2)
    told = actions_of(one.handle(api.TimerFired("beat"), 100.1), api.SendGossip)
    assert [t.limiter_id for t in told if ":" in t.text] == [1]


def test_charges_find_room_beside_the_loads_of_a_large_fleet() -> None:
    """A load map that fills the message must not crowd out the charges."""
    one = make(0, limiter_count=8)
    one.handle(endpoint_list("full", *(entry(f"x{i}") for i in range(80))), 99.0)
    for i in range(60):
        ask(one, 100.0, customer=f"k{i}")
    told: set[str] = set()
    for flush in range(8):
        for message in tell(one, 100.1 + flush / 100, to=1):
            assert len(message.text) <= MAX_DATAGRAM_BYTES
            told |= {word.split(":")[0] for word in message.text.split() if ":" in word}
    assert len(told) == 60


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
def test_a_datagram_that_cannot_be_read_changes_nothing(text: str) -> None:
    """A datagram is cut, garbled or of a foreign program.

    None of it may be applied, not even the sound part.
    """
    engine = make(0)
    fields = {"k": _key_of("c"), "p": base36(100 % 36), "old": base36(97 % 36)}
    engine.handle(api.GossipReceived(1, text.format(**fields)), 100.0)
    assert count_admitted(engine, 100.0, 30) == 12 and not engine.endpoints["s0"].outlier_records


@pytest.mark.parametrize("sender", [7, -1, 0])
def test_a_datagram_of_an_unknown_sender_or_of_oneself_changes_nothing(sender: int) -> None:
    """A datagram claims a number that no peer has. Its charges must not be taken for anybody's."""
    engine = make(0)
    text = f"h{base36(100 % 36)}0aa {_key_of('c')}:0:0:3:0:2i"
    engine.handle(api.GossipReceived(sender, text), 100.0)
    assert count_admitted(engine, 100.0, 30) == 12
    engine.handle(api.GossipReceived(1, text), 100.0)  # the same from a peer counts: 9 units
    assert count_admitted(engine, 102.25, 30) == 0 and count_admitted(engine, 102.5, 30) == 1


def _key_of(customer: str) -> str:
    engine = make(2)
    ask(engine, 100.0, customer=customer)
    return next(iter(engine.accounts))
