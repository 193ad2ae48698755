"""Runs `hazelhollow` after the wall clock was stepped: `python -m tests.soak.stepped_serve`.

WALL_CLOCK_STEP has the seconds; the monotonic clock runs on as it is.
"""

from __future__ import annotations

import os
import sys
import time

STEP_S = float(os.environ.get("WALL_CLOCK_STEP", "0"))

if __name__ == "__main__":
    wall = time.time
    time.time = lambda: wall() + STEP_S
    from hazelhollow.cli import main

    sys.argv[0] = "hazelhollow"
    main()
