"""Sizes of the settings document by its number of routes, and of the list of servers.

They are computed by the code that distributes them, without a run. Documents whose routes differ
only in a number compress far better than those of a real site. Both are therefore computed: alike
ones, as scale runs use them, and ones whose names and times have nothing in common.
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
STEP = 50  # routes; the precision of `most`
SEARCH_MULTIPLE = 6  # of the planned routes, up to which `most` searches
NAME_DIGITS = 16  # of routes that have nothing in common
SERVERS = (200, 2_000, PLANNED.servers)
LIMITER = "limiter"
TENANTS = 4  # any number will do: the plans in the settings do not depend on the tenants


class RouteKind(StrEnum):
    """How much the routes of a document have in common."""

    ALIKE = "alike"
    UNLIKE = "unlike"


class Document(msgspec.Struct, frozen=True):
    """A settings document as it is distributed.

    Attributes:
        routes: Number of routes.
        kind: How much the routes have in common.
        size: Bytes of its JSON.
        characters: Length of its compressed text.
        pieces: Datagrams of one transfer.
    """

    routes: int
    kind: RouteKind
    size: int
    characters: int
    pieces: int

    @property
    def distributable(self) -> bool:
        """Whether members can distribute it to each other."""
        return self.pieces <= MAX_PIECES and self.size <= MAX_DOCUMENT_BYTES


def documents() -> Iterator[Document]:
    """The document of each kind and number of routes."""
    for kind in RouteKind:
        for routes in COUNTS:
            yield make_document(routes, kind)


@cache
def make_document(routes: int, kind: RouteKind) -> Document:
    """The document of that many routes, cut into pieces as configuration does it."""
    document = _document(routes, kind)
    source = DocumentSource(1, document)
    size = len(orjson.dumps(shared_settings(document), option=orjson.OPT_SORT_KEYS))
    pieces = source.all_pieces()
    return Document(routes, kind, size, sum(map(len, pieces)), len(pieces))


@cache
def max_routes(kind: RouteKind) -> int:
    """The most routes, in steps of `STEP`, whose document can be distributed."""
    low, high = 0, SEARCH_MULTIPLE * PLANNED.routes // STEP
    while low < high:
        middle = (low + high + 1) // 2
        if make_document(middle * STEP, kind).distributable:
            low = middle
        else:
            high = middle - 1
    return low * STEP


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
    """A complete list of servers as discovery sends it; `size` in bytes."""

    servers: int
    size: int

    @property
    def accepted(self) -> bool:
        """Whether a limiter accepts an answer of that size."""
        return self.size <= http1.MAX_BODY_BYTES


@cache
def server_lists() -> tuple[ServerList, ...]:
    """The list for each number of servers."""
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
