"""Updates that wait to be gossiped under a byte budget, the most useful first."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from hazelhollow.decisions.gossip.codec import MAX_DATAGRAM_BYTES
from hazelhollow.decisions.state.token_bucket import TokenBucket

HEADER_BYTES = 28  # of UDP and IP, for each datagram
BURST_S = 0.6  # seconds of the rate that may leave at once, as the control budget grants gossip
MAX_WAITING = 200  # updates for one peer; when there are more, half of them stay
# What is to be sent: an account's name, and the period of its charges or `LEVEL`
# (`gossip/scheduler.py`).
PendingUpdate = tuple[str, int]


class GossipOutbox:
    """A bucket of bytes, and the updates that wait for each peer.

    An update says what to report, not its figures: these are taken when it leaves, so that the
    newest total of a customer and period is the one that is sent.

    Attributes:
        bytes: What may be sent, headers included.
        waiting: Updates for each peer, with their text where it is fixed, else "".
        sent_units: What was reported last, by peer, account and period.
    """

    def __init__(
        self, bytes_per_s: float, usefulness: Callable[[int, PendingUpdate], float]
    ) -> None:
        """Begins empty.

        Args:
            bytes_per_s: The budget, headers included.
            usefulness: Of an update for a peer now; 0 for one of no use any more.
        """
        full_datagram = float(MAX_DATAGRAM_BYTES + HEADER_BYTES)
        self.bytes = TokenBucket(bytes_per_s, max(BURST_S * bytes_per_s, full_datagram), 0.0, 0.0)
        self.waiting: dict[int, dict[PendingUpdate, str]] = {}
        self.sent_units: dict[tuple[int, str, int], float] = {}
        self._usefulness = usefulness
        self._urgency = dict[int, float]()  # the usefulness of all that waits for a peer

    def has_plenty(self) -> bool:
        """Whether half of the burst is left, as of the last refill."""
        return self.bytes.level >= self.bytes.capacity / 2

    def put(self, peer: int, update: PendingUpdate, text: str) -> bool:
        """Adds an update, if it is of use; whether it is."""
        usefulness = self._usefulness(peer, update)
        if usefulness <= 0:
            return False
        waiting = self.waiting.setdefault(peer, {})
        waiting[update] = text
        self._urgency[peer] = self._urgency.get(peer, 0.0) + usefulness
        if len(waiting) > MAX_WAITING:
            best = heapq.nlargest(
                MAX_WAITING // 2, waiting, key=lambda update: self._usefulness(peer, update)
            )
            self.waiting[peer] = {update: waiting[update] for update in best}
        return True

    def most_urgent_peer(self, now: float, away: frozenset[int]) -> int | None:
        """The peer to send to next, if a full datagram may be sent now."""
        if self.bytes.refill(now) < MAX_DATAGRAM_BYTES + HEADER_BYTES:
            return None
        peers = self._urgency.keys() - away
        return max(peers, key=lambda peer: (self._urgency[peer], peer)) if peers else None

    def fill_datagram(
        self,
        peer: int,
        datagram: str,
        render: Callable[[str, int], str],
        units: Callable[[PendingUpdate], float],
    ) -> str:
        """The datagram with the most useful updates for a peer that it holds.

        These wait no more.

        Args:
            peer: Whose updates.
            datagram: Its beginning.
            render: The text of an update that has no fixed one.
            units: What that text tells of.
        """
        waiting = self.waiting.pop(peer, {})
        usefulness = {update: self._usefulness(peer, update) for update in waiting}
        left = dict[PendingUpdate, str]()
        useful = (update for update in waiting if usefulness[update] > 0)
        for update in sorted(useful, key=lambda update: -usefulness[update]):
            text = waiting[update] or render(*update)
            if left or len(datagram) + len(text) > MAX_DATAGRAM_BYTES:
                left[update] = waiting[update]
                continue
            datagram += text
            self.sent_units[peer, *update] = units(update)
        self._urgency.pop(peer, None)
        if left:
            self.waiting[peer] = left
            self._urgency[peer] = sum(usefulness[update] for update in left)
        return datagram

    def charge_sent(self, datagram: str) -> None:
        """Takes a datagram that was sent off the budget."""
        self.bytes.level -= len(datagram) + HEADER_BYTES

    def begin_period(self, period: int) -> None:
        """Forgets what is of periods that nobody takes reports of any more."""
        self.sent_units = {k: units for k, units in self.sent_units.items() if k[2] >= period - 1}
        for peer, waiting in list(self.waiting.items()):
            left = {
                update: text for update, text in waiting.items() if text or update[1] >= period - 1
            }
            self.waiting[peer] = left
            if not left:
                del self.waiting[peer], self._urgency[peer]
