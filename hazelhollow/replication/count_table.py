"""The replicated counts of charges: a state-based CRDT of counters that only grow.

This module does no I/O and reads no clock. `AntiEntropy` owns, reads and merges a member's table.

One counter belongs to one customer, one member and one incarnation of that member. Only this member
adds to it, after a period of one second is closed, so a counted charge is never subtracted again.

Merge rule (`merge`): of two values of one counter the greater (`since`, `total`) holds, together
with the later `through`. This is the least upper bound of both, and therefore associative,
commutative and idempotent: copies may arrive late, twice or in any order, and all members converge
to the same value. All members drop a counter at the same second, when nothing was added to it for
RETENTION_PERIODS, and refuse copies of it from then on. `docs/design/replication.md` gives the
reasons.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from hashlib import blake2b
from typing import NamedTuple
from zlib import crc32

BUCKET_COUNT = 32
RETENTION_PERIODS = 60
MAX_CLOCK_LEAD_PERIODS = 2  # the most by which another member's clock may be ahead
DIGEST_RANGE = 36**4  # a digest is sent as a number below this

# Names under which contradictions are reported to operators.
TWO_HISTORIES = "two histories"
TOTAL_FELL = "fell"
FROM_THE_FUTURE = "from the future"

Owner = tuple[int, str]  # a member and its incarnation


class CountValue(NamedTuple):
    """The charges of all periods from `since` on; `through` is the last period with charges.

    Periods are whole Unix seconds, and `total` is in tenths of a unit. `first_hand` is 1 if the
    member itself reported the value, and 0 if others summed it from its gossip, some of which may
    have been lost. Digests do not cover `first_hand`.
    """

    since: int
    through: int
    total: int
    first_hand: int = 1


class CountRow(NamedTuple):
    """One counter as members send it to each other.

    `plan_tag` is a hash of the plan's name, which is the same under any settings. The customer's
    requests arrive at `set_size` limiters, which are numbered from `set_start` on.
    """

    customer: str
    plan_tag: str
    set_start: int
    set_size: int
    member: int
    incarnation: str
    value: CountValue


def merge(first: CountValue, second: CountValue) -> CountValue:
    """Returns the least upper bound of two values.

    Other members' sums of a dead member's gossip may have a later `through` with a smaller `total`,
    so both maxima are kept: as `through` never decreases, a counter expires only when every copy of
    it has expired. The result is first-hand only if the member itself reported exactly that value.
    """
    since, total = max((first.since, first.total), (second.since, second.total))
    through = max(first.through, second.through)
    same = [value.first_hand for value in (first, second) if value[:3] == (since, through, total)]
    return CountValue(since, through, total, max(same, default=0))


def contradiction(first: CountValue, second: CountValue) -> str:
    """Returns the reason why two values cannot both be true, or an empty string if they can.

    Values with different `since` do not contradict each other: the member dropped the customer and
    started a new count. A value that is not first-hand contradicts none, since it may be less than
    what was charged.
    """
    if first.since != second.since or not (first.first_hand and second.first_hand):
        return ""
    if first.through == second.through:
        return TWO_HISTORIES if first.total != second.total else ""
    older, newer = sorted((first, second), key=lambda value: value.through)
    return TOTAL_FELL if newer.total < older.total else ""


class CustomerCounts:
    """The counters of one customer, by member and incarnation."""

    __slots__ = ("plan_tag", "set_start", "set_size", "values")

    def __init__(self, plan_tag: str, set_start: int, set_size: int) -> None:
        self.plan_tag, self.set_start, self.set_size = plan_tag, set_start, set_size
        self.values: dict[Owner, CountValue] = {}


def bucket_of(customer: str) -> int:
    """Returns the bucket whose digest covers this customer."""
    return crc32(customer.encode()) % BUCKET_COUNT


def _fingerprint(customer: str, owner: Owner, value: CountValue) -> int:
    text = f"{customer}.{owner[0]}.{owner[1]}.{value.since}.{value.through}.{value.total}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class CountTable:
    """All counters that one member has stored, its own and others'.

    `contradictions` counts copies that contradicted the stored value, by the names above.
    """

    def __init__(self) -> None:
        self.customers: dict[str, CustomerCounts] = {}
        self.period = 0
        self.contradictions: Counter[str] = Counter()
        self._digests = [0] * BUCKET_COUNT  # by bucket, the XOR of its counters' fingerprints
        # The customers of each bucket; the most recently changed one is the last.
        self._buckets: list[dict[str, None]] = [{} for _ in range(BUCKET_COUNT)]
        # By `through`, the customers with a counter that may expire RETENTION_PERIODS after it.
        self._expiry: dict[int, set[str]] = {}
        # Each owner and period is stored as one shared object, which saves memory: thousands of
        # counters refer to the same ones.
        self._shared_owners: dict[Owner, Owner] = {}
        self._shared_periods: dict[int, int] = {}

    def __len__(self) -> int:
        """Returns the number of customers that have counters."""
        return len(self.customers)

    def merge_in(self, row: CountRow) -> bool:
        """Merges a copy of a counter and returns whether this changed the counter's figures.

        An expired copy changes nothing. A copy from the future is refused and counted as a
        contradiction. A first-hand copy with the figures of a stored second-hand value replaces it,
        which does not count as a change.
        """
        value = row.value
        if value.through <= self.period - RETENTION_PERIODS:
            return False
        latest = self.period + MAX_CLOCK_LEAD_PERIODS
        if value.through > latest or value.since > value.through + 1:
            self.contradictions[FROM_THE_FUTURE] += 1
            return False
        counts = self.customers.get(row.customer)
        if counts is None:
            counts = CustomerCounts(row.plan_tag, row.set_start, row.set_size)
            self.customers[row.customer] = counts
        owner = self._shared_owners.setdefault(
            (row.member, row.incarnation), (row.member, row.incarnation)
        )
        value = self._with_shared_periods(value)
        stored = counts.values.get(owner)
        if stored is not None:
            reason = contradiction(stored, value)
            if reason:
                self.contradictions[reason] += 1
            value = merge(stored, value)
            if value == stored:
                return False
            if stored[:3] == value[:3]:
                counts.values[owner] = value
                return False
            self._digests[bucket_of(row.customer)] ^= _fingerprint(row.customer, owner, stored)
        counts.plan_tag, counts.set_start, counts.set_size = (
            row.plan_tag,
            row.set_start,
            row.set_size,
        )
        counts.values[owner] = value
        self._record_change(row.customer, owner, value)
        return True

    def _with_shared_periods(self, value: CountValue) -> CountValue:
        since, through = (
            self._shared_periods.setdefault(period, period)
            for period in (value.since, value.through)
        )
        return CountValue(since, through, value.total, value.first_hand)

    def _record_change(self, customer: str, owner: Owner, value: CountValue) -> None:
        bucket = bucket_of(customer)
        self._digests[bucket] ^= _fingerprint(customer, owner, value)
        self._buckets[bucket].pop(customer, None)
        self._buckets[bucket][customer] = None
        self._expiry.setdefault(value.through, set()).add(customer)

    def advance(self, period: int) -> None:
        """Advances the time to `period`, never back, and drops the counters that have expired."""
        self.period = max(self.period, period)
        for through in [p for p in self._expiry if p <= self.period - RETENTION_PERIODS]:
            for customer in self._expiry.pop(through):
                counts = self.customers.get(customer)
                if counts is not None:
                    self._drop_expired(customer, counts)
        if len(self._shared_periods) > 4 * RETENTION_PERIODS:
            self._shared_owners, self._shared_periods = {}, {}

    def _drop_expired(self, customer: str, counts: CustomerCounts) -> None:
        for owner, value in list(counts.values.items()):
            if value.through <= self.period - RETENTION_PERIODS:
                self._digests[bucket_of(customer)] ^= _fingerprint(customer, owner, value)
                del counts.values[owner]
        if not counts.values:
            del self.customers[customer]
            self._buckets[bucket_of(customer)].pop(customer, None)

    def rows(self, customer: str) -> list[CountRow]:
        """Returns the counters of one customer."""
        counts = self.customers.get(customer)
        if counts is None:
            return []
        return [
            CountRow(customer, counts.plan_tag, counts.set_start, counts.set_size, *owner, value)
            for owner, value in counts.values.items()
        ]

    def digests(self) -> list[int]:
        """Returns the digest of each bucket, a number below DIGEST_RANGE."""
        return [digest % DIGEST_RANGE for digest in self._digests]

    def differing_buckets(self, digests: Sequence[int]) -> list[int]:
        """Returns the buckets whose digests differ from another member's `digests`."""
        return [
            bucket
            for bucket, (own, other) in enumerate(zip(self.digests(), digests, strict=True))
            if own != other
        ]

    def newest_customers(self, buckets: Sequence[int]) -> Iterator[str]:
        """Yields customers of the buckets in turn, each bucket's most recently changed first."""
        iterators = [reversed(self._buckets[bucket]) for bucket in buckets]
        while iterators:
            remaining = []
            for iterator in iterators:
                customer = next(iterator, None)
                if customer is not None:
                    yield customer
                    remaining.append(iterator)
            iterators = remaining
