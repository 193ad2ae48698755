"""Anti-entropy between two members' tables: finds what dissemination missed.

Every message carries a digest of its sender's table. At the next tick after one that differs, its
sender is asked for what this member lacks, by digests of buckets or by a bitmap of who has joined,
and answers with the records that differ. A healed partition settles by this: its news is old, and
no longer piggybacked.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from hazelhollow.membership import codec
from hazelhollow.membership.allowance import Purpose
from hazelhollow.membership.codec import Message, MessageKind
from hazelhollow.membership.member_table import MemberTable
from hazelhollow.membership.records import Record
from hazelhollow.membership.sender import DatagramSender, Outgoing, Piggyback
from hazelhollow.membership.settings import MembershipSettings
from hazelhollow.membership.timing import PROBE_INTERVAL_S

MAX_DATAGRAMS = 4  # of records, in answer to one that asks
MAX_DATAGRAMS_BOUNDED = 12  # the same, where an allowance bounds them
BUCKET_DIGEST_INTERVAL_TICKS = 2  # ticks between digests of buckets, where the others carry bitmaps
# Kinds whose digests are compared: not those by which tables are exchanged.
COMPARED = (
    MessageKind.PING,
    MessageKind.ACK,
    MessageKind.PING_REQUEST,
    MessageKind.INDIRECT_PING,
    MessageKind.INDIRECT_ACK,
)


class TableExchange:
    """`bounded`: whether an allowance bounds what is sent."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        chance: random.Random,
        sender: DatagramSender,
        bounded: bool,
    ) -> None:
        self._limiter_id, self._member_count = settings.limiter_id, settings.member_count
        self._table, self._random, self._sender = table, chance, sender
        self._bounded = bounded
        self._noted_at = -1.0
        self._to_ask: int | None = None

    def compare(self, message: Message, now: float) -> bool:
        """Whether the sender's table is the same; if not, it is asked at the next tick."""
        same = message.digest == self._table.digest()
        is_due = now - self._noted_at >= PROBE_INTERVAL_S
        if not same and message.kind in COMPARED and is_due:
            # One at a time: many would be asked for the same records.
            self._noted_at, self._to_ask = now, message.sender.number
        return same

    def tick(self, ticks: int, now: float) -> None:
        """Asks the member that was noted. `ticks`: since the start of this member."""
        if self._to_ask is not None:
            self._ask(self._to_ask, ticks, now)
            self._to_ask = None

    def receive(self, message: Message, now: float) -> None:
        """One of the messages by which tables are exchanged."""
        peer, arguments = message.sender.number, message.arguments
        if message.kind == MessageKind.RECORDS:
            self._send_records(peer, self._newer_than(message.records), now)
        elif message.kind == MessageKind.BUCKET_DIGESTS:
            self._answer_digests(peer, arguments, now)
        elif message.kind == MessageKind.PRESENCE_BITMAP:
            self._answer_bitmap(peer, arguments, now)

    def _ask(self, peer: int, ticks: int, now: float) -> None:
        """Asks for what this member lacks of another's table.

        Within an allowance mostly by a bitmap, which shows exactly who has joined at one and not at
        the other; digests of buckets show the rest.
        """
        if not self._bounded or ticks % BUCKET_DIGEST_INTERVAL_TICKS == 0:
            kind, arguments = MessageKind.BUCKET_DIGESTS, tuple(self._table.bucket_digests())
        else:
            spans = -(-self._member_count // codec.BITMAP_SPAN)
            start = codec.BITMAP_SPAN * self._random.randrange(spans)
            bits = self._table.joined_bitmap(start, codec.BITMAP_SPAN)
            kind, arguments = MessageKind.PRESENCE_BITMAP, (start, bits)
        ask = Outgoing(
            peer, kind, arguments, piggyback=Piggyback.NOTHING, purpose=Purpose.TABLE_DIGEST
        )
        self._sender.send(ask, now)

    def _answer_digests(self, peer: int, digests: tuple[int, ...], now: float) -> None:
        """Sends the records of the buckets whose digests differ.

        Whole buckets: of parts of all buckets each would have to be sent again.
        """
        pairs = zip(self._table.bucket_digests(), digests, strict=True)
        differ = [bucket for bucket, (own, other) in enumerate(pairs) if own != other]
        self._random.shuffle(differ)
        self._send_records(peer, self._table.in_buckets(differ), now)

    def _answer_bitmap(self, peer: int, arguments: tuple[int, ...], now: float) -> None:
        """Sends the records of the members that have joined at one of the two only.

        In an order drawn by chance, so that of several that are asked each sends other ones first.
        """
        start, bits = arguments
        differ = bits ^ self._table.joined_bitmap(start, codec.BITMAP_SPAN)
        numbers = [start + place for place in range(differ.bit_length()) if differ >> place & 1]
        self._random.shuffle(numbers)
        records = [record for n in numbers if (record := self._table.get(n)) is not None]
        self._send_records(peer, records, now)

    def _newer_than(self, records: Sequence[Record]) -> list[Record]:
        """What this member knows better than the one that sent these records.

        That one, whom all ask whose tables differ from its own, may find no room to ask back.
        """
        known = [
            (self._table.get(record.number), record)
            for record in records
            if record.number != self._limiter_id
        ]
        return [own for own, other in known if own is not None and own[:4] > other[:4]]

    def _send_records(self, peer: int, records: list[Record], now: float) -> None:
        for _ in range(MAX_DATAGRAMS_BOUNDED if self._bounded else MAX_DATAGRAMS):
            if not records:
                return
            outgoing = Outgoing(
                peer,
                MessageKind.RECORDS,
                records=records,
                piggyback=Piggyback.NOTHING,
                purpose=Purpose.RECORDS,
            )
            taken = self._sender.send(outgoing, now)
            if taken is None:
                return
            records = records[taken:]
