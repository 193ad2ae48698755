"""Catch-up: a new member's first transfer of all accounts, from one that knows them.

No I/O; times are given. `CatchUpServer` is the other side.

| state | ends when | then |
| --- | --- | --- |
| searching | a member that may know more is present | transferring, from an older one if any |
| | nobody knows more, or nobody is met for a while | complete, by nobody |
| transferring | the last account has arrived | complete, by the source |
| | the source refuses: it is not complete itself | searching, without it |
| | the source is silent for too many attempts | searching, others first |
| | the source is no longer present | searching |
| complete | never | |

Until it is complete a member admits only its cautious share of each quota. A transfer that was
given up begins anew with another source; what arrives twice changes nothing.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence, Set
from typing import NamedTuple

from hazelhollow.replication.messages import AccountCopy, Kind, NotComplete, TransferPiece
from hazelhollow.replication.outbox import Outbox
from hazelhollow.replication.transfer import Transfer

SILENCE_S = 0.2  # without a piece, after which the first that is missing is asked for again
SILENCE_UNDER_BUDGET_S = 1.5  # the same, where a budget bounds what the source sends
MAX_FIRST_ATTEMPTS = 6  # without an answer, of a source that has sent nothing yet
MAX_LATER_ATTEMPTS = 24  # of one that has
MAX_SEARCHES = 5  # in which all are asked, before silence counts as knowing nothing
# A member that nobody could tell anything knows as much as anybody after so many seconds.
KNOWS_ALL_AFTER_S = 4.0
# Members that are not complete themselves, after which no more are asked: all began together.
MAX_REFUSALS = 16
ALONE_AFTER_S = 1.5  # a member that meets nobody for so long is alone
TRANSFER_NUMBERS = 36**4


class ReceivedAccount(NamedTuple):
    """An account, and the source's period at the time."""

    account: AccountCopy
    period: int


class CatchUp:
    """The side that lacks the accounts.

    What arrives is in `new_accounts`, which the driver takes. `silence`: seconds without a piece
    after which it is asked for again. `counters` gets `givers lost`: transfers that were given up.
    """

    def __init__(
        self, outbox: Outbox, chance: random.Random, silence: float, counters: Counter[str]
    ) -> None:
        self._outbox, self._random, self._silence = outbox, chance, silence
        self._counters = counters
        self.is_complete = False
        self.completed_by: int | None = None  # the last source; None where nobody knew more
        self.is_restored = False  # it began with a snapshot
        self.new_accounts: list[ReceivedAccount] = []
        self.transfer: Transfer | None = None
        self._now = self._began = 0.0
        self._refused: set[int] = set()  # members that are not complete themselves
        self._silent: set[int] = set()  # members that did not answer
        self._searches = 0

    def advance(self, now: float) -> None:
        """The time of what follows, in Unix seconds. The first call is this member's beginning."""
        self._now = now
        self._began = self._began or now

    def run_round(self, present: Sequence[int], older: Set[int] | None) -> None:
        """Asks for what is missing.

        `present`: the other members that are up; `older`: those of them that began so long before
        this one that they are complete, or None where that is not known.
        """
        if self.is_complete:
            return
        transfer = self.transfer
        if transfer is None:
            self._search(present, older)
        elif transfer.source not in present:
            self._give_up()
        elif self._now - transfer.last_heard_at > self._silence:
            limit = MAX_FIRST_ATTEMPTS if transfer.total < 0 else MAX_LATER_ATTEMPTS
            if transfer.attempts >= limit:
                self._silent.add(transfer.source)
                self._give_up()
            else:
                transfer.attempts += 1
                transfer.last_heard_at = self._now
                self._request(transfer)

    def receive_piece(self, sender: int, piece: TransferPiece, period: int) -> None:
        """Takes accounts of the transfer that is under way, and asks for more."""
        transfer = self.transfer
        if transfer is None or self.is_complete:
            return
        if (sender, piece.transfer) != (transfer.source, transfer.number):
            return  # of a transfer that was given up
        transfer.set_total(piece.total)
        transfer.last_heard_at, transfer.attempts = self._now, 0
        new = transfer.receive(piece.first, len(piece.accounts))
        self.new_accounts += [
            ReceivedAccount(account, period)
            for place, account in enumerate(piece.accounts, piece.first)
            if account is not None and place in new
        ]
        if transfer.is_complete():
            self.is_complete, self.completed_by, self.transfer = True, sender, None
        elif new and transfer.is_request_due():
            self._request(transfer)

    def receive_not_complete(self, sender: int, message: NotComplete) -> None:
        """The source knows no more than this member."""
        transfer = self.transfer
        if transfer and (sender, message.transfer) == (transfer.source, transfer.number):
            self._refused.add(sender)
            self._give_up()

    def can_serve(self) -> bool:
        """Whether what this member knows is worth taking over.

        One that has just begun where nobody was complete knows only its own cautious share.
        """
        return self.is_complete and (
            self.completed_by is not None
            or self.is_restored
            or self._now - self._began >= KNOWS_ALL_AFTER_S
        )

    def _search(self, present: Sequence[int], older: Set[int] | None) -> None:
        """Begins a transfer from an older member if there is one: it knows more."""
        candidates = [m for m in present if m not in self._refused and m not in self._silent]
        older_candidates = [m for m in candidates if m in older] if older else []
        if older is not None and self._nobody_knows_more(older):
            self.is_complete = True
        elif candidates:
            source = self._random.choice(older_candidates or candidates)
            number = self._random.randrange(TRANSFER_NUMBERS)
            self.transfer = Transfer(source, number, self._now)
            self._request(self.transfer)
        elif self._silent and self._searches < MAX_SEARCHES:
            self._silent, self._searches = set(), self._searches + 1
        elif present or self._now - self._began > ALONE_AFTER_S:
            self.is_complete = True

    def _nobody_knows_more(self, older: Set[int]) -> bool:
        """Whether all members began together, as far as is known.

        Asking each of a large fleet that began together would take long.
        """
        if self._now - self._began < KNOWS_ALL_AFTER_S:
            return False
        return older <= self._refused or len(self._refused) >= MAX_REFUSALS

    def _give_up(self) -> None:
        self._counters["givers lost"] += 1
        self.transfer = None

    def _request(self, transfer: Transfer) -> None:
        for request in transfer.next_requests():
            self._outbox.send(transfer.source, Kind.TRANSFER_REQUEST, (transfer.number, *request))
