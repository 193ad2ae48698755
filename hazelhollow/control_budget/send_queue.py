"""Messages that wait for their role's part of the budget, in order of priority."""

from __future__ import annotations

import heapq
from typing import Generic, NamedTuple, TypeVar

from hazelhollow.control_budget.budget import RoleBudget

MAX_WAITING_MESSAGES = 64  # of one role; when exceeded, the last in order is dropped
MAX_WAIT_S = 2.0  # a message is dropped after this: its content has been sent again by then

Payload = TypeVar("Payload")


class _Entry(NamedTuple):
    """A waiting message; the smallest entry is sent first."""

    rank: int
    serial: int
    length: int
    expires_at: float


class SendQueue(Generic[Payload]):
    """The queue of one role.

    `max_waiting` limits the number of messages. `max_wait_s` is the time after which one is
    dropped.
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
        """Whether that message is waiting already."""
        return payload in self._payloads.values()

    def add(self, rank: int, length: int, payload: Payload, now: float) -> None:
        """Queues a message of `length` bytes of text; messages of a lower rank are sent first."""
        self._serial += 1
        entry = _Entry(rank, self._serial, length, now + self._max_wait_s)
        heapq.heappush(self._heap, entry)
        self._payloads[self._serial] = payload
        while len(self._heap) > self._max_waiting:
            self._drop(max(self._heap))

    def pop_sendable(self, now: float) -> list[Payload]:
        """Removes and returns the messages that may be sent now, and consumes their budget.

        A message that exceeds the available budget blocks all that follow it in order.
        """
        for expired in [entry for entry in self._heap if entry.expires_at < now]:
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
