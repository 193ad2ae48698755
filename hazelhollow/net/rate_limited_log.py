"""A rate limit for log lines that clients, peers or discovery can cause."""

from __future__ import annotations

import logging
from collections.abc import Callable

LINES_PER_S = 5.0


class RateLimitedLog:
    """Limits log lines per second; the next line that is written reports how many were dropped.

    Attributes:
        suppressed: The number of lines dropped since the last line that was written.
    """

    def __init__(
        self, log: logging.Logger, clock: Callable[[], float], per_second: float = LINES_PER_S
    ) -> None:
        self._log, self._clock, self._rate = log, clock, per_second
        self._allowed, self._refilled_at, self.suppressed = per_second, clock(), 0

    def warning(self, text: str, *args: object) -> bool:
        """Calls `log` at level WARNING."""
        return self.log(logging.WARNING, text, *args)

    def info(self, text: str, *args: object) -> bool:
        """Calls `log` at level INFO."""
        return self.log(logging.INFO, text, *args)

    def log(self, level: int, text: str, *args: object) -> bool:
        """Writes the line if the rate allows it; returns whether it did."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._rate
        self._allowed = min(self._rate, self._allowed + refill)
        self._refilled_at = now
        if self._allowed < 1.0:
            self.suppressed += 1
            return False
        self._allowed -= 1.0
        suppressed, self.suppressed = self.suppressed, 0
        if suppressed:
            text, args = text + " (%d more not logged)", (*args, suppressed)
        self._log.log(level, text, *args)
        return True
