"""News that wait to be told under a budget of bytes.

Told most useful first, those of least use let go of. No decision.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from hazelhollow.decisions.gossip.codec import MOST_BYTES
from hazelhollow.decisions.state.accounts import Store

HEADER = 28  # bytes of UDP and IP for each datagram
BURST_S = 0.6  # seconds of the rate that may leave at once: as the control budget grants the gossip
MOST_WAITING = 200  # news for one peer; half of them stay when there are more
News = tuple[str, int]  # an account's name and a period


class Outbox:
    """A bucket of bytes, and the news of each peer.

    Of a customer and period the newest total is the one that is told.

    `rate`: bytes a second with headers; `worth`: of news for a peer now, 0 for what is of no use
    any more.
    """

    def __init__(self, rate: float, worth: Callable[[int, News], float]) -> None:
        self.bytes = Store(rate, max(BURST_S * rate, float(MOST_BYTES + HEADER)), 0.0, 0.0)
        self.waiting: dict[int, dict[News, str]] = {}
        self.told: dict[tuple[int, str, int], float] = {}  # by peer, account and period: units told
        self._worth, self._pressing = worth, dict[int, float]()  # of all that waits, by peer

    def plenty(self) -> bool:
        """Whether half of the burst is there, as when this was last filled."""
        return self.bytes.level >= self.bytes.most / 2

    def put(self, peer: int, news: News, word: str) -> bool:
        """Whether it is worth telling."""
        worth = self._worth(peer, news)
        if worth <= 0:
            return False
        waiting = self.waiting.setdefault(peer, {})
        waiting[news] = word
        self._pressing[peer] = self._pressing.get(peer, 0.0) + worth
        if len(waiting) > MOST_WAITING:
            best = heapq.nlargest(
                MOST_WAITING // 2, waiting, key=lambda one: self._worth(peer, one)
            )
            self.waiting[peer] = {one: waiting[one] for one in best}
        return True

    def most_pressing(self, now: float, away: frozenset[int]) -> int | None:
        """The peer to be told next, if a full datagram may be sent now."""
        if self.bytes.fill(now) < MOST_BYTES + HEADER:
            return None
        peers = self._pressing.keys() - away
        return max(peers, key=lambda peer: (self._pressing[peer], peer)) if peers else None

    def take(
        self,
        peer: int,
        line: str,
        render: Callable[[str, int], str],
        units: Callable[[News], float],
    ) -> str:
        """The line with the most useful news that it holds.

        `units`: what the words tell of, by news.
        """
        waiting = self.waiting.pop(peer, {})
        worth = {news: self._worth(peer, news) for news in waiting}
        left = dict[News, str]()
        for news in sorted((n for n in waiting if worth[n] > 0), key=lambda n: -worth[n]):
            word = waiting[news] or render(*news)
            if left or len(line) + len(word) > MOST_BYTES:
                left[news] = waiting[news]
                continue
            line += word
            self.told[peer, *news] = units(news)
        self._pressing.pop(peer, None)
        if left:
            self.waiting[peer], self._pressing[peer] = left, sum(worth[news] for news in left)
        return line

    def sent(self, text: str) -> None:
        self.bytes.level -= len(text) + HEADER

    def renew(self, period: int) -> None:
        """What was told of periods that nobody hears of any more is forgotten.

        And so are news of them.
        """
        self.told = {key: units for key, units in self.told.items() if key[2] >= period - 1}
        for peer, waiting in list(self.waiting.items()):
            left = {news: word for news, word in waiting.items() if word or news[1] >= period - 1}
            self.waiting[peer] = left
            if not left:
                del self.waiting[peer], self._pressing[peer]
