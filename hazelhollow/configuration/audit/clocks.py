"""Estimates the offsets between the limiters' clocks from their observations of each other.

No member can observe settings at a peer before the peer began to act on them. Each observation
therefore bounds how far the observer's clock may be behind the peer's.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import NamedTuple

_PRECISION_S = 1e-6


class ClockBound(NamedTuple):
    """The observer's offset is at least the peer's offset plus `min_difference_s`."""

    observer: int
    peer: int
    min_difference_s: float


class ClockOffsets(NamedTuple):
    """Seconds to add to each member's times, and whether they satisfy all bounds."""

    seconds: dict[int, float]
    consistent: bool


def clock_offsets(members: Collection[int], bounds: Sequence[ClockBound]) -> ClockOffsets:
    """Returns the smallest offsets that satisfy all bounds, if there are any."""
    offsets = dict.fromkeys(members, 0.0)
    # Bellman-Ford: if the bounds are consistent, no offset changes any more after as many rounds as
    # there are members.
    for _ in range(len(members) + 1):
        changed = False
        for observer, peer, min_difference_s in bounds:
            if offsets[observer] < offsets[peer] + min_difference_s - _PRECISION_S:
                offsets[observer], changed = offsets[peer] + min_difference_s, True
        if not changed:
            return ClockOffsets(offsets, True)
    return ClockOffsets(offsets, False)
