"""Deterministic subsetting: which endpoints one limiter of a large fleet keeps to.

An endpoint must see a limiter again soon, or each request opens a connection of its own and no
limiter learns what an endpoint is like. The endpoints are put in an order that all limiters share,
and each limiter takes a stretch of that circle. The stretches begin at multiples of the golden
ratio, which spreads any number of limiters evenly, neighbours in number far apart. An endpoint that
comes or goes moves each stretch by one place at most.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")
MIN_SUBSET_SIZE = 12  # enough to choose from, and few enough to be seen often
MIN_LIMITERS_PER_ENDPOINT = 4  # or endpoints beyond all stretches would stand idle
GOLDEN_RATIO = (5**0.5 - 1) / 2


def subset(endpoints: Sequence[T], limiter_id: int, limiter_count: int) -> list[T]:
    """The endpoints that one limiter keeps to; `endpoints` in an order that all limiters share."""
    size = max(MIN_SUBSET_SIZE, -(-MIN_LIMITERS_PER_ENDPOINT * len(endpoints) // limiter_count))
    if len(endpoints) <= size:
        return list(endpoints)
    start = int(limiter_id * GOLDEN_RATIO % 1.0 * len(endpoints))
    return [endpoints[(start + i) % len(endpoints)] for i in range(size)]
