"""The endpoint list: reading what discovery gives, whole or as a change, into the list that stands.

No I/O. `discovery_watch` feeds it; `service` passes its events on to the decision engine and its
addresses to the connection pool.

| discovery's `status` | state of the entry | new work | requests in flight |
| --- | --- | --- | --- |
| `in_service` | up | yes | go on |
| `terminating` | draining | no | go on |
| `terminated` | gone: the entry is dropped | no | go on until their connections end |
"""

from __future__ import annotations

import logging
from typing import Any

from hazelhollow.decisions import interface as api
from hazelhollow.net.errors import EndpointListError
from hazelhollow.platform_config import parse_address

_STATES: dict[str, api.EndpointState] = {
    "in_service": "up",
    "terminating": "draining",
    "terminated": "gone",
}

log = logging.getLogger(__name__)


class EndpointList:
    """The list as it stands.

    Attributes:
        version: Discovery's number of it.
        entries: By endpoint name; those that are gone are left out.
        addresses: Of the same endpoints.
        ever_listed: The names that any list of this process has held.
    """

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[str, api.EndpointEntry] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.ever_listed: set[str] = set()

    def apply(
        self, document: Any, cached: bool = False, min_version: int = 0
    ) -> api.EndpointsUpdated:
        """Takes in a whole list or the changes to it. All is read before any of it is applied.

        An entry of a whole list that cannot be read is left out: asked again, discovery would say
        the same, and one odd entry must not hide all others. Among changes it may be a drain that
        would be missed, so there it is an error, after which the whole list is asked for.

        Args:
            document: Discovery's JSON, decoded.
            cached: It is the list of the configuration file, which may be old.
            min_version: Changes of an earlier version than this are an error.

        Returns:
            The event for the decision engine.

        Raises:
            EndpointListError: It is not of discovery's form; nothing has changed.
        """
        try:
            version, whole = int(document["index"]), bool(document["snapshot"])
            raw_entries = list(document["endpoints"])
        except (KeyError, TypeError, ValueError) as error:
            raise EndpointListError(f"not a routing table: {error!r}") from None
        if not whole and version < min_version:
            raise EndpointListError(
                f"a change to version {version}, older than the list's {min_version}"
            )
        read = _read_entries(raw_entries, skip_unreadable=whole or not min_version)
        self.version = version
        if whole:
            self.entries, self.addresses = {}, {}
        for entry, address in read:
            self.ever_listed.add(entry.name)
            if entry.state == "gone":
                self.entries.pop(entry.name, None)
                self.addresses.pop(entry.name, None)
            else:
                self.entries[entry.name], self.addresses[entry.name] = entry, address
        kind: api.ListKind = "cached" if cached else "full" if whole else "change"
        return api.EndpointsUpdated(kind, tuple(entry for entry, _ in read))

    def in_service_addresses(self) -> dict[str, tuple[str, int]]:
        """The addresses of the endpoints that may get new work."""
        return {
            name: self.addresses[name]
            for name, entry in self.entries.items()
            if entry.state == "up"
        }


def _read_entries(
    raw_entries: list[Any], skip_unreadable: bool
) -> list[tuple[api.EndpointEntry, tuple[str, int]]]:
    read = []
    for raw in raw_entries:
        try:
            read.append((_read_entry(raw), parse_address(raw["address"])))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.warning("discovery: an unreadable entry: %r", error)
            if not skip_unreadable:
                raise EndpointListError(f"a change that cannot be read: {error!r}") from None
    return read


def _read_entry(raw: Any) -> api.EndpointEntry:
    return api.EndpointEntry(
        name=str(raw["name"]),
        state=_STATES[raw["status"]],
        zone=str(raw.get("zone", "")),
        cell=int(raw.get("group", 0)),
        weight=float(raw.get("weight", 1.0)),
        started=float(raw.get("since_ms", 0)) / 1000.0,
    )
