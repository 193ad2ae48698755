"""The endpoint list: applies discovery's full lists and changes to the current list.

This module does no I/O. `discovery_watch` feeds it; `service` passes its events to the decision
engine and its addresses to the connection pool.

| discovery's `status` | state of the entry | new requests | requests in flight |
| --- | --- | --- | --- |
| `in_service` | up | yes | continue |
| `terminating` | draining | no | continue |
| `terminated` | gone: the entry is removed | no | continue until their connections end |

An endpoint whose address has a later occupant (`address_occupants`) counts as draining: a request
for it would reach the other process, which may belong to another zone or cell.
"""

from __future__ import annotations

import ipaddress
import logging
import math
import re
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from hazelhollow.decisions import interface as api
from hazelhollow.net.address_occupants import AddressOccupants
from hazelhollow.net.errors import EndpointListError
from hazelhollow.net.start_times import StartTimes
from hazelhollow.platform_config import parse_address

_STATES: dict[str, api.EndpointState] = {
    "in_service": "up",
    "terminating": "draining",
    "terminated": "gone",
}

_NAME = re.compile(r"[!-~]{1,128}")

log = logging.getLogger(__name__)


class EndpointList:
    """The current endpoint list.

    Attributes:
        version: Discovery's version number of the list.
        entries: The entries by endpoint name as discovery has them, without those that are gone.
        addresses: The addresses of the same endpoints.
        ever_listed: All endpoint names that were ever listed in this process.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        """`clock`: the process's clock, to which start times are converted; None keeps them."""
        self._start_times = StartTimes(clock) if clock else None
        self.version = 0
        self.entries: dict[str, api.EndpointEntry] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.ever_listed: set[str] = set()
        self._occupants = AddressOccupants()

    def apply(
        self, document: Any, cached: bool = False, min_version: int = 0
    ) -> api.EndpointsUpdated:
        """Applies a full list or a change. The document is parsed completely before it is applied.

        In a full list an unreadable entry is skipped: discovery would return the same entry again,
        and one bad entry must not hide all others. In a change an unreadable entry may be a drain,
        which must not be missed, so it is an error, after which the full list is requested.

        Args:
            document: Discovery's decoded JSON.
            cached: Whether this is the list of the configuration file, which may be outdated.
            min_version: A change with a lower version is an error.

        Returns:
            The event for the decision engine.

        Raises:
            EndpointListError: The document is malformed or outdated; the list is unchanged.
        """
        version, is_snapshot, raw_entries = _read_document(document)
        if not is_snapshot and version < min_version:
            raise EndpointListError(
                f"change to version {version} is older than the list's version {min_version}"
            )
        parsed = _parse_entries(raw_entries, skip_unreadable=is_snapshot or not min_version)
        self.version = version
        parsed = self._with_converted_starts(parsed, cached)
        superseded_before = set(self._occupants.superseded)
        if is_snapshot:
            self._remove_unlisted({entry.name for entry, _ in parsed})
        for entry, address in parsed:
            self._apply_entry(entry, address)
        kind: api.ListKind = "cached" if cached else "full" if is_snapshot else "change"
        entries = [self._effective(entry) for entry, _ in parsed]
        if not is_snapshot:
            named = {entry.name for entry in entries}
            changed = (self._occupants.superseded ^ superseded_before) - named
            entries += [
                self._effective(self.entries[name])
                for name in sorted(changed)
                if name in self.entries
            ]
        return api.EndpointsUpdated(kind, tuple(entries))

    def _remove_unlisted(self, listed: set[str]) -> None:
        for name in self.entries.keys() - listed:
            self._forget(name)
        self.entries, self.addresses = {}, {}

    def _apply_entry(self, entry: api.EndpointEntry, address: tuple[str, int]) -> None:
        self.ever_listed.add(entry.name)
        if entry.state == "gone":
            self.entries.pop(entry.name, None)
            self.addresses.pop(entry.name, None)
            self._forget(entry.name)
        else:
            self.entries[entry.name], self.addresses[entry.name] = entry, address
            self._occupants.listed(entry)

    def _forget(self, name: str) -> None:
        self._occupants.unlisted(name)
        if self._start_times:
            self._start_times.forget(name)

    def _with_converted_starts(
        self, parsed: list[tuple[api.EndpointEntry, tuple[str, int]]], cached: bool
    ) -> list[tuple[api.EndpointEntry, tuple[str, int]]]:
        """Returns the entries with their starts by the process's clock."""
        if not self._start_times:
            return parsed
        self._start_times.begin_list([entry.started for entry, _ in parsed], cached)
        return [
            (self._with_converted_start(self._start_times, entry), address)
            for entry, address in parsed
        ]

    @staticmethod
    def _with_converted_start(times: StartTimes, entry: api.EndpointEntry) -> api.EndpointEntry:
        started = times.convert(entry.name, entry.started)
        return entry if started == entry.started else replace(entry, started=started)

    def _effective(self, entry: api.EndpointEntry) -> api.EndpointEntry:
        """Returns the entry as the decision engine has to see it."""
        if entry.state == "up" and entry.name in self._occupants.superseded:
            return replace(entry, state="draining")
        return entry

    def in_service_addresses(self) -> dict[str, tuple[str, int]]:
        """Returns the addresses of the endpoints that may receive new requests."""
        return {
            name: self.addresses[name]
            for name, entry in self.entries.items()
            if entry.state == "up" and name not in self._occupants.superseded
        }

    def start_times(self) -> dict[str, float]:
        """Returns when each listed endpoint last started (Unix time); 0 means long ago."""
        return {name: entry.started for name, entry in self.entries.items()}


def _read_document(document: Any) -> tuple[int, bool, list[Any]]:
    """Returns the version, whether the list is complete, and its entries; all types are checked."""
    if not isinstance(document, dict):
        raise EndpointListError("not a routing table: no object")
    version, is_snapshot = document.get("index"), document.get("snapshot")
    entries = document.get("endpoints")
    if type(version) is not int or version < 0:
        raise EndpointListError(f"not a routing table: index {version!r}")
    if type(is_snapshot) is not bool:
        raise EndpointListError(f"not a routing table: snapshot {is_snapshot!r}")
    if not isinstance(entries, list):
        raise EndpointListError("not a routing table: no list of endpoints")
    return version, is_snapshot, entries


def _parse_entries(
    raw_entries: list[Any], skip_unreadable: bool
) -> list[tuple[api.EndpointEntry, tuple[str, int]]]:
    parsed = []
    for raw in raw_entries:
        try:
            entry = _parse_entry(raw)
            parsed.append((entry, parse_address(entry.address)))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.warning("discovery: cannot read an entry of the endpoint list: %r", error)
            if not skip_unreadable:
                raise EndpointListError(f"cannot read an entry of a change: {error!r}") from None
    return parsed


def _parse_entry(raw: Any) -> api.EndpointEntry:
    """Parses an entry; raises KeyError, TypeError or ValueError if a value has another form."""
    name, zone, group = raw["name"], raw.get("zone", ""), raw.get("group")
    host, port = _parse_endpoint_address(raw["address"])
    if not isinstance(name, str) or not _NAME.fullmatch(name) or not isinstance(zone, str):
        raise ValueError(f"name {name!r}, zone {zone!r}")
    if group is not None and (type(group) is not int or group < 0):
        raise ValueError(f"group {group!r}")
    return api.EndpointEntry(
        name=name,
        state=_STATES[raw["status"]],
        zone=zone,
        cell=api.unknown_cell(name) if group is None else group,
        weight=_parse_number(raw.get("weight", 1.0)),
        started=_parse_number(raw.get("since_ms", 0)) / 1000.0,
        address=f"{host}:{port}",
    )


def _parse_number(value: Any) -> float:
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise ValueError(f"number {value!r}")
    return float(value)


def _parse_endpoint_address(text: Any) -> tuple[str, int]:
    """Parses `IPv4:port`. A host name would be looked up by the event loop."""
    if not isinstance(text, str):
        raise TypeError(f"address {text!r}")
    host, port = parse_address(text)
    ipaddress.IPv4Address(host)
    return host, port
