"""Sizes of the settings document by number of routes, and of the server list by length.

The sizes are computed without a run, by the code that distributes these documents. A document whose
routes differ only in a number compresses far better than one of a real site. Therefore both kinds
are computed: alike routes, as scale runs use them, and unlike routes, whose names and times have
nothing in common.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from enum import StrEnum
from functools import cache
from typing import Any

import msgspec
import orjson

from hazelhollow.configuration.distribution.codec import MAX_PIECES
from hazelhollow.configuration.distribution.incremental import MAX_DOCUMENT_BYTES
from hazelhollow.configuration.distribution.source import DocumentSource
from hazelhollow.configuration.versions import shared_settings
from hazelhollow.net import http1
from hazelhollow.net.scheduler import Clock, Scheduler
from hazelhollow.scale import settings
from hazelhollow.scale.budgets import PLANNED
from hazelhollow.scale.load import populate
from hazelhollow.scale.plan import FleetTerms
from hazelhollow.standins.discovery import Discovery, Host

COUNTS = (100, 1_000, 5_500, PLANNED.routes)
ROUTES_STEP = 50  # routes; the precision of `max_routes`
SEARCH_MULTIPLE = 6  # of the planned routes; the upper end of the search in `max_routes`
NAME_DIGITS = 16  # hexadecimal digits in the name of an unlike route
SERVERS = (200, 2_000, PLANNED.servers)
LIMITER = "limiter"
TENANTS = 4  # an arbitrary number: the plans in the settings do not depend on the tenants


class RouteKind(StrEnum):
    """Whether the routes of a document resemble each other."""

    ALIKE = "alike"
    UNLIKE = "unlike"


class Document(msgspec.Struct, frozen=True):
    """The encoded size of a settings document.

    Attributes:
        routes: Number of routes.
        kind: Whether the routes resemble each other.
        size: Bytes of its JSON.
        characters: Length of its compressed text.
        pieces: Number of pieces (one datagram each) of one transfer.
    """

    routes: int
    kind: RouteKind
    size: int
    characters: int
    pieces: int

    @property
    def distributable(self) -> bool:
        """Whether the document is small enough for members to distribute it to each other."""
        return self.pieces <= MAX_PIECES and self.size <= MAX_DOCUMENT_BYTES


def documents() -> Iterator[Document]:
    """Yields the document of each kind and each number of routes in `COUNTS`."""
    for kind in RouteKind:
        for routes in COUNTS:
            yield make_document(routes, kind)


@cache
def make_document(routes: int, kind: RouteKind) -> Document:
    """Returns the sizes of a document, encoded and split as for distribution."""
    document = _document(routes, kind)
    source = DocumentSource(1, document)
    size = len(orjson.dumps(shared_settings(document), option=orjson.OPT_SORT_KEYS))
    pieces = source.all_pieces()
    return Document(routes, kind, size, sum(map(len, pieces)), len(pieces))


@cache
def max_routes(kind: RouteKind) -> int:
    """Returns the greatest multiple of `ROUTES_STEP` routes whose document can be distributed."""
    low, high = 0, SEARCH_MULTIPLE * PLANNED.routes // ROUTES_STEP
    while low < high:
        middle = (low + high + 1) // 2
        if make_document(middle * ROUTES_STEP, kind).distributable:
            low = middle
        else:
            high = middle - 1
    return low * ROUTES_STEP


def _document(routes: int, kind: RouteKind) -> dict[str, Any]:
    size = msgspec.structs.replace(PLANNED, routes=routes, tenants=TENANTS)
    terms = FleetTerms()
    document = settings.document(size, populate(size, terms, seed=1).quotas, terms)
    if kind is RouteKind.UNLIKE:
        document["grades"] = [
            _unlike_route(number, grade) for number, grade in enumerate(document["grades"])
        ]
    return document


def _unlike_route(number: int, grade: dict[str, Any]) -> dict[str, Any]:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    deadline = 0.5 + int(digest[:4], 16) / 10_000
    return {
        **grade,
        "name": digest[-NAME_DIGITS:],
        "deadline": deadline,
        "objective": round(deadline / 3, 3),
    }


class ServerList(msgspec.Struct, frozen=True):
    """A complete server list as discovery sends it; `size` is in bytes."""

    servers: int
    size: int

    @property
    def accepted(self) -> bool:
        """Whether a limiter accepts a response body of that size."""
        return self.size <= http1.MAX_BODY_BYTES


@cache
def server_lists() -> tuple[ServerList, ...]:
    """Returns the server list for each number of servers in `SERVERS`."""
    return tuple(ServerList(count, _list_size(count)) for count in SERVERS)


def _list_size(servers: int) -> int:
    discovery = Discovery(Scheduler(Clock()))
    for number in range(servers):
        name = f"server-{number:05d}"
        address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379"
        discovery.hosts[name] = Host(
            name, {LIMITER: address}, f"zone-{number % 6}", started=1.7e9, index=1
        )
    return len(discovery.document(LIMITER, None))
