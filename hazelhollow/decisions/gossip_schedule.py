"""How news are put into messages to peers, and what goes along with them.

No decision on what is news.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from random import Random
from typing import NamedTuple
from zlib import crc32

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip import codec as gossip
from hazelhollow.decisions.gossip.outbox import News, Outbox
from hazelhollow.decisions.memory import Memory
from hazelhollow.decisions.state.accounts import Account, Store

KEYS = 36**5  # of customers in messages
SPENT = -1  # in place of a period: the level, for the set


class Extras(NamedTuple):
    """What goes along with news.

    Of what hubs told, for so many seconds, so many words; so many failures of so many seconds; the
    loads of so many servers.
    """

    pass_on_for: float
    passed_on: int
    failures: int
    failures_for: float
    loads: int


class Telling(Memory):
    """A gateway's memory, and its messages to peers."""

    messages: Store  # how many may be sent
    small: bool  # whether gateways tell each other their loads
    tight: float  # the tightest aim, in which waits are told

    def __init__(self, settings: api.Settings, extras: Extras, chance: Random) -> None:
        super().__init__(settings)
        self.random, self._extras = chance, extras
        self.outbox: Outbox | None = None  # under a budget of bytes
        self._with_old_news: Iterator[int] = iter(())  # peers that are away, since the period began

    def renew(self) -> None:
        """A period has begun."""
        super().renew()
        self._with_old_news = iter([peer for peer in self.dirty if peer in self.away])
        if self.outbox:
            self.outbox.renew(self.period)

    def forget_old_news(self, most: int) -> None:
        """Of so many peers that are away.

        What is news when they are back is of this period or the last.
        """
        for peer in islice(self._with_old_news, most):
            if peer in self.dirty:
                news = self.dirty[peer]
                self.dirty[peer] = {
                    key: word for key, word in news.items() if key[1] >= self.period - 1
                }

    def tell(self, peer: int) -> None:
        """What finds no room waits.

        A large fleet's loads must not crowd out the charges, nor many customers the told intake. No
        gateway sends more than it may take in, so that the mean one hears no more.
        """
        waiting, number = self.dirty[peer], 0
        head, seen = self._head_and_seen()
        while self.messages.fill(self.now) >= 1.0 and (waiting or (self.small and not number)):
            line = self.take_news(head, waiting)
            line = gossip.pack(line, [] if number else seen + self._second_hand(peer))[0]
            number += 1
            self._send_message(peer, line)
        if not waiting and not self.small:
            del self.dirty[peer]

    def put_in_outbox(self, peer: int, news: News, word: str) -> None:
        """Told at a flush; in a large fleet at once while there is plenty of the budget."""
        assert self.outbox
        self.outbox.bytes.fill(self.now)
        if self.outbox.put(peer, news, word) and not self.small and self.outbox.plenty():
            self.tell_most_useful(at_once=True)

    def tell_most_useful(self, at_once: bool = False) -> None:
        """Under a budget of bytes: the peers that miss most, as far as it goes.

        `at_once`: as long as there is plenty.
        """
        while (
            self.outbox
            and self.messages.fill(self.now) >= 1.0
            and (self.outbox.plenty() or not at_once)
        ):
            peer = self.outbox.most_pressing(self.now, self.away)
            if peer is None:
                return
            head, seen = self._head_and_seen()
            line = self.outbox.take(peer, head, self.charge_word, self.units_charged)
            if line != head:
                line = gossip.pack(line, seen + self._second_hand(peer))[0]
                self._send_message(peer, line)
                self.outbox.sent(line)

    def untold(self, account: Account, peer: int, news: News) -> float:
        """The share of the burst that the peer was not told of.

        0 for periods that nobody hears of any more.
        """
        period = news[1]
        if period == SPENT:
            return 1.0
        if period < self.period - 1 or self.outbox is None:
            return 0.0
        charged = account.totals.charged.get(period, 0.0)
        return abs(charged - self.outbox.told.get((peer, *news), 0.0)) / (account.plan.burst or 1.0)

    def _send_message(self, peer: int, line: str) -> None:
        self.messages.level -= 1.0
        self.actions.append(api.SendGossip(peer, line))

    def _head_and_seen(self) -> tuple[str, list[str]]:
        if self.said[0] != self.now:
            head = gossip.head(self.period, self.wait / self.tight, self.incarnation)
            self.said = self.now, head, self._seen()
        return self.said[1], self.said[2]

    def _second_hand(self, peer: int) -> list[str]:
        extras = self._extras
        return self.passed_on(peer, extras.pass_on_for, extras.passed_on, self.random)

    def _seen(self) -> list[str]:
        """Of servers.

        In a small fleet the busiest; in a large one failures, of which each sees too few.
        """
        if self.small:
            loads = sorted([(work, tag) for tag, work in self.work_out().items()], reverse=True)
            return [
                gossip.write(gossip.Load(tag, work)) for work, tag in loads[: self._extras.loads]
            ]
        failed = self.latest_failed(self._extras.failures, self._extras.failures_for)
        return [gossip.write(gossip.Failed(*one)) for one in failed]

    def _key(self, customer: str) -> str:
        if customer != self.latest[0]:
            self.latest = customer, gossip.base36(crc32(customer.encode()) % KEYS)
        return self.latest[1]
