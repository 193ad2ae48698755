"""Catch-up: a new member's first transfer of all accounts, from a member that is complete.

This module does no I/O and receives times as arguments. `CatchUpServer` is the other side.

| state | ends when | next state |
| --- | --- | --- |
| searching | a member that may know more is present | transferring, from an older one if any |
| | no member is left to ask, or none was present for a while | complete, without a source |
| transferring | the last account has arrived | complete, from the source |
| | the source refuses: it is not complete itself | searching, without it |
| | the source leaves too many attempts unanswered | searching, others first |
| | the source is no longer present | searching |
| complete | never | |

Until it is complete a member admits only its cautious share of each quota. After a transfer was
abandoned, another starts from the beginning with another source; duplicates change nothing.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence, Set
from typing import NamedTuple

from hazelhollow.replication.messages import AccountCopy, Kind, NotComplete, TransferPiece
from hazelhollow.replication.outbox import Outbox
from hazelhollow.replication.transfer import Transfer

PIECE_TIMEOUT_S = 0.2  # time without a piece after which the missing ones are requested again
PIECE_TIMEOUT_UNDER_BUDGET_S = 1.5  # the same, where a budget bounds what the source sends
MAX_ATTEMPTS_BEFORE_FIRST_PIECE = 6  # unanswered, after which a source is abandoned
MAX_ATTEMPTS_BETWEEN_PIECES = 24  # the same, of a source that has already sent a piece
# How often all unresponsive members are asked again before this member completes without them.
MAX_SEARCHES = 5
# This long after its start a member that completed without a source knows as much as any other.
FULL_KNOWLEDGE_AFTER_S = 4.0
# After so many refusals no more members are asked: all are taken to have started together.
MAX_REFUSALS = 16
ALONE_AFTER_S = 1.5  # without another member present, until it completes without a source
TRANSFER_NUMBERS = 36**4  # transfers are numbered below this


class ReceivedAccount(NamedTuple):
    """An account, and the source's period when it was sent."""

    account: AccountCopy
    period: int


class CatchUp:
    """The side of a catch-up that lacks the accounts.

    Received accounts are appended to `new_accounts`, which the driver empties. `piece_timeout` is
    the time in seconds without a piece after which the missing ones are requested again. Abandoned
    transfers are counted in `counters` as `givers lost`.
    """

    def __init__(
        self, outbox: Outbox, rng: random.Random, piece_timeout: float, counters: Counter[str]
    ) -> None:
        self._outbox, self._random, self._piece_timeout = outbox, rng, piece_timeout
        self._counters = counters
        self.is_complete = False
        self.completed_by: int | None = None  # the last source; None if it completed without one
        self.is_restored = False  # whether this member restored its accounts from a snapshot
        self.new_accounts: list[ReceivedAccount] = []
        self.transfer: Transfer | None = None
        self._now = self._started_at = 0.0
        self._refused: set[int] = set()  # members that refused, as they are not complete
        self._unresponsive: set[int] = set()  # members that did not answer
        self._searches = 0

    def advance(self, now: float) -> None:
        """Sets the time for the calls that follow, in Unix seconds.

        The first call sets the time of this member's start.
        """
        self._now = now
        self._started_at = self._started_at or now

    def run_round(self, present: Sequence[int], older: Set[int] | None) -> None:
        """Starts, continues or abandons a transfer, and requests what is missing.

        `present` are the other members that are up. `older` are those of them that started so long
        before this one that they are complete, or None if that is not known.
        """
        if self.is_complete:
            return
        transfer = self.transfer
        if transfer is None:
            self._search(present, older)
        elif transfer.source not in present:
            self._abandon_transfer()
        elif self._now - transfer.waiting_since > self._piece_timeout:
            limit = (
                MAX_ATTEMPTS_BEFORE_FIRST_PIECE
                if transfer.total < 0
                else MAX_ATTEMPTS_BETWEEN_PIECES
            )
            if transfer.attempts >= limit:
                self._unresponsive.add(transfer.source)
                self._abandon_transfer()
            else:
                transfer.attempts += 1
                transfer.waiting_since = self._now
                self._request(transfer)

    def receive_piece(self, sender: int, piece: TransferPiece, period: int) -> None:
        """Accepts accounts of the current transfer, and requests more."""
        transfer = self.transfer
        if transfer is None or self.is_complete:
            return
        if (sender, piece.transfer) != (transfer.source, transfer.number):
            return  # a late piece of an abandoned transfer
        transfer.set_total(piece.total)
        transfer.waiting_since, transfer.attempts = self._now, 0
        new = transfer.receive(piece.first, len(piece.accounts))
        self.new_accounts += [
            ReceivedAccount(account, period)
            for position, account in enumerate(piece.accounts, piece.first)
            if account is not None and position in new
        ]
        if transfer.is_complete():
            self.is_complete, self.completed_by, self.transfer = True, sender, None
        elif new and transfer.is_request_due():
            self._request(transfer)

    def receive_not_complete(self, sender: int, message: NotComplete) -> None:
        """Abandons the transfer, since its source is not complete either."""
        transfer = self.transfer
        if transfer and (sender, message.transfer) == (transfer.source, transfer.number):
            self._refused.add(sender)
            self._abandon_transfer()

    def can_serve(self) -> bool:
        """Whether this member may be the source of another's catch-up.

        A member that has just started where nobody was complete knows only what it admitted itself
        by its cautious share.
        """
        return self.is_complete and (
            self.completed_by is not None
            or self.is_restored
            or self._now - self._started_at >= FULL_KNOWLEDGE_AFTER_S
        )

    def _search(self, present: Sequence[int], older: Set[int] | None) -> None:
        """Begins a transfer, from an older member if there is one, since that knows more.

        Without a candidate, unresponsive members are asked again up to MAX_SEARCHES times; after
        that this member is complete without a source.
        """
        candidates = [m for m in present if m not in self._refused and m not in self._unresponsive]
        older_candidates = [m for m in candidates if m in older] if older else []
        if older is not None and self._did_all_start_together(older):
            self.is_complete = True
        elif candidates:
            source = self._random.choice(older_candidates or candidates)
            number = self._random.randrange(TRANSFER_NUMBERS)
            self.transfer = Transfer(source, number, self._now)
            self._request(self.transfer)
        elif self._unresponsive and self._searches < MAX_SEARCHES:
            self._unresponsive, self._searches = set(), self._searches + 1
        elif present or self._now - self._started_at > ALONE_AFTER_S:
            self.is_complete = True

    def _did_all_start_together(self, older: Set[int]) -> bool:
        """Whether all members started together, as far as is known.

        Asking each member of a large fleet that started together would take long.
        """
        if self._now - self._started_at < FULL_KNOWLEDGE_AFTER_S:
            return False
        return older <= self._refused or len(self._refused) >= MAX_REFUSALS

    def _abandon_transfer(self) -> None:
        self._counters["givers lost"] += 1
        self.transfer = None

    def _request(self, transfer: Transfer) -> None:
        for request in transfer.next_requests():
            self._outbox.send(transfer.source, Kind.TRANSFER_REQUEST, (transfer.number, *request))
