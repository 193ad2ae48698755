"""Sends datagrams with piggybacked records, within the allowance."""

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

# Kinds whose arguments leave no room for the sender's complete record.
KINDS_WITH_SHORT_SENDER = frozenset((MessageKind.BUCKET_DIGESTS, MessageKind.PRESENCE_BITMAP))


class Datagram(NamedTuple):
    """A text that the driver is to send to the member `recipient`."""

    recipient: int
    text: str


class Piggyback(Enum):
    """The records that are piggybacked on a message, in addition to its own."""

    DISSEMINATION = auto()  # the suspicion of the recipient, and queued records
    SUSPICION = auto()  # only the suspicion of the recipient, so that it can refute
    NONE = auto()


class Outgoing(NamedTuple):
    """A message to be sent.

    `arguments` depend on the kind (`codec.py`). `records` precede the piggybacked ones.
    """

    recipient: int
    kind: MessageKind
    arguments: tuple[int, ...] = ()
    records: Sequence[Record] = ()
    piggyback: Piggyback = Piggyback.DISSEMINATION
    purpose: Purpose = Purpose.ANSWER


class PiggybackSources(NamedTuple):
    """The sources of piggybacked records."""

    dissemination: DisseminationQueue
    suspicions: SuspicionTable


@dataclass(frozen=True)
class SendLimits:
    """The limits on sending.

    `max_text_bytes` limits each datagram; `allowance` limits the bytes over time, None means no
    limit.
    """

    max_text_bytes: int
    allowance: Allowance | None


class DatagramSender:
    """Encodes and numbers datagrams, and collects them in order for the driver to send."""

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
        """Queues a datagram and returns how many of the message's leading records it contains.

        Returns None without queuing it if the allowance is exhausted.
        """
        own, recipient, kind = self._own.record, outgoing.recipient, outgoing.kind
        if kind in KINDS_WITH_SHORT_SENDER:
            own = own._replace(unreachable=(), versions="")
        message = Message(kind, own, self._serial + 1, self._table.digest(), outgoing.arguments)
        leading, suspicion, piggyback = list(outgoing.records), None, outgoing.piggyback
        if piggyback is not Piggyback.NONE:
            suspicion = self._suspicions.record(recipient)
            if suspicion:
                leading.insert(0, suspicion)
        piggybacked = list[Record]()
        if piggyback is Piggyback.DISSEMINATION:
            piggybacked = self._dissemination.next_records(self._table, own.number)
        allowance = self._allowance
        text, encoded_count = codec.encode(
            message,
            [*leading, *piggybacked],
            self._max_bytes(message, leading, piggybacked, now),
            allowance is not None,
        )
        if allowance and not allowance.take(len(text), now, outgoing.purpose.value):
            self._counts[counters.HELD_BACK] += 1
            if outgoing.purpose is Purpose.ANSWER:
                allowance.drop()
            return None
        self._serial += 1
        self._dissemination.sent(piggybacked[: max(0, encoded_count - len(leading))])
        if suspicion and encoded_count:
            self._suspicions.pinged(recipient)
        self._datagrams.append(Datagram(recipient, text))
        return min(encoded_count, len(leading))

    def _max_bytes(
        self, message: Message, leading: list[Record], piggybacked: list[Record], now: float
    ) -> int:
        """The maximum text length, given what the allowance leaves for piggybacked records."""
        max_bytes, allowance = self._max_text_bytes, self._allowance
        if allowance is None or not piggybacked:
            return max_bytes
        required_bytes = len(codec.encode(message, leading, max_bytes, relative=True)[0])
        remaining_bytes = allowance.available_bytes(now) - Purpose.PIGGYBACK.value * allowance.burst
        return max(required_bytes, min(max_bytes, int(remaining_bytes)))
