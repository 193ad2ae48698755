"""The listed endpoints and values derived from all of them, updated incrementally.

The mean weight, the tags, the endpoints that are up and those that are warming up are stored beside
the endpoints. The cost of a change to the list therefore depends on the number of changed entries,
and a full list without changes costs one comparison per entry.

An endpoint is represented by one `Endpoint` from its listing until it is removed or restarts (its
entry then has another `started`), and everything learned about it is kept for that time.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import replace

from hazelhollow.decisions.events import EndpointEntry, EndpointsUpdated
from hazelhollow.decisions.settings import Settings
from hazelhollow.decisions.state.endpoint import (
    MEAN_CONCURRENCY,
    MIN_CONCURRENCY,
    Endpoint,
    EndpointWeights,
)
from hazelhollow.decisions.state.endpoint_ring import EndpointRing

MAX_CHANGES_IN_PLACE = 64  # beyond this many changes in one list, a complete rebuild is cheaper
EndpointGroup = tuple[str, str | int]  # "zone" or "cell", and its name or number


class EndpointTable:
    """The listed endpoints.

    Attributes:
        endpoints: All endpoints by name, in the order of the list.
        disabled: The names of endpoints that an operator disabled, listed or not.
        up: The endpoints that may get new work, by name.
        weights: The weights of all endpoints.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.endpoints: dict[str, Endpoint] = {}
        self.disabled: set[str] = set()
        self.up: dict[str, Endpoint] = {}
        # `up` by zone and by cell; built at the first use.
        self._groups: dict[EndpointGroup, dict[str, Endpoint]] | None = None
        self.weights, self._warm_weights = EndpointWeights(), EndpointWeights()
        self._warming: set[str] = set()
        self._starts: list[tuple[float, str]] = []  # a heap of the start times of those warming up
        # The endpoints of `up`, by whether they are warming up.
        self._rings = {False: EndpointRing(), True: EndpointRing()}
        self._by_tag: dict[str, Endpoint] = {}
        # Endpoints by tag and name, for tags that several endpoints share.
        self._same_tag: dict[str, dict[str, Endpoint]] = {}
        self._warm_concurrency: float | None = None
        self._all: list[Endpoint] | None = None
        self._all_up: list[Endpoint] | None = None
        # The times at which an operator enabled endpoints again, by name.
        self._enabled_at: dict[str, float] = {}

    # Reading

    def by_tag(self, tag: str) -> Endpoint | None:
        """Returns the endpoint with a tag; if several share it, the last in the list."""
        return self._by_tag.get(tag)

    def all(self) -> list[Endpoint]:
        """Returns all endpoints in the order of the list. Callers must not modify the result."""
        if self._all is None:
            self._all = list(self.endpoints.values())
        return self._all

    def all_up(self) -> list[Endpoint]:
        """Returns the endpoints that may get new work. Callers must not modify the result."""
        if self._all_up is None:
            self._all_up = list(self.up.values())
        return self._all_up

    def all_of(self, group: EndpointGroup) -> list[Endpoint]:
        """Returns the endpoints of a zone or a cell that may get new work."""
        if self._groups is None:
            self._groups = {}
            for endpoint in self.up.values():
                _add_to_groups(self._groups, endpoint)
        return list(self._groups.get(group, {}).values())

    def ring(self, warming_up: bool, now: float) -> list[tuple[str, str]]:
        """Returns the tags and names of the endpoints that are up, in an order all limiters share.

        `warming_up` selects those that are warming up or those that are not.
        """
        self._end_warm_ups(now)
        return self._rings[warming_up].read()

    def warm_concurrency(self, now: float) -> float:
        """Returns the total concurrency of the endpoints that are not warming up."""
        self._end_warm_ups(now)
        if self._warm_concurrency is None:
            mean = self.weights.mean
            counts = self._warm_weights.counts.items()
            self._warm_concurrency = sum(
                [n * max(MEAN_CONCURRENCY * w / mean, MIN_CONCURRENCY) for w, n in counts]
            )
        return self._warm_concurrency

    def may_get_new_work(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is up and not disabled by an operator."""
        return endpoint.entry.state == "up" and endpoint.entry.name not in self.disabled

    # Changes

    def apply(self, event: EndpointsUpdated, now: float) -> None:
        """Applies an endpoint list or a change to it."""
        self._apply_list(event, now)
        self._restart_enabled(now)

    def override(self, name: str, disabled: bool, now: float) -> None:
        """Applies an operator's decision to disable an endpoint or to enable it again.

        An endpoint that is enabled again counts as restarted, regardless of the list, and warms up.
        """
        if not disabled and name not in self.disabled:
            return
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            self._remove_from_index(endpoint)
        if disabled:
            self.disabled.add(name)
        else:
            self.disabled.discard(name)
            self._enabled_at[name] = now
        if endpoint is not None:
            self._add_to_index(endpoint, now)
        self.weights.settle()
        self._restart_enabled(now)

    def reconfigure(self, settings: Settings, now: float) -> None:
        """Applies changed settings: the duration of the warm-up may be different."""
        before, self._settings = self._settings, settings
        if before.warm_up_time != settings.warm_up_time:
            self._rebuild(now)

    def _apply_list(self, event: EndpointsUpdated, now: float) -> None:
        names = [entry.name for entry in event.entries]
        if event.kind in ("change", "failed") or names == list(self.endpoints):
            gone = list[str]()
        else:
            gone = self._reorder(names)
        has_duplicates = len(set(names)) < len(names)  # then all entries are applied in turn
        changed = list(event.entries) if has_duplicates else self._changed_entries(event.entries)
        if len(gone) + len(changed) > MAX_CHANGES_IN_PLACE:
            self._apply_in_bulk(gone, changed, now)
        else:
            for name in gone:
                self._remove(name)
            for entry in changed:
                self._apply_entry(entry, now)
        self.weights.settle()

    def _restart_enabled(self, now: float) -> None:
        """Sets the start of endpoints that an operator enabled again to the time of enabling.

        The list may lack this start, or a later list may repeat an older one.
        """
        for name, at in list(self._enabled_at.items()):
            if at < now - self._settings.warm_up_time:
                del self._enabled_at[name]
            elif name in self.endpoints and self.endpoints[name].entry.started < at:
                endpoint = self.endpoints[name]
                self._replace_entry(endpoint, replace(endpoint.entry, started=at), now)
        self.weights.settle()

    def _changed_entries(self, entries: tuple[EndpointEntry, ...]) -> list[EndpointEntry]:
        """Returns the entries that differ from the table.

        The attributes are compared directly, since a dataclass's own comparison takes twice the
        time and a full list may be long.
        """
        changed, endpoints = list[EndpointEntry](), self.endpoints
        for entry in entries:
            current = endpoints.get(entry.name)
            if current is None or vars(current.entry) != vars(entry):
                changed.append(entry)
        return changed

    def _reorder(self, names: list[str]) -> list[str]:
        """Sorts the endpoints into the order of a full list, with unlisted endpoints last.

        Returns the names of the unlisted endpoints.
        """
        listed = dict.fromkeys(names)
        gone = [name for name in self.endpoints if name not in listed]
        ordered = [name for name in listed if name in self.endpoints] + gone
        if ordered != list(self.endpoints):
            endpoints = {name: self.endpoints[name] for name in ordered}
            self.endpoints.clear()
            self.endpoints.update(endpoints)
            self._all = None
            self._rebuild_tags()
        return gone

    def _apply_entry(self, entry: EndpointEntry, now: float) -> None:
        """Applies one entry of a list."""
        current = self.endpoints.get(entry.name)
        if entry.state == "gone":
            self._remove(entry.name)
        elif current is not None and current.entry.started == entry.started:
            self._replace_entry(current, entry, now)
        else:
            if current is not None:
                self._remove_from_index(current)
            endpoint = self.endpoints[entry.name] = self._create_endpoint(entry)
            self._all = None
            self._add_tag(endpoint)
            self._add_to_index(endpoint, now)

    def _create_endpoint(self, entry: EndpointEntry) -> Endpoint:
        return Endpoint(entry, self._settings.overload_window, self.weights)

    def _apply_in_bulk(self, gone: list[str], changed: list[EndpointEntry], now: float) -> None:
        """Applies many changes, followed by one rebuild of all derived values."""
        for name in gone:
            del self.endpoints[name]
        for entry in changed:
            current = self.endpoints.get(entry.name)
            if entry.state == "gone":
                self.endpoints.pop(entry.name, None)
            elif current is not None and current.entry.started == entry.started:
                current.entry = entry
            else:
                self.endpoints[entry.name] = self._create_endpoint(entry)
        self._rebuild(now)

    def _rebuild(self, now: float) -> None:
        """Rebuilds all values derived from the endpoints."""
        endpoints = self.endpoints.values()
        warming = [e for e in endpoints if e.is_warming_up(now, self._settings)]
        self._warming = {e.entry.name for e in warming}
        self._starts = [(e.entry.started, e.entry.name) for e in warming]
        heapq.heapify(self._starts)
        self.weights.replace([e.entry.weight for e in endpoints])
        self._warm_weights.replace(
            [e.entry.weight for e in endpoints if e.entry.name not in self._warming]
        )
        up = [e for e in endpoints if self.may_get_new_work(e)]
        self.up = {e.entry.name: e for e in up}
        self._rings = {
            warming_up: EndpointRing(
                [e for e in up if (e.entry.name in self._warming) == warming_up]
            )
            for warming_up in (False, True)
        }
        self._groups = self._all = self._all_up = self._warm_concurrency = None
        self._rebuild_tags()

    def _rebuild_tags(self) -> None:
        self._by_tag = {endpoint.tag: endpoint for endpoint in self.endpoints.values()}
        self._same_tag = {}
        if len(self._by_tag) == len(self.endpoints):
            return
        counts = Counter([endpoint.tag for endpoint in self.endpoints.values()])
        for name, endpoint in self.endpoints.items():
            if counts[endpoint.tag] > 1:
                self._same_tag.setdefault(endpoint.tag, {})[name] = endpoint

    def _add_tag(self, endpoint: Endpoint) -> None:
        """Registers the tag of a newly listed endpoint."""
        name = endpoint.entry.name
        first = self._by_tag.setdefault(endpoint.tag, endpoint)
        if first.entry.name == name and endpoint.tag not in self._same_tag:
            self._by_tag[endpoint.tag] = endpoint
            return
        same = self._same_tag.setdefault(endpoint.tag, {first.entry.name: first})
        same[name] = endpoint
        self._by_tag[endpoint.tag] = _last_listed(same)

    def _replace_entry(self, endpoint: Endpoint, entry: EndpointEntry, now: float) -> None:
        """Replaces the entry of an endpoint that has not restarted."""
        self._remove_from_index(endpoint)
        endpoint.entry = entry
        self._add_to_index(endpoint, now)

    def _remove(self, name: str) -> None:
        endpoint = self.endpoints.pop(name, None)
        if endpoint is None:
            return
        self._all = None
        self._remove_from_index(endpoint)
        same = self._same_tag.get(endpoint.tag)
        if same is None:
            del self._by_tag[endpoint.tag]
            return
        del same[name]
        self._by_tag[endpoint.tag] = _last_listed(same)
        if len(same) == 1:
            del self._same_tag[endpoint.tag]

    def _add_to_index(self, endpoint: Endpoint, now: float) -> None:
        """Adds an endpoint to all values derived from the entries."""
        entry, self._warm_concurrency = endpoint.entry, None
        self.weights.add(entry.weight)
        warming_up = endpoint.is_warming_up(now, self._settings)
        if warming_up:
            self._warming.add(entry.name)
            heapq.heappush(self._starts, (entry.started, entry.name))
        else:
            self._warm_weights.add(entry.weight)
        if self.may_get_new_work(endpoint):
            self.up[entry.name], self._all_up = endpoint, None
            if self._groups is not None:
                _add_to_groups(self._groups, endpoint)
            self._rings[warming_up].add(endpoint)

    def _remove_from_index(self, endpoint: Endpoint) -> None:
        """Removes an endpoint from the values derived from entries, before its entry changes."""
        entry, self._warm_concurrency = endpoint.entry, None
        self.weights.add(entry.weight, -1)
        warming_up = entry.name in self._warming
        if warming_up:
            self._warming.remove(entry.name)
        else:
            self._warm_weights.add(entry.weight, -1)
        if self.up.pop(entry.name, None) is not None:
            self._all_up = None
            if self._groups is not None:
                _remove_from_groups(self._groups, endpoint)
            self._rings[warming_up].remove(entry.name)

    def _end_warm_ups(self, now: float) -> None:
        """Ends the warm-up of endpoints that have been up for long enough."""
        while self._starts and self._starts[0][0] <= now - self._settings.warm_up_time:
            started, name = heapq.heappop(self._starts)
            if name in self._warming and self.endpoints[name].entry.started == started:
                self._remove_from_index(self.endpoints[name])
                self._add_to_index(self.endpoints[name], now)


def _groups_of(endpoint: Endpoint) -> tuple[EndpointGroup, EndpointGroup]:
    return ("zone", endpoint.entry.zone), ("cell", endpoint.entry.cell)


def _add_to_groups(groups: dict[EndpointGroup, dict[str, Endpoint]], endpoint: Endpoint) -> None:
    for group in _groups_of(endpoint):
        groups.setdefault(group, {})[endpoint.entry.name] = endpoint


def _remove_from_groups(
    groups: dict[EndpointGroup, dict[str, Endpoint]], endpoint: Endpoint
) -> None:
    for group in _groups_of(endpoint):
        del groups[group][endpoint.entry.name]
        if not groups[group]:
            del groups[group]


def _last_listed(endpoints: dict[str, Endpoint]) -> Endpoint:
    return next(reversed(endpoints.values()))
