"""What is known of each member, and the one rule by which two records of one member become one.

No I/O, no clock.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator, Sequence
from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple


class MemberState(IntEnum):
    """What a member is held to be. Of two records of one version the greater state holds."""

    JOINING = 0
    ALIVE = 1
    SHUT_OUT = 2
    SUSPECT = 3
    DEAD = 4
    LEFT = 5

    def __hash__(self) -> int:
        return self.value

    @property
    def label(self) -> str:
        """As operators read it: `shut out`."""
        return self.name.lower().replace("_", " ")


# Of members that may answer.
PRESENT_STATES = (
    MemberState.JOINING,
    MemberState.ALIVE,
    MemberState.SHUT_OUT,
    MemberState.SUSPECT,
)
BUCKETS = 32
SUM_RANGE = 36**5  # of a digest as it is sent


class Record(NamedTuple):
    """`incarnation`.

    When it began, and a random part; `turn` within the incarnation, which the member alone raises;
    `unheard`: members that it cannot hear though others can; `versions`: of what it acts on;
    `address`: twelve hex digits, where the configuration does not say it. The order of the fields
    is the rule's.
    """

    number: int
    incarnation: int
    record_version: int
    state: MemberState
    unreachable: tuple[int, ...] = ()
    versions: str = ""
    address: str = ""


def merge(one: Record, other: Record) -> Record:
    """Of two records of a member the greater by incarnation, turn and state.

    In any order, however often, the same.
    """
    return max(one, other)


def pack_address(host: str, port: int) -> str:
    return socket.inet_aton(host).hex() + f"{port:04x}"


def unpack_address(text: str) -> tuple[str, int]:
    """Raises ValueError for what is none."""
    if len(text) != 12:
        raise ValueError(text)
    return socket.inet_ntoa(bytes.fromhex(text[:8])), int(text[8:], 16)


def fingerprint(record: Record) -> int:
    text = f"{record.number}.{record.incarnation}.{record.record_version}.{record.state}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class MemberTable:
    """The records, with sums by which two tables show that they are the same.

    Or in which buckets they are not.
    """

    def __init__(self) -> None:
        self._records: dict[int, Record] = {}
        self._sums = [0] * BUCKETS
        self._watchers: list[Callable[[Record], None]] = []
        self.present_count = 0

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def get(self, number: int) -> Record | None:
        return self._records.get(number)

    def subscribe(self, watcher: Callable[[Record], None]) -> None:
        """Calls it with each record that there is, and from now on with each that changes."""
        for record in self._records.values():
            watcher(record)
        self._watchers.append(watcher)

    def put(self, record: Record) -> bool:
        """Whether it changed anything."""
        old = self._records.get(record.number)
        new = record if old is None else merge(old, record)
        if new is old or new == old:
            return False
        bucket = record.number % BUCKETS
        if old is not None:
            self._sums[bucket] ^= fingerprint(old)
        self._sums[bucket] ^= fingerprint(new)
        self._records[record.number] = new
        self.present_count += (new.state in PRESENT_STATES) - (
            old is not None and old.state in PRESENT_STATES
        )
        for watcher in self._watchers:
            watcher(new)
        return True

    def digest(self) -> int:
        return sum(self._sums) % SUM_RANGE

    def bucket_digests(self) -> list[int]:
        """A number below 36**3 a bucket."""
        return [one % 36**3 for one in self._sums]

    def in_buckets(self, buckets: Sequence[int]) -> list[Record]:
        """BucketSettings by bucket, in the order in which they are given."""
        found: dict[int, list[Record]] = {bucket: [] for bucket in buckets}
        for record in self._records.values():
            if record.number % BUCKETS in found:
                found[record.number % BUCKETS].append(record)
        return [record for records in found.values() for record in records]

    def joined_bitmap(self, start: int, span: int) -> int:
        """A bitmap of the members from `start` on.

        1 for each that has joined and is not suspected.
        """
        bits = 0
        for place in range(span):
            record = self._records.get(start + place)
            if record is not None and record.state in (MemberState.ALIVE, MemberState.SHUT_OUT):
                bits |= 1 << place
        return bits

    def present(self) -> list[int]:
        """Members that may answer."""
        return [
            record.number for record in self._records.values() if record.state in PRESENT_STATES
        ]
