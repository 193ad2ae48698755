"""The serving side: the settings document in force here, split into pieces for other members.

Pieces are made in slices when they are first requested. All members with the same documents make
the same pieces, so that pieces from several members fit together. The module does no I/O and reads
no clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from hazelhollow.configuration.distribution import codec
from hazelhollow.configuration.distribution.codec import DeltaUnavailable, Piece, PieceRequest
from hazelhollow.configuration.distribution.history import SettingsHistory
from hazelhollow.configuration.distribution.incremental import (
    DeltaComputation,
    DocumentPacking,
    run_to_end,
)
from hazelhollow.configuration.versions import settings_digest, shared_settings


class _PieceMaker:
    """Makes the pieces of a full document, or of its delta from `base`, step by step."""

    def __init__(self, document: Mapping[str, Any], base: Mapping[str, Any] | None = None) -> None:
        self._document = document
        self._computation = DeltaComputation(base, document) if base is not None else None
        self._packing = DocumentPacking(document, codec.PIECE_CHARACTERS) if base is None else None

    def step(self) -> bool:
        if self._packing is None:
            assert self._computation is not None
            if self._computation.step():
                self._packing = DocumentPacking(self._computation.changes, codec.PIECE_CHARACTERS)
            return False
        return self._packing.step()

    def pieces(self) -> list[str]:
        """The pieces; none for a delta that saves nothing.

        Such a delta has several pieces and is no shorter than the document.
        """
        pieces = self._packing.pieces if self._packing else []
        return [] if len(pieces) > 1 and self._is_long_delta() else pieces

    def _is_long_delta(self) -> bool:
        if self._computation is None:
            return False
        return len(orjson.dumps(self._computation.changes)) >= len(orjson.dumps(self._document))


class DocumentSource:
    """One document and its deltas from earlier ones, in pieces.

    Args:
        revision: Revision of the document.
        document: The settings.
        history: The earlier settings from which it can make deltas; None: none.
        digest: Digest of the document; empty: it is computed.
    """

    def __init__(
        self,
        revision: int,
        document: Mapping[str, Any],
        history: SettingsHistory | None = None,
        digest: str = "",
    ) -> None:
        self.revision, self.digest = revision, digest or settings_digest(document)
        self._document, self._history = shared_settings(document), history or SettingsHistory()
        # By the digest of the base; those of the full document have an empty one.
        self._pieces: dict[str, list[str]] = {}
        self._makers: dict[str, _PieceMaker] = {}

    def step(self) -> bool:
        """Does a part of the pending work; returns whether all of it is done."""
        if not self._history.step():
            return False
        for base, maker in list(self._makers.items())[:1]:
            if maker.step():
                del self._makers[base]
                self._pieces[base] = maker.pieces()
        return not self._makers

    def is_ready(self, request: PieceRequest) -> bool:
        """Whether a request can be answered now; if not, starts to make its pieces."""
        if request.revision != self.revision or request.base in self._pieces:
            return True
        if request.base in self._makers or (request.base and not self._history.is_computed()):
            return False
        base = self._history.document(request.base) if request.base else None
        if request.base and base is None:
            return True
        self._makers[request.base] = _PieceMaker(self._document, base)
        return False

    def answer(self, request: PieceRequest) -> list[str]:
        """Returns the datagrams that answer a request for which `is_ready` is true."""
        if request.revision != self.revision:
            return []
        texts = self._pieces.get(request.base, [])
        if request.base and not 0 < len(texts) <= codec.MAX_PIECES:
            refusal = DeltaUnavailable(request.revision, request.base)
            return [codec.encode_delta_unavailable(refusal)]
        if len(texts) > codec.MAX_PIECES:
            return []
        return [
            codec.encode_piece(
                Piece(self.revision, self.digest, n, len(texts), texts[n], request.base)
            )
            for n in request.pieces or (0,)
            if n < len(texts)
        ]

    def answer_at_once(self, request: PieceRequest) -> list[str]:
        """Makes the pieces at once and answers; for tools, which have no event loop."""
        while not self.is_ready(request):
            run_to_end(self)
        return self.answer(request)

    def all_pieces(self) -> list[str]:
        """Makes all pieces of the full document at once; for tools, which have no event loop."""
        self.answer_at_once(PieceRequest(self.revision, ()))
        return self._pieces[""]
