"""A sum over a sliding time window."""

from __future__ import annotations

from collections import deque


class SlidingWindow:
    """The sum of the amounts added in the last `span` seconds."""

    __slots__ = ("span", "_total", "_items")

    def __init__(self, span: float) -> None:
        self.span, self._total = span, 0.0
        self._items: deque[tuple[float, float]] = deque()

    def add(self, now: float, amount: float) -> None:
        """Adds an amount at time `now`."""
        self._items.append((now, amount))
        self._total += amount
        self._trim(now)

    def sum(self, now: float) -> float:
        """Returns the sum of the window that ends at `now`."""
        self._trim(now)
        return self._total

    def _trim(self, now: float) -> None:
        while self._items and self._items[0][0] <= now - self.span:
            self._total -= self._items.popleft()[1]
        if not self._items:
            self._total = 0.0  # discards the rounding errors of the subtractions
