"""The messages of replication as typed values; `codec` encodes and decodes them."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from hazelhollow.replication.count_table import CountRow, CountValue
from hazelhollow.replication.overrides import Override


class Kind(StrEnum):
    """Kinds of messages; the value is the letter that denotes the kind in a datagram."""

    DIGESTS = "s"
    COUNTS = "r"
    OVERRIDES = "h"
    TRANSFER_REQUEST = "q"
    TRANSFER_PIECE = "g"
    NOT_COMPLETE = "n"


class RecentCount(NamedTuple):
    """A counter, and the charges of the two periods after its `through`, in tenths of a unit.

    Those two periods are not closed yet; the sender has their charges from gossip.
    """

    member: int
    incarnation: str
    value: CountValue
    in_next_period: int = 0
    in_second_period: int = 0


class AccountCopy(NamedTuple):
    """A copy of one customer's account, for a member that catches up.

    `spent` is the used part of the burst, in tenths of a unit; it includes the charges of `counts`.
    """

    customer: str
    plan_tag: str
    set_start: int
    set_size: int
    spent: int
    counts: tuple[RecentCount, ...]


class Digests(NamedTuple):
    """Digests of the sender's count table, by bucket, and of its overrides.

    `is_answer` is set if they answer the receiver's digests; the receiver then sends none back.
    """

    buckets: tuple[int, ...]
    overrides: int
    is_answer: bool


class Counts(NamedTuple):
    """Counters that the receiver may lack."""

    rows: tuple[CountRow, ...]


class Overrides(NamedTuple):
    """Overrides of endpoints that the receiver may lack."""

    overrides: tuple[Override, ...]


class TransferRequest(NamedTuple):
    """Requests `length` accounts from position `first` on in the list of transfer `transfer`."""

    transfer: int
    first: int
    length: int


class TransferPiece(NamedTuple):
    """Accounts from position `first` on, of the `total` accounts in the sender's list.

    None stands for a customer that the sender has forgotten since it made the list.
    """

    transfer: int
    first: int
    total: int
    accounts: tuple[AccountCopy | None, ...]


class NotComplete(NamedTuple):
    """Refuses a transfer: the sender is not complete itself."""

    transfer: int


Body = Digests | Counts | Overrides | TransferRequest | TransferPiece | NotComplete


class Message(NamedTuple):
    """A decoded datagram: the sender's incarnation, its period, and the body."""

    incarnation: str
    period: int
    body: Body
