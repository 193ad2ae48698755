"""Anti-entropy between the tables of two members: finds records that dissemination missed.

Every message carries a digest of its sender's table. If that differs from the recipient's, the
recipient asks the sender at its next tick for the records that it lacks, by sending digests of
buckets or a bitmap of the members that have joined, and the sender answers with the records that
differ. A healed partition converges in this way, since the records that each side missed are no
longer piggybacked.
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

MAX_DATAGRAMS = 4  # of records, in answer to one request
MAX_DATAGRAMS_BOUNDED = 12  # the same, where an allowance limits them
BUCKET_DIGEST_INTERVAL_TICKS = 2  # ticks between bucket digests; other requests are bitmaps
# Kinds whose digests are compared: all except those that exchange tables.
COMPARED = (
    MessageKind.PING,
    MessageKind.ACK,
    MessageKind.PING_REQUEST,
    MessageKind.INDIRECT_PING,
    MessageKind.INDIRECT_ACK,
)


class TableExchange:
    """The table exchange of one member. `bounded` says whether an allowance limits what is sent."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        rng: random.Random,
        sender: DatagramSender,
        bounded: bool,
    ) -> None:
        self._limiter_id, self._member_count = settings.limiter_id, settings.member_count
        self._table, self._random, self._sender = table, rng, sender
        self._bounded = bounded
        self._mismatch_at = -1.0
        self._next_peer: int | None = None

    def compare(self, message: Message, now: float) -> bool:
        """Returns whether the sender's table is equal; if not, asks it at the next tick."""
        is_equal = message.digest == self._table.digest()
        is_due = now - self._mismatch_at >= PROBE_INTERVAL_S
        if not is_equal and message.kind in COMPARED and is_due:
            # Only one member is asked per period, since many would send the same records.
            self._mismatch_at, self._next_peer = now, message.sender.number
        return is_equal

    def tick(self, ticks: int, now: float) -> None:
        """Asks the member chosen by `compare`, if any. `ticks` counts ticks since the start."""
        if self._next_peer is not None:
            self._request_records(self._next_peer, ticks, now)
            self._next_peer = None

    def receive(self, message: Message, now: float) -> None:
        """Handles one of the messages that exchange tables."""
        peer, arguments = message.sender.number, message.arguments
        if message.kind == MessageKind.RECORDS:
            self._send_records(peer, self._newer_than(message.records), now)
        elif message.kind == MessageKind.BUCKET_DIGESTS:
            self._answer_digests(peer, arguments, now)
        elif message.kind == MessageKind.PRESENCE_BITMAP:
            self._answer_bitmap(peer, arguments, now)

    def _request_records(self, peer: int, ticks: int, now: float) -> None:
        """Requests the records that this member lacks and the peer has.

        Under an allowance most requests carry a bitmap, which shows exactly who has joined
        according to one of the two tables only; bucket digests reveal the other differences.
        """
        if not self._bounded or ticks % BUCKET_DIGEST_INTERVAL_TICKS == 0:
            kind, arguments = MessageKind.BUCKET_DIGESTS, tuple(self._table.bucket_digests())
        else:
            spans = -(-self._member_count // codec.BITMAP_SPAN)
            start = codec.BITMAP_SPAN * self._random.randrange(spans)
            bits = self._table.joined_bitmap(start, codec.BITMAP_SPAN)
            kind, arguments = MessageKind.PRESENCE_BITMAP, (start, bits)
        request = Outgoing(
            peer, kind, arguments, piggyback=Piggyback.NONE, purpose=Purpose.TABLE_DIGEST
        )
        self._sender.send(request, now)

    def _answer_digests(self, peer: int, digests: tuple[int, ...], now: float) -> None:
        """Sends the records of the buckets whose digests differ.

        The records are in the order of the buckets, since the digest of a bucket that was sent only
        in part still differs, so that all of its records are sent again.
        """
        pairs = zip(self._table.bucket_digests(), digests, strict=True)
        differ = [bucket for bucket, (own, other) in enumerate(pairs) if own != other]
        self._random.shuffle(differ)
        self._send_records(peer, self._table.in_buckets(differ), now)

    def _answer_bitmap(self, peer: int, arguments: tuple[int, ...], now: float) -> None:
        """Sends the records of members that have joined according to only one of the two tables.

        The order is random, so that several members that are asked start with different records.
        """
        start, bits = arguments
        differ = bits ^ self._table.joined_bitmap(start, codec.BITMAP_SPAN)
        numbers = [start + place for place in range(differ.bit_length()) if differ >> place & 1]
        self._random.shuffle(numbers)
        records = [record for n in numbers if (record := self._table.get(n)) is not None]
        self._send_records(peer, records, now)

    def _newer_than(self, records: Sequence[Record]) -> list[Record]:
        """The records of this member that are newer than the given ones from a peer.

        They are sent without a request. A peer whose table differs from many others' gets requests
        from all of them, and answering these may leave it no allowance for requests of its own.
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
                piggyback=Piggyback.NONE,
                purpose=Purpose.RECORDS,
            )
            sent_count = self._sender.send(outgoing, now)
            if sent_count is None:
                return
            records = records[sent_count:]
