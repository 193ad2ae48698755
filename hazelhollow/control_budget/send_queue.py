"""Messages that wait for their role's part of the budget, the most useful first."""

from __future__ import annotations

import heapq
from typing import Generic, NamedTuple, TypeVar

from hazelhollow.control_budget.budget import RoleBudget

MAX_WAITING_MESSAGES = 64  # of one role; a newer one takes the place of the least useful
MAX_WAIT_S = 2.0  # after which a message is dropped: what it said is said again by then

Payload = TypeVar("Payload")


class _Entry(NamedTuple):
    """A waiting message; the least entry leaves first."""

    rank: int
    serial: int
    length: int
    until: float


class SendQueue(Generic[Payload]):
    """One role's queue.

    `max_waiting`: messages that it holds. `max_wait_s`: seconds after which one is dropped.
    """

    def __init__(
        self,
        allowance: RoleBudget,
        max_waiting: int = MAX_WAITING_MESSAGES,
        max_wait_s: float = MAX_WAIT_S,
    ) -> None:
        self._allowance, self._max_waiting, self._max_wait_s = allowance, max_waiting, max_wait_s
        self._heap: list[_Entry] = []
        self._payloads: dict[int, Payload] = {}  # by serial
        self._serial = 0

    def __len__(self) -> int:
        return len(self._heap)

    def contains(self, payload: Payload) -> bool:
        """Whether that message waits already."""
        return payload in self._payloads.values()

    def add(self, rank: int, length: int, payload: Payload, now: float) -> None:
        """Queues a message of `length` bytes of text; those of a lower rank go first."""
        self._serial += 1
        entry = _Entry(rank, self._serial, length, now + self._max_wait_s)
        heapq.heappush(self._heap, entry)
        self._payloads[self._serial] = payload
        while len(self._heap) > self._max_waiting:
            self._drop(max(self._heap))

    def pop_sendable(self, now: float) -> list[Payload]:
        """Takes out and pays for what may leave now.

        One that finds no room holds back all that are less useful.
        """
        for expired in [entry for entry in self._heap if entry.until < now]:
            self._drop(expired)
        sendable = list[Payload]()
        while self._heap and self._allowance.take(self._heap[0].length, now):
            sendable.append(self._payloads.pop(heapq.heappop(self._heap).serial))
        return sendable

    def _drop(self, entry: _Entry) -> None:
        self._heap.remove(entry)
        heapq.heapify(self._heap)
        del self._payloads[entry.serial]
        self._allowance.drop()
