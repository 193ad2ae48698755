"""The cycle collector in passes so short that no request waits for one.

Nearly all that a limiter lets go of is freed by its reference counts; what the collector finds are
cycles, which are rare. But a pass goes through every object of its generation, and holds up the
loop meanwhile. So the young generations are kept small. The oldest one, in which stands all that
incarnations long, is collected once, before serving, and set aside.
"""

from __future__ import annotations

import gc

YOUNG = 500  # objects more than were let go of, after which the youngest generation is collected
YOUNG_PASSES = 8  # of those, after which the middle generation is collected too
# of those, after which all that came since is: after more than a limiter ever holds
MIDDLE_PASSES = 10_000


def shorten_collector_pauses() -> None:
    """To be called when all that incarnations as long as the process has been made."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG, YOUNG_PASSES, MIDDLE_PASSES)
