"""Endpoints in an order that all limiters share."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Sequence

from hazelhollow.decisions.state.endpoint import Endpoint

MAX_CHANGES_IN_PLACE = 64  # beyond this many changes between two reads, sorting again is cheaper


class EndpointRing:
    """Endpoints in the order of their tags, updated incrementally.

    After many changes between two reads, the next read sorts all endpoints instead.
    """

    def __init__(self, endpoints: Sequence[Endpoint] = ()) -> None:
        self._members = {e.entry.name: (e.tag, e.entry.name) for e in endpoints}
        self._order: list[tuple[str, str]] | None = None  # None: the next read sorts it
        self._changes = 0

    def read(self) -> list[tuple[str, str]]:
        """Returns the tag and the name of each endpoint. Callers must not modify the result."""
        if self._order is None:
            self._order = sorted(self._members.values())
        self._changes = 0
        return self._order

    def add(self, endpoint: Endpoint) -> None:
        """Adds an endpoint if it is not present."""
        name = endpoint.entry.name
        if name not in self._members:
            self._members[name] = key = endpoint.tag, name
            order = self._order_to_update()
            if order is not None:
                insort(order, key)

    def remove(self, name: str) -> None:
        """Removes an endpoint if it is present."""
        key = self._members.pop(name, None)
        order = self._order_to_update() if key else None
        if key and order is not None:
            del order[bisect_left(order, key)]

    def _order_to_update(self) -> list[tuple[str, str]] | None:
        """Counts a change; returns the order if it is to be updated in place, else None."""
        self._changes += 1
        if self._changes > MAX_CHANGES_IN_PLACE:
            self._order = None
        return self._order
