"""What members tell each other about replicated state, as typed values. `codec` has their text."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from hazelhollow.replication.count_table import CountRow, CountValue
from hazelhollow.replication.overrides import Override


class Kind(StrEnum):
    """Kinds of messages, by the letter that stands for them in a datagram."""

    DIGESTS = "s"
    COUNTS = "r"
    OVERRIDES = "h"
    TRANSFER_REQUEST = "q"
    TRANSFER_PIECE = "g"
    NOT_COMPLETE = "n"


class RecentCount(NamedTuple):
    """A counter, and what was charged in the two periods after its `through`, in tenths of a unit.

    Those two periods are not closed yet; the sender knows of them by gossip.
    """

    member: int
    incarnation: str
    value: CountValue
    in_next_period: int = 0
    in_second_period: int = 0


class AccountCopy(NamedTuple):
    """All that a member knows of one customer, for one that catches up.

    `spent` is what is gone of the burst, in tenths of a unit; `counts` are what is part of it.
    """

    customer: str
    plan_tag: str
    set_start: int
    set_size: int
    spent: int
    counts: tuple[RecentCount, ...]


class Digests(NamedTuple):
    """Digests of the sender's count table by bucket and of its overrides.

    `is_answer`: it answers another's digests, and is not to be answered by digests again.
    """

    buckets: tuple[int, ...]
    overrides: int
    is_answer: bool


class Counts(NamedTuple):
    """Counters that the receiver may not have."""

    rows: tuple[CountRow, ...]


class Overrides(NamedTuple):
    """Overrides of endpoints that the receiver may not have."""

    overrides: tuple[Override, ...]


class TransferRequest(NamedTuple):
    """Asks for `length` accounts from place `first` on, in the list of the transfer so numbered."""

    transfer: int
    first: int
    length: int


class TransferPiece(NamedTuple):
    """Accounts from place `first` on, of `total` in the list.

    None stands for a customer that the sender has forgotten since it made the list.
    """

    transfer: int
    first: int
    total: int
    accounts: tuple[AccountCopy | None, ...]


class NotComplete(NamedTuple):
    """Refuses a transfer: the sender does not know all itself."""

    transfer: int


Body = Digests | Counts | Overrides | TransferRequest | TransferPiece | NotComplete


class Message(NamedTuple):
    """A decoded datagram: the sender's incarnation, its period, and what it says."""

    incarnation: str
    period: int
    body: Body
