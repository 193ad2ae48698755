"""Measures how long a settings document takes to reach all members within their control budgets.

The runs use the product's own encoding, requests and answers in virtual time: `DocumentFetch` and
`SendQueue`. The clock advances in steps, and datagrams arrive at the end of the step in which they
are sent.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Protocol

from hazelhollow.bench.contention import budget_for_role
from hazelhollow.configuration.distribution import codec
from hazelhollow.configuration.distribution.exchange import (
    HOLDER_REQUEST_PROBABILITY,
    MAX_QUEUED_DATAGRAMS,
    PIECE_RANK,
    REQUEST_INTERVAL_S,
    REQUEST_RANK,
)
from hazelhollow.configuration.distribution.fetch import PIECE_RETRY_S, DeltaBase, DocumentFetch
from hazelhollow.configuration.distribution.history import SettingsHistory
from hazelhollow.configuration.distribution.source import DocumentSource
from hazelhollow.configuration.versions import settings_digest
from hazelhollow.control_budget.budget import (
    BudgetSettings,
    ControlBudget,
    RoleBudget,
    TrafficRole,
)
from hazelhollow.control_budget.send_queue import SendQueue

STEP_S = 0.05  # of the virtual clock
TIMEOUT_S = 3600.0  # after which the distribution counts as failed
STEPS_PER_REQUEST = round(REQUEST_INTERVAL_S / STEP_S)
DELTA_BASE = DeltaBase("base", {"step": 1})


class Source(Protocol):
    """A member's document, as a source for other members."""

    digest: str

    def answer_at_once(self, request: codec.PieceRequest, /) -> list[str]:
        """Returns the datagrams that answer a request."""


class OpaqueDocument:
    """A complete document with a given number of pieces, whose content does not matter."""

    def __init__(self, pieces: int) -> None:
        self.digest = "digest"
        self._pieces = [f"{n:x}".rjust(codec.PIECE_CHARACTERS, "0") for n in range(pieces)]

    def answer_at_once(self, request: codec.PieceRequest, /) -> list[str]:
        """Returns the requested pieces; the first one if the request names none."""
        total = len(self._pieces)
        return [
            codec.encode_piece(codec.Piece(1, self.digest, number, total, self._pieces[number]))
            for number in request.pieces or (0,)
        ]


def _changed_document() -> DocumentSource:
    """Returns a source for settings that follow DELTA_BASE, with the delta from it."""
    history, document = SettingsHistory(), {"step": 2}
    history.put(DELTA_BASE.digest, DELTA_BASE.document)
    history.put(settings_digest(document), document)
    return DocumentSource(1, document, history)


class Member:
    """A member that has the document or fetches it.

    Args:
        number: The member's number.
        settings: The member's control budget.
        fetch: The fetch in progress; None if the member has the document.
    """

    def __init__(self, number: int, settings: BudgetSettings, fetch: DocumentFetch | None) -> None:
        budget = RoleBudget(ControlBudget(settings, 0.0), TrafficRole.CONFIGURATION)
        self.queue = SendQueue[tuple[int, str]](budget, MAX_QUEUED_DATAGRAMS, PIECE_RETRY_S)
        self.number, self.fetch = number, fetch
        self._received = set[int]()

    def answer(self, source: Source, request: codec.PieceRequest) -> list[str]:
        """Answers a request from the document, or from the pieces received so far."""
        return self.fetch.answer(request) if self.fetch else source.answer_at_once(request)

    def receive(self, piece: codec.Piece, total: int) -> None:
        """Stores a piece; the document is complete once all `total` pieces have arrived."""
        if self.fetch is None:
            return
        self._received.add(piece.number)
        if len(self._received) == total:
            self.fetch = None
        else:
            self.fetch.put(piece)


@dataclass(frozen=True)
class Distribution:
    """The size of a document and of the fleet that receives it.

    Args:
        members: Number of members.
        holders: Number of members that have the document at the start.
        pieces: Number of pieces of the complete document; 0 for a delta in one piece.
    """

    members: int
    holders: int
    pieces: int


def seconds_to_all(
    distribution: Distribution, bytes_per_s: float, contended: bool, seed: int
) -> float:
    """Returns the seconds until every member has the document.

    Args:
        distribution: The document and the fleet.
        bytes_per_s: The control budget of each member.
        contended: Whether the other roles use all of the budget that they can get.
        seed: Seed of all draws.

    Returns:
        The seconds; at least TIMEOUT_S if some member did not get the document in time.

    Raises:
        ValueError: The budget is too small.
    """
    settings = budget_for_role(bytes_per_s, TrafficRole.CONFIGURATION, contended)
    draw, now = random.Random(seed), 0.0
    source: Source
    if distribution.pieces:
        source, base = OpaqueDocument(distribution.pieces), None
    else:
        source, base = _changed_document(), DELTA_BASE
    members = [
        Member(
            number,
            settings,
            None if number < distribution.holders else DocumentFetch(1, source.digest, base),
        )
        for number in range(distribution.members)
    ]
    while any(member.fetch for member in members) and now < TIMEOUT_S:
        now += STEP_S
        datagrams = _send(members, draw, now)
        for sender, receiver, text in datagrams:
            message, member = codec.decode(text), members[receiver]
            if isinstance(message, codec.PieceRequest):
                for answer in member.answer(source, message):
                    if not member.queue.contains((sender, answer)):
                        member.queue.add(PIECE_RANK, len(answer), (sender, answer), now)
            elif isinstance(message, codec.Piece):
                member.receive(message, max(distribution.pieces, 1))
    return now


def _send(members: list[Member], draw: random.Random, now: float) -> list[tuple[int, int, str]]:
    """Returns the datagrams sent in this step: sender, receiver and text."""
    holders = [member.number for member in members if not member.fetch]
    step, datagrams = round(now / STEP_S), list[tuple[int, int, str]]()
    for member in members:
        is_turn = step % STEPS_PER_REQUEST == member.number % STEPS_PER_REQUEST
        if member.fetch and is_turn:
            _request(member, members, holders, draw, now)
        datagrams += [
            (member.number, receiver, text) for receiver, text in member.queue.pop_sendable(now)
        ]
    return datagrams


def _request(
    member: Member, members: list[Member], holders: list[int], draw: random.Random, now: float
) -> None:
    """Queues a request to a holder or, while few hold the document, mostly to any member.

    Members that are still fetching may have some of the pieces.
    """
    fetch = member.fetch
    assert fetch
    text = fetch.next_budgeted_request(draw, now, bool(fetch.base))
    few_holders = not fetch.base and 2 * len(holders) < len(members) - 1
    asks_anyone = few_holders and not (
        fetch.may_be_short() and draw.random() < HOLDER_REQUEST_PROBABILITY
    )
    candidates = range(len(members)) if asks_anyone else holders
    asked = draw.choice([number for number in candidates if number != member.number])
    if text is not None:
        member.queue.add(REQUEST_RANK, len(text), (asked, text), now)
