"""One limiter's client of the store: ledger and link put together. No I/O; times are given.

The driver opens a connection and calls `opened`, then `receive` with what arrives, `drain_output`
for what is to be written, `closed` at the end, and `advance` at `next_at`. An error that is returned
says why the connection must be closed.

| state | how it shows | ends when | then |
| --- | --- | --- | --- |
| disconnected | `link` is None, the driver opens a socket | it is open: `opened` | connecting |
| | | it cannot be opened | backing off |
| connecting | `link.ready` is False: TLS and handshake | the store has told its time | ready |
| | | an error, the timeout, or the end of the connection | backing off |
| ready | `link.ready` is True: calls are written | silence, an error, or its end | backing off |
| backing off | `link` is None, the driver sleeps `retry_in` | the time is over | disconnected |

Outside of ready no call is written: each fails at once, since nothing queues for a dead store.
"""

from __future__ import annotations

import random

import structlog

from hazelhollow.net.backoff import Backoff
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store import link as link_
from hazelhollow.shared_store.errors import StoreError, StoreUnavailableError
from hazelhollow.shared_store.lease_ledger import LeaseLedger

MIN_PAUSE_S = 0.001  # between two looks at the ledger

log = structlog.get_logger(__name__)


class StoreClient:
    """The ledger's calls to the store, through all its connections.

    `seed`: of the random draws of the waits. `counts` are shown to operators under these names.
    """

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
        """A connection is open: begins the handshake."""
        self.link = link_.Link(
            credentials, self.store_settings.call_timeout, self.store_settings.calls_waiting
        )
        self.link.begin(now)

    def receive(self, data: bytes, now: float) -> StoreError | None:
        """Bytes from the store."""
        if self.link is None:
            return StoreUnavailableError("no connection")
        return self._handle(self.link.receive(data, now), now)

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
        self.ledger.store_disconnected()

    def retry_in(self) -> float:
        """Seconds to wait before the next attempt to connect."""
        return self._backoff.next_wait(self._random.random())

    def drain_output(self) -> bytes:
        """What is to be written now."""
        if not self.link or not self.link.out:
            return b""
        data = bytes(self.link.out)
        self.link.out.clear()
        return data

    # Calls and time

    def pump(self, now: float) -> None:
        """Writes the ledger's calls; one that cannot be written now fails."""
        calls, self.ledger.outbox = self.ledger.outbox, []
        for call in calls:
            if not self.link or not self.link.call(call, now):
                self.counts["not_asked"] += 1
                self.ledger.call_failed(call, now)

    def advance(self, now: float) -> StoreError | None:
        """Does what is due."""
        error = self._handle(self.link.tick(now), now) if self.link else None
        if now >= self._ledger_due:
            self._ledger_due = max(self.ledger.tick(now), now + MIN_PAUSE_S)
        self.pump(now)
        return error

    def next_at(self, now: float) -> float:
        """When `advance` has something to do."""
        due = self.link.next_due() if self.link else None
        return max(
            min(self._ledger_due, due if due is not None else self._ledger_due), now + MIN_PAUSE_S
        )

    def _handle(self, events: list[link_.LinkEvent], now: float) -> StoreError | None:
        """Tells the ledger; gives the error if the connection must be closed."""
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
                self.ledger.answered_late()
            elif isinstance(event, link_.CallFailed):
                self.counts["failed"] += 1
                self.ledger.call_failed(event.call, now)
            else:
                return event.error
        return None
