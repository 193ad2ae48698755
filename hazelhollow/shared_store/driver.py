"""Drives the client's socket to the store: connects, reads, writes, and sets one timer."""

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

MAX_UNWRITTEN_BYTES = 1024 * 1024

log = structlog.get_logger(__name__)


def credentials(store_settings: StoreSettings) -> Credentials:
    """Returns the credentials by the settings; the password is the first line of its file.

    Raises:
        OSError: The password file cannot be read.
        UnicodeDecodeError: The password file is not UTF-8.
    """
    password = ""
    if store_settings.password_file:
        password = Path(store_settings.password_file).read_text().partition("\n")[0].strip()
    return Credentials(store_settings.username, password, store_settings.database)


def tls_layer(store_settings: StoreSettings) -> tls.Layer | None:
    """Returns the TLS layer by the settings; None if they do not switch TLS on.

    Raises:
        OSError: A certificate or key file cannot be read.
        ssl.SSLError: A file is not a usable certificate or key.
    """
    if store_settings.tls is None:
        return None
    context = tls.client_context(
        store_settings.tls.ca_file, store_settings.tls.cert_file, store_settings.tls.key_file
    )
    return tls.Layer(context, store_settings.tls.server_name or store_settings.address[0])


class SharedStoreDriver:
    """One limiter's connection to its store; reconnects whenever the connection ends."""

    def __init__(self, scheduler: Scheduler, client: StoreClient) -> None:
        self.scheduler, self.client = scheduler, client
        self._stream: stream.Stream | None = None
        self._layer: tls.Layer | None = None
        self._timer: Timer | None = None

    def start(self) -> None:
        """Starts to connect; reconnects until the process ends."""
        self.scheduler.spawn_supervised(self._run, "store")
        self._advance()

    def change(self, store_settings: StoreSettings) -> None:
        """Reconnects with new settings; the files that they name are read again."""
        self.client.store_settings = store_settings
        if self._stream:
            self._stream.close(CloseReason.MOVED)

    def pump(self) -> None:
        """Writes the ledger's pending calls, if any."""
        self.client.pump(self.scheduler.clock())
        self._flush()
        self._arm()

    def _run(self) -> None:
        while True:
            reason = self._run_connection()
            wait = self.client.retry_in()
            log.warning(
                "store: disconnected, calls fail until reconnected",
                why=reason,
                address="{}:{}".format(*self.client.store_settings.address),
                again_in=round(wait, 3),
            )
            self.scheduler.sleep(wait)

    def _run_connection(self) -> str:
        """Runs one connection from the attempt to open it to its end; returns why it ended."""
        store_settings = self.client.store_settings
        try:
            login = credentials(store_settings)
            layer = tls_layer(store_settings)
        except (OSError, ssl.SSLError, UnicodeDecodeError) as error:
            return str(error)
        connection = stream.connect(
            self.scheduler,
            store_settings.address,
            MAX_UNWRITTEN_BYTES,
            store_settings.connect_timeout,
        )
        if isinstance(connection, CloseReason):
            return connection.name.lower()
        self._stream, self._layer = connection, layer
        try:
            if layer:
                connection.write(layer.begin())
            self.client.opened(login, self.scheduler.clock())
            self._flush()
            self._arm()
            return self._read(connection)
        except ssl.SSLError as error:
            return f"TLS: {error.reason or error}"
        finally:
            connection.close(CloseReason.CLOSED)
            self._stream = self._layer = None
            self.client.closed(self.scheduler.clock())

    def _read(self, connection: stream.Stream) -> str:
        while connection.close_reason is None:
            connection.wait()
            data = connection.read(stream.READ_CHUNK_BYTES)
            if isinstance(data, CloseReason):
                return data.name.lower()
            if data:
                if self._layer:
                    data, tls_reply = self._layer.feed(data)
                    connection.write(tls_reply)
                error = self.client.receive(data, self.scheduler.clock())
                if error:
                    return str(error)
                self._flush()
                self._arm()
        return connection.close_reason.name.lower()

    def _flush(self) -> None:
        data = self.client.drain_output()
        if self._stream and data:
            self._stream.write(self._layer.write(data) if self._layer else data)

    def _arm(self) -> None:
        due = self.client.next_at(self.scheduler.clock())
        if self._timer is None or due < self._timer.when:
            if self._timer:
                self._timer.cancel()
            self._timer = self.scheduler.at(due, self._advance)

    def _advance(self) -> None:
        self._timer = None
        error = self.client.advance(self.scheduler.clock())
        if error and self._stream:
            log.warning("store: closing the connection after an error", why=str(error))
            self._stream.close(CloseReason.STALLED)
        self._flush()
        self._arm()
