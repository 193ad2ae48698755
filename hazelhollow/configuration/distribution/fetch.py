"""The requesting side: assembles a wanted settings document from its pieces.

A member with older settings requests the delta from them first, and the full document from members
without that delta. A document is complete when all pieces have arrived and its digest is the one
that membership announced. The module does no I/O and reads no clock.
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

# Pieces in a request under a budget of control traffic, which limits what each member can send.
MAX_PIECES_PER_BUDGETED_REQUEST = 4
# Number of members without the delta after which only the full document is requested.
MAX_DELTA_REFUSALS = 3
# Number of consecutive unanswered requests for the delta after which the full document is
# requested.
MAX_UNANSWERED_DELTA_REQUESTS = 6
# Time until a piece is requested again: shorter for the first, which has the number of pieces, and
# for those of a delta, which has few.
FIRST_PIECE_RETRY_S = 1.0
DELTA_PIECE_RETRY_S = 1.0
PIECE_RETRY_S = 3.0


class DeltaBase(NamedTuple):
    """The settings from which a delta is wanted, with their digest."""

    digest: str
    document: Mapping[str, Any]


class _PieceCollector:
    """The pieces of one text: of the full document, or of the delta from `base`."""

    def __init__(self, revision: int, digest: str, base: str, retry_s: float) -> None:
        self._revision, self._digest, self._base = revision, digest, base
        self._retry_s = retry_s
        self._texts: dict[int, str] = {}
        self._requested_at: dict[int, float] = {}  # when each piece was requested last
        self._total = 0  # number of pieces; 0 until the first arrives
        self._last_requested = 0

    def next_request(self) -> str:
        """A request for the first missing pieces."""
        missing = [n for n in range(self._total) if n not in self._texts]
        missing = missing[: codec.MAX_PIECES_PER_REQUEST]
        self._last_requested = missing[-1] if missing else 0
        return codec.encode_request(self._revision, missing, self._base)

    def next_budgeted_request(self, rng: random.Random, now: float) -> str | None:
        """A request for a few missing pieces; None while all of them have been requested recently.

        The pieces are drawn at random, so that members that fetch the same document get different
        ones and can exchange them.
        """
        missing = [n for n in range(self._total) if n not in self._texts] if self._total else [0]
        retry_s = self._retry_s if self._total else FIRST_PIECE_RETRY_S
        due = [n for n in missing if now - self._requested_at.get(n, -retry_s) >= retry_s]
        if not due:
            return None
        wanted = rng.sample(due, min(MAX_PIECES_PER_BUDGETED_REQUEST, len(due)))
        self._requested_at.update(dict.fromkeys(wanted, now))
        return codec.encode_request(self._revision, sorted(wanted), self._base)

    def may_be_short(self) -> bool:
        """Whether the text is short enough for one member to send to many, or of unknown length."""
        return self._total <= MAX_PIECES_PER_BUDGETED_REQUEST

    def answer(self, request: PieceRequest) -> list[str]:
        """The requested pieces that have arrived here."""
        return [
            codec.encode_piece(
                Piece(self._revision, self._digest, n, self._total, self._texts[n], self._base)
            )
            for n in request.pieces
            if n in self._texts
        ]

    def completes_request(self, piece: Piece) -> bool:
        """Whether it is the last requested piece, so that further ones can be requested."""
        return piece.number == self._last_requested

    def put(self, piece: Piece) -> bool:
        """Stores a piece, unless its total differs; returns whether all pieces have arrived."""
        if self._total and piece.total != self._total:
            return False
        self._total = piece.total
        self._texts[piece.number] = piece.text
        return len(self._texts) == self._total

    def unpacked(self) -> Any:
        """Unpacks the complete text; None if it cannot be read."""
        return unpack("".join(self._texts[n] for n in range(self._total)))


class DocumentFetch:
    """The fetch of one document from any members.

    It requests the delta while any holder may have it, and the full document from members without
    the delta: the first member that has fetched the full document can send the others the delta.

    Args:
        revision: Revision of the wanted document.
        digest: Digest of the wanted document.
        base: The settings in force here, to which a delta can be applied; None: full document only.
    """

    def __init__(self, revision: int, digest: str, base: DeltaBase | None = None) -> None:
        self.revision, self.digest, self._base = revision, digest, base
        self._unanswered_delta_requests = 0  # in a row
        self._members_without_delta = set[int]()
        self._document_pieces = _PieceCollector(revision, digest, "", PIECE_RETRY_S)
        self._delta_pieces = _PieceCollector(revision, digest, self.base, DELTA_PIECE_RETRY_S)

    @property
    def base(self) -> str:
        """The digest of the settings from which a delta is wanted; empty if none is wanted."""
        return self._base.digest if self._base else ""

    def delta_holders(self, holders: Sequence[int]) -> list[int]:
        """The holders of the document that may have the delta.

        There are none after MAX_UNANSWERED_DELTA_REQUESTS consecutive requests without an answer.
        """
        if self._base is None or self._unanswered_delta_requests >= MAX_UNANSWERED_DELTA_REQUESTS:
            return []
        return [number for number in holders if number not in self._members_without_delta]

    def may_be_short(self) -> bool:
        """Whether the full document is short or its length is still unknown."""
        return self._document_pieces.may_be_short()

    def next_request(self, as_delta: bool) -> str:
        """A request for the first missing pieces of the delta, or of the full document."""
        self._unanswered_delta_requests += as_delta
        return self._collector(as_delta).next_request()

    def next_budgeted_request(self, rng: random.Random, now: float, as_delta: bool) -> str | None:
        """A request for random missing pieces; None while all have been requested recently."""
        text = self._collector(as_delta).next_budgeted_request(rng, now)
        self._unanswered_delta_requests += as_delta and text is not None
        return text

    def answer(self, request: PieceRequest) -> list[str]:
        """The requested pieces of this document that have arrived here."""
        if request.revision != self.revision or request.base not in ("", self.base):
            return []
        return self._collector(bool(request.base)).answer(request)

    def completes_request(self, piece: Piece) -> bool:
        """Whether it is the last requested piece, so that further ones can be requested."""
        return self._collector(bool(piece.base)).completes_request(piece)

    def delta_refused(self, sender: int, answer: DeltaUnavailable) -> None:
        """Notes that a member has no delta from the base."""
        if self.base and (answer.revision, answer.base) == (self.revision, self.base):
            self._members_without_delta.add(sender)
            if len(self._members_without_delta) >= MAX_DELTA_REFUSALS:
                self._base = None

    def put(self, piece: Piece) -> dict[str, Any] | None:
        """Stores a piece; returns the document once it is complete.

        Pieces of another document are ignored. A complete text is discarded if it does not make a
        document with the announced digest.
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
        return self._delta_pieces if as_delta else self._document_pieces

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
        """Discards a wrong text; a delta is not requested again, a full document is."""
        if as_delta:
            self._base = None
        else:
            self._document_pieces = _PieceCollector(self.revision, self.digest, "", PIECE_RETRY_S)
