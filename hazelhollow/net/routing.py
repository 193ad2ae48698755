"""The routing table: a watch on discovery that starts from the last known list and never gives up."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import orjson

from hazelhollow import interface as api
from hazelhollow.config import address as parse_address
from hazelhollow.net import http1, stream
from hazelhollow.net import scheduler as sch
from hazelhollow.net.ending import Ending
from hazelhollow.net.resp import ProtocolError
from hazelhollow.net.stats import Stats

PATH = "/discovery/hosts"
HOLD = 5.0  # seconds that a call waits for news
SILENCE = 1.0  # past the wait: then the call is held to be lost and a new one is made
CONNECT = 0.5
PAUSE = 0.1  # before another try, under the 200 ms in which a watch goes on
_STATES: dict[str, api.ServerState] = {"in_service": "up", "terminating": "draining", "terminated": "gone"}

log = logging.getLogger(__name__)


class TableError(Exception):
    """A list that is not of discovery's form; its text says where."""


class Table:
    """The list as it stands: version, and each issuer host's entry and address."""

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[str, api.ServerEntry] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.ever: set[str] = set()  # the names that a list of this life has held

    def apply(self, document: Any, cached: bool = False) -> api.Servers:
        """Takes in a list or the changes to it; gives the module's event. All is read before any is applied.

        An entry that cannot be read is left out: asked again, discovery would only say the same, and one odd
        entry must not hide all the others.
        """
        try:
            version, whole, entries = (
                int(document["index"]),
                bool(document["snapshot"]),
                list(document["endpoints"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise TableError(f"not a routing table: {error!r}") from None
        read = []
        for e in entries:
            try:
                read.append((_entry(e), parse_address(e["address"])))
            except (AttributeError, KeyError, TypeError, ValueError) as error:
                log.warning("discovery: an unreadable entry: %r", error)
        self.version = version
        if whole:
            self.entries, self.addresses = {}, {}
        for entry, address in read:
            self.ever.add(entry.server)
            if entry.state == "gone":
                self.entries.pop(entry.server, None)
                self.addresses.pop(entry.server, None)
            else:
                self.entries[entry.server], self.addresses[entry.server] = entry, address
        kind: api.ListKind = "cached" if cached else "full" if whole else "change"
        return api.Servers(kind, tuple(entry for entry, _ in read))

    def open_addresses(self) -> dict[str, tuple[str, int]]:
        """Of the hosts that may get new work."""
        return {name: self.addresses[name] for name, entry in self.entries.items() if entry.state == "up"}


def _entry(e: Any) -> api.ServerEntry:
    return api.ServerEntry(
        server=str(e["name"]),
        state=_STATES[e["status"]],
        zone=str(e.get("zone", "")),
        cell=int(e.get("group", 0)),
        weight=float(e.get("weight", 1.0)),
        started=float(e.get("since_ms", 0)) / 1000.0,
    )


class Watch:
    def __init__(
        self,
        scheduler: sch.Scheduler,
        stats: Stats,
        address: tuple[str, int],
        table: Table,
        changed: Callable[[api.Servers], None],
    ) -> None:
        self._scheduler, self._stats, self.address = scheduler, stats, address
        self._table, self._changed = table, changed
        self.heard = False  # whether discovery, at the address it has now, has answered in this life
        self._driver: stream.Stream | None = None

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on, at once and not when the call that is out ends.

        The new one's versions need not be the old one's, so it is asked for the whole list first.
        """
        if address != self.address:
            self.address, self.heard = address, False
            if self._driver:
                self._driver.close(Ending.MOVED)

    def run(self) -> None:
        while True:
            ending = self._connection()
            self._stats.watches_lost += 1
            log.info("discovery: %s", ending.name.lower())
            if ending is not Ending.MOVED:
                self._scheduler.sleep(PAUSE)

    def _connection(self) -> Ending:
        driver = stream.connect(self._scheduler, self.address, http1.MOST_HEAD, CONNECT, self._hold)
        if isinstance(driver, Ending):
            return driver
        parser, ending = http1.Parser(), Ending.BROKEN_HERE
        try:
            ending = self._calls(driver, parser)
        except (ProtocolError, TableError, orjson.JSONDecodeError) as error:
            log.warning("discovery: %s", error)
            ending = Ending.MALFORMED
        finally:
            driver.close(ending)
        return ending

    def _hold(self, driver: stream.Stream) -> None:
        self._driver = driver

    def _calls(self, driver: stream.Stream, parser: http1.Parser) -> Ending:
        host = f"{self.address[0]}:{self.address[1]}"
        while True:
            # The first answer of a life must come at once, and the list known at the start may be too old.
            hold = HOLD if self.heard else 0.0
            query = f"?from={self._table.version}&hold_ms={int(hold * 1000)}"
            driver.write(http1.get(PATH + (query if self.heard else ""), host))
            until = self._scheduler.clock() + hold + SILENCE
            answer = None
            while answer is None:
                if driver.wait(until) == sch.TIMEOUT:
                    return Ending.TIMED_OUT
                data = driver.read(stream.CHUNK)
                if isinstance(data, Ending):
                    return data
                if data:
                    parser.feed(data)
                    answer = parser.next()
            if answer.status != 200:
                log.warning("discovery: status %d", answer.status)
                return Ending.MALFORMED
            self._heard(answer.body)
            if not answer.keep:
                return Ending.CLOSED

    def _heard(self, body: bytes) -> None:
        event = self._table.apply(orjson.loads(body))
        self._stats.tables += 1
        self.heard = True
        if event.entries or event.kind == "full":
            self._changed(event)
