"""Keeps the passes of Python's cycle collector short, so that they do not delay requests.

Nearly all of a limiter's garbage is freed by reference counting; the collector only finds the rare
cycles. A pass blocks the event loop while it traverses every object of its generation. Therefore
the young generations are kept small. Before serving, garbage is collected once and the remaining
objects, which live as long as the process, are frozen, which excludes them from all passes.
"""

from __future__ import annotations

import gc

# Surplus of allocated over freed objects at which the youngest generation is collected.
YOUNG_THRESHOLD = 500
MIDDLE_THRESHOLD = 8  # passes of the youngest generation per pass of the middle one
# Passes of the middle generation per full pass: so many that a limiter never reaches a full pass.
OLD_THRESHOLD = 10_000


def shorten_collector_pauses() -> None:
    """Collects, freezes and sets the thresholds; call once, when all permanent objects exist."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
