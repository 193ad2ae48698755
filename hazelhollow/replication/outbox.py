"""The datagrams to be sent because of one event, with the header that identifies their sender.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from hazelhollow.replication import codec
from hazelhollow.replication.messages import Kind


class Datagram(NamedTuple):
    """An encoded message for one member."""

    member: int
    kind: Kind
    text: str


@dataclass
class LocalMember:
    """This member, number `number` of `member_count` members.

    The incarnation is the one that this member's gossip carries. It may become known only after the
    start and is empty until then.
    """

    number: int
    member_count: int
    incarnation: str = ""


class Outbox:
    """Encodes messages of at most `max_bytes` and keeps them until `drain` is called.

    Counts `bytes` and `sent` in `counters`.
    """

    def __init__(self, local: LocalMember, max_bytes: int, counters: Counter[str]) -> None:
        self._local, self._max_bytes, self._counters = local, max_bytes, counters
        self._datagrams: list[Datagram] = []
        self.period = 0  # the period that the messages carry

    def send(
        self, member: int, kind: Kind, numbers: Sequence[int] = (), items: Sequence[str] = ()
    ) -> int:
        """Adds a datagram with as many of the items as fit and returns how many did."""
        header = codec.encode_header(kind, self._local.incarnation, self.period, numbers)
        text, fitted = codec.append_items(header, items, self._max_bytes)
        self._datagrams.append(Datagram(member, kind, text))
        self._counters["bytes"] += len(text)
        self._counters["sent"] += 1
        return fitted

    def room_for_items(self, kind: Kind, numbers: Sequence[int] = ()) -> int:
        """Returns the bytes left for items after the header."""
        header = codec.encode_header(kind, self._local.incarnation, self.period, numbers)
        return self._max_bytes - len(header)

    def drain(self) -> list[Datagram]:
        """Returns and removes the datagrams that were added since the last call."""
        datagrams, self._datagrams = self._datagrams, []
        return datagrams
