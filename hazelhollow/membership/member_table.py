"""The records of all members that one member knows, with digests for comparing tables."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record, fingerprint, merge

BUCKETS = 32  # groups of members (id modulo this number) for digests
DIGEST_SPAN = 36**5  # exclusive upper bound of a table digest: five characters
BUCKET_DIGEST_SPAN = 36**3  # exclusive upper bound of a bucket digest


class MemberTable:
    """The member table, with at most one record per member.

    Records enter only through `put`, which merges them.
    """

    def __init__(self) -> None:
        self._records: dict[int, Record] = {}
        self._bucket_sums = [0] * BUCKETS  # XOR of the fingerprints in each bucket
        self._subscribers: list[Callable[[Record], None]] = []
        self.present_count = 0  # members that may answer

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def get(self, number: int) -> Record | None:
        """The record of that member, if there is one."""
        return self._records.get(number)

    def subscribe(self, subscriber: Callable[[Record], None]) -> None:
        """Calls the subscriber with every current record, and later with every changed one."""
        for record in self._records.values():
            subscriber(record)
        self._subscribers.append(subscriber)

    def put(self, record: Record) -> bool:
        """Merges the record into the table and returns whether the table has changed."""
        old = self._records.get(record.number)
        new = record if old is None else merge(old, record)
        if new is old or new == old:
            return False
        bucket = record.number % BUCKETS
        if old is not None:
            self._bucket_sums[bucket] ^= fingerprint(old)
        self._bucket_sums[bucket] ^= fingerprint(new)
        self._records[record.number] = new
        was_present = old is not None and old.state in PRESENT_STATES
        self.present_count += (new.state in PRESENT_STATES) - was_present
        for subscriber in self._subscribers:
            subscriber(new)
        return True

    def is_present(self, number: int) -> bool:
        """Whether that member may answer."""
        record = self._records.get(number)
        return record is not None and record.state in PRESENT_STATES

    def present(self) -> list[int]:
        """Members that may answer."""
        return [
            record.number for record in self._records.values() if record.state in PRESENT_STATES
        ]

    def digest(self) -> int:
        """A digest of all records; equal tables have equal digests."""
        return sum(self._bucket_sums) % DIGEST_SPAN

    def bucket_digests(self) -> list[int]:
        """A digest of each bucket."""
        return [bucket_sum % BUCKET_DIGEST_SPAN for bucket_sum in self._bucket_sums]

    def in_buckets(self, buckets: Sequence[int]) -> list[Record]:
        """The records of the given buckets, in the order in which the buckets are given."""
        by_bucket: dict[int, list[Record]] = {bucket: [] for bucket in buckets}
        for record in self._records.values():
            if record.number % BUCKETS in by_bucket:
                by_bucket[record.number % BUCKETS].append(record)
        return [record for records in by_bucket.values() for record in records]

    def joined_bitmap(self, start: int, span: int) -> int:
        """A bitmap of the `span` members from `start` on, the lowest bit for the first one.

        A bit is 1 if the member has joined and is not suspected.
        """
        bits = 0
        for place in range(span):
            record = self._records.get(start + place)
            if record is not None and record.state in (MemberState.ALIVE, MemberState.SHUT_OUT):
                bits |= 1 << place
        return bits
