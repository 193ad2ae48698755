"""The thin driver between the exchange with the store and a socket.

It connects, reads, writes and keeps one timer.
"""

from __future__ import annotations

import ssl
from pathlib import Path

import structlog

from hazelhollow.net import stream, tls
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.scheduler import Scheduler, Timer
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store.client import StoreClient
from hazelhollow.shared_store.link import Credentials

MOST_OUT = 1024 * 1024

log = structlog.get_logger(__name__)


def credentials(store_settings: StoreSettings) -> Credentials:
    """The password is the first line of its file. Raises `OSError` or `UnicodeDecodeError`."""
    password = ""
    if store_settings.password_file:
        password = Path(store_settings.password_file).read_text().partition("\n")[0].strip()
    return Credentials(store_settings.username, password, store_settings.database)


def secured(store_settings: StoreSettings) -> tls.Layer | None:
    """TLS as the settings say, or none. Raises `OSError` or `ssl.SSLError`."""
    if store_settings.tls is None:
        return None
    made = tls.client_context(
        store_settings.tls.ca_file, store_settings.tls.cert_file, store_settings.tls.key_file
    )
    return tls.Layer(made, store_settings.tls.server_name or store_settings.address[0])


class SharedStoreDriver:
    """One limiter's connection to its store, opened again whenever it ends."""

    def __init__(self, scheduler: Scheduler, exchange: StoreClient) -> None:
        self.scheduler, self.exchange = scheduler, exchange
        self._stream: stream.Stream | None = None
        self._layer: tls.Layer | None = None
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begins to connect, and goes on until the process ends."""
        self.scheduler.spawn_supervised(self._run, "store")
        self._advance()

    def change(self, store_settings: StoreSettings) -> None:
        """The connection is opened anew by these settings.

        And the files that they name are read again.
        """
        self.exchange.store_settings = store_settings
        if self._stream:
            self._stream.close(CloseReason.MOVED)

    def pump(self) -> None:
        """The ledger may have something to ask."""
        self.exchange.pump(self.scheduler.clock())
        self._flush()
        self._arm()

    def _run(self) -> None:
        while True:
            why = self._connection()
            wait = self.exchange.retry_in()
            log.warning(
                "store: no connection",
                why=why,
                address="{}:{}".format(*self.exchange.store_settings.address),
                again_in=round(wait, 3),
            )
            self.scheduler.sleep(wait)

    def _connection(self) -> str:
        """From the attempt to open it to its end; gives why it ended."""
        store_settings = self.exchange.store_settings
        try:
            who = credentials(store_settings)
            layer = secured(store_settings)
        except (OSError, ssl.SSLError, UnicodeDecodeError) as error:
            return str(error)
        driver = stream.connect(
            self.scheduler, store_settings.address, MOST_OUT, store_settings.connect_timeout
        )
        if isinstance(driver, CloseReason):
            return driver.name.lower()
        self._stream, self._layer = driver, layer
        try:
            if layer:
                driver.write(layer.begin())
            self.exchange.opened(who, self.scheduler.clock())
            self._flush()
            self._arm()
            return self._read(driver)
        except ssl.SSLError as error:
            return f"TLS: {error.reason or error}"
        finally:
            driver.close(CloseReason.CLOSED)
            self._stream = self._layer = None
            self.exchange.closed(self.scheduler.clock())

    def _read(self, driver: stream.Stream) -> str:
        while driver.ending is None:
            driver.wait()
            data = driver.read(stream.READ_CHUNK_BYTES)
            if isinstance(data, CloseReason):
                return data.name.lower()
            if data:
                if self._layer:
                    data, back = self._layer.feed(data)
                    driver.write(back)
                why = self.exchange.receive(data, self.scheduler.clock())
                if why:
                    return why
                self._flush()
                self._arm()
        return driver.ending.name.lower()

    def _flush(self) -> None:
        data = self.exchange.take()
        if self._stream and data:
            self._stream.write(self._layer.write(data) if self._layer else data)

    def _arm(self) -> None:
        due = self.exchange.next_at(self.scheduler.clock())
        if self._timer is None or due < self._timer.when:
            if self._timer:
                self._timer.cancel()
            self._timer = self.scheduler.at(due, self._advance)

    def _advance(self) -> None:
        self._timer = None
        why = self.exchange.advance(self.scheduler.clock())
        if why and self._stream:
            log.warning("store: given up", why=why)
            self._stream.close(CloseReason.STALLED)
        self._flush()
        self._arm()
