"""The datagrams that transfer a settings document between members.

    d1q 2 0-1-2                 requests pieces 0, 1 and 2 of revision 2 (without numbers: the
                                first piece, which has the number of pieces)
    d1q 2 0-1-2 a0x1            requests pieces of its delta from the settings with digest a0x1
    d1g 2 k3f9 3-c TEXT         piece 3, the fourth of 12, of revision 2, whose digest is k3f9
    d1g 2 k3f9 0-1 TEXT a0x1    piece 0 of 1 of its delta from those settings
    d1n 2 a0x1                  the sender has no delta from those settings

Numbers are in base 36, and pieces are numbered from 0. The prefix `d1` identifies these datagrams
and the version of their format.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from hazelhollow.configuration.versions import MAX_REVISION
from hazelhollow.decisions.gossip.codec import base36, number36

DATAGRAM_PREFIX = "d1"
REQUEST, PIECE, NO_DELTA = "q", "g", "n"  # the kind of a datagram, after the prefix
PIECE_CHARACTERS = 160  # of text in a datagram
MAX_PIECES = 2048  # of one document
MAX_PIECES_PER_REQUEST = 16


class PieceRequest(NamedTuple):
    """A request for pieces of a document or of a delta.

    Attributes:
        revision: Revision of the document.
        pieces: Numbers of the pieces; none: the first.
        base: Digest of the settings from which a delta is wanted; empty: the full document.
    """

    revision: int
    pieces: tuple[int, ...]
    base: str = ""


class Piece(NamedTuple):
    """One piece of a document or of a delta.

    Attributes:
        revision: Revision of the document.
        digest: Digest of the document that all pieces make.
        number: Number of this piece, from 0.
        total: Number of pieces.
        text: Part of the compressed text, as base64.
        base: Digest of the settings from which this is a delta; empty: the full document.
    """

    revision: int
    digest: str
    number: int
    total: int
    text: str
    base: str = ""


class DeltaUnavailable(NamedTuple):
    """The sender cannot make the delta to that revision from the settings with digest `base`."""

    revision: int
    base: str


Datagram = PieceRequest | Piece | DeltaUnavailable


def encode_request(revision: int, pieces: Sequence[int], base: str = "") -> str:
    """Encodes a `PieceRequest`, for the first MAX_PIECES_PER_REQUEST of the pieces."""
    numbers = "-".join(base36(number) for number in pieces[:MAX_PIECES_PER_REQUEST])
    text = f"{DATAGRAM_PREFIX}{REQUEST} {base36(revision)} {numbers}"
    return text + (f" {base}" if base else "")


def encode_piece(piece: Piece) -> str:
    """Encodes a `Piece`."""
    place = f"{base36(piece.number)}-{base36(piece.total)}"
    text = f"{DATAGRAM_PREFIX}{PIECE} {base36(piece.revision)} {piece.digest} {place} {piece.text}"
    return text + (f" {piece.base}" if piece.base else "")


def encode_delta_unavailable(answer: DeltaUnavailable) -> str:
    """Encodes a `DeltaUnavailable`."""
    return f"{DATAGRAM_PREFIX}{NO_DELTA} {base36(answer.revision)} {answer.base}"


def decode(text: str) -> Datagram | None:
    """Decodes a datagram; None if any part of it is malformed."""
    try:
        kind, revision_text, *rest = text.split(" ")
        revision = number36(revision_text, MAX_REVISION + 1)
        if kind == DATAGRAM_PREFIX + REQUEST and len(rest) in (1, 2):
            return _decode_request(revision, *rest)
        if kind == DATAGRAM_PREFIX + PIECE and len(rest) in (3, 4):
            return _decode_piece(revision, *rest)
        if kind == DATAGRAM_PREFIX + NO_DELTA and len(rest) == 1 and rest[0].isalnum():
            return DeltaUnavailable(revision, rest[0])
    except ValueError:
        pass
    return None


def _decode_request(revision: int, numbers: str, base: str = "") -> PieceRequest | None:
    pieces = tuple(number36(part, MAX_REVISION + 1) for part in numbers.split("-") if numbers)
    if len(pieces) > MAX_PIECES_PER_REQUEST or not _is_base(base):
        return None
    return PieceRequest(revision, pieces, base)


def _decode_piece(
    revision: int, digest: str, place: str, text: str, base: str = ""
) -> Piece | None:
    number, total = (number36(part, MAX_REVISION + 1) for part in place.split("-"))
    valid = (
        number < total <= MAX_PIECES
        and len(text) <= PIECE_CHARACTERS
        and digest.isalnum()
        and _is_base(base)
    )
    return Piece(revision, digest, number, total, text, base) if valid else None


def _is_base(text: str) -> bool:
    """Whether the text is empty or may be a digest."""
    return not text or (text.isalnum() and text.isascii())
