"""A segment tree that finds the maximum of its values and the first value to reach a bound."""

from __future__ import annotations

import math
from collections.abc import Sequence


class MaxTree:
    """Numbers at positions from 0 on.

    An update and a search take time logarithmic in the number of values.
    """

    def __init__(self, values: Sequence[float]) -> None:
        self._leaves = 1 << max(0, len(values) - 1).bit_length()
        self._nodes = [-math.inf] * (2 * self._leaves)
        self.put_all(0, values)

    def put_all(self, first: int, values: Sequence[float]) -> None:
        """Sets consecutive values, starting at position `first`."""
        nodes, low = self._nodes, first + self._leaves
        high = low + len(values)  # one past the last changed node of a level
        nodes[low:high] = values
        while low > 1:
            low, high = low >> 1, (high + 1) >> 1
            nodes[low:high] = map(
                max, nodes[2 * low : 2 * high : 2], nodes[2 * low + 1 : 2 * high : 2]
            )

    def put(self, position: int, value: float) -> None:
        """Sets the value at a position."""
        nodes, node = self._nodes, position + self._leaves
        nodes[node] = value
        while node > 1:
            node >>= 1
            left, right = nodes[2 * node], nodes[2 * node + 1]
            higher = left if left >= right else right
            if nodes[node] == higher:
                return
            nodes[node] = higher

    def value(self, position: int) -> float:
        """Returns the value at a position."""
        return self._nodes[position + self._leaves]

    def max(self) -> float:
        """Returns the greatest value."""
        return self._nodes[1]

    def first_at_least(self, bound: float) -> int:
        """Returns the first position with a value of at least `bound`, which must exist."""
        node = 1
        while node < self._leaves:
            node = 2 * node if self._nodes[2 * node] >= bound else 2 * node + 1
        return node - self._leaves
