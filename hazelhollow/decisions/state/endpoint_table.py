"""What a gateway knows of the servers, kept up change by change. No decision.

A change to the list costs what it changes, and a whole list that says what is known costs a
comparison for each entry: the mean weight, the names in messages, the servers that are up and those
that are still cold are kept beside the servers.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import replace
from zlib import crc32

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.gossip import codec as gossip

TAGS = 36**3  # of servers' names in messages
# classes that a server may have failed, until it is looked which of them are forgotten
HEALTHS = 16
BULK = 64  # changes in one list from which on it is cheaper to sort anew
Group = tuple[str, str | int]  # "zone" or "cell", and which


class Window:
    """A sum over the latest stretch of time."""

    def __init__(self, span: float) -> None:
        self.span, self.total = span, 0.0
        self.items: deque[tuple[float, float]] = deque()

    def add(self, now: float, amount: float) -> None:
        self.items.append((now, amount))
        self.total += amount
        self.trim(now)

    def sum(self, now: float) -> float:
        self.trim(now)
        return self.total

    def trim(self, now: float) -> None:
        while self.items and self.items[0][0] <= now - self.span:
            self.total -= self.items.popleft()[1]
        if not self.items:
            self.total = 0.0  # nor what rounding has left


class Health:
    """How a server has failed lately."""

    __slots__ = ("failures", "at", "ejections", "until")

    def __init__(self) -> None:
        self.failures, self.at, self.ejections, self.until = 0.0, 0.0, 0, 0.0

    def count(self, now: float, memory: float, weight: float = 1.0) -> float:
        """One more failure, each of which counts less as it ages; the count."""
        self.failures = self.failures * max(0.0, 1 - (now - self.at) / memory) + weight
        self.at = now
        return self.failures

    def eject(self, now: float, least: float, most: float) -> None:
        """For a term that doubles each time."""
        term = min(least * 2.0**self.ejections, most)
        self.ejections, self.until = self.ejections + 1, now + term


class Weights:
    """Weights of many servers, of which few differ.

    Their number, their mean, and the sum of the widths they come to.
    """

    __slots__ = ("counts", "number", "mean")

    def __init__(self) -> None:
        self.counts: Counter[float] = Counter()
        self.number, self.mean = 0, 1.0

    def add(self, weight: float, number: int = 1) -> None:
        """`number`: -1 takes one away."""
        self.counts[weight] += number
        if not self.counts[weight]:
            del self.counts[weight]
        self.number += number

    def count(self, weights: list[float]) -> None:
        """These in place of all."""
        self.counts, self.number = Counter(weights), len(weights)

    def settle(self) -> None:
        """After changes: the mean."""
        self.mean = sum([w * n for w, n in self.counts.items()]) / max(1, self.number) or 1.0


class Server:
    """What this gateway knows of one server.

    `weights`: those of all listed servers; `middling`: the requests that one of mean weight works
    on at once.
    """

    __slots__ = (
        "entry",
        "pace",
        "tag",
        "out",
        "since",
        "health",
        "_cold_span",
        "_sent",
        "_weights",
        "_middling",
    )

    def __init__(
        self, entry: api.EndpointEntry, cold_span: float, weights: Weights, middling: float
    ) -> None:
        self.entry, self.pace = entry, 1.0
        self.tag = gossip.base36(crc32(entry.name.encode()) % TAGS)  # its name in messages
        self.out: dict[tuple[str, int], float] = {}  # attempts out and their work
        self.since = 0.0  # when it answered last, or got work while it had none out
        self.health: dict[str, Health] = {}  # by class; under no name for all of them
        self._cold_span, self._sent = cold_span, None if not entry.started else Window(cold_span)
        self._weights, self._middling = weights, middling

    @property
    def width(self) -> float:
        """Requests that it is taken to work on at once."""
        return max(self._middling * self.entry.weight / self._weights.mean, self._middling / 4)

    @property
    def sent(self) -> Window:
        """Work, while cold."""
        if self._sent is None:
            self._sent = Window(self._cold_span)
        return self._sent

    def health_of(self, kind: str, now: float, memory: float) -> Health:
        """Of a class that it may never have failed before.

        Those whose failures are forgotten are let go of first.
        """
        known = self.health.get(kind)
        if known is None:
            if len(self.health) >= HEALTHS:
                self.health = {
                    k: h for k, h in self.health.items() if now < max(h.until, h.at) + memory
                }
            known = self.health[kind] = Health()
        return known

    def silent(self, now: float, span: float) -> bool:
        """It has work out and has not answered anything for so long."""
        return bool(self.out) and now - self.since > span

    def cold(self, now: float, told: api.Settings) -> bool:
        return 0 < self.entry.started > now - told.warm_up_time

    def backlog(self, heard: dict[str, float]) -> float:
        """Seconds of work out here, by this gateway and, as they told, by others."""
        return sum(self.out.values()) + heard.get(self.tag, 0.0)


class Ring:
    """Servers in the order of their tags, which all gateways share.

    Many changes at once are sorted when it is next read.
    """

    def __init__(self, servers: Sequence[Server] = ()) -> None:
        self._members = {s.entry.name: (s.tag, s.entry.name) for s in servers}
        self._order: list[tuple[str, str]] | None = None  # until it is next read
        self._changes = 0

    def read(self) -> list[tuple[str, str]]:
        """Tag and name of each."""
        if self._order is None:
            self._order = sorted(self._members.values())
        self._changes = 0
        return self._order

    def put(self, server: Server) -> None:
        name = server.entry.name
        if name not in self._members:
            self._members[name] = key = server.tag, name
            order = self._in_place()
            if order is not None:
                insort(order, key)

    def take(self, name: str) -> None:
        key = self._members.pop(name, None)
        order = self._in_place() if key else None
        if key and order is not None:
            del order[bisect_left(order, key)]

    def _in_place(self) -> list[tuple[str, str]] | None:
        """The order, if it is to be kept up for this change; after many it is sorted anew."""
        self._changes += 1
        if self._changes > BULK:
            self._order = None
        return self._order


class ServerTable:
    """The listed servers by name, in the order of the list, and what follows from all of them.

    `middling`: the requests that a server of mean weight works on at once; `fall_time`: seconds
    over which the work sent to a cold server is summed up.
    """

    def __init__(self, middling: float, settings: api.Settings) -> None:
        self.middling, self.settings = middling, settings
        self.servers: dict[str, Server] = {}
        self.banned: set[str] = set()  # left out by hand
        self.up: dict[str, Server] = {}  # those that may get something new
        self._groups: dict[Group, dict[str, Server]] | None = (
            None  # the same by zone and by cell, once asked for
        )
        self.weights, self._warm_weights = Weights(), Weights()
        self._cold: set[str] = set()
        self._cooling: list[tuple[float, str]] = []  # a heap of the starts of the cold
        # of those that are up, by whether they are cold
        self._rings = {False: Ring(), True: Ring()}
        self._tagged: dict[str, Server] = {}
        # where several servers have one name in messages
        self._same_tag: dict[str, dict[str, Server]] = {}
        self._warm_width: float | None = None
        self._all: list[Server] | None = None
        self._all_up: list[Server] | None = None

    # Reading

    def tagged(self, tag: str) -> Server | None:
        """The server of that name in messages; of several the last listed."""
        return self._tagged.get(tag)

    def all(self) -> list[Server]:
        """In the order of the list. Not to be changed."""
        if self._all is None:
            self._all = list(self.servers.values())
        return self._all

    def all_up(self) -> list[Server]:
        """Those that may get something new. Not to be changed."""
        if self._all_up is None:
            self._all_up = list(self.up.values())
        return self._all_up

    def all_of(self, group: Group) -> list[Server]:
        """Those of a zone or a cell that may get something new."""
        if self._groups is None:
            self._groups = {}
            for server in self.up.values():
                _put_in_groups(self._groups, server)
        return list(self._groups.get(group, {}).values())

    def ring(self, cold: bool, now: float) -> list[tuple[str, str]]:
        """Tag and name of those that are up.

        And cold or not, in an order that all gateways share.
        """
        self._warm_up(now)
        return self._rings[cold].read()

    def warm_width(self, now: float) -> float:
        """Of all that are not cold."""
        self._warm_up(now)
        if self._warm_width is None:
            mean, least = self.weights.mean, self.middling / 4
            counts = self._warm_weights.counts.items()
            self._warm_width = sum([n * max(self.middling * w / mean, least) for w, n in counts])
        return self._warm_width

    # Changes

    def apply(self, event: api.EndpointsUpdated, now: float) -> None:
        """A list or a change to it: what is known of a server lasts until it has started anew."""
        names = [entry.name for entry in event.entries]
        if event.kind in ("change", "failed") or names == list(self.servers):
            gone = list[str]()
        else:
            gone = self._order_by(names)
        twice = len(set(names)) < len(names)  # then each in its turn
        news = list(event.entries) if twice else self._news(event.entries)
        if len(gone) + len(news) > BULK:
            self._apply_at_once(gone, news, now)
        else:
            for name in gone:
                self._remove(name)
            for entry in news:
                self._put(entry, now)
        self.weights.settle()

    def put_back(self, back: dict[str, float], now: float) -> None:
        """A server put back by hand has been restarted meanwhile, whatever the list says.

        It is cold from then. `back`: names and when; those of long ago are taken out.
        """
        for name, at in list(back.items()):
            if at < now - self.settings.warm_up_time:
                del back[name]
            elif name in self.servers and self.servers[name].entry.started < at:
                server = self.servers[name]
                self._change(server, replace(server.entry, started=at), now)
        self.weights.settle()

    def ban(self, name: str, down: bool, now: float) -> None:
        """Left out by hand, or not any more."""
        server = self.servers.get(name)
        if server is not None:
            self._leave(server)
        if down:
            self.banned.add(name)
        else:
            self.banned.discard(name)
        if server is not None:
            self._enter(server, now)
        self.weights.settle()

    def retune(self, settings: api.Settings, now: float) -> None:
        """Servers may be cold for longer or shorter from now on."""
        before, self.settings = self.settings, settings
        if before.warm_up_time != settings.warm_up_time:
            self._reckon_anew(now)

    def _news(self, entries: tuple[api.EndpointEntry, ...]) -> list[api.EndpointEntry]:
        """Those that say something new.

        A dataclass's own comparison takes twice the time, and a whole list may be long.
        """
        news, servers = list[api.EndpointEntry](), self.servers
        for entry in entries:
            known = servers.get(entry.name)
            if known is None or vars(known.entry) != vars(entry):
                news.append(entry)
        return news

    def _order_by(self, names: list[str]) -> list[str]:
        """Puts the servers that a whole list names in its order; the others, which come last."""
        listed = dict.fromkeys(names)
        gone = [name for name in self.servers if name not in listed]
        ordered = [name for name in listed if name in self.servers] + gone
        if ordered != list(self.servers):
            servers = {name: self.servers[name] for name in ordered}
            self.servers.clear()
            self.servers.update(servers)
            self._all = None
            self._tag_anew()
        return gone

    def _put(self, entry: api.EndpointEntry, now: float) -> None:
        """One server as the list says it."""
        known = self.servers.get(entry.name)
        if entry.state == "gone":
            self._remove(entry.name)
        elif known is not None and known.entry.started == entry.started:
            self._change(known, entry, now)
        else:
            if known is not None:
                self._leave(known)
            server = self.servers[entry.name] = self._new(entry)
            self._all = None
            self._tag(server)
            self._enter(server, now)

    def _new(self, entry: api.EndpointEntry) -> Server:
        return Server(entry, self.settings.overload_window, self.weights, self.middling)

    def _apply_at_once(self, gone: list[str], news: list[api.EndpointEntry], now: float) -> None:
        """The same as one by one.

        Where so much is new that all that follows from it is cheaper to reckon anew.
        """
        for name in gone:
            del self.servers[name]
        for entry in news:
            known = self.servers.get(entry.name)
            if entry.state == "gone":
                self.servers.pop(entry.name, None)
            elif known is not None and known.entry.started == entry.started:
                known.entry = entry
            else:
                self.servers[entry.name] = self._new(entry)
        self._reckon_anew(now)

    def _reckon_anew(self, now: float) -> None:
        """All that follows from the servers."""
        servers = self.servers.values()
        cold = [s for s in servers if s.cold(now, self.settings)]
        self._cold = {s.entry.name for s in cold}
        self._cooling = [(s.entry.started, s.entry.name) for s in cold]
        heapq.heapify(self._cooling)
        self.weights.count([s.entry.weight for s in servers])
        self._warm_weights.count(
            [s.entry.weight for s in servers if s.entry.name not in self._cold]
        )
        up = [s for s in servers if s.entry.state == "up" and s.entry.name not in self.banned]
        self.up = {s.entry.name: s for s in up}
        self._rings = {
            is_cold: Ring([s for s in up if (s.entry.name in self._cold) == is_cold])
            for is_cold in (False, True)
        }
        self._groups = self._all = self._all_up = self._warm_width = None
        self._tag_anew()

    def _tag_anew(self) -> None:
        self._tagged = {server.tag: server for server in self.servers.values()}
        self._same_tag = {}
        if len(self._tagged) == len(self.servers):
            return
        counts = Counter([server.tag for server in self.servers.values()])
        for name, server in self.servers.items():
            if counts[server.tag] > 1:
                self._same_tag.setdefault(server.tag, {})[name] = server

    def _tag(self, server: Server) -> None:
        """A server that has just been put in its place."""
        name = server.entry.name
        first = self._tagged.setdefault(server.tag, server)
        if first.entry.name == name and server.tag not in self._same_tag:
            self._tagged[server.tag] = server
            return
        same = self._same_tag.setdefault(server.tag, {first.entry.name: first})
        same[name] = server
        self._tagged[server.tag] = _last(same)

    def _change(self, server: Server, entry: api.EndpointEntry, now: float) -> None:
        """The same server, of which something else is said."""
        self._leave(server)
        server.entry = entry
        self._enter(server, now)

    def _remove(self, name: str) -> None:
        server = self.servers.pop(name, None)
        if server is None:
            return
        self._all = None
        self._leave(server)
        same = self._same_tag.get(server.tag)
        if same is None:
            del self._tagged[server.tag]
            return
        del same[name]
        self._tagged[server.tag] = _last(same)
        if len(same) == 1:
            del self._same_tag[server.tag]

    def _enter(self, server: Server, now: float) -> None:
        """All that follows from a server's entry, for that server."""
        entry, self._warm_width = server.entry, None
        self.weights.add(entry.weight)
        cold = server.cold(now, self.settings)
        if cold:
            self._cold.add(entry.name)
            heapq.heappush(self._cooling, (entry.started, entry.name))
        else:
            self._warm_weights.add(entry.weight)
        if entry.state == "up" and entry.name not in self.banned:
            self.up[entry.name], self._all_up = server, None
            if self._groups is not None:
                _put_in_groups(self._groups, server)
            self._rings[cold].put(server)

    def _leave(self, server: Server) -> None:
        """The same taken back, before the entry changes."""
        entry, self._warm_width = server.entry, None
        self.weights.add(entry.weight, -1)
        cold = entry.name in self._cold
        if cold:
            self._cold.remove(entry.name)
        else:
            self._warm_weights.add(entry.weight, -1)
        if self.up.pop(entry.name, None) is not None:
            self._all_up = None
            if self._groups is not None:
                _take_from_groups(self._groups, server)
            self._rings[cold].take(entry.name)

    def _warm_up(self, now: float) -> None:
        """Those that have been up for long enough are cold no more."""
        while self._cooling and self._cooling[0][0] <= now - self.settings.warm_up_time:
            started, name = heapq.heappop(self._cooling)
            if name in self._cold and self.servers[name].entry.started == started:
                self._leave(self.servers[name])
                self._enter(self.servers[name], now)


def _groups_of(server: Server) -> tuple[Group, Group]:
    return ("zone", server.entry.zone), ("cell", server.entry.cell)


def _put_in_groups(groups: dict[Group, dict[str, Server]], server: Server) -> None:
    for group in _groups_of(server):
        groups.setdefault(group, {})[server.entry.name] = server


def _take_from_groups(groups: dict[Group, dict[str, Server]], server: Server) -> None:
    for group in _groups_of(server):
        del groups[group][server.entry.name]
        if not groups[group]:
            del groups[group]


def _last(servers: dict[str, Server]) -> Server:
    return next(reversed(servers.values()))
