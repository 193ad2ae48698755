"""Operators' overrides of endpoints (disabled, or enabled again), alike at all members.

No I/O, no clock. The one place that says which of two overrides of an endpoint holds.

The rule (`merge`), from the first that tells them apart:

1. The greater `lamport_time`: one more than the greatest known, of any endpoint, where the override
   was made. So an override that was made after the other had been seen holds, whatever the clocks
   say.
2. At equal Lamport times, so of two that were made without knowledge of each other, the one that
   disables the endpoint: sending it nothing harms nobody. Enabled once more afterwards, it is
   enabled by 1.
3. The later `made_at_ms`, then the greater `member`, so that all members choose the same one.

Two sides of a partition have equal Lamport times as long as both made as many overrides, of
whatever endpoints; the side that made more has the greater ones, and rule 1 decides for it.

What changes nothing in that member's table makes no override: to disable what is disabled, or to
enable what is enabled or has none. So if an endpoint was disabled before a partition, to disable it
again on one side has no weight, and the other side's enabling holds. What only the file of
overrides disables (`net/override_file.py`) is not in the table; to enable that holds at this member
alone.

The rule is the order of the fields of `Override`, and a maximum is associative, commutative and
idempotent: overrides may arrive late, twice or in any order.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

from hazelhollow.replication.count_table import DIGEST_RANGE


class Override(NamedTuple):
    """An endpoint was disabled or enabled by an operator at `member`.

    The order of the fields from `lamport_time` on is the merge rule's, and snapshots store them by
    position.
    """

    endpoint: str
    lamport_time: int
    disabled: int  # 1 or 0
    made_at_ms: int  # Unix milliseconds, by the clock of `member`
    member: int


def merge(first: Override, second: Override) -> Override:
    """Which of two overrides of one endpoint holds."""
    return max(first, second)


class OverrideTable:
    """The override that holds, for every endpoint that ever had one."""

    def __init__(self) -> None:
        self.by_endpoint: dict[str, Override] = {}

    def set_here(self, endpoint: str, disabled: bool, now: float, member: int) -> Override | None:
        """An operator's own instruction at this member; None where it changes nothing.

        `now` is in Unix seconds.
        """
        known = self.by_endpoint.get(endpoint)
        if (known is not None and bool(known.disabled)) == disabled:
            return None
        latest = max((override.lamport_time for override in self.by_endpoint.values()), default=0)
        made = Override(endpoint, 1 + latest, int(disabled), int(now * 1000), member)
        self.by_endpoint[endpoint] = made
        return made

    def merge_in(self, other: Override) -> bool:
        """Merges an override that was made elsewhere; gives whether it changed anything."""
        known = self.by_endpoint.get(other.endpoint)
        merged = other if known is None else merge(known, other)
        if merged == known:
            return False
        self.by_endpoint[other.endpoint] = merged
        return True

    def newest_first(self) -> list[Override]:
        """All overrides that hold, those with the greatest `lamport_time` first."""
        return sorted(self.by_endpoint.values(), key=lambda override: -override.lamport_time)

    def digest(self) -> int:
        """A number below DIGEST_RANGE that is the same where the tables are."""
        text = ", ".join(_digest_text(override) for override in sorted(self.by_endpoint.values()))
        hashed = blake2b(f"[{text}]".encode(), digest_size=8).digest()
        return int.from_bytes(hashed, "big") % DIGEST_RANGE

    def disabled(self) -> dict[str, bool]:
        """By endpoint, whether it is disabled."""
        return {endpoint: bool(o.disabled) for endpoint, o in self.by_endpoint.items()}


def _digest_text(override: Override) -> str:
    """What the digest hashes, which must not change: members of earlier versions hash the same.

    It was the `repr` of a class called `Hand`.
    """
    return (
        f"Hand(host={override.endpoint!r}, order={override.lamport_time!r},"
        f" down={override.disabled!r}, at={override.made_at_ms!r}, member={override.member!r})"
    )
