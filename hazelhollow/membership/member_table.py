"""The records of all members that one member knows, with digests for comparing tables."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from hazelhollow.membership.records import PRESENT_STATES, MemberState, Record, fingerprint, merge

BUCKETS = 32  # into which members are divided by their id, for digests
DIGEST_SPAN = 36**5  # a table's digest is below it: five characters in a datagram
BUCKET_DIGEST_SPAN = 36**3  # a bucket's digest is below it


class MemberTable:
    """At most one record a member. `put` is the only way in, and merges."""

    def __init__(self) -> None:
        self._records: dict[int, Record] = {}
        self._bucket_sums = [0] * BUCKETS  # fingerprints of each bucket's records, by xor
        self._subscribers: list[Callable[[Record], None]] = []
        self.present_count = 0  # members that may answer

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def get(self, number: int) -> Record | None:
        """The record of that member."""
        return self._records.get(number)

    def subscribe(self, subscriber: Callable[[Record], None]) -> None:
        """Calls it with each record that there is, and from now on with each that changes."""
        for record in self._records.values():
            subscriber(record)
        self._subscribers.append(subscriber)

    def put(self, record: Record) -> bool:
        """Merges the record in. Whether the table has changed."""
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
        """Of the whole table: the same for equal tables."""
        return sum(self._bucket_sums) % DIGEST_SPAN

    def bucket_digests(self) -> list[int]:
        """One a bucket."""
        return [bucket_sum % BUCKET_DIGEST_SPAN for bucket_sum in self._bucket_sums]

    def in_buckets(self, buckets: Sequence[int]) -> list[Record]:
        """Bucket by bucket, in the order in which they are given."""
        found: dict[int, list[Record]] = {bucket: [] for bucket in buckets}
        for record in self._records.values():
            if record.number % BUCKETS in found:
                found[record.number % BUCKETS].append(record)
        return [record for records in found.values() for record in records]

    def joined_bitmap(self, start: int, span: int) -> int:
        """A bit for each of the `span` members from `start` on, the first one the lowest.

        1 for each that has joined and is not suspected.
        """
        bits = 0
        for place in range(span):
            record = self._records.get(start + place)
            if record is not None and record.state in (MemberState.ALIVE, MemberState.SHUT_OUT):
                bits |= 1 << place
        return bits
