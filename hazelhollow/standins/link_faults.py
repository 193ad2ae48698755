"""Faults of one direction between two processes, and the link that they affect. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class LinkFault:
    """A fault of a link in one direction; `|` combines simultaneous faults.

    Attributes:
        partitioned: nothing passes; data sent during the fault is lost.
        stalled: nothing passes; data sent during the fault arrives when it ends.
        reset: connections are reset, and datagrams are lost.
        delay: seconds added to each datagram and to each chunk of a connection.
        loss: share of datagrams that are lost.
        duplication: share of datagrams that arrive twice.
        reordering: share of datagrams that are delayed, so that later ones overtake them.
        max_datagrams_per_s: maximum rate of datagrams that pass; 0: no limit.
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
        """Returns the combination of two simultaneous faults."""
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
    """One direction between two processes, with its active faults.

    Attributes:
        faults: the active faults, by the number that ends each.
        active: the combination of all active faults.
        passed: number of datagrams sent on.
        lost: number of datagrams lost.
        bytes: bytes of the datagrams sent on.
        stalled_sends: send operations that a stall holds back, in order.
    """

    faults: dict[int, LinkFault] = field(default_factory=dict)
    active: LinkFault = NO_FAULT
    passed: int = 0
    lost: int = 0
    bytes: int = 0
    stalled_sends: list[Callable[[], None]] = field(default_factory=list)
    _tokens: float = 1.0  # token bucket of `max_datagrams_per_s`, as of `_tokens_at`
    _tokens_at: float = 0.0

    def add(self, number: int, fault: LinkFault) -> None:
        """Activates a fault under the given number."""
        self.faults[number] = fault
        self._combine()

    def remove(self, number: int) -> bool:
        """Ends the fault of that number; returns whether there was one."""
        removed = self.faults.pop(number, None) is not None
        if removed:
            self._combine()
        return removed

    def _combine(self) -> None:
        self.active = NO_FAULT
        for fault in self.faults.values():
            self.active |= fault

    def consume_token(self, now: float) -> bool:
        """Consumes a token of the datagram rate limit; returns whether there was one."""
        rate = self.active.max_datagrams_per_s
        if not rate:
            return True
        self._tokens = min(1.0, self._tokens + rate * (now - self._tokens_at))
        self._tokens_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
