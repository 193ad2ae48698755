"""Local health, an own stall, joining, and two processes with one id: each rule by itself."""

from __future__ import annotations

import random

import pytest

from hazelhollow.membership import timing
from hazelhollow.membership.incarnation import RANDOM_SPAN, new_incarnation
from hazelhollow.membership.incarnation_conflict import (
    IncarnationConflict,
    Resolution,
    next_incarnation,
)
from hazelhollow.membership.join import ALONE_AFTER_S, FANOUT, JoinProtocol
from hazelhollow.membership.records import MemberState, Record
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.membership.stall import Lateness, StallDetector
from hazelhollow.membership.timing import (
    LATE_TICK_S,
    PROBE_INTERVAL_S,
    STALL_S,
    LocalHealth,
)

START = 1000.0


def test_a_slow_member_waits_longer_and_a_well_one_the_plain_times() -> None:
    """The machine is slow: ticks come late. The member's own timeouts are stretched up to three
    times, and shrink with each answered probe.
    """
    health = LocalHealth()
    plain = (timing.INDIRECT_PROBE_AFTER_S, timing.PROBE_TIMEOUT_S, timing.SUSPICION_TIMEOUT_S)
    for score, multiplier in enumerate((1.0, 1.5, 2.0, 2.5, 3.0, 3.0)):
        assert health.multiplier == multiplier and health.score == min(score, 4)
        assert (
            health.indirect_probe_after_s,
            health.probe_timeout_s,
            health.suspicion_timeout_s,
        ) == tuple(multiplier * plain_s for plain_s in plain)
        health.worsen()
    for _ in range(6):
        health.improve()
    assert health.multiplier == 1.0


@pytest.mark.parametrize(
    ("late_s", "lateness"),
    [
        (0.0, Lateness.ON_TIME),
        (0.9 * LATE_TICK_S, Lateness.ON_TIME),
        (1.1 * LATE_TICK_S, Lateness.LATE),
        (0.9 * STALL_S, Lateness.LATE),
        (1.1 * STALL_S, Lateness.STALLED),
        (60.0, Lateness.STALLED),
        (-5.0, Lateness.ON_TIME),
    ],
)
def test_a_tick_is_late_or_shows_a_stall_by_how_late_it_is(
    late_s: float, lateness: Lateness
) -> None:
    """The process stood still, or the clock was set back. Only the former is a stall."""
    stall, now = StallDetector(START), START + PROBE_INTERVAL_S + late_s
    assert stall.is_stalled(now) is (lateness is Lateness.STALLED)
    assert stall.tick(now) is lateness
    assert not stall.is_stalled(now) and stall.tick(now + PROBE_INTERVAL_S) is Lateness.ON_TIME


def own_record(state: MemberState) -> Record:
    return Record(3, 10_000, 4, state)


@pytest.mark.parametrize(
    ("state", "reported", "resolutions"),
    [
        (MemberState.JOINING, 10_000, [Resolution.NO_CONFLICT, Resolution.NO_CONFLICT]),
        (MemberState.JOINING, 9_999, [Resolution.NO_CONFLICT, Resolution.NO_CONFLICT]),
        (MemberState.JOINING, 10_001, [Resolution.EXCEED, Resolution.YIELD]),
        (MemberState.ALIVE, 10_001, [Resolution.YIELD, Resolution.YIELD]),
        (MemberState.SHUT_OUT, 10_001, [Resolution.YIELD, Resolution.YIELD]),
    ],
)
def test_a_later_incarnation_of_the_own_id_is_outbid_once_while_joining_else_yielded_to(
    state: MemberState, reported: int, resolutions: list[Resolution]
) -> None:
    """A record of this member's id with another incarnation arrives twice."""
    conflict, own = IncarnationConflict(), own_record(state)
    other = own._replace(incarnation=reported)
    assert [conflict.resolve(own, other) for _ in resolutions] == resolutions
    assert next_incarnation(reported) > reported


def test_a_later_start_has_a_greater_incarnation() -> None:
    for seed in range(50):
        chance = random.Random(seed)
        earlier, later = new_incarnation(START, chance), new_incarnation(START + 0.01, chance)
        assert earlier < later and earlier // RANDOM_SPAN == int(100 * START)


def test_a_member_admits_once_a_peer_has_answered_or_it_was_alone_for_long_enough() -> None:
    join = JoinProtocol(MembershipSettings(2, 10, 1), random.Random(1), START)
    assert not join.may_admit and not join.is_alone(START + ALONE_AFTER_S)
    peers = join.peers_to_ask()
    assert len(set(peers)) == FANOUT and 2 not in peers and set(peers) <= set(range(10))
    assert join.is_alone(START + 1.01 * ALONE_AFTER_S)
    assert join.complete() and join.may_admit and not join.complete()
    join.begin(START + 60.0)
    assert not join.may_admit and not join.is_alone(START + 60.0 + ALONE_AFTER_S)
