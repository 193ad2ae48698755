"""How far the limiters' clocks are apart, from who heard what of whom.

Nobody hears of settings before the other member began to act on them. Each such observation says
that the observer's clock may be behind the other's by no more than so much.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import NamedTuple

_PRECISION_S = 1e-6


class ClockBound(NamedTuple):
    """The offset of the observer is the offset of the peer plus `least` seconds, or greater."""

    observer: int
    peer: int
    least: float


class ClockOffsets(NamedTuple):
    """Seconds to add to each member's times, and whether these satisfy all bounds."""

    seconds: dict[int, float]
    consistent: bool


def clock_offsets(members: Collection[int], bounds: Sequence[ClockBound]) -> ClockOffsets:
    """The smallest offsets that satisfy all bounds, if there are any."""
    offsets = dict.fromkeys(members, 0.0)
    # Bellman-Ford: without a contradiction nothing moves any more after as many rounds as members.
    for _ in range(len(members) + 1):
        moved = False
        for observer, peer, least in bounds:
            if offsets[observer] < offsets[peer] + least - _PRECISION_S:
                offsets[observer], moved = offsets[peer] + least, True
        if not moved:
            return ClockOffsets(offsets, True)
    return ClockOffsets(offsets, False)
