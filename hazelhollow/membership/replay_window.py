"""Detects datagrams that were received before or that come from an earlier run of their sender."""

from __future__ import annotations

from enum import Enum, auto

from hazelhollow.membership.records import Record

WINDOW = 64  # serials behind the newest that are still accepted
HINT_INTERVAL_S = 0.5  # between notifications to one sender of a later process with its id


class ReplayWindow:
    """The serials that were received in one incarnation of a sender."""

    __slots__ = ("incarnation", "highest", "mask", "hinted_at")

    def __init__(self, incarnation: int) -> None:
        self.incarnation, self.highest, self.mask = incarnation, -1, 0
        self.hinted_at = -1e9  # time of the last notification, in seconds

    def is_fresh(self, serial: int) -> bool:
        """Whether this serial was not received before; marks it as received.

        A serial that lies `WINDOW` or more behind the newest counts as received.
        """
        if serial > self.highest:
            self.mask = ((self.mask << min(serial - self.highest, WINDOW)) | 1) & (
                (1 << WINDOW) - 1
            )
            self.highest = serial
            return True
        behind = self.highest - serial
        if behind >= WINDOW or self.mask >> behind & 1:
            return False
        self.mask |= 1 << behind
        return True


class Freshness(Enum):
    """Whether a datagram may be processed."""

    FRESH = auto()
    REPLAYED = auto()
    EARLIER_INCARNATION = auto()


class ReplayGuard:
    """The replay windows of all senders."""

    def __init__(self) -> None:
        self._windows: dict[int, ReplayWindow] = {}

    def check(self, sender: Record, serial: int, known: Record | None) -> Freshness:
        """Classifies a datagram; `known` is the member table's record of the sender."""
        window = self._windows.get(sender.number)
        newest = max(window.incarnation if window else 0, known.incarnation if known else 0)
        if sender.incarnation < newest:
            if window is None:
                self._windows[sender.number] = ReplayWindow(newest)
            return Freshness.EARLIER_INCARNATION
        if window is None or window.incarnation != sender.incarnation:
            window = self._windows[sender.number] = ReplayWindow(sender.incarnation)
        return Freshness.FRESH if window.is_fresh(serial) else Freshness.REPLAYED

    def claim_hint(self, sender_id: int, now: float) -> bool:
        """Whether a sender of an earlier incarnation is to be notified of the later one now.

        Its datagrams are dropped, so it would not learn otherwise that another process has its id.
        Returns True at most once every `HINT_INTERVAL_S`, and starts that interval.
        """
        window = self._windows[sender_id]
        if now - window.hinted_at < HINT_INTERVAL_S:
            return False
        window.hinted_at = now
        return True
