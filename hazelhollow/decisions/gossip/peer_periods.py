"""The periods of peers whose clocks differ from this limiter's.

Limiters take their periods from the wall clock of their start. If it was stepped between the starts
of two limiters, the same moment lies in different periods, and their datagrams would look stale to
each other for as long as both run. The difference is constant while a peer's incarnation lasts, so
that it can be learned from datagrams that all differ by the same number of periods for some time; a
datagram that is merely late differs for itself.
"""

from __future__ import annotations

from hazelhollow.decisions.gossip.codec import PERIODS

MAX_AGE_PERIODS = 1  # of an applied datagram: only the current and the previous period are open
LEARNING_TIME_S = 2.0  # for which datagrams have to differ equally
MIN_DATAGRAMS = 3


class _PeerClock:
    __slots__ = ("incarnation", "shift", "candidate", "candidate_since", "datagrams")

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.shift = 0  # periods by which the peer's clock is behind
        self.candidate, self.candidate_since, self.datagrams = 0, 0.0, 0


class PeerPeriods:
    """The learned difference of each peer's periods."""

    def __init__(self) -> None:
        self._clocks: dict[int, _PeerClock] = {}

    def age(self, sender: tuple[int, str], period: int, own_period: int, now: float) -> int | None:
        """Returns the age of a datagram in periods, or None if it is stale.

        Args:
            sender: The peer's number and its incarnation.
            period: The peer's period modulo PERIODS, as in the datagram.
            own_period: This limiter's period.
            now: The time.
        """
        number, incarnation = sender
        clock = self._clocks.get(number)
        if clock is None or clock.incarnation != incarnation:
            clock = self._clocks[number] = _PeerClock(incarnation)
        difference = _signed(own_period - period)
        delay = _signed(difference - clock.shift)
        if -1 <= delay <= MAX_AGE_PERIODS:
            clock.datagrams = 0
            return max(delay, 0)
        if not clock.datagrams or clock.candidate != difference:
            clock.candidate, clock.candidate_since, clock.datagrams = difference, now, 0
        clock.datagrams += 1
        if clock.datagrams < MIN_DATAGRAMS or now - clock.candidate_since < LEARNING_TIME_S:
            return None
        clock.shift, clock.datagrams = difference, 0
        return 0


def _signed(difference: int) -> int:
    """Returns a difference of periods modulo PERIODS, between minus and plus half of PERIODS."""
    return (difference + PERIODS // 2) % PERIODS - PERIODS // 2
