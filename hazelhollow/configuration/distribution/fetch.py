"""The request side: a settings document that this member wants, assembled from its pieces.

Whoever has older settings in force asks for the delta from them first, and for the whole document
of members that have no such delta. A document is complete when all pieces are there and its digest
is the one that membership announced. No I/O, no clock.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from hazelhollow.configuration.distribution import codec
from hazelhollow.configuration.distribution.codec import DeltaUnavailable, Piece, PieceRequest
from hazelhollow.configuration.distribution.delta import apply_delta
from hazelhollow.configuration.distribution.incremental import unpack
from hazelhollow.configuration.versions import settings_digest

# Pieces in a request under a budget of control traffic, which bounds what each member gives.
MAX_PIECES_PER_BUDGETED_REQUEST = 4
# Members without the delta, after which only the whole document is asked for.
MAX_DELTA_REFUSALS = 3
# Requests for the delta in a row without an answer, after which the whole document is asked for.
MAX_UNANSWERED_DELTA_REQUESTS = 6
# Until a piece is requested again: the first, which tells how many there are; one of a delta,
# which has few; any other.
FIRST_PIECE_RETRY_S = 1.0
DELTA_PIECE_RETRY_S = 1.0
PIECE_RETRY_S = 3.0


class DeltaBase(NamedTuple):
    """The settings from which a delta is wanted, with their digest."""

    digest: str
    document: Mapping[str, Any]


class _PieceCollector:
    """The pieces of one text: of the whole document, or of the delta from `base`."""

    def __init__(self, revision: int, digest: str, base: str, retry_s: float) -> None:
        self._revision, self._digest, self._base = revision, digest, base
        self._retry_s = retry_s
        self._texts: dict[int, str] = {}
        self._requested_at: dict[int, float] = {}  # when each piece was requested last
        self._total = 0  # pieces; 0 until the first has come
        self._last_requested = 0

    def next_request(self) -> str:
        """A request for the first missing pieces."""
        missing = [n for n in range(self._total) if n not in self._texts]
        missing = missing[: codec.MAX_PIECES_PER_REQUEST]
        self._last_requested = missing[-1] if missing else 0
        return codec.encode_request(self._revision, missing, self._base)

    def next_budgeted_request(self, chance: random.Random, now: float) -> str | None:
        """A request for a few missing pieces by chance; None while all are on their way.

        By chance, so that members that lack the same document can give each other what they have.
        """
        missing = [n for n in range(self._total) if n not in self._texts] if self._total else [0]
        retry_s = self._retry_s if self._total else FIRST_PIECE_RETRY_S
        due = [n for n in missing if now - self._requested_at.get(n, -retry_s) >= retry_s]
        if not due:
            return None
        wanted = chance.sample(due, min(MAX_PIECES_PER_BUDGETED_REQUEST, len(due)))
        self._requested_at.update(dict.fromkeys(wanted, now))
        return codec.encode_request(self._revision, sorted(wanted), self._base)

    def may_be_short(self) -> bool:
        """Whether one member can give all of it to many: also while its length is unknown."""
        return self._total <= MAX_PIECES_PER_BUDGETED_REQUEST

    def answer(self, request: PieceRequest) -> list[str]:
        """The requested pieces, as far as they are here."""
        return [
            codec.encode_piece(
                Piece(self._revision, self._digest, n, self._total, self._texts[n], self._base)
            )
            for n in request.pieces
            if n in self._texts
        ]

    def completes_request(self, piece: Piece) -> bool:
        """Whether it is the last one that was requested, so that the next can be requested."""
        return piece.number == self._last_requested

    def put(self, piece: Piece) -> bool:
        """Takes a piece, unless it cannot be one of these; whether all are there now."""
        if self._total and piece.total != self._total:
            return False
        self._total = piece.total
        self._texts[piece.number] = piece.text
        return len(self._texts) == self._total

    def unpacked(self) -> Any:
        """What the complete text holds; None where it cannot be read."""
        return unpack("".join(self._texts[n] for n in range(self._total)))


class DocumentFetch:
    """One document on its way here, from any members.

    It asks for the delta as long as some member may have it, and for the whole document of those
    that do not: the first that has fetched the whole document can give the others the delta.

    Args:
        revision: of the wanted document.
        digest: of the wanted document.
        base: the settings in force here, from which a delta is enough; None: whole document only.
    """

    def __init__(self, revision: int, digest: str, base: DeltaBase | None = None) -> None:
        self.revision, self.digest, self._base = revision, digest, base
        self._unanswered_delta_requests = 0  # in a row
        self._members_without_delta = set[int]()
        self._whole = _PieceCollector(revision, digest, "", PIECE_RETRY_S)
        self._delta = _PieceCollector(revision, digest, self.base, DELTA_PIECE_RETRY_S)

    @property
    def base(self) -> str:
        """The digest of the settings from which a delta is wanted; empty: none is any more."""
        return self._base.digest if self._base else ""

    def delta_holders(self, holders: Sequence[int]) -> list[int]:
        """Those of the holders of the document that may have the delta.

        None once it was requested MAX_UNANSWERED_DELTA_REQUESTS times in a row without an answer.
        """
        if self._base is None or self._unanswered_delta_requests >= MAX_UNANSWERED_DELTA_REQUESTS:
            return []
        return [number for number in holders if number not in self._members_without_delta]

    def may_be_short(self) -> bool:
        """Whether the whole document may be short: also while nothing is known of it."""
        return self._whole.may_be_short()

    def next_request(self, as_delta: bool) -> str:
        """A request for the first missing pieces of the delta, or of the whole document."""
        self._unanswered_delta_requests += as_delta
        return self._collector(as_delta).next_request()

    def next_budgeted_request(
        self, chance: random.Random, now: float, as_delta: bool
    ) -> str | None:
        """A request for a few missing pieces by chance; None while all are on their way."""
        text = self._collector(as_delta).next_budgeted_request(chance, now)
        self._unanswered_delta_requests += as_delta and text is not None
        return text

    def answer(self, request: PieceRequest) -> list[str]:
        """The requested pieces of this document, as far as they are here."""
        if request.revision != self.revision or request.base not in ("", self.base):
            return []
        return self._collector(bool(request.base)).answer(request)

    def completes_request(self, piece: Piece) -> bool:
        """Whether it is the last one that was requested, so that the next can be requested."""
        return self._collector(bool(piece.base)).completes_request(piece)

    def delta_refused(self, sender: int, answer: DeltaUnavailable) -> None:
        """A member has said that it has no delta."""
        if self.base and (answer.revision, answer.base) == (self.revision, self.base):
            self._members_without_delta.add(sender)
            if len(self._members_without_delta) >= MAX_DELTA_REFUSALS:
                self._base = None

    def put(self, piece: Piece) -> dict[str, Any] | None:
        """Takes a piece; the document, once it is complete.

        Pieces of another document are ignored. A complete text that is not the document with the
        announced digest is discarded.
        """
        if (piece.revision, piece.digest) != (self.revision, self.digest):
            return None
        if piece.base not in ("", self.base):
            return None
        as_delta = bool(piece.base)
        if as_delta:
            self._unanswered_delta_requests = 0
        collector = self._collector(as_delta)
        if not collector.put(piece):
            return None
        document = self._assembled(collector.unpacked(), as_delta)
        if document is None or settings_digest(document) != self.digest:
            self._discard(as_delta)
            return None
        return document

    def _collector(self, as_delta: bool) -> _PieceCollector:
        return self._delta if as_delta else self._whole

    def _assembled(self, unpacked: Any, as_delta: bool) -> dict[str, Any] | None:
        if not as_delta or self._base is None:
            return unpacked if isinstance(unpacked, dict) else None
        if not isinstance(unpacked, list):
            return None
        try:
            return apply_delta(self._base.document, unpacked)
        except ValueError:
            return None

    def _discard(self, as_delta: bool) -> None:
        """A wrong delta is not requested again; a wrong document is, from its first piece on."""
        if as_delta:
            self._base = None
        else:
            self._whole = _PieceCollector(self.revision, self.digest, "", PIECE_RETRY_S)
