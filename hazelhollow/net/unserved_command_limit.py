"""A token bucket per client connection for commands that are answered without being served.

A client that retries immediately, however often it is rejected, must not use more than its share of
the CPU. Rejections, errors and commands that are not requests each take one token; a connection
without tokens is not read until the bucket has refilled.
"""

from __future__ import annotations

from collections.abc import Callable

TOKENS_PER_S = 100.0
BURST = 200.0


class UnservedCommandLimit:
    """The token bucket of one connection.

    Attributes:
        tokens: As of the last refill; the connection is not read while this is below 0.
    """

    __slots__ = ("tokens", "_clock", "_refilled_at")

    def __init__(self, clock: Callable[[], float]) -> None:
        self.tokens, self._clock, self._refilled_at = BURST, clock, clock()

    def spend(self) -> None:
        """Takes a token for a command that was answered without being served."""
        self.refill()
        self.tokens -= 1.0

    def refill(self) -> None:
        """Adds the tokens for the time since the last refill."""
        now = self._clock()
        self.tokens = min(BURST, self.tokens + TOKENS_PER_S * (now - self._refilled_at))
        self._refilled_at = now

    def available_at(self) -> float:
        """Returns when `tokens` will be back at 0, if it is negative."""
        return self._refilled_at - self.tokens / TOKENS_PER_S
