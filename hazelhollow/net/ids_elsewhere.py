"""The ids that may be open at the other process of an upgrade. No I/O.

An id stands for one request, whoever sends it, while that is open or runs. The other process
reports its requests (`execution_log`), but not when they end: an id counts as open for as long as
any request may wait. The same customer may send its id again; the decision
engine then knows where it ran.
"""

from __future__ import annotations

from hazelhollow.decisions import interface as api

LONGEST_WAIT_S = 3.0  # of a client, as the platform counts it
MAX_IDS = 20_000


class IdsElsewhere:
    """The reported ids, the oldest first."""

    def __init__(self) -> None:
        self._ids: dict[str, tuple[str, float]] = {}  # customer, and until when it may be open

    def add(self, customer: str, request_id: str, age: float, never_ran: bool, now: float) -> None:
        """Notes a request that the other process has reported, `age` seconds after it began."""
        if never_ran:
            self._ids.pop(request_id, None)
        elif age < LONGEST_WAIT_S:
            self._ids[request_id] = customer, now + LONGEST_WAIT_S - age
        while self._ids and (len(self._ids) > MAX_IDS or self._oldest_until() <= now):
            del self._ids[next(iter(self._ids))]

    def is_open(self, request: api.RequestArrived, now: float) -> bool:
        """Whether another customer's request may be open under this id."""
        if not self._ids:
            return False
        customer, until = self._ids.get(request.id, (request.customer, 0.0))
        return customer != request.customer and now < until

    def _oldest_until(self) -> float:
        return next(iter(self._ids.values()))[1]
