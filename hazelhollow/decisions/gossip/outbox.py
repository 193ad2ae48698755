"""The queue of gossip updates under a byte budget, which sends the most useful updates first."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from hazelhollow.decisions.gossip.codec import MAX_DATAGRAM_BYTES
from hazelhollow.decisions.state.token_bucket import TokenBucket

HEADER_BYTES = 28  # UDP and IP headers of one datagram
BURST_S = 0.6  # burst in seconds of the rate, as the control budget grants it to gossip
MAX_WAITING = 200  # updates for one peer; beyond this, only the most useful half is kept
# An update to send: an account's name, and the period of its charges or `LEVEL`
# (`gossip/scheduler.py`).
PendingUpdate = tuple[str, int]


class GossipOutbox:
    """A byte budget and the updates that wait for each peer.

    An update identifies a customer and a period but holds no amount. The amount is read when the
    update is sent, so that the latest total is reported.

    Attributes:
        bytes: A token bucket of the bytes that may be sent, headers included.
        waiting: The waiting updates by peer, with their text if it is fixed and "" otherwise.
        sent_units: The units reported last, by peer, account and period.
    """

    def __init__(
        self, bytes_per_s: float, usefulness: Callable[[int, PendingUpdate], float]
    ) -> None:
        """Creates an empty outbox.

        Args:
            bytes_per_s: The byte budget, headers included.
            usefulness: Returns the current usefulness of an update for a peer, or 0 if it is not
                needed any more.
        """
        full_datagram = float(MAX_DATAGRAM_BYTES + HEADER_BYTES)
        self.bytes = TokenBucket(bytes_per_s, max(BURST_S * bytes_per_s, full_datagram), 0.0, 0.0)
        self.waiting: dict[int, dict[PendingUpdate, str]] = {}
        self.sent_units: dict[tuple[int, str, int], float] = {}
        self._usefulness = usefulness
        self._urgency = dict[int, float]()  # total usefulness of the waiting updates by peer

    def has_plenty(self) -> bool:
        """Whether at least half of the burst was available at the last refill."""
        return self.bytes.level >= self.bytes.capacity / 2

    def put(self, peer: int, update: PendingUpdate, text: str) -> bool:
        """Adds an update if it is useful, and returns whether it is."""
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
        """Returns the peer to send to next.

        None if no updates are waiting or the budget does not allow a full datagram yet.
        """
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
        """Appends a peer's updates, the most useful first, until one does not fit.

        Removes these and useless updates from the queue and returns the datagram.

        Args:
            peer: The peer whose updates are sent.
            datagram: The datagram so far.
            render: Returns the text of an update that has no fixed one.
            units: Returns the units that this text reports.
        """
        waiting = self.waiting.pop(peer, {})
        usefulness = {update: self._usefulness(peer, update) for update in waiting}
        remaining = dict[PendingUpdate, str]()
        useful = (update for update in waiting if usefulness[update] > 0)
        for update in sorted(useful, key=lambda update: -usefulness[update]):
            text = waiting[update] or render(*update)
            if remaining or len(datagram) + len(text) > MAX_DATAGRAM_BYTES:
                remaining[update] = waiting[update]
                continue
            datagram += text
            self.sent_units[peer, *update] = units(update)
        self._urgency.pop(peer, None)
        if remaining:
            self.waiting[peer] = remaining
            self._urgency[peer] = sum(usefulness[update] for update in remaining)
        return datagram

    def charge_sent(self, datagram: str) -> None:
        """Deducts a sent datagram and its headers from the budget."""
        self.bytes.level -= len(datagram) + HEADER_BYTES

    def begin_period(self, period: int) -> None:
        """Drops the updates and amounts of closed periods, whose reports peers ignore."""
        self.sent_units = {k: units for k, units in self.sent_units.items() if k[2] >= period - 1}
        for peer, waiting in list(self.waiting.items()):
            remaining = {
                update: text for update, text in waiting.items() if text or update[1] >= period - 1
            }
            self.waiting[peer] = remaining
            if not remaining:
                del self.waiting[peer], self._urgency[peer]
