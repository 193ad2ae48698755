"""What goes out: datagrams with piggybacked records, within the allowance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from hazelhollow.membership import codec, counters
from hazelhollow.membership.allowance import Allowance, Purpose
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.dissemination import DisseminationQueue
from hazelhollow.membership.member_table import MemberTable
from hazelhollow.membership.own_record import OwnRecord
from hazelhollow.membership.records import Record
from hazelhollow.membership.suspicion import SuspicionTable

# Kinds whose arguments leave no room for all of the sender's record.
FULL_KINDS = frozenset((MessageKind.BUCKET_DIGESTS, MessageKind.PRESENCE_BITMAP))


class Datagram(NamedTuple):
    """A text for the driver to send to the member `recipient`."""

    recipient: int
    text: str


class Piggyback(Enum):
    """Which records ride along with a message, beside its own."""

    NEWS = auto()  # the suspicion of the recipient, and what the dissemination queue gives
    SUSPICION = auto()  # only the suspicion of the recipient, so that it can refute
    NOTHING = auto()


class Outgoing(NamedTuple):
    """A message to be sent.

    `arguments`: as the kind needs them (`codec.py`). `records`: go first.
    """

    recipient: int
    kind: MessageKind
    arguments: tuple[int, ...] = ()
    records: Sequence[Record] = ()
    piggyback: Piggyback = Piggyback.NEWS
    purpose: Purpose = Purpose.ANSWER


class PiggybackSources(NamedTuple):
    """Where records that ride along come from."""

    dissemination: DisseminationQueue
    suspicions: SuspicionTable


@dataclass(frozen=True)
class SendLimits:
    """`max_text_bytes` of each datagram; `allowance` over time, or none."""

    max_text_bytes: int
    allowance: Allowance | None


class DatagramSender:
    """Collects the datagrams that the driver is to send, in order, and numbers them."""

    def __init__(
        self,
        own: OwnRecord,
        table: MemberTable,
        sources: PiggybackSources,
        limits: SendLimits,
        counts: Counter[str],
    ) -> None:
        self._own, self._table, self._counts = own, table, counts
        self._max_text_bytes, self._allowance = limits.max_text_bytes, limits.allowance
        self._dissemination, self._suspicions = sources
        self._serial = 0
        self._datagrams: list[Datagram] = []

    def drain(self) -> list[Datagram]:
        """Removes and returns the datagrams collected since the last call."""
        datagrams, self._datagrams = self._datagrams, []
        return datagrams

    def send(self, outgoing: Outgoing, now: float) -> int | None:
        """How many of the message's own records the datagram holds.

        None where the allowance has no room for it: it is not sent.
        """
        own, recipient, kind = self._own.record, outgoing.recipient, outgoing.kind
        if kind in FULL_KINDS:
            own = own._replace(unreachable=(), versions="")
        message = Message(kind, own, self._serial + 1, self._table.digest(), outgoing.arguments)
        first, suspicion, piggyback = list(outgoing.records), None, outgoing.piggyback
        if piggyback is not Piggyback.NOTHING:
            suspicion = self._suspicions.record(recipient)
            if suspicion:
                first.insert(0, suspicion)
        news = list[Record]()
        if piggyback is Piggyback.NEWS:
            news = self._dissemination.next_records(self._table, own.number)
        allowance = self._allowance
        text, taken = codec.encode(
            message, [*first, *news], self._room(message, first, news, now), allowance is not None
        )
        if allowance and not allowance.take(len(text), now, outgoing.purpose.value):
            self._counts[counters.HELD_BACK] += 1
            if outgoing.purpose is Purpose.ANSWER:
                allowance.drop()
            return None
        self._serial += 1
        self._dissemination.sent(news[: max(0, taken - len(first))])
        if suspicion and taken:
            self._suspicions.pinged(recipient)
        self._datagrams.append(Datagram(recipient, text))
        return min(taken, len(first))

    def _room(self, message: Message, first: list[Record], news: list[Record], now: float) -> int:
        """Bytes that the text may have, with what the allowance leaves for news."""
        most, allowance = self._max_text_bytes, self._allowance
        if allowance is None or not news:
            return most
        without_news = len(codec.encode(message, first, most, relative=True)[0])
        left = allowance.available_bytes(now) - Purpose.NEWS.value * allowance.burst
        return max(without_news, min(most, int(left)))
