"""The routing table.

A watch on discovery that starts from the last known list and never gives up.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import orjson

from hazelhollow.decisions import interface as api
from hazelhollow.net import http1, stream
from hazelhollow.net.close_reason import CloseReason
from hazelhollow.net.rate_limited_log import RateLimitedLog
from hazelhollow.net.resp import ProtocolError
from hazelhollow.net.scheduler import TIMED_OUT, Scheduler
from hazelhollow.net.stats import Stats
from hazelhollow.platform_config import address as parse_address

PATH = "/discovery/hosts"
# seconds that a call waits for news: a watch that has fallen silent shows so much sooner
HOLD = 1.5
SILENCE = 0.5  # past the wait: then the call is held to be lost and a new one is made
# Past these another call is made: what the agent has counts as told, and a drain is to be kept
# within 0.3 s of that. The agent is on this machine, lets in and answers at once; one that takes
# longer is still heard, up to PATIENT.
AT_ONCE = CONNECT = 0.15  # seconds
PATIENT = 2.0
PAUSE = 0.1  # before another try, under the 200 ms in which a watch goes on
_STATES: dict[str, api.EndpointState] = {
    "in_service": "up",
    "terminating": "draining",
    "terminated": "gone",
}

log = logging.getLogger(__name__)


class TableError(Exception):
    """A list that is not of discovery's form; its text says where."""


class Table:
    """The list as it stands: version, and each backend host's entry and address."""

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[str, api.EndpointEntry] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.ever: set[str] = set()  # the names that a list of this incarnation has held

    def apply(self, document: Any, cached: bool = False, least: int = 0) -> api.EndpointsUpdated:
        """Takes in a list or the changes to it; gives the module's event.

        All is read before any is applied.

        `least`: the version that changes must not go back behind. Raises TableError, with nothing
        changed. An entry of a whole list that cannot be read is left out: asked again, discovery
        would only say the same, and one odd entry must not hide all the others. Among changes to a
        list that stands it may be a drain that would be missed, so there it is an error, after
        which the whole list is asked for.
        """
        try:
            version, whole, entries = (
                int(document["index"]),
                bool(document["snapshot"]),
                list(document["endpoints"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise TableError(f"not a routing table: {error!r}") from None
        if not whole and version < least:
            raise TableError(f"a change to version {version}, older than the list's {least}")
        read = []
        for e in entries:
            try:
                read.append((_entry(e), parse_address(e["address"])))
            except (AttributeError, KeyError, TypeError, ValueError) as error:
                log.warning("discovery: an unreadable entry: %r", error)
                if not whole and least:
                    raise TableError(f"a change that cannot be read: {error!r}") from None
        self.version = version
        if whole:
            self.entries, self.addresses = {}, {}
        for entry, address in read:
            self.ever.add(entry.name)
            if entry.state == "gone":
                self.entries.pop(entry.name, None)
                self.addresses.pop(entry.name, None)
            else:
                self.entries[entry.name], self.addresses[entry.name] = entry, address
        kind: api.ListKind = "cached" if cached else "full" if whole else "change"
        return api.EndpointsUpdated(kind, tuple(entry for entry, _ in read))

    def open_addresses(self) -> dict[str, tuple[str, int]]:
        """Of the hosts that may get new work."""
        return {
            name: self.addresses[name]
            for name, entry in self.entries.items()
            if entry.state == "up"
        }


def _entry(e: Any) -> api.EndpointEntry:
    return api.EndpointEntry(
        name=str(e["name"]),
        state=_STATES[e["status"]],
        zone=str(e.get("zone", "")),
        cell=int(e.get("group", 0)),
        weight=float(e.get("weight", 1.0)),
        started=float(e.get("since_ms", 0)) / 1000.0,
    )


class Watch:
    """Keeps the table as discovery has it.

    Whatever fails, the next call follows within PAUSE and without back-off: the agent is on this
    machine, and what it has counts as told. After a failure the call is for the whole list.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        stats: Stats,
        address: tuple[str, int],
        table: Table,
        changed: Callable[[api.EndpointsUpdated], None],
        make_room: Callable[[], bool] = lambda: False,
    ) -> None:
        """`make_room`: frees a descriptor, where one can be had, and says whether it did."""
        self._scheduler, self._stats, self.address = scheduler, stats, address
        self._table, self._changed, self._make_room = table, changed, make_room
        # whether the list that stands is the one that this watch has gone on from
        self.heard = False
        self._log = RateLimitedLog(log, scheduler.clock)
        self._driver: stream.Stream | None = None
        self._slow: stream.Stream | None = (
            None  # on which the whole list may still come, while others are tried
        )

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on, at once and not when the call that is out ends.

        The new one's versions need not be the old one's, so it is asked for the whole list first.
        """
        if address != self.address:
            self.address, self.heard = address, False
            for driver in (self._driver, self._slow):
                if driver:
                    driver.close(CloseReason.MOVED)

    def run(self) -> None:
        while True:
            ending = CloseReason.BROKEN_HERE
            try:
                ending = self._connection()
            finally:
                if ending is not CloseReason.ANSWERED:
                    # What was told meanwhile, and to whom discovery counts it as told, is not
                    # known: so the whole list.
                    self.heard = False
                    self._stats.watches_lost += 1
                    self._log.say(logging.INFO, "discovery: %s", ending.name.lower())
            if ending is not CloseReason.MOVED:
                self._scheduler.sleep(PAUSE)

    def _connection(self) -> CloseReason:
        driver = self._unconnected()
        if isinstance(driver, CloseReason):
            return driver
        self._driver = driver
        parser, ending, is_up = http1.Parser(), CloseReason.BROKEN_HERE, False
        try:
            failure = driver.establish(self.address, self._scheduler.clock() + CONNECT)
            is_up = failure is None
            ending = failure or self._guarded(self._calls, driver, parser)
        finally:
            late = ending in (CloseReason.NEVER_UP, CloseReason.TIMED_OUT) and not self.heard
            if late and self._slow is None:
                self._slow = driver
                tables = self._stats.tables
                self._scheduler.spawn(
                    self._await_slow, driver, parser, is_up, tables, name="slow discovery"
                )
            else:
                driver.close(ending)
        return ending

    def _unconnected(self) -> stream.Stream | CloseReason:
        """A socket, also where clients hold all descriptors: one of them goes for it."""
        driver = stream.unconnected(self._scheduler, http1.MAX_HEAD_BYTES)
        if driver is CloseReason.NO_DESCRIPTOR and self._make_room():
            driver = stream.unconnected(self._scheduler, http1.MAX_HEAD_BYTES)
        return driver

    def _guarded(self, run: Callable[..., CloseReason], *args: Any) -> CloseReason:
        try:
            return run(*args)
        except (ProtocolError, TableError, orjson.JSONDecodeError) as error:
            self._log.warning("discovery: %s", error)
            return CloseReason.MALFORMED

    def _await_slow(
        self, driver: stream.Stream, parser: http1.Parser, is_up: bool, tables: int
    ) -> None:
        """The answer to a call that another has followed. One call at a time is waited for so."""
        ending = CloseReason.BROKEN_HERE
        try:
            ending = self._guarded(self._hear_slow, driver, parser, is_up, tables)
        finally:
            driver.close(ending)
            self._slow = None

    def _hear_slow(
        self, driver: stream.Stream, parser: http1.Parser, is_up: bool, tables: int
    ) -> CloseReason:
        """`is_up`: whether the connection was, so that the call has been sent.

        `tables`: how many lists had been heard when it was begun; where one has come since, this
        one is older.
        """
        until = self._scheduler.clock() + PATIENT
        if not is_up:
            failure = driver.await_connected(until)
            if failure:
                return failure
            self._ask(driver, PATH)
        answer = self._answer(driver, parser, until)
        if isinstance(answer, CloseReason):
            return answer
        if answer.status == 200 and tables == self._stats.tables:
            self._heard(answer.body)
        return CloseReason.ANSWERED

    def _ask(self, driver: stream.Stream, target: str) -> None:
        driver.write(http1.get(target, f"{self.address[0]}:{self.address[1]}"))

    def _calls(self, driver: stream.Stream, parser: http1.Parser) -> CloseReason:
        while True:
            # A watch begins with the whole list, which must come at once: the one known may be too
            # old.
            query = f"?from={self._table.version}&hold_ms={int(HOLD * 1000)}" if self.heard else ""
            self._ask(driver, PATH + query)
            patience = HOLD + SILENCE if self.heard else AT_ONCE
            answer = self._answer(driver, parser, self._scheduler.clock() + patience)
            if isinstance(answer, CloseReason):
                return answer
            if answer.status != 200:
                self._log.warning("discovery: status %d", answer.status)
                return CloseReason.MALFORMED
            self._heard(answer.body)
            if not answer.keep:
                return CloseReason.ANSWERED

    def _answer(
        self, driver: stream.Stream, parser: http1.Parser, until: float
    ) -> http1.Response | CloseReason:
        answer = parser.next()
        while answer is None:
            late = driver.wait(until) == TIMED_OUT
            data = driver.read(
                stream.READ_CHUNK_BYTES
            )  # also when the time is over: this process may have been the late one
            if data is None and late:
                return CloseReason.TIMED_OUT
            if isinstance(data, CloseReason):
                answer = parser.end() if data is CloseReason.CLOSED else None
                return answer or data
            if data:
                parser.feed(data)
                answer = parser.next()
        return answer

    def _heard(self, body: bytes) -> None:
        event = self._table.apply(
            orjson.loads(body), least=self._table.version if self.heard else 0
        )
        self._stats.tables += 1
        self.heard = True
        if event.entries or event.kind == "full":
            self._changed(event)
