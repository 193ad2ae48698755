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
    """The token bucket of one connection."""

    __slots__ = ("_tokens", "_clock", "_refilled_at", "_lifted")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._tokens, self._clock, self._refilled_at = BURST, clock, clock()
        self._lifted = False

    def is_exhausted(self) -> bool:
        """Whether the connection must not be read, as of the last refill."""
        return self._tokens < 0.0 and not self._lifted

    def lift(self) -> None:
        """Ends the throttling for good, for a connection whose remaining input is bounded."""
        self._lifted = True

    def spend(self) -> None:
        """Takes a token for a command that was answered without being served."""
        self.refill()
        self._tokens -= 1.0

    def refill(self) -> None:
        """Adds the tokens for the time since the last refill."""
        now = self._clock()
        self._tokens = min(BURST, self._tokens + TOKENS_PER_S * (now - self._refilled_at))
        self._refilled_at = now

    def available_at(self) -> float:
        """Returns when the tokens will be back at 0, if they are negative."""
        return self._refilled_at - self._tokens / TOKENS_PER_S
