"""The ledger and the link to the store put together, without I/O.

Bytes in and out, times given, one instant to be called at.

A driver connects, and then: `opened`, `receive` with what comes, `take` for what goes out, `closed`
at the end, after which it waits `retry_in` seconds. `advance` whenever `next_at` has come. A text
that is given back is why the connection must end.
"""

from __future__ import annotations

import random

import structlog

from hazelhollow.net.backoff import Backoff
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store import link as link_
from hazelhollow.shared_store.lease_ledger import LeaseLedger

LEAST_PAUSE = 0.001  # seconds between two looks at the ledger

log = structlog.get_logger(__name__)


class StoreClient:
    """One limiter's dealings with its store, through all its connections."""

    def __init__(self, ledger: LeaseLedger, store_settings: StoreSettings, seed: int) -> None:
        self.ledger, self.store_settings = ledger, store_settings
        self.link: link_.Link | None = None
        self.counts = dict.fromkeys(
            ("connected", "broken", "answered", "failed", "late", "not_asked"), 0
        )
        self.slowest_ms = 0.0
        self._random = random.Random(seed)
        self._backoff = Backoff(store_settings.retry_least, store_settings.retry_most)
        self._ledger_due = 0.0

    # The connection

    def opened(self, credentials: link_.Credentials, now: float) -> None:
        """A connection is open: begins its handshake."""
        self.link = link_.Link(
            credentials, self.store_settings.call_timeout, self.store_settings.calls_waiting
        )
        self.link.begin(now)

    def receive(self, data: bytes, now: float) -> str:
        """Bytes from the store; gives why the connection must end, if it must."""
        return self._handle(self.link.receive(data, now), now) if self.link else "no connection"

    def closed(self, now: float) -> None:
        """The connection has ended, whoever ended it."""
        link, self.link = self.link, None
        if link is None:
            return
        self.counts["broken"] += link.ready
        for event in link.close():
            assert isinstance(event, link_.CallFailed)
            self.counts["failed"] += 1
            self.ledger.call_failed(event.call, now)
        self.ledger.store_disconnected(now)

    def retry_in(self) -> float:
        """Seconds to wait before the next attempt to connect."""
        return self._backoff.next_wait(self._random.random())

    def take(self) -> bytes:
        """What is to be written now."""
        if not self.link or not self.link.out:
            return b""
        data = bytes(self.link.out)
        self.link.out.clear()
        return data

    # Calls and time

    def pump(self, now: float) -> None:
        """Writes what the ledger asks.

        A call that cannot be written now is not asked: nothing queues for a dead store.
        """
        calls, self.ledger.outbox = self.ledger.outbox, []
        for call in calls:
            if not self.link or not self.link.call(call, now):
                self.counts["not_asked"] += 1
                self.ledger.call_failed(call, now)

    def advance(self, now: float) -> str:
        """Does what is due; gives why the connection must end, if it must."""
        why = self._handle(self.link.tick(now), now) if self.link else ""
        if now >= self._ledger_due:
            self._ledger_due = max(self.ledger.tick(now), now + LEAST_PAUSE)
        self.pump(now)
        return why

    def next_at(self, now: float) -> float:
        """When `advance` has something to do."""
        due = self.link.next_due() if self.link else None
        return max(
            min(self._ledger_due, due if due is not None else self._ledger_due), now + LEAST_PAUSE
        )

    def _handle(self, events: list[link_.LinkEvent], now: float) -> str:
        """Tells the ledger; gives why the connection must end, if it must."""
        for event in events:
            if isinstance(event, link_.Answered):
                self.counts["answered"] += 1
                self.slowest_ms = max(self.slowest_ms, event.took * 1000)
                self.ledger.answered(event.call, event.answer, now)
            elif isinstance(event, link_.Connected):
                self.counts["connected"] += 1
                self._backoff.reset()
                log.info("store: connected", address="{}:{}".format(*self.store_settings.address))
                self.ledger.store_connected(event.store_started_at, event.store_now, now)
                self._ledger_due = now
            elif isinstance(event, link_.LateAnswer):
                self.counts["late"] += 1
                self.ledger.answered_late(event.call, event.answer)
            elif isinstance(event, link_.CallFailed):
                self.counts["failed"] += 1
                self.ledger.call_failed(event.call, now)
            else:
                return event.why
        return ""
