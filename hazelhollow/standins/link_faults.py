"""Faults of one direction between two processes, and the link that they act on. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class LinkFault:
    """What is wrong with a link in one direction; several faults at once combine by `|`.

    Attributes:
        partitioned: nothing passes; what was sent meanwhile is lost.
        stalled: nothing passes; what was sent comes when the stall ends.
        reset: connections are reset and datagrams lost.
        delay: seconds added to each datagram and each chunk of a connection.
        loss: share of datagrams that are lost.
        duplication: share of datagrams that arrive twice.
        reordering: share of datagrams that later ones overtake.
        max_datagrams_per_s: datagrams a second that pass at most; 0: no limit.
    """

    partitioned: bool = False
    stalled: bool = False
    reset: bool = False
    delay: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    max_datagrams_per_s: float = 0.0

    def __or__(self, other: LinkFault) -> LinkFault:
        """Both at once."""
        limits = [limit for limit in (self.max_datagrams_per_s, other.max_datagrams_per_s) if limit]
        return LinkFault(
            self.partitioned or other.partitioned,
            self.stalled or other.stalled,
            self.reset or other.reset,
            self.delay + other.delay,
            1 - (1 - self.loss) * (1 - other.loss),
            max(self.duplication, other.duplication),
            max(self.reordering, other.reordering),
            min(limits, default=0.0),
        )


NO_FAULT = LinkFault()


@dataclass(eq=False)
class Link:
    """One direction between two processes, with the faults that are active on it.

    Attributes:
        faults: by the number that ends each.
        active: all of them combined.
        passed: datagrams that went through.
        lost: datagrams that did not.
        bytes: of the datagrams that went through.
        stalled_sends: what a stall holds back, in order.
    """

    faults: dict[int, LinkFault] = field(default_factory=dict)
    active: LinkFault = NO_FAULT
    passed: int = 0
    lost: int = 0
    bytes: int = 0
    stalled_sends: list[Callable[[], None]] = field(default_factory=list)
    _tokens: float = 1.0  # of the limit on datagrams a second
    _tokens_at: float = 0.0

    def add(self, number: int, fault: LinkFault) -> None:
        """Activates a fault under a number."""
        self.faults[number] = fault
        self._combine()

    def remove(self, number: int) -> bool:
        """Ends the fault of that number; whether there was one."""
        removed = self.faults.pop(number, None) is not None
        if removed:
            self._combine()
        return removed

    def _combine(self) -> None:
        self.active = NO_FAULT
        for fault in self.faults.values():
            self.active |= fault

    def take_token(self, now: float) -> bool:
        """Whether the limit on datagrams a second lets one more pass."""
        rate = self.active.max_datagrams_per_s
        if not rate:
            return True
        self._tokens = min(1.0, self._tokens + rate * (now - self._tokens_at))
        self._tokens_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
