"""Operators' overrides of endpoints (disabled, or enabled again), replicated to all members.

This module does no I/O and reads no clock. It alone decides which of two overrides of an endpoint
wins.

The merge rule (`merge`) compares two overrides by these criteria, in this order:

1. The greater `lamport_time` wins. It is one more than the greatest Lamport time, of any endpoint,
   that was known to the member where the override was made. So an override that was made after the
   other had been seen wins, independently of the clocks.
2. Equal Lamport times mean that the two were made concurrently, without knowledge of each other.
   Then the one that disables the endpoint wins, since sending no requests to it does no harm. If
   an operator enables the endpoint again afterwards, that wins by criterion 1.
3. The later `made_at_ms` wins, then the greater `member`, so that all members choose the same one.

The two sides of a partition have equal Lamport times while both have made the same number of
overrides, of any endpoints. A side that has made more has the greater Lamport time, and its
override wins by criterion 1.

An instruction that changes nothing in the member's table makes no override: disabling an endpoint
that is disabled, or enabling one that is enabled or has no override. So if an endpoint was disabled
before a partition, disabling it again on one side has no effect, and an override that enables it on
the other side wins. An endpoint that only the file of overrides disables (`net/override_file.py`)
is not in the table; enabling it takes effect at this member only.

The merge is the maximum by the order of the fields of `Override`. A maximum is associative,
commutative and idempotent: overrides may arrive late, twice or in any order.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

from hazelhollow.replication.count_table import DIGEST_RANGE


class Override(NamedTuple):
    """An operator's instruction at `member` that disabled or enabled an endpoint.

    The fields must keep their order: from `lamport_time` on it is the order of the merge rule's
    criteria, and snapshots store the fields by position.
    """

    endpoint: str
    lamport_time: int
    disabled: int  # 1 or 0
    made_at_ms: int  # Unix milliseconds, by the clock of `member`
    member: int


def merge(first: Override, second: Override) -> Override:
    """Returns the one of two overrides of one endpoint that wins."""
    return max(first, second)


class OverrideTable:
    """The override in effect, for each endpoint that has ever had one."""

    def __init__(self) -> None:
        self.by_endpoint: dict[str, Override] = {}

    def set_local(self, endpoint: str, disabled: bool, now: float, member: int) -> Override | None:
        """Stores an operator's instruction at this member and returns the new override.

        Returns None if the instruction changes nothing. `now` is in Unix seconds.
        """
        current = self.by_endpoint.get(endpoint)
        if (current is not None and bool(current.disabled)) == disabled:
            return None
        latest = max((override.lamport_time for override in self.by_endpoint.values()), default=0)
        new = Override(endpoint, 1 + latest, int(disabled), int(now * 1000), member)
        self.by_endpoint[endpoint] = new
        return new

    def merge_in(self, other: Override) -> bool:
        """Merges an override of another member and returns whether the table changed."""
        current = self.by_endpoint.get(other.endpoint)
        merged = other if current is None else merge(current, other)
        if merged == current:
            return False
        self.by_endpoint[other.endpoint] = merged
        return True

    def newest_first(self) -> list[Override]:
        """Returns all overrides in effect, the greatest `lamport_time` first."""
        return sorted(self.by_endpoint.values(), key=lambda override: -override.lamport_time)

    def digest(self) -> int:
        """Returns a number below DIGEST_RANGE that is the same for equal tables."""
        text = ", ".join(_digest_text(override) for override in sorted(self.by_endpoint.values()))
        hashed = blake2b(f"[{text}]".encode(), digest_size=8).digest()
        return int.from_bytes(hashed, "big") % DIGEST_RANGE

    def disabled(self) -> dict[str, bool]:
        """Returns, by endpoint, whether it is disabled."""
        return {endpoint: bool(o.disabled) for endpoint, o in self.by_endpoint.items()}


def _digest_text(override: Override) -> str:
    """Returns the text that the digest hashes.

    The text must not change, since members of earlier versions hash the same one. They used the
    `repr` of a class that was called `Hand`.
    """
    return (
        f"Hand(host={override.endpoint!r}, order={override.lamport_time!r},"
        f" down={override.disabled!r}, at={override.made_at_ms!r}, member={override.member!r})"
    )
