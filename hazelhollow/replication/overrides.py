"""Hosts put out by hand, alike at all members. No I/O, no clock.

The rule: the call that was made after having seen the most others holds, whoever's clock says what
(`order`, one more than the greatest known where it was made). Of two made at once, at both sides of
a split, say, the one that puts the host out holds, since sending it nothing harms nobody; then the
later by the clock, then the greater number of the member.
"""

from __future__ import annotations

from hashlib import blake2b

from hazelhollow.replication.codec import Override
from hazelhollow.replication.count_table import SUM_RANGE


def merge(one: Override, other: Override) -> Override:
    """Of two calls about one host."""
    return max(one, other)


class OverrideTable:
    """Of every host that a call was ever made about: the call that holds."""

    def __init__(self) -> None:
        self.calls: dict[str, Override] = {}

    def call(self, host: str, down: bool, now: float, member: int) -> Override | None:
        """An operator's own call here; nothing where it changes nothing."""
        known = self.calls.get(host)
        if known is not None and bool(known.down) == down or (known is None and not down):
            return None
        order = 1 + max((one.order for one in self.calls.values()), default=0)
        one = self.calls[host] = Override(host, order, int(down), int(now * 1000), member)
        return one

    def put(self, other: Override) -> bool:
        """Whether it changed anything."""
        known = self.calls.get(other.host)
        one = other if known is None else merge(known, other)
        if one == known:
            return False
        self.calls[other.host] = one
        return True

    def digest(self) -> int:
        text = f"[{', '.join(_digest_text(one) for one in sorted(self.calls.values()))}]"
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") % SUM_RANGE

    def out(self) -> dict[str, bool]:
        """By host, whether it is out by hand."""
        return {host: bool(one.down) for host, one in self.calls.items()}


def _digest_text(one: Override) -> str:
    """What a digest is made of. Members of earlier versions hash the same text: it must not change.

    It was the `repr` of a class that was called `Hand`.
    """
    return (
        f"Hand(host={one.host!r}, order={one.order!r}, down={one.down!r}, at={one.at!r},"
        f" member={one.member!r})"
    )
