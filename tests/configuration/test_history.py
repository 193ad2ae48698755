"""Tests of the settings history and of work on documents in slices."""

from __future__ import annotations

import copy
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.configuration.distribution import codec, incremental
from hazelhollow.configuration.distribution.exchange import (
    MAX_WAITING_REQUESTS,
    DocumentExchange,
    ExchangePort,
    WantedDocument,
)
from hazelhollow.configuration.distribution.history import SettingsHistory
from hazelhollow.configuration.distribution.incremental import (
    DeltaComputation,
    DocumentPacking,
    run_to_end,
    unpack,
)
from hazelhollow.configuration.versions import settings_digest, shared_settings
from tests.configuration.test_delta import documents, packed


def put(history: SettingsHistory, document: dict[str, Any]) -> str:
    digest = settings_digest(document)
    history.put(digest, shared_settings(document))
    return digest


@given(st.lists(documents, min_size=1, max_size=6), st.data())
def test_every_earlier_document_can_be_restored(
    history_documents: list[dict[str, Any]], data: st.DataObject
) -> None:
    history = SettingsHistory()
    for document in history_documents:
        digest = put(history, document)
        assert history.current == digest
        if data.draw(st.booleans()):
            history.step()  # sometimes a slice is computed in between
    for document in history_documents:
        digest = settings_digest(document)
        found = history.document(digest)
        assert history.knows(digest) and found is not None and settings_digest(found) == digest


def test_settings_that_were_never_in_force_are_unknown() -> None:
    history = SettingsHistory()
    put(history, {"step": 1})
    assert not history.knows("zzzz") and history.document("zzzz") is None


@pytest.mark.parametrize(("steps", "size", "known"), [(3, 10**6, 4), (100, 50, 3), (100, 1, 1)])
def test_the_history_is_bounded_in_steps_and_bytes(steps: int, size: int, known: int) -> None:
    history = SettingsHistory(steps, size)
    digests = [put(history, {"step": 1000 + n}) for n in range(10)]
    run_to_end(history)
    assert [history.document(digest) is not None for digest in digests] == [False] * (
        10 - known
    ) + [True] * known


def routes(count: int, seed: int = 1) -> dict[str, Any]:
    rng = random.Random(seed)
    return {"grades": [{"name": f"r{n}", "deadline": rng.random()} for n in range(count)]}


def test_a_delta_computed_in_slices_equals_one_computed_at_once() -> None:
    base, new = routes(1000, 1), routes(1000, 2)
    computation, steps = DeltaComputation(base, new), 1
    while not computation.step():
        steps += 1
    assert (
        steps >= 2000 / incremental.PLACES_PER_STEP
    )  # one place for each route and one for its deadline
    assert computation.changes == delta_at_once(base, new)


def delta_at_once(base: dict[str, Any], new: dict[str, Any]) -> list[Any]:
    computation = DeltaComputation(base, new)
    run_to_end(computation)
    return computation.changes


def shuffled(value: Any, rng: random.Random) -> Any:
    """Returns the same document with its fields in another order."""
    if isinstance(value, dict):
        items = list(value.items())
        rng.shuffle(items)
        return {name: shuffled(inner, rng) for name, inner in items}
    return [shuffled(inner, rng) for inner in value] if isinstance(value, list) else value


@given(documents, documents, st.integers(0, 9))
def test_all_members_make_the_same_pieces_of_a_delta(
    base: dict[str, Any], new: dict[str, Any], seed: int
) -> None:
    rng = random.Random(seed)
    delta_pieces = packed(delta_at_once(base, new))
    assert delta_pieces == packed(delta_at_once(shuffled(base, rng), shuffled(new, rng)))


def test_a_document_packed_in_slices_can_be_unpacked() -> None:
    value = routes(3000)
    packing, steps = DocumentPacking(value, codec.PIECE_CHARACTERS), 1
    while not packing.step():
        assert not packing.pieces
        steps += 1
    assert steps > 5 and unpack("".join(packing.pieces)) == value
    assert {len(piece) for piece in packing.pieces[:-1]} == {codec.PIECE_CHARACTERS}


# Answers of a member, made in slices


class RecordedExchange:
    """One member's exchange, with a record of what it has sent."""

    def __init__(self, document: dict[str, Any], earlier: dict[str, Any]) -> None:
        self.history, self.sent = SettingsHistory(), list[tuple[int, str]]()
        self.base = put(self.history, earlier)
        self.digest = put(self.history, document)
        self.exchange = DocumentExchange(
            0,
            self.history,
            random.Random(1),
            ExchangePort(
                lambda number, text: self.sent.append((number, text)), lambda revision: None
            ),
        )
        self.exchange.serve(5, self.digest, document)

    def finish(self) -> int:
        """Does all steps until no request waits; returns their number."""
        steps = 0
        while self.exchange.is_busy():
            self.exchange.step(0.0)
            steps += 1
        return steps


def changed(document: dict[str, Any]) -> dict[str, Any]:
    new = copy.deepcopy(document)
    new["grades"][7]["deadline"] = 9.0
    return new


def test_requests_wait_until_the_delta_is_made() -> None:
    recorder = RecordedExchange(changed(routes(2000)), routes(2000))
    for number in (3, 4):
        recorder.exchange.receive(number, codec.encode_request(5, (), recorder.base), 0.0)
    assert not recorder.sent and recorder.finish() > 10
    assert [number for number, _ in recorder.sent] == [3, 4]
    answers = [codec.decode(text) for _, text in recorder.sent]
    assert all(
        isinstance(answer, codec.Piece) and answer.base == recorder.base for answer in answers
    )
    recorder.exchange.receive(
        6, codec.encode_request(5, (), recorder.base), 0.0
    )  # the delta is made now
    assert len(recorder.sent) == 3 and not recorder.exchange.is_busy()


def test_waiting_requests_are_bounded_and_dropped_when_settings_change() -> None:
    """More members send requests than can wait, and then the settings change again."""
    recorder = RecordedExchange(changed(routes(500)), routes(500))
    for number in range(MAX_WAITING_REQUESTS + 10):
        recorder.exchange.receive(number, codec.encode_request(5, (), recorder.base), 0.0)
    recorder.finish()
    assert len(recorder.sent) == MAX_WAITING_REQUESTS
    recorder.exchange.receive(1, codec.encode_request(5, ()), 0.0)
    recorder.exchange.serve(6, recorder.digest, changed(routes(500)))
    assert not recorder.exchange.is_busy()


def test_the_pieces_sent_in_a_second_are_bounded() -> None:
    """40 members send requests at once; at most MAX_PIECES_SENT_PER_S datagrams are sent."""
    recorder = RecordedExchange(routes(2000, 3), routes(2000))
    pieces = range(codec.MAX_PIECES_PER_REQUEST)
    recorder.exchange.receive(1, codec.encode_request(5, pieces), 0.0)
    recorder.finish()
    for number in range(40):
        recorder.exchange.receive(number, codec.encode_request(5, pieces), 0.0)
    assert len(recorder.sent) == 200
    recorder.exchange.new_second()
    recorder.exchange.receive(1, codec.encode_request(5, pieces), 1.0)
    assert len(recorder.sent) == 200 + codec.MAX_PIECES_PER_REQUEST


def test_a_wanted_document_is_requested_as_a_delta() -> None:
    holder, requester = (
        RecordedExchange(changed(routes(300)), routes(300)),
        RecordedExchange(routes(300), routes(10)),
    )
    requester.exchange.fetch(WantedDocument(5, holder.digest, (0,)), {0, 1}, 0.0)
    ((number, request),) = requester.sent
    decoded = codec.decode(request)
    assert number == 0 and isinstance(decoded, codec.PieceRequest) and decoded.base == holder.base
    holder.exchange.receive(1, request, 0.0)
    holder.finish()
    arrived = requester.exchange.receive(0, holder.sent[0][1], 0.0)
    assert arrived is not None and (arrived.revision, arrived.digest, arrived.sender) == (
        5,
        holder.digest,
        0,
    )
    assert settings_digest(arrived.document) == holder.digest
