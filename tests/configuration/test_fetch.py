"""Tests of the transfer of a full document in pieces, and of malformed datagrams."""

from __future__ import annotations

import random

import pytest

from hazelhollow.configuration import versions
from hazelhollow.configuration.distribution import codec
from hazelhollow.configuration.distribution.fetch import DocumentFetch
from hazelhollow.configuration.distribution.incremental import unpack
from hazelhollow.configuration.distribution.source import DocumentSource

DOCUMENT = {
    "position": 3,
    "zone": "b",
    "grades": [{"name": f"class-{n}", "objective": n / 7} for n in range(60)],
}


@pytest.mark.parametrize("lose", [0.0, 0.3])
def test_a_document_is_assembled_through_loss_duplicates_and_reordering(lose: float) -> None:
    """Datagrams are lost, duplicated and reordered while a document is transferred."""
    rng, source = random.Random(1), DocumentSource(4, DOCUMENT)
    fetch, received = DocumentFetch(4, source.digest), None
    for _ in range(200):
        request = codec.decode(fetch.next_request(False))
        assert isinstance(request, codec.PieceRequest) and len(fetch.next_request(False)) <= 256
        answers = source.answer_at_once(request)
        for text in rng.sample([*answers, *answers], 2 * len(answers)):
            piece = codec.decode(text)
            # leaves room for the keyed hash
            assert isinstance(piece, codec.Piece) and len(text) <= 256 - 18
            if rng.random() >= lose and received is None:
                received = fetch.put(piece)
        if received is not None:
            break
    assert received == versions.shared_settings(DOCUMENT)


def test_pieces_of_another_document_and_garbage_are_discarded() -> None:
    """A member sends another document, or a text that cannot be unpacked."""
    source = DocumentSource(4, DOCUMENT)
    for fetch in (DocumentFetch(4, "zzzz"), DocumentFetch(5, source.digest)):
        request = codec.decode(fetch.next_request(False))
        assert isinstance(request, codec.PieceRequest)
        assert [
            fetch.put(piece)
            for text in source.answer_at_once(request)
            if isinstance(piece := codec.decode(text), codec.Piece)
        ] in ([], [None])
    forged = DocumentFetch(4, source.digest)
    assert (
        forged.put(codec.Piece(4, source.digest, 0, 1, "AAAA")) is None
    )  # complete, but cannot be unpacked
    assert (
        isinstance(codec.decode(forged.next_request(False)), codec.PieceRequest)
        and not forged._document_pieces._texts
    )


def test_late_pieces_of_an_older_document_are_ignored() -> None:
    """Pieces of the previous revision arrive between those of the new one."""
    source, older = DocumentSource(4, DOCUMENT), DocumentSource(3, {**DOCUMENT, "step": 2})
    fetch, received = DocumentFetch(4, source.digest), []
    for n, text in enumerate(source.all_pieces()):
        received.append(fetch.put(codec.Piece(4, source.digest, n, len(source.all_pieces()), text)))
        received.append(
            fetch.put(
                codec.Piece(3, older.digest, 0, len(source.all_pieces()), older.all_pieces()[0])
            )
        )
    assert [document for document in received if document] == [versions.shared_settings(DOCUMENT)]


def test_a_document_with_another_digest_than_announced_is_discarded() -> None:
    """A member sends another complete document under the announced digest."""
    other = DocumentSource(4, {"step": 2})
    fetch = DocumentFetch(4, DocumentSource(4, DOCUMENT).digest)
    assert (
        fetch.put(codec.Piece(4, fetch.digest, 0, len(other.all_pieces()), other.all_pieces()[0]))
        is None
        and len(other.all_pieces()) == 1
    )


def test_a_decompression_bomb_is_not_unpacked() -> None:
    """A few kilobytes of text would unpack to 8 MB; larger ones could exhaust the memory."""
    import base64
    import zlib

    bomb = base64.b64encode(zlib.compress(b'{"a":"' + b"x" * (8 << 20) + b'"}', 9)).decode()
    assert unpack(bomb) is None


@pytest.mark.parametrize(
    "text",
    [
        "",
        "d1q",
        "d1q 1 1-2 3 4",
        "d1q 1 1-2 .",
        "d1n 1",
        "d1n 1 .",
        "d1n 1 a b",
        "d1g 1 ab 0-1 x .",
        "d1g 1 ab 0-1 x a b",
        "d1g 1 ab 3-2 x",
        "d1g 1 ab 1-2 " + "x" * 300,
        "d2q 1 ",
        "d1q 1 -",
        "d1q 1 " + "1-" * 20 + "1",
    ],
)
def test_malformed_datagrams_are_ignored(text: str) -> None:
    assert codec.decode(text) is None
