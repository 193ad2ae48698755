"""The rules of local health, stalls, joining and duplicate ids, each tested by itself."""

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


def test_late_ticks_lengthen_timeouts_and_answered_probes_shorten_them() -> None:
    """On a slow machine ticks are late, and a member that judged others by the base timeouts would
    suspect them falsely. Its timeouts grow up to three times, and shrink with each answered
    probe.
    """
    health = LocalHealth()
    base_timeouts = (
        timing.INDIRECT_PROBE_AFTER_S,
        timing.PROBE_TIMEOUT_S,
        timing.SUSPICION_TIMEOUT_S,
    )
    for score, multiplier in enumerate((1.0, 1.5, 2.0, 2.5, 3.0, 3.0)):
        assert health.multiplier == multiplier and health.score == min(score, 4)
        assert (
            health.indirect_probe_after_s,
            health.probe_timeout_s,
            health.suspicion_timeout_s,
        ) == tuple(multiplier * base_s for base_s in base_timeouts)
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
def test_delay_of_a_tick_decides_between_on_time_late_and_stalled(
    late_s: float, lateness: Lateness
) -> None:
    """A paused process delays its tick; a clock that is set back must not count as a stall."""
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
def test_later_incarnation_is_exceeded_once_while_joining_else_yielded(
    state: MemberState, reported: int, resolutions: list[Resolution]
) -> None:
    """A record of this member's id with another incarnation arrives twice."""
    conflict, own = IncarnationConflict(), own_record(state)
    other = own._replace(incarnation=reported)
    assert [conflict.resolve(own, other) for _ in resolutions] == resolutions
    assert next_incarnation(reported) > reported


def test_later_start_has_greater_incarnation() -> None:
    for seed in range(50):
        rng = random.Random(seed)
        earlier, later = new_incarnation(START, rng), new_incarnation(START + 0.01, rng)
        assert earlier < later and earlier // RANDOM_SPAN == int(100 * START)


def test_joining_ends_with_an_answer_and_alone_after_the_time_limit() -> None:
    join = JoinProtocol(MembershipSettings(2, 10, 1), random.Random(1), START)
    assert not join.may_admit and not join.is_alone(START + ALONE_AFTER_S)
    peers = join.peers_to_ask()
    assert len(set(peers)) == FANOUT and 2 not in peers and set(peers) <= set(range(10))
    assert join.is_alone(START + 1.01 * ALONE_AFTER_S)
    assert join.complete() and join.may_admit and not join.complete()
    join.begin(START + 60.0)
    assert not join.may_admit and not join.is_alone(START + 60.0 + ALONE_AFTER_S)
