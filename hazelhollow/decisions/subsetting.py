"""Deterministic subsetting: which endpoints one limiter of a large fleet uses.

A limiter must use the same endpoints repeatedly. Otherwise each request opens a new connection, and
no limiter learns the properties of an endpoint. The endpoints form a ring in an order that all
limiters share, and each limiter uses a contiguous range of that ring. The ranges start at multiples
of the golden ratio, which spreads any number of limiters evenly and puts limiters with consecutive
numbers far apart. Adding or removing an endpoint moves each range by at most one position.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")
MIN_SUBSET_SIZE = 12  # enough to choose from, and few enough for each to be used often
MIN_LIMITERS_PER_ENDPOINT = 4  # with too few, some endpoints would be in no range and idle
GOLDEN_RATIO = (5**0.5 - 1) / 2


def subset(endpoints: Sequence[T], limiter_id: int, limiter_count: int) -> list[T]:
    """Returns a limiter's subset of `endpoints`, which all limiters must order equally."""
    size = max(MIN_SUBSET_SIZE, -(-MIN_LIMITERS_PER_ENDPOINT * len(endpoints) // limiter_count))
    if len(endpoints) <= size:
        return list(endpoints)
    start = int(limiter_id * GOLDEN_RATIO % 1.0 * len(endpoints))
    return [endpoints[(start + i) % len(endpoints)] for i in range(size)]
