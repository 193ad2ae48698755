"""Decides what is sent within replication's part of the control budget.

This module does no I/O and receives times as arguments.
"""

from __future__ import annotations

from hazelhollow.control_budget.budget import RoleBudget
from hazelhollow.control_budget.send_queue import SendQueue
from hazelhollow.replication.messages import Kind
from hazelhollow.replication.outbox import Datagram

# Operators' overrides are sent first, then what a newly started member waits for.
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
    """Queues datagrams until the budget has room for them."""

    def __init__(self, budget: RoleBudget) -> None:
        self._budget = budget
        self._queue: SendQueue[Datagram] = SendQueue(budget)

    def sendable(self, datagrams: list[Datagram], now: float) -> list[Datagram]:
        """Returns those of the given and queued datagrams that may be sent now, in SEND_ORDER.

        Digests are not queued: they are sent at once or dropped, since newer ones follow.
        """
        for datagram in datagrams:
            if datagram.kind is not Kind.DIGESTS:
                self._queue.add(RANKS[datagram.kind], len(datagram.text), datagram, now)
        sendable = self._queue.pop_sendable(now)
        if not self._queue:
            sendable += [
                datagram
                for datagram in datagrams
                if datagram.kind is Kind.DIGESTS and self._budget.take(len(datagram.text), now)
            ]
        return sendable
