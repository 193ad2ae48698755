"""Messages that wait for their role's part of the budget, the most useful first.

No I/O, no clock.
"""

from __future__ import annotations

import heapq
from typing import Generic, NamedTuple, TypeVar

from hazelhollow.control_budget.budget import RoleBudget

MAX_WAITING_MESSAGES = 64  # messages of one role; a newer one takes the place of the least useful
MAX_WAIT_S = 2.0  # seconds after which a message is void: what it said is said again by then

Payload = TypeVar("Payload")


class _Entry(NamedTuple):
    rank: int
    serial: int
    length: int
    until: float


class SendQueue(Generic[Payload]):
    """One role's queue. `most`, `longest`: as the constants above."""

    def __init__(
        self, allowance: RoleBudget, most: int = MAX_WAITING_MESSAGES, longest: float = MAX_WAIT_S
    ) -> None:
        self._allowance, self._most, self._longest = allowance, most, longest
        self._heap: list[_Entry] = []
        self._payloads: dict[int, Payload] = {}
        self._serial = 0

    def __len__(self) -> int:
        return len(self._heap)

    def contains(self, payload: Payload) -> bool:
        return payload in self._payloads.values()

    def add(self, rank: int, length: int, payload: Payload, now: float) -> None:
        """A message of that many bytes of text; those of a lower rank go first."""
        self._serial += 1
        heapq.heappush(self._heap, _Entry(rank, self._serial, length, now + self._longest))
        self._payloads[self._serial] = payload
        while len(self._heap) > self._most:
            self._drop(max(self._heap))

    def take_sendable(self, now: float) -> list[Payload]:
        """What may leave now, which is taken out.

        One that finds no room holds back all that are less useful.
        """
        for entry in [entry for entry in self._heap if entry.until < now]:
            self._drop(entry)
        found = list[Payload]()
        while self._heap and self._allowance.take(self._heap[0].length, now):
            found.append(self._payloads.pop(heapq.heappop(self._heap).serial))
        return found

    def _drop(self, entry: _Entry) -> None:
        self._heap.remove(entry)
        heapq.heapify(self._heap)
        del self._payloads[entry.serial]
        self._allowance.drop()
