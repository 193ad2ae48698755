"""A segment tree over numbers: their maximum, and the first that reaches a bound."""

from __future__ import annotations

import math
from collections.abc import Sequence


class MaxTree:
    """Numbers at places from 0 on.

    A change and a search take time that grows with the logarithm of their number.
    """

    def __init__(self, values: Sequence[float]) -> None:
        self._leaves = 1 << max(0, len(values) - 1).bit_length()
        self._nodes = [-math.inf] * (2 * self._leaves)
        self.put_all(0, values)

    def put_all(self, first: int, values: Sequence[float]) -> None:
        """Sets the values at the places from `first` on."""
        nodes, low = self._nodes, first + self._leaves
        high = low + len(values)  # behind the last node of a level that has changed
        nodes[low:high] = values
        while low > 1:
            low, high = low >> 1, (high + 1) >> 1
            nodes[low:high] = map(
                max, nodes[2 * low : 2 * high : 2], nodes[2 * low + 1 : 2 * high : 2]
            )

    def put(self, place: int, value: float) -> None:
        """Sets the value at one place."""
        nodes, node = self._nodes, place + self._leaves
        nodes[node] = value
        while node > 1:
            node >>= 1
            left, right = nodes[2 * node], nodes[2 * node + 1]
            higher = left if left >= right else right
            if nodes[node] == higher:
                return
            nodes[node] = higher

    def value(self, place: int) -> float:
        """The value at one place."""
        return self._nodes[place + self._leaves]

    def max(self) -> float:
        """The greatest value."""
        return self._nodes[1]

    def first_at_least(self, bound: float) -> int:
        """The first place whose value is `bound` or more. There must be one."""
        node = 1
        while node < self._leaves:
            node = 2 * node if self._nodes[2 * node] >= bound else 2 * node + 1
        return node - self._leaves
