"""Anti-entropy between two members' tables.

Who is asked for what this one lacks, and what another lacks is given. No I/O, no clock.

A digest in each message shows whether two tables are the same. One that differs is asked at the
next beat, by digests of buckets or by a bitmap of who is there, and answers with the records that
differ.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from hazelhollow.membership import codec
from hazelhollow.membership.allowance import Use
from hazelhollow.membership.codec import Message
from hazelhollow.membership.records import MemberTable, Record

PIECES = 4  # datagrams of records for one that asks for them
PIECES_WITHIN = 12  # the same, where an allowance bounds them
SUMS_EVERY = 2  # beats between digests of buckets, where the others hold bitmaps
COMPARED = (
    codec.PING,
    codec.ANSWER,
    codec.ASK,
    codec.INDIRECT,
    codec.RELAYED,
)  # not what tables are exchanged by


class Sender(Protocol):
    """Sends one message, without rumours.

    How many of the records it holds, or nothing where there is no room for it.
    """

    def __call__(
        self, number: int, kind: str, parts: tuple[int, ...], first: list[Record], use: Use
    ) -> int | None: ...


class TableExchange:
    """`me` of `members`.

    `bounded`: whether an allowance bounds what is sent; `wait`: seconds between two members that
    are asked.
    """

    def __init__(
        self,
        me: int,
        members: int,
        table: MemberTable,
        chance: random.Random,
        bounded: bool,
        wait: float,
        send: Sender,
    ) -> None:
        self._me, self._members, self._table, self._random = me, members, table, chance
        self._bounded, self._wait, self._send = bounded, wait, send
        self._noted_at = -1.0
        self._to_ask: int | None = None

    def compare(self, message: Message, now: float) -> bool:
        """Whether the sender's table is the same.

        If it is not, its sender is asked at the next beat.
        """
        same = message.digest == self._table.digest()
        if not same and message.kind in COMPARED and now - self._noted_at >= self._wait:
            self._noted_at, self._to_ask = (
                now,
                message.sender.number,
            )  # one at a time, or many would ask the same
        return same

    def tick(self, beats: int) -> None:
        """`beats`: since the start of this member."""
        if self._to_ask is not None:
            self._ask(self._to_ask, beats)
            self._to_ask = None

    def receive(self, message: Message) -> None:
        """One of the messages by which tables are exchanged."""
        source, parts = message.sender.number, message.parts
        if message.kind == codec.PIECE:
            self._give(source, self._newer(message.records))
        elif message.kind == codec.SUMS:
            self._give_buckets(source, parts)
        elif message.kind == codec.BITS:
            self._give_members(source, *parts)

    def _ask(self, number: int, beats: int) -> None:
        """For what this one lacks of another's table.

        Within an allowance mostly by a bitmap, which shows exactly who is there at one and not at
        the other; digests of buckets show the rest.
        """
        if not self._bounded or beats % SUMS_EVERY == 0:
            self._send(number, codec.SUMS, tuple(self._table.bucket_digests()), [], Use.TABLE)
            return
        start = codec.BITS_SPAN * self._random.randrange(-(-self._members // codec.BITS_SPAN))
        bits = self._table.joined_bitmap(start, codec.BITS_SPAN)
        self._send(number, codec.BITS, (start, bits), [], Use.TABLE)

    def _give_buckets(self, number: int, sums: tuple[int, ...]) -> None:
        """Records of the buckets in which the other's table is not as this one."""
        pairs = zip(self._table.bucket_digests(), sums, strict=True)
        differ = [bucket for bucket, (one, other) in enumerate(pairs) if one != other]
        # whole buckets: parts of all would leave each to be sent again
        self._random.shuffle(differ)
        self._give(number, self._table.in_buckets(differ))

    def _give_members(self, number: int, start: int, bits: int) -> None:
        """Records of the members that are there at one of the two and not at the other."""
        differ = bits ^ self._table.joined_bitmap(start, codec.BITS_SPAN)
        numbers = [start + place for place in range(differ.bit_length()) if differ >> place & 1]
        self._random.shuffle(numbers)  # so that of several that are asked each gives other ones
        self._give(number, [record for n in numbers if (record := self._table.get(n)) is not None])

    def _newer(self, records: Sequence[Record]) -> list[Record]:
        """What this one knows better than the one that told these.

        It has the difference before it, and the other, whom all ask whose tables are not as its
        own, may find no room to ask for it.
        """
        known = [
            (self._table.get(record.number), record)
            for record in records
            if record.number != self._me
        ]
        return [here for here, told in known if here is not None and here[:4] > told[:4]]

    def _give(self, number: int, records: list[Record]) -> None:
        for _ in range(PIECES_WITHIN if self._bounded else PIECES):
            if not records:
                return
            taken = self._send(number, codec.PIECE, (), records, Use.PIECE)
            if taken is None:
                return
            records = records[taken:]
