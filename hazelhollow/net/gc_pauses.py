"""Keeps the passes of Python's cycle collector so short that no request waits for one.

Nearly everything that a limiter lets go of is freed by its reference count; the collector finds the
rare cycles. A pass holds up the event loop while it goes through every object of its generation, so
the young generations are kept small, and what lives as long as the process is collected once before
serving and then left out of all passes.
"""

from __future__ import annotations

import gc

# More objects allocated than freed, after which the youngest generation is collected.
YOUNG_THRESHOLD = 500
MIDDLE_THRESHOLD = 8  # passes of the youngest, after which the middle generation is collected too
# Passes of the middle one, after which everything since the start is: later than a limiter ever
# gets.
OLD_THRESHOLD = 10_000


def shorten_collector_pauses() -> None:
    """To be called once, when everything that lives as long as the process has been made."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
