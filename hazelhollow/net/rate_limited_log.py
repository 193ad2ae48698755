"""A log that stays small however much goes wrong."""

from __future__ import annotations

import logging
from collections.abc import Callable

LINES_A_SECOND = 5.0


class RateLimitedLog:
    """Troubles that others cause, by the crowd: so many lines a second, and a count of the rest."""

    def __init__(
        self, log: logging.Logger, clock: Callable[[], float], per_second: float = LINES_A_SECOND
    ) -> None:
        self._log, self._clock, self._rate = log, clock, per_second
        self._allowed, self._at, self.untold = per_second, clock(), 0

    def warning(self, text: str, *args: object) -> bool:
        return self.say(logging.WARNING, text, *args)

    def say(self, level: int, text: str, *args: object) -> bool:
        now = self._clock()
        self._allowed = min(self._rate, self._allowed + (now - self._at) * self._rate)
        self._at = now
        if self._allowed < 1.0:
            self.untold += 1
            return False
        self._allowed -= 1.0
        untold, self.untold = self.untold, 0
        self._log.log(
            level,
            text + (" (%d more not logged)" if untold else ""),
            *args,
            *((untold,) if untold else ()),
        )
        return True
