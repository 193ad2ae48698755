"""Incarnations: a number for each run of a limiter, greater for a later start."""

from __future__ import annotations

import random

RANDOM_SPAN = 1296  # the random part, below this, distinguishes two simultaneous starts
INCARNATIONS_PER_S = 100 * RANDOM_SPAN  # resolution of 0.01 s, and the random part


def new_incarnation(started_at: float, rng: random.Random) -> int:
    """Returns the incarnation of a limiter that starts at `started_at`, in Unix seconds."""
    return int(started_at * 100) * RANDOM_SPAN + rng.randrange(RANDOM_SPAN)
