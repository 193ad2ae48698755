"""Exchange of settings documents: which members are asked, and what is sent within the allowance.

The module does no I/O and reads no clock: the driver passes the time in and sends the datagrams
that its callback receives.
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
MAX_WAITING_REQUESTS = 64  # requests that wait until their pieces are made
# While few members have a document that may be short, the share of requests sent to those holders.
HOLDER_REQUEST_PROBABILITY = 0.5
REQUEST_RANK, PIECE_RANK = range(2)  # the order in which queued datagrams are sent


class WantedDocument(NamedTuple):
    """Settings that this member wants.

    Attributes:
        revision: Revision of the settings.
        digest: Digest of the settings.
        holders: Members that act on them.
    """

    revision: int
    digest: str
    holders: Sequence[int]


class ReceivedDocument(NamedTuple):
    """A complete document; `sender` is the member that sent the last piece."""

    revision: int
    digest: str
    document: dict[str, Any]
    sender: int


@dataclass(frozen=True)
class ExchangePort:
    """The callbacks and the budget of an exchange.

    Attributes:
        send: Sends a text to the member with that number.
        piece_arrived: Called with the revision of a document when a piece of it arrives.
        allowance: Budget for sending; None: unlimited.
    """

    send: Callable[[int, str], None]
    piece_arrived: Callable[[int], None]
    allowance: RoleBudget | None = None


class _WaitingRequest(NamedTuple):
    sender: int
    request: PieceRequest


class DocumentExchange:
    """One member's exchange of settings documents with the others.

    Args:
        limiter_id: This member's number.
        history: The settings that it has had in force.
        rng: Draws members and pieces.
        port: Its callbacks and its budget.
    """

    def __init__(
        self, limiter_id: int, history: SettingsHistory, rng: random.Random, port: ExchangePort
    ) -> None:
        self._limiter_id, self._history = limiter_id, history
        self._random, self._port = rng, port
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
        """Requests more pieces of a document.

        Has to be called every REQUEST_INTERVAL_S while these settings are wanted.

        Args:
            wanted: The document.
            present: The members that are up.
            now: Seconds of the clock.
        """
        fetch = self._fetch_for(wanted)
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
                else self._choose_document_holder(fetch, wanted, present)
            )
            self._send(number, text, REQUEST_RANK, now)

    def _fetch_for(self, wanted: WantedDocument) -> DocumentFetch:
        fetch = self._fetch
        if fetch is None or (fetch.revision, fetch.digest) != (wanted.revision, wanted.digest):
            current = self._history.current
            base = self._history.document(current)
            assert base is not None  # since these settings are in force here
            fetch = DocumentFetch(wanted.revision, wanted.digest, DeltaBase(current, base))
            self._fetch = fetch
        return fetch

    def _choose_document_holder(
        self, fetch: DocumentFetch, wanted: WantedDocument, present: Collection[int]
    ) -> int:
        """Chooses the member to ask for pieces of the full document.

        If at least half of the other members hold the document, this is one of the holders.
        Otherwise it is any other member, which may have some of the pieces, so that not all members
        ask the few holders. If the document may be short, a holder is chosen even then with
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
        """Handles a datagram; returns the document that it completes, if any."""
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
        """Sets the settings that are sent to members that request them."""
        self._source = DocumentSource(revision, document, self._history, digest)
        self._waiting_requests.clear()

    def new_second(self) -> None:
        """Resets the count of pieces sent; has to be called once a second."""
        self._pieces_left = MAX_PIECES_SENT_PER_S

    def is_busy(self) -> bool:
        """Whether requests wait for pieces, so that `step` has to be called soon."""
        return bool(self._waiting_requests)

    def step(self, now: float) -> None:
        """Does a slice of the work on pieces; answers the waiting requests once all is done."""
        if self._source is None or not self._source.step():
            return
        waiting, self._waiting_requests = self._waiting_requests, []
        for request in waiting:
            self._answer(request.sender, request.request, now)

    def _answer(self, sender: int, request: PieceRequest, now: float) -> None:
        """Answers from the document in force here, or from the one that is being fetched."""
        source = self._source
        if source is None or request.revision != source.revision:
            # Without a budget no member asks one that has only some of the pieces.
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
        """Sends as many queued datagrams as the allowance permits now."""
        if self._queue is not None:
            for number, text in self._queue.pop_sendable(now):
                self._port.send(number, text)
