"""Who charged whom how much.

Counts that only grow, and the one rule by which two copies become one. No I/O, no clock.

A count belongs to one customer, one member and one incarnation of it. Its value is what was charged
in all periods from `since` on, `through` being the last that had charges; it is closed, so a value
is never taken back. Two values become the greater (since, total) with the later `through`: in any
order, doubled or late, all end with the same. `docs/design/replication.md` says why.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from hashlib import blake2b
from typing import NamedTuple
from zlib import crc32

BUCKETS = 32
# periods: a count that nothing was added to for so long is let go by all at the same moment
KEPT_FOR = 60
AHEAD = 2  # periods by which a member's clock may run ahead
SUM_RANGE = 36**4  # of a bucket's digest as it is sent


class CountValue(NamedTuple):
    """Periods as whole seconds; `total` in tenths of a unit.

    `sure`: 1 if the member itself said so, 0 if others heard it by gossip, of which some may have
    been lost; nothing in a value's digest.
    """

    since: int
    through: int
    total: int
    sure: int = 1


class CountRow(NamedTuple):
    """One count as it is passed on.

    `plan`: the tag of its name, the same under any settings; the customer's set beside.
    """

    key: str
    plan: str
    first: int
    spread: int
    member: int
    incarnation: str
    value: CountValue


def merge(one: CountValue, other: CountValue) -> CountValue:
    """The least value that covers both: associative, commutative and idempotent.

    Of a member that has died others tell what they heard, some of it less: a later `through` may
    come with a smaller `total`, and neither is given up for the other. As `through` never falls, a
    count expires only when every copy of it has. The result is sure only if the member itself said
    just that.
    """
    since, total = max((one.since, one.total), (other.since, other.total))
    through = max(one.through, other.through)
    said = [value.sure for value in (one, other) if value[:3] == (since, through, total)]
    return CountValue(since, through, total, max(said, default=0))


def contradiction(one: CountValue, other: CountValue) -> str:
    """Why two values cannot both be true: nothing where they can."""
    if one.since != other.since or not (one.sure and other.sure):
        # the member had let the customer go and began anew; or what was heard may be less than what
        # was
        return ""
    if one.through == other.through:
        return "two histories" if one.total != other.total else ""
    older, newer = sorted((one, other), key=lambda value: value.through)
    return "fell" if newer.total < older.total else ""


class CustomerCounts:
    """The counts of one customer, by member and incarnation."""

    __slots__ = ("plan", "first", "spread", "counts")

    def __init__(self, plan: str, first: int, spread: int) -> None:
        self.plan, self.first, self.spread = plan, first, spread
        self.counts: dict[tuple[int, str], CountValue] = {}


def bucket_of(key: str) -> int:
    return crc32(key.encode()) % BUCKETS


def _fingerprint(key: str, who: tuple[int, str], value: CountValue) -> int:
    text = f"{key}.{who[0]}.{who[1]}.{value.since}.{value.through}.{value.total}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class CountTable:
    """All counts that one member knows, its own and others'.

    `troubles` counts copies that could not both be true.
    """

    def __init__(self) -> None:
        self.customers: dict[str, CustomerCounts] = {}
        self.period = 0
        self.troubles: Counter[str] = Counter()
        self._sums = [0] * BUCKETS
        self._buckets: list[dict[str, None]] = [
            {} for _ in range(BUCKETS)
        ]  # keys; those changed last come last
        self._expiry: dict[
            int, set[str]
        ] = {}  # customers of which something may be let go, by the period it was last added to
        self._whos: dict[
            tuple[int, str], tuple[int, str]
        ] = {}  # one object for each incarnation and each period, not one for each count
        self._periods: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.customers)

    def put(self, row: CountRow) -> bool:
        """Whether it changed anything.

        What is too old changes nothing, and what is from the future is said and left.
        """
        value = row.value
        if value.through <= self.period - KEPT_FOR:
            return False
        if value.through > self.period + AHEAD or value.since > value.through + 1:
            self.troubles["from the future"] += 1
            return False
        customer = self.customers.get(row.key)
        if customer is None:
            customer = self.customers[row.key] = CustomerCounts(row.plan, row.first, row.spread)
        who = self._whos.setdefault((row.member, row.incarnation), (row.member, row.incarnation))
        since, through = (
            self._periods.setdefault(period, period) for period in (value.since, value.through)
        )
        value = CountValue(since, through, value.total, value.sure)
        old = customer.counts.get(who)
        if old is not None:
            why = contradiction(old, value)
            if why:
                self.troubles[why] += 1
            value = merge(old, value)
            if value == old:
                return False
            if old[:3] == value[:3]:  # the member itself confirms what was heard
                customer.counts[who] = value
                return False
            self._sums[bucket_of(row.key)] ^= _fingerprint(row.key, who, old)
        customer.plan, customer.first, customer.spread = row.plan, row.first, row.spread
        customer.counts[who] = value
        bucket = bucket_of(row.key)
        self._sums[bucket] ^= _fingerprint(row.key, who, value)
        self._buckets[bucket].pop(row.key, None)
        self._buckets[bucket][row.key] = None
        self._expiry.setdefault(value.through, set()).add(row.key)
        return True

    def turn(self, period: int) -> None:
        """Time goes on: folds in what nothing was added to for KEPT_FOR periods."""
        self.period = max(self.period, period)
        for through in [p for p in self._expiry if p <= self.period - KEPT_FOR]:
            for key in self._expiry.pop(through):
                customer = self.customers.get(key)
                if customer is not None:
                    self._fold(key, customer)
        if len(self._periods) > 4 * KEPT_FOR:
            self._whos, self._periods = {}, {}

    def _fold(self, key: str, customer: CustomerCounts) -> None:
        for who, value in list(customer.counts.items()):
            if value.through <= self.period - KEPT_FOR:
                self._sums[bucket_of(key)] ^= _fingerprint(key, who, value)
                del customer.counts[who]
        if not customer.counts:
            del self.customers[key]
            self._buckets[bucket_of(key)].pop(key, None)

    def rows(self, key: str) -> list[CountRow]:
        customer = self.customers.get(key)
        if customer is None:
            return []
        return [
            CountRow(key, customer.plan, customer.first, customer.spread, *who, value)
            for who, value in customer.counts.items()
        ]

    def sums(self) -> list[int]:
        """A number below SUM_RANGE a bucket."""
        return [one % SUM_RANGE for one in self._sums]

    def differ(self, sums: Sequence[int]) -> list[int]:
        """Buckets in which another's sums are not as these."""
        return [
            bucket
            for bucket, (one, other) in enumerate(zip(self.sums(), sums, strict=True))
            if one != other
        ]

    def newest(self, buckets: Sequence[int]) -> Iterator[str]:
        """Keys of those buckets, in each the one changed last first, the buckets in turn."""
        turns = [reversed(self._buckets[bucket]) for bucket in buckets]
        while turns:
            left = []
            for one in turns:
                key = next(one, None)
                if key is not None:
                    yield key
                    left.append(one)
            turns = left
