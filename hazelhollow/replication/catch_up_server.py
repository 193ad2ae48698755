"""Catch-up: the side that has the accounts and sends them.

This module does no I/O and receives times as arguments.

A member that catches up is served from a list of the customers whose budget is not full. The list
is made when the transfer begins and kept while it lasts, so that a position denotes the same
customer throughout.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from hazelhollow.replication import codec
from hazelhollow.replication.catch_up import CatchUp
from hazelhollow.replication.messages import AccountCopy, Kind, TransferRequest
from hazelhollow.replication.outbox import Outbox
from hazelhollow.replication.transfer import WINDOW

DATAGRAMS_PER_S = 2000.0  # to all members together
DATAGRAM_BURST = 400.0
MAX_LISTS = 16  # members served at the same time
LIST_LIFETIME_S = 10.0  # after the last request


class AccountSource(Protocol):
    """What a catch-up needs from the decision engine."""

    def customers_below_full(self) -> list[str]:
        """Returns the customers whose budget is not full, those with the least left first."""

    def account(self, customer: str) -> AccountCopy | None:
        """Returns a copy of a customer's account, or None if the engine has forgotten it."""


class _ServedList(NamedTuple):
    transfer: int
    customers: list[str]
    expires_at: float


class CatchUpServer:
    """Serves transfers from `source`, once this member's own `catch_up` allows it."""

    def __init__(self, outbox: Outbox, source: AccountSource, catch_up: CatchUp) -> None:
        self._outbox, self._source, self._catch_up = outbox, source, catch_up
        self._lists: dict[int, _ServedList] = {}  # by the member that is served
        self._tokens, self._refilled_at = DATAGRAM_BURST, 0.0

    def answer(self, sender: int, request: TransferRequest, now: float) -> None:
        """Sends the requested accounts, or as many of them as the rate allows."""
        if not self._catch_up.can_serve():
            self._outbox.send(sender, Kind.NOT_COMPLETE, (request.transfer,))
            return
        customers = self._list_for(sender, request.transfer, now)
        first = min(request.first, len(customers))
        end = min(first + request.length, len(customers), first + WINDOW)
        room = self._outbox.room_for_items(Kind.TRANSFER_PIECE, codec.PIECE_NUMBERS_LIMIT)
        while self._take_token(now):
            items = self._items(customers[first:end], room)
            numbers = (request.transfer, first, len(customers))
            self._outbox.send(sender, Kind.TRANSFER_PIECE, numbers, items)
            first += len(items)
            if first >= end or not items:
                return

    def _items(self, customers: list[str], room: int) -> list[str]:
        """Returns the items of the first accounts, as many as fit into one datagram."""
        items, size = list[str](), 0
        for customer in customers:
            account = self._source.account(customer)
            if account:
                item = codec.encode_account(account, self._outbox.period, room)
            else:
                item = codec.encode_forgotten()
            if size + len(item) > room:
                break
            items.append(item)
            size += len(item)
        return items

    def _list_for(self, member: int, transfer: int, now: float) -> list[str]:
        self._lists = {m: served for m, served in self._lists.items() if now < served.expires_at}
        served = self._lists.get(member)
        if served is None or served.transfer != transfer:
            if len(self._lists) >= MAX_LISTS:
                self._lists.pop(min(self._lists, key=lambda m: self._lists[m].expires_at))
            served = _ServedList(transfer, self._source.customers_below_full(), 0.0)
        self._lists[member] = served._replace(expires_at=now + LIST_LIFETIME_S)
        return served.customers

    def _take_token(self, now: float) -> bool:
        refill = DATAGRAMS_PER_S * (now - self._refilled_at)
        self._tokens = min(DATAGRAM_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
