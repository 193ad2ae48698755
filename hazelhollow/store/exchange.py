"""The books and the link to the store put together, without I/O: bytes in and out, times given, one instant to be called at.

A driver connects, and then: `opened`, `receive` with what comes, `take` for what goes out, `closed` at the end, after which
it waits `retry_in` seconds. `advance` whenever `next_at` has come. A text that is given back is why the connection must end.
"""

from __future__ import annotations

import random

import structlog

from hazelhollow.net.backoff import Backoff
from hazelhollow.operator.records import Store as Terms
from hazelhollow.store import link as link_
from hazelhollow.store.books import Books

LEAST_PAUSE = 0.001

log = structlog.get_logger(__name__)


class Exchange:
    """One limiter's dealings with its store, through all its connections."""

    def __init__(self, books: Books, terms: Terms, seed: int) -> None:
        self.books, self.terms = books, terms
        self.link: link_.Link | None = None
        self.counts = dict.fromkeys(("connected", "broken", "answered", "failed", "late", "not_asked"), 0)
        self.slowest_ms = 0.0
        self._random = random.Random(seed)
        self._backoff = Backoff(terms.retry_least, terms.retry_most)
        self._books_at = 0.0

    # The connection

    def opened(self, credentials: link_.Credentials, now: float) -> None:
        self.link = link_.Link(credentials, self.terms.call_timeout, self.terms.calls_waiting)
        self.link.begin(now)

    def receive(self, data: bytes, now: float) -> str:
        return self._news(self.link.receive(data, now), now) if self.link else "no connection"

    def closed(self, now: float) -> None:
        """The connection has ended, whoever ended it."""
        link, self.link = self.link, None
        if link is None:
            return
        self.counts["broken"] += link.ready
        for news in link.close():
            assert isinstance(news, link_.Failed)
            self.counts["failed"] += 1
            self.books.given_up(news.call, now)
        self.books.down(now)

    def retry_in(self) -> float:
        return self._backoff.next(self._random.random())

    def take(self) -> bytes:
        """What is to be written now."""
        if not self.link or not self.link.out:
            return b""
        data = bytes(self.link.out)
        self.link.out.clear()
        return data

    # Calls and time

    def pump(self, now: float) -> None:
        """Writes what the books ask. A call that cannot be written now is not asked: nothing queues for a dead store."""
        calls, self.books.outbox = self.books.outbox, []
        for call in calls:
            if not self.link or not self.link.call(call, now):
                self.counts["not_asked"] += 1
                self.books.given_up(call, now)

    def advance(self, now: float) -> str:
        """What time brings."""
        why = self._news(self.link.tick(now), now) if self.link else ""
        if now >= self._books_at:
            self._books_at = max(self.books.tick(now), now + LEAST_PAUSE)
        self.pump(now)
        return why

    def next_at(self, now: float) -> float:
        due = self.link.due() if self.link else None
        return max(min(self._books_at, due if due is not None else self._books_at), now + LEAST_PAUSE)

    def _news(self, news: list[link_.News], now: float) -> str:
        """Tells the books; gives why the connection must end, if it must."""
        for item in news:
            if isinstance(item, link_.Answered):
                self.counts["answered"] += 1
                self.slowest_ms = max(self.slowest_ms, item.took * 1000)
                self.books.answered(item.call, item.answer, now)
            elif isinstance(item, link_.Up):
                self.counts["connected"] += 1
                self._backoff.worked()
                log.info("store: connected", address="{}:{}".format(*self.terms.address))
                self.books.up(item.since, item.store_now, now)
                self._books_at = now
            elif isinstance(item, link_.Late):
                self.counts["late"] += 1
                self.books.late(item.call, item.answer)
            elif isinstance(item, link_.Failed):
                self.counts["failed"] += 1
                self.books.given_up(item.call, now)
            else:
                return item.why
        return ""
