"""Suspicions, and deaths that others report, until they are refuted or accepted."""

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
from tests.membership.helpers import START, make_member_of_fleet


def suspect(number: int) -> Record:
    return Record(number, 5, 1, MemberState.SUSPECT)


def test_unpinged_suspects_are_dead_only_after_several_silent_ones() -> None:
    """A zone fails, and there are more suspects than pings. Only after several consecutive suspects
    did not answer are those that were not pinged considered dead.
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


def test_refutation_ends_a_mass_failure() -> None:
    """Many members are silent because of a partition, not a failed zone. The first refutation shows
    that, so the remaining suspects must be pinged.
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


def test_datagram_of_a_dead_member_restarts_suspicions_in_a_mass_failure() -> None:
    """A partition heals while many members are suspect. After the first datagram from the other
    side, each suspect gets its complete timeout again, since it could not refute before.
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
    suspicions.datagram_received(3, START + 0.9, 1.0)  # a member already considered dead
    assert not suspicions.is_mass_failure() and suspicions.drain_expired(START + 1.0) == []
    for number in (20, 21):
        suspicions.pinged(number)
    assert (
        suspicions.drain_expired(START + 1.8) == []
        and len(suspicions.drain_expired(START + 1.9)) == 2
    )


def test_datagram_of_a_suspect_restarts_its_suspicion() -> None:
    """A datagram of a suspect arrives before its refutation. Its timeout restarts, and it must be
    pinged again before it is considered dead.
    """
    suspicions = SuspicionTable()
    for number in (1, 2):
        suspicions.add(suspect(number), START, 1.0)
        suspicions.pinged(number)
    suspicions.datagram_received(1, START + 0.5, 1.0)
    assert [r.number for r in suspicions.drain_expired(START + 1.0)] == [2]
    assert suspicions.drain_expired(START + 1.5) == []  # it has not been pinged since
    suspicions.pinged(1)
    assert [r.number for r in suspicions.drain_expired(START + 1.5)] == [1]


@pytest.mark.parametrize(
    ("state", "same_life"),
    [(MemberState.SUSPECT, True), (MemberState.DEAD, True), (MemberState.DEAD, False)],
)
def test_only_datagrams_of_the_suspected_incarnation_end_a_mass_failure(
    state: MemberState, same_life: bool
) -> None:
    """A zone failed and one of its members has restarted. Its new incarnation proves nothing about
    the members that are still silent.
    """
    member = make_member_of_fleet(40)
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


def test_suspects_are_pinged_in_turn_with_the_newest_first() -> None:
    suspicions, order = SuspicionTable(), list[int]()
    for number in range(4):
        suspicions.add(suspect(number), START + number, 1.0)
    for _ in range(6):
        (number,) = suspicions.next_to_ping(1)
        suspicions.pinged(number)
        order.append(number)
    assert order == [3, 2, 1, 0, 3, 2]


def test_reported_death_is_accepted_after_two_unanswered_pings() -> None:
    """The other side of a partition reports a member dead that is alive here. A single lost ping
    must not confirm that.
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


def test_unpinged_reported_deaths_wait_until_several_members_were_silent() -> None:
    """More deaths are reported at once than can be checked. They wait for a ping, and after several
    consecutive silent members the remaining ones are accepted. A refutation ends that.
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
