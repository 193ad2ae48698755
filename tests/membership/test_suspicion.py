"""Suspicions, and deaths that others report, until they are refuted or believed."""

from __future__ import annotations

import random

import pytest

from hazelhollow.membership import codec
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.death_confirmation import DeathConfirmations
from hazelhollow.membership.records import (
    MemberState,
    Record,
)
from hazelhollow.membership.suspicion import SuspicionTable
from hazelhollow.membership.timing import (
    CONFIRMATION_ATTEMPTS,
    MASS_FAILURE_SAMPLE,
    SUSPICION_TIMEOUT_S,
)
from tests.membership.helpers import START, member_of


def suspect(number: int) -> Record:
    return Record(number, 5, 1, MemberState.SUSPECT)


def test_a_suspect_that_was_not_pinged_is_not_dead_until_several_were_pinged_in_vain() -> None:
    """A zone fails at once: more suspects than pings. Only after a row of silent ones do the
    unpinged count as dead.
    """
    suspicions = SuspicionTable()
    for number in range(MASS_FAILURE_SAMPLE + 2):
        suspicions.add(suspect(number), START, 1.0)
    for number in range(MASS_FAILURE_SAMPLE - 1):
        suspicions.pinged(number)
    assert {r.number for r in suspicions.drain_expired(START + 1.0)} == set(
        range(MASS_FAILURE_SAMPLE - 1)
    )
    assert suspicions.drain_expired(START + 100.0) == []
    suspicions.pinged(MASS_FAILURE_SAMPLE - 1)
    assert {r.number for r in suspicions.drain_expired(START + 100.0)} == {
        MASS_FAILURE_SAMPLE - 1,
        MASS_FAILURE_SAMPLE,
        MASS_FAILURE_SAMPLE + 1,
    }


def test_a_refutation_ends_the_belief_in_the_death_of_those_that_were_not_pinged() -> None:
    """A partition, not a dead zone, made many silent. The first refutation shows it: the rest
    must be pinged.
    """
    suspicions = SuspicionTable()
    for number in range(MASS_FAILURE_SAMPLE + 2):
        suspicions.add(suspect(number), START, 1.0)
    for number in range(MASS_FAILURE_SAMPLE):
        suspicions.pinged(number)
    suspicions.withdraw(MASS_FAILURE_SAMPLE + 1, refuted=True)
    assert len(suspicions.drain_expired(START + 0.5)) == 0
    suspicions.add(suspect(MASS_FAILURE_SAMPLE + 2), START + 100.0, 1.0)
    assert (
        len(suspicions.drain_expired(START + 1.0)) == MASS_FAILURE_SAMPLE + 1
        and suspicions.is_mass_failure()
    )
    suspicions.add(suspect(MASS_FAILURE_SAMPLE + 3), START, 1.0)
    suspicions.withdraw(MASS_FAILURE_SAMPLE + 3, refuted=True)
    assert not suspicions.is_mass_failure() and suspicions.drain_expired(START + 200.0) == []


def test_a_datagram_of_a_dead_member_restarts_all_suspicions_in_a_mass_failure() -> None:
    """A partition heals while many are suspect. The first datagram from beyond it gives each
    its time anew.
    """
    suspicions = SuspicionTable()
    for number in range(MASS_FAILURE_SAMPLE + 3):
        suspicions.add(suspect(number), START, 1.0)
    for number in range(MASS_FAILURE_SAMPLE):
        suspicions.pinged(number)
    assert len(suspicions.drain_expired(START + 1.0)) == MASS_FAILURE_SAMPLE + 3
    for number in (20, 21):
        suspicions.add(suspect(number), START, 1.0)
    for number in range(MASS_FAILURE_SAMPLE):
        suspicions.add(suspect(number), START, 0.1)
        suspicions.pinged(number)
    assert (
        len(suspicions.drain_expired(START + 0.5)) == MASS_FAILURE_SAMPLE
        and suspicions.is_mass_failure()
    )
    suspicions.datagram_received(3, START + 0.9, 1.0)  # one of the dead
    assert not suspicions.is_mass_failure() and suspicions.drain_expired(START + 1.0) == []
    for number in (20, 21):
        suspicions.pinged(number)
    assert (
        suspicions.drain_expired(START + 1.8) == []
        and len(suspicions.drain_expired(START + 1.9)) == 2
    )


def test_a_datagram_of_a_suspect_restarts_its_own_suspicion() -> None:
    """A suspect is heard before it refutes: its time begins again and it is pinged again."""
    suspicions = SuspicionTable()
    for number in (1, 2):
        suspicions.add(suspect(number), START, 1.0)
        suspicions.pinged(number)
    suspicions.datagram_received(1, START + 0.5, 1.0)
    assert [r.number for r in suspicions.drain_expired(START + 1.0)] == [2]
    assert suspicions.drain_expired(START + 1.5) == []  # it was not asked since
    suspicions.pinged(1)
    assert [r.number for r in suspicions.drain_expired(START + 1.5)] == [1]


@pytest.mark.parametrize(
    ("state", "same_life"),
    [(MemberState.SUSPECT, True), (MemberState.DEAD, True), (MemberState.DEAD, False)],
)
def test_only_the_incarnation_that_is_held_dead_ends_a_mass_failure(
    state: MemberState, same_life: bool
) -> None:
    """A zone died and one of its members started again. That shows nothing of those that are
    still silent.
    """
    member = member_of(40)
    for number in range(1, 30):
        member.table.put(Record(number, 36**8, 1, MemberState.ALIVE))
    for number in range(1, MASS_FAILURE_SAMPLE + 2):
        member._state.apply(Record(number, 36**8, 1, MemberState.SUSPECT))
        member._state.suspicions.pinged(number)
    member._state.now = START + SUSPICION_TIMEOUT_S
    member._state.apply(Record(20, 36**8, 1, state))
    member._state.apply(Record(21, 36**8, 1, MemberState.SUSPECT))
    member._period._expire()
    assert member._state.suspicions.is_mass_failure()
    sender = Record(20, 36**8 + (0 if same_life else 1), 1, MemberState.ALIVE)
    member.receive(
        20,
        codec.encode(Message(MessageKind.PING, sender, 1, 7, (9,)), ())[0],
        member._state.now + 0.1,
    )
    assert member._state.suspicions.is_mass_failure() is not same_life


def test_suspects_are_pinged_in_turn_and_the_newest_first() -> None:
    suspicions, order = SuspicionTable(), list[int]()
    for number in range(4):
        suspicions.add(suspect(number), START + number, 1.0)
    for _ in range(6):
        (number,) = suspicions.next_to_ping(1)
        suspicions.pinged(number)
        order.append(number)
    assert order == [3, 2, 1, 0, 3, 2]


def test_a_reported_death_is_checked_by_two_pings_before_it_is_believed() -> None:
    """The other side of a partition reports a member dead that is well here. It gets two
    chances to answer.
    """
    confirmations, now = DeathConfirmations(random.Random(1)), START
    confirmations.add(Record(1, 5, 1, MemberState.DEAD), now)
    for _ in range(CONFIRMATION_ATTEMPTS):
        assert confirmations.drain_confirmed(now, 0.5) == [] and confirmations.next_to_ping(
            2, 8
        ) == [1]
        confirmations.pinged(1, now + 0.5)
        now += 0.5
    assert [r.number for r in confirmations.drain_confirmed(now, 0.5)] == [1]


def test_more_reported_deaths_than_can_be_checked_wait_until_several_pings_were_in_vain() -> None:
    """Many deaths are reported at once. They wait for a ping; after a row of silent members the
    rest are believed.
    """
    confirmations, now = DeathConfirmations(random.Random(1)), START
    for number in range(20):
        confirmations.add(Record(number, 5, 1, MemberState.DEAD), now)
    assert confirmations.drain_confirmed(now + 100.0, 0.5) == []
    for _ in range(CONFIRMATION_ATTEMPTS):
        for number in confirmations.next_to_ping(20, 8):
            confirmations.pinged(number, now + 0.5)
        now += 0.5
        confirmations.drain_confirmed(now, 0.5)
    confirmations.drain_confirmed(now, 0.5)
    assert len(confirmations) == 0
    for number in range(20):
        confirmations.add(Record(number, 5, 1, MemberState.DEAD), now)
    confirmations.refute(3)
    assert confirmations.drain_confirmed(now + 100.0, 0.5) == []
