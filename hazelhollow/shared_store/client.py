"""One limiter's client of the store: connects the ledger to the current link.

No I/O; the caller passes the time. The driver opens a connection and calls `opened`, then `receive`
with incoming bytes, `drain_output` for outgoing bytes, `closed` when the connection has ended, and
`advance` at `next_at`. If a method returns an error, the connection must be closed for that reason.

| state | condition | ends when | next state |
| --- | --- | --- | --- |
| disconnected | `link` is None, the driver opens a socket | it is open: `opened` | connecting |
| | | it cannot be opened | backing off |
| connecting | `link.ready` is False: TLS and handshake | the store has sent its time | ready |
| | | an error, the timeout, or the end of the connection | backing off |
| ready | `link.ready` is True: calls are written | silence, an error, or its end | backing off |
| backing off | `link` is None, the driver sleeps `retry_in` | the wait is over | disconnected |

Calls are written only in the state ready. In all others each call fails at once, so that calls do
not queue up for an unreachable store.
"""

from __future__ import annotations

import random

import structlog

from hazelhollow.net.backoff import Backoff
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store import link as link_
from hazelhollow.shared_store.errors import StoreError, StoreUnavailableError
from hazelhollow.shared_store.lease_ledger import LeaseLedger

MIN_PAUSE_S = 0.001  # between two ticks of the ledger

log = structlog.get_logger(__name__)


class StoreClient:
    """Carries the ledger's calls to the store, over successive connections.

    `seed` determines the random waits between attempts to connect. `counts` are shown to operators
    under their keys.
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
        """Begins the handshake on a connection that was just opened."""
        self.link = link_.Link(
            credentials, self.store_settings.call_timeout, self.store_settings.calls_waiting
        )
        self.link.begin(now)

    def receive(self, data: bytes, now: float) -> StoreError | None:
        """Handles bytes from the store."""
        if self.link is None:
            return StoreUnavailableError("no connection")
        return self._handle(self.link.receive(data, now), now)

    def closed(self, now: float) -> None:
        """Handles the end of the connection, whichever side closed it."""
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
        """Returns the seconds to wait before the next attempt to connect."""
        return self._backoff.next_wait(self._random.random())

    def drain_output(self) -> bytes:
        """Removes and returns the bytes to be written to the connection."""
        if not self.link or not self.link.out:
            return b""
        data = bytes(self.link.out)
        self.link.out.clear()
        return data

    # Calls and time

    def pump(self, now: float) -> None:
        """Writes the ledger's calls; a call that cannot be written now fails."""
        calls, self.ledger.outbox = self.ledger.outbox, []
        for call in calls:
            if not self.link or not self.link.call(call, now):
                self.counts["not_asked"] += 1
                self.ledger.call_failed(call, now)

    def advance(self, now: float) -> StoreError | None:
        """Performs what is due."""
        error = self._handle(self.link.tick(now), now) if self.link else None
        if now >= self._ledger_due:
            self._ledger_due = max(self.ledger.tick(now), now + MIN_PAUSE_S)
        self.pump(now)
        return error

    def next_at(self, now: float) -> float:
        """Returns the time at which `advance` has something to do."""
        due = self.link.next_due() if self.link else None
        return max(
            min(self._ledger_due, due if due is not None else self._ledger_due), now + MIN_PAUSE_S
        )

    def _handle(self, events: list[link_.LinkEvent], now: float) -> StoreError | None:
        """Reports events to the ledger; returns the error if the connection must be closed."""
        for event in events:
            if isinstance(event, link_.Answered):
                self.counts["answered"] += 1
                self.slowest_ms = max(self.slowest_ms, event.elapsed * 1000)
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
