"""A token bucket for commands that come to nothing, one for each client's connection.

A client that asks again at once, however often it is rejected, must not take more than its share of
the processor. Rejections, errors and commands that ask for no work each take a token; a connection
that has none left is not read until it has one again.
"""

from __future__ import annotations

from collections.abc import Callable

TOKENS_PER_S = 100.0
BURST = 200.0


class FruitlessLimit:
    """The bucket.

    Attributes:
        tokens: As of the last refill; below 0 the connection waits.
    """

    __slots__ = ("tokens", "_clock", "_refilled_at")

    def __init__(self, clock: Callable[[], float]) -> None:
        self.tokens, self._clock, self._refilled_at = BURST, clock, clock()

    def spend(self) -> None:
        """A command has come to nothing."""
        self.refill()
        self.tokens -= 1.0

    def refill(self) -> None:
        """Brings `tokens` up to now."""
        now = self._clock()
        self.tokens = min(BURST, self.tokens + TOKENS_PER_S * (now - self._refilled_at))
        self._refilled_at = now

    def available_at(self) -> float:
        """When `tokens` will be 0 again, if they are below."""
        return self._refilled_at - self.tokens / TOKENS_PER_S
