"""Settings documents between members: whom this one asks, what it gives, within its allowance.

No I/O, no clock: the driver passes the time in and sends what is handed to its callback.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from hazelhollow.configuration.distribution import codec
from hazelhollow.configuration.distribution.codec import DeltaUnavailable, Piece, PieceRequest
from hazelhollow.configuration.distribution.fetch import PIECE_RETRY_S, DeltaBase, DocumentFetch
from hazelhollow.configuration.distribution.history import SettingsHistory
from hazelhollow.configuration.distribution.source import DocumentSource
from hazelhollow.control_budget.budget import RoleBudget
from hazelhollow.control_budget.send_queue import SendQueue

REQUEST_INTERVAL_S = 0.25  # between requests for a document
MAX_PIECES_SENT_PER_S = 200  # datagrams
MAX_QUEUED_DATAGRAMS = 32  # that wait for the budget of control traffic
MAX_WAITING_REQUESTS = 64  # that wait until the requested pieces are made
# Part of the requests for a short document that few have which go to those that have it.
HOLDER_REQUEST_PROBABILITY = 0.5
REQUEST_RANK, PIECE_RANK = range(2)  # the order in which queued datagrams leave


class WantedDocument(NamedTuple):
    """Settings that this member wants.

    Attributes:
        revision: their revision.
        digest: their digest.
        holders: members that act on them.
    """

    revision: int
    digest: str
    holders: Sequence[int]


class ReceivedDocument(NamedTuple):
    """A document that is complete; `sender` gave the last piece."""

    revision: int
    digest: str
    document: dict[str, Any]
    sender: int


@dataclass(frozen=True)
class ExchangePort:
    """What the exchange calls.

    Attributes:
        send: sends a text to the member with that number.
        piece_arrived: told the revision of a document of which a piece has come.
        allowance: what it may send; None: all.
    """

    send: Callable[[int, str], None]
    piece_arrived: Callable[[int], None]
    allowance: RoleBudget | None = None


class _WaitingRequest(NamedTuple):
    sender: int
    request: PieceRequest


class DocumentExchange:
    """One member's part in handing settings on.

    Args:
        limiter_id: this member's number.
        history: the settings that it has had in force.
        chance: draws members and pieces.
        port: what it calls.
    """

    def __init__(
        self, limiter_id: int, history: SettingsHistory, chance: random.Random, port: ExchangePort
    ) -> None:
        self._limiter_id, self._history = limiter_id, history
        self._random, self._port = chance, port
        self._queue: SendQueue[tuple[int, str]] | None = (
            SendQueue(port.allowance, MAX_QUEUED_DATAGRAMS, PIECE_RETRY_S)
            if port.allowance
            else None
        )
        self._fetch: DocumentFetch | None = None
        self._source: DocumentSource | None = None
        self._waiting_requests = list[_WaitingRequest]()
        self._pieces_left = MAX_PIECES_SENT_PER_S  # this second

    # Requests

    def fetch(self, wanted: WantedDocument, present: Collection[int], now: float) -> None:
        """Requests more of a document.

        To be called every REQUEST_INTERVAL_S, as long as these settings are wanted.

        Args:
            wanted: the document.
            present: the members that are up.
            now: seconds.
        """
        fetch = self._fetch_of(wanted)
        delta_holders = fetch.delta_holders(wanted.holders)
        if self._queue is None:
            number = self._random.choice(delta_holders or wanted.holders)
            self._send(number, fetch.next_request(bool(delta_holders)), REQUEST_RANK, now)
            return
        text = fetch.next_budgeted_request(self._random, now, bool(delta_holders))
        if text is not None:
            number = (
                self._random.choice(delta_holders)
                if delta_holders
                else self._choose_whole_document_holder(fetch, wanted, present)
            )
            self._send(number, text, REQUEST_RANK, now)

    def _fetch_of(self, wanted: WantedDocument) -> DocumentFetch:
        fetch = self._fetch
        if fetch is None or (fetch.revision, fetch.digest) != (wanted.revision, wanted.digest):
            current = self._history.current
            base = self._history.document(current)
            assert base is not None  # the settings in force here
            fetch = DocumentFetch(wanted.revision, wanted.digest, DeltaBase(current, base))
            self._fetch = fetch
        return fetch

    def _choose_whole_document_holder(
        self, fetch: DocumentFetch, wanted: WantedDocument, present: Collection[int]
    ) -> int:
        """Whom to ask for some pieces of a whole document.

        A holder; or where those are few any other member, which may have some pieces: else all
        would ask the first holder. A short document is asked of a holder with
        HOLDER_REQUEST_PROBABILITY.
        """
        others = [number for number in present if number != self._limiter_id]
        few_holders = 2 * len(wanted.holders) < len(others)
        ask_any = few_holders and not (
            fetch.may_be_short() and self._random.random() < HOLDER_REQUEST_PROBABILITY
        )
        return self._random.choice(others if ask_any else wanted.holders)

    # Datagrams received

    def receive(self, sender: int, text: str, now: float) -> ReceivedDocument | None:
        """Takes a datagram; the document that it completes, if it does."""
        datagram = codec.decode(text)
        if isinstance(datagram, PieceRequest):
            self._answer(sender, datagram, now)
        elif isinstance(datagram, Piece) and self._fetch is not None:
            return self._receive_piece(self._fetch, sender, datagram, now)
        elif isinstance(datagram, DeltaUnavailable) and self._fetch is not None:
            self._fetch.delta_refused(sender, datagram)
        return None

    def _receive_piece(
        self, fetch: DocumentFetch, sender: int, piece: Piece, now: float
    ) -> ReceivedDocument | None:
        if piece.revision == fetch.revision:
            self._port.piece_arrived(piece.revision)
        document = fetch.put(piece)
        if document is not None:
            self._fetch = None
            return ReceivedDocument(fetch.revision, fetch.digest, document, sender)
        if self._queue is None and fetch.completes_request(piece):
            self._send(sender, fetch.next_request(bool(piece.base)), REQUEST_RANK, now)
        return None

    # Answers

    def serve(self, revision: int, digest: str, document: Mapping[str, Any]) -> None:
        """From now on these settings are what it gives."""
        self._source = DocumentSource(revision, document, self._history, digest)
        self._waiting_requests.clear()

    def new_second(self) -> None:
        """Gives MAX_PIECES_SENT_PER_S anew; to be called once a second."""
        self._pieces_left = MAX_PIECES_SENT_PER_S

    def is_busy(self) -> bool:
        """Whether requests wait for pieces, so that `step` is to be called soon."""
        return bool(self._waiting_requests)

    def step(self, now: float) -> None:
        """Does a part of making pieces, and answers the waiting requests once they are made."""
        if self._source is None or not self._source.step():
            return
        waiting, self._waiting_requests = self._waiting_requests, []
        for request in waiting:
            self._answer(request.sender, request.request, now)

    def _answer(self, sender: int, request: PieceRequest, now: float) -> None:
        """From the document in force here, or from the one that is on its way here."""
        source = self._source
        if source is None or request.revision != source.revision:
            # Without a budget nobody asks a member that has only some of the pieces.
            if self._fetch is not None and self._queue is not None:
                self._send_pieces(sender, self._fetch.answer(request), now)
        elif source.is_ready(request):
            self._send_pieces(sender, source.answer(request), now)
        elif len(self._waiting_requests) < MAX_WAITING_REQUESTS:
            self._waiting_requests.append(_WaitingRequest(sender, request))

    def _send_pieces(self, sender: int, texts: Sequence[str], now: float) -> None:
        for text in texts:
            if self._pieces_left > 0:
                self._pieces_left -= 1
                self._send(sender, text, PIECE_RANK, now)

    # Datagrams sent

    def _send(self, number: int, text: str, rank: int, now: float) -> None:
        if self._queue is None:
            self._port.send(number, text)
        elif not self._queue.contains((number, text)):
            self._queue.add(rank, len(text), (number, text), now)
            self.send_due(now)

    def send_due(self, now: float) -> None:
        """Sends what the allowance has room for now."""
        if self._queue is not None:
            for number, text in self._queue.pop_sendable(now):
                self._port.send(number, text)
