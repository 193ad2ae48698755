"""Incarnations: one number for each run of a limiter, greater for a later start."""

from __future__ import annotations

import random

RANDOM_SPAN = 1296  # the random part is below it; it tells two starts of one moment apart
INCARNATIONS_PER_S = 100 * RANDOM_SPAN  # hundredths of a second, and the random part


def new_incarnation(started_at: float, chance: random.Random) -> int:
    """The incarnation of a limiter that starts at `started_at`, in Unix seconds."""
    return int(started_at * 100) * RANDOM_SPAN + chance.randrange(RANDOM_SPAN)
