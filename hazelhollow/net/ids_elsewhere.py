"""The ids that may be open at the other process of an upgrade. No I/O.

An id stands for one request, whoever sends it, while that is open or runs. The other process
reports its requests (`execution_log`), but not when they end: an id counts as open for as long as
any request may wait.
"""

from __future__ import annotations

LONGEST_WAIT_S = 3.0  # of a client, as the platform counts it
MAX_IDS = 20_000


class IdsElsewhere:
    """The reported ids, the oldest first."""

    def __init__(self) -> None:
        self._open_until: dict[str, float] = {}

    def add(self, request_id: str, age: float, never_ran: bool, now: float) -> None:
        """Notes a request that the other process has reported, `age` seconds after it began."""
        if never_ran:
            self._open_until.pop(request_id, None)
        elif age < LONGEST_WAIT_S:
            self._open_until[request_id] = now + LONGEST_WAIT_S - age
        while self._open_until and (len(self._open_until) > MAX_IDS or self._oldest() <= now):
            del self._open_until[next(iter(self._open_until))]

    def is_open(self, request_id: str, now: float) -> bool:
        """Whether a request may be open under this id."""
        return bool(self._open_until) and now < self._open_until.get(request_id, 0.0)

    def _oldest(self) -> float:
        return next(iter(self._open_until.values()))
