"""Endpoints in an order that all limiters share."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Sequence

from hazelhollow.decisions.state.endpoint import Endpoint

MAX_CHANGES_IN_PLACE = 64  # from so many changes between two reads on it is cheaper to sort anew


class EndpointRing:
    """Endpoints in the order of their tags, kept up change by change.

    Many changes between two reads are sorted at once when it is next read.
    """

    def __init__(self, endpoints: Sequence[Endpoint] = ()) -> None:
        self._members = {e.entry.name: (e.tag, e.entry.name) for e in endpoints}
        self._order: list[tuple[str, str]] | None = None  # None: to be sorted at the next read
        self._changes = 0

    def read(self) -> list[tuple[str, str]]:
        """Tag and name of each. Not to be changed."""
        if self._order is None:
            self._order = sorted(self._members.values())
        self._changes = 0
        return self._order

    def add(self, endpoint: Endpoint) -> None:
        """Adds an endpoint, if it isn't there."""
        name = endpoint.entry.name
        if name not in self._members:
            self._members[name] = key = endpoint.tag, name
            order = self._order_to_change()
            if order is not None:
                insort(order, key)

    def remove(self, name: str) -> None:
        """Removes an endpoint, if it is there."""
        key = self._members.pop(name, None)
        order = self._order_to_change() if key else None
        if key and order is not None:
            del order[bisect_left(order, key)]

    def _order_to_change(self) -> list[tuple[str, str]] | None:
        """The order, if it is to be kept up for this change."""
        self._changes += 1
        if self._changes > MAX_CHANGES_IN_PLACE:
            self._order = None
        return self._order
