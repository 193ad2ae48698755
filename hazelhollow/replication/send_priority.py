"""What may be sent within the control budget's part for replication. No I/O; times are given."""

from __future__ import annotations

from hazelhollow.control_budget.budget import RoleBudget
from hazelhollow.control_budget.send_queue import SendQueue
from hazelhollow.replication.messages import Kind
from hazelhollow.replication.outbox import Datagram

# What goes first: an operator's override, then what a member that has just begun waits for.
SEND_ORDER = (
    Kind.OVERRIDES,
    Kind.TRANSFER_REQUEST,
    Kind.NOT_COMPLETE,
    Kind.TRANSFER_PIECE,
    Kind.COUNTS,
    Kind.DIGESTS,
)
RANKS = {kind: rank for rank, kind in enumerate(SEND_ORDER)}


class PrioritySender:
    """Datagrams that wait for room in the budget."""

    def __init__(self, budget: RoleBudget) -> None:
        self._budget = budget
        self._waiting: SendQueue[Datagram] = SendQueue(budget)

    def due(self, datagrams: list[Datagram], now: float) -> list[Datagram]:
        """What of these and of those that wait may leave now, the most useful first.

        Digests do not wait: they leave at once or never, since newer ones follow.
        """
        for datagram in datagrams:
            if datagram.kind is not Kind.DIGESTS:
                self._waiting.add(RANKS[datagram.kind], len(datagram.text), datagram, now)
        due = self._waiting.pop_sendable(now)
        if not self._waiting:
            due += [
                datagram
                for datagram in datagrams
                if datagram.kind is Kind.DIGESTS and self._budget.take(len(datagram.text), now)
            ]
        return due
