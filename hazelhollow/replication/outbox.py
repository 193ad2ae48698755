"""Datagrams that one event gives rise to, and what they say of their sender. No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from hazelhollow.replication import codec
from hazelhollow.replication.messages import Kind


class Datagram(NamedTuple):
    """A text for one member."""

    member: int
    kind: Kind
    text: str


@dataclass
class LocalMember:
    """This member, `number` of `member_count`.

    The incarnation is the one that gossip tells; it may become known after the start.
    """

    number: int
    member_count: int
    incarnation: str = ""


class Outbox:
    """Encodes messages and keeps them until `take`, at most `max_bytes` of text in each.

    Counts `bytes` and `sent` in `counters`.
    """

    def __init__(self, local: LocalMember, max_bytes: int, counters: Counter[str]) -> None:
        self._local, self._max_bytes, self._counters = local, max_bytes, counters
        self._datagrams: list[Datagram] = []
        self.period = 0  # which the messages are of

    def send(
        self, member: int, kind: Kind, numbers: Sequence[int] = (), items: Sequence[str] = ()
    ) -> int:
        """Adds a datagram with as many of the items as it has room for; gives how many."""
        header = codec.encode_header(kind, self._local.incarnation, self.period, numbers)
        text, taken = codec.append_items(header, items, self._max_bytes)
        self._datagrams.append(Datagram(member, kind, text))
        self._counters["bytes"] += len(text)
        self._counters["sent"] += 1
        return taken

    def room_for_items(self, kind: Kind, numbers: Sequence[int] = ()) -> int:
        """Bytes left for items after the header."""
        header = codec.encode_header(kind, self._local.incarnation, self.period, numbers)
        return self._max_bytes - len(header)

    def take(self) -> list[Datagram]:
        """What has been sent since the last call."""
        datagrams, self._datagrams = self._datagrams, []
        return datagrams
