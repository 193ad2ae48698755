"""Tests of deltas between settings documents.

They cover the changes themselves and their transfer between members.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.configuration.distribution import codec
from hazelhollow.configuration.distribution.delta import Change, apply_delta, compute_delta
from hazelhollow.configuration.distribution.fetch import (
    MAX_DELTA_REFUSALS,
    MAX_UNANSWERED_DELTA_REQUESTS,
    DeltaBase,
    DocumentFetch,
)
from hazelhollow.configuration.distribution.history import SettingsHistory
from hazelhollow.configuration.distribution.incremental import DocumentPacking, run_to_end
from hazelhollow.configuration.distribution.source import DocumentSource
from hazelhollow.configuration.versions import settings_digest, shared_settings
from hazelhollow.scale import settings
from hazelhollow.scale.load import populate
from hazelhollow.scale.plan import FleetTerms
from hazelhollow.scale.results import Size

ORDER = 7
BASE: dict[str, Any] = {
    "position": 3,
    "zone": "b",
    "step": 1,
    "grades": [{"name": f"class-{n}", "deadline": n} for n in range(9)],
}
NEW: dict[str, Any] = {
    **BASE,
    "grades": [{"name": f"class-{n}", "deadline": n + (n == 4)} for n in range(9)],
}
KNOWN = DeltaBase(
    settings_digest(BASE), {k: v for k, v in BASE.items() if k not in ("position", "zone")}
)

# Changes

names = st.sampled_from("abcde")
leaf = st.none() | st.booleans() | st.integers(-2, 2) | st.sampled_from([0.0, 1.0, 1.5]) | names
entries = st.lists(
    st.tuples(names, st.dictionaries(st.sampled_from("xyz"), leaf, max_size=2)), max_size=5
)
named_list = entries.map(
    lambda found: [{**fields, "name": name} for name, fields in dict(found).items()]
)
same_names = entries.map(lambda found: [{**fields, "name": name} for name, fields in found])
value = st.recursive(
    leaf | named_list | same_names,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(names, inner, max_size=4),
    max_leaves=12,
)
documents = st.dictionaries(names, value, max_size=5)


@given(documents, documents)
def test_a_delta_makes_the_new_document_and_leaves_the_base_alone(
    base: dict[str, Any], new: dict[str, Any]
) -> None:
    before = copy.deepcopy(base)
    applied = apply_delta(base, compute_delta(base, new))
    assert settings_digest(applied) == settings_digest(new)
    assert base == before
    assert compute_delta(new, new) == [] and compute_delta(copy.deepcopy(new), new) == []


def test_a_list_with_a_duplicate_name_is_replaced() -> None:
    base = {"grades": [{"name": "a", "x": 1}, {"name": "a", "x": 2}]}
    new = {"grades": [{"name": "a", "x": 3}, {"name": "a", "x": 2}]}
    assert (
        compute_delta(base, new) == [["=", ["grades"], new["grades"]]]
        and apply_delta(base, compute_delta(base, new)) == new
    )


def test_unchanged_parts_are_shared_with_the_base() -> None:
    applied = apply_delta(BASE, compute_delta(BASE, NEW))
    assert [applied["grades"][n] is BASE["grades"][n] for n in range(9)] == [
        n != 4 for n in range(9)
    ]


@pytest.mark.parametrize(
    ("new", "changes"),
    [
        (NEW, [["=", ["grades", "class-4", "deadline"], 5]]),
        ({**BASE, "step": 1.0}, [["=", ["step"], 1.0]]),
        (
            {
                **BASE,
                "grades": [
                    {"name": f"class-{n}", "deadline": 1.0 if n == 1 else n} for n in range(9)
                ],
            },
            [["=", ["grades", "class-1", "deadline"], 1.0]],
        ),
        ({k: v for k, v in BASE.items() if k != "step"}, [["-", ["step"]]]),
        ({**BASE, "grades": BASE["grades"][1:]}, [["*", ["grades"], ["class-0"], []]]),
        (
            {**BASE, "grades": [{"name": "new"}, *BASE["grades"]]},
            [["*", ["grades"], [], [[0, {"name": "new"}]]]],
        ),
        ({**BASE, "grades": BASE["grades"][::-1]}, [["=", ["grades"], BASE["grades"][::-1]]]),
    ],
)
def test_a_delta_contains_the_smallest_changes(new: dict[str, Any], changes: list[Change]) -> None:
    assert compute_delta(BASE, new) == changes


@pytest.mark.parametrize(
    "changes",
    [
        [["=", [], 1]],
        [["=", ["a", "b"], 1]],
        [["=", ["grades", "nobody", "x"], 1]],
        [["-", ["nothing"]]],
        [["?", ["step"], 1]],
        [["=", ["step"]]],
        [["=", ["step"], 1, 2]],
        [["-", ["grades", "class-1"]]],
        [["=", ["step", "x"], 1]],
        [["*", ["grades"], ["nobody"], []]],
        [["*", ["step"], [], []]],
        [["*", ["grades"], [], [[0]]]],
        [1],
        ["="],
        [[]],
        [["=", 3, 1]],
    ],
)
def test_a_delta_that_does_not_fit_raises_value_error(changes: list[Any]) -> None:
    """A peer sends changes from another base, or malformed ones; no other error may be raised."""
    before = copy.deepcopy(BASE)
    with pytest.raises(ValueError):
        apply_delta(BASE, changes)
    assert before == BASE


# Transfer between members


def source_of(new: dict[str, Any] = NEW, *bases: DeltaBase) -> DocumentSource:
    """The source of a member that acted on these bases in turn before the new settings."""
    history = SettingsHistory()
    for base in bases:
        history.put(base.digest, base.document)
    history.put(settings_digest(new), shared_settings(new))
    return DocumentSource(ORDER, new, history)


def packed(value: Any) -> list[str]:
    packing = DocumentPacking(value, codec.PIECE_CHARACTERS)
    run_to_end(packing)
    return packing.pieces


def fetch_of(new: dict[str, Any] = NEW, base: DeltaBase | None = KNOWN) -> DocumentFetch:
    return DocumentFetch(ORDER, settings_digest(new), base)


def converse(
    fetch: DocumentFetch,
    answers: Callable[[codec.PieceRequest], list[str]],
    max_requests: int = 60,
    rng: random.Random | None = None,
    lose: float = 0.0,
) -> tuple[dict[str, Any] | None, list[codec.PieceRequest]]:
    """Fetches a document, with each request to another member; returns it and the requests."""
    rng, requests = rng or random.Random(1), list[codec.PieceRequest]()
    for number in range(max_requests):
        request = codec.decode(fetch.next_request(bool(fetch.delta_holders([number]))))
        assert isinstance(request, codec.PieceRequest)
        requests.append(request)
        texts = answers(request)
        rng.shuffle(texts)
        for text in texts:
            if rng.random() < lose:
                continue
            datagram = codec.decode(text)
            if isinstance(datagram, codec.DeltaUnavailable):
                fetch.delta_refused(number, datagram)
            elif isinstance(datagram, codec.Piece) and (document := fetch.put(datagram)):
                return document, requests
    return None, requests


def test_one_changed_route_of_thousands_fits_one_datagram() -> None:
    size, terms = (
        Size(limiters=12, servers=3, routes=11_000, tenants=4, requests_per_s=1.0),
        FleetTerms(),
    )
    before = settings.document(size, populate(size, terms, seed=1).quotas, terms)
    after = settings.changed(before, [5_000], 1)
    base = DeltaBase(settings_digest(before), before)
    document, requests = converse(fetch_of(after, base), source_of(after, base).answer_at_once)
    assert (
        len(requests) == 1
        and document is not None
        and settings_digest(document) == settings_digest(after)
    )


@pytest.mark.parametrize("lose", [0.0, 0.4])
def test_a_long_delta_is_assembled_through_loss_and_reordering(lose: float) -> None:
    """Datagrams are lost and reordered while a long delta is transferred."""
    rng = random.Random(3)
    base: dict[str, Any] = {
        "grades": [{"name": f"class-{n}", "key": rng.random()} for n in range(2_000)],
        "step": 1,
    }
    new = {
        **base,
        "grades": [{**entry, "key": rng.random()} for entry in base["grades"][:1_500]]
        + base["grades"][1_500:],
    }
    delta_base = DeltaBase(settings_digest(base), base)
    delta_fetch = fetch_of(new, delta_base)
    document, requests = converse(
        delta_fetch, source_of(new, delta_base).answer_at_once, rng=rng, lose=lose
    )
    assert (
        document == new
        and len(requests) > MAX_UNANSWERED_DELTA_REQUESTS
        and {request.base for request in requests} == {delta_base.digest}
    )


def test_a_member_with_unknown_settings_gets_the_full_document() -> None:
    """No member has the settings from which the delta is wanted; three report that they lack it."""
    document, requests = converse(fetch_of(), source_of().answer_at_once)
    assert document == apply_delta(
        KNOWN.document, compute_delta(KNOWN.document, shared_settings(NEW))
    )
    bases = [request.base for request in requests]
    assert bases[:MAX_DELTA_REFUSALS] == [KNOWN.digest] * MAX_DELTA_REFUSALS
    assert set(bases[MAX_DELTA_REFUSALS:]) == {""}


def test_a_release_without_deltas_is_asked_for_the_full_document() -> None:
    """A program of an earlier release does not answer a request that it cannot decode."""
    document_source = source_of()
    document, requests = converse(
        fetch_of(), lambda request: [] if request.base else document_source.answer_at_once(request)
    )
    assert (
        document is not None
        and [request.base for request in requests].count(KNOWN.digest)
        == MAX_UNANSWERED_DELTA_REQUESTS
    )


def test_without_a_delta_at_the_holder_the_full_document_is_requested() -> None:
    """The only holder started with the new settings and has no others as a base.

    Once a member has fetched the full document from it, that member can send the delta.
    """
    delta_fetch, origin = fetch_of(), source_of()
    assert delta_fetch.delta_holders([5]) == [5]
    (refusal,) = origin.answer_at_once(codec.PieceRequest(ORDER, (), delta_fetch.base))
    datagram = codec.decode(refusal)
    assert isinstance(datagram, codec.DeltaUnavailable)
    delta_fetch.delta_refused(5, datagram)
    assert delta_fetch.delta_holders([5]) == [] and delta_fetch.delta_holders([5, 6]) == [6]
    full_request = codec.decode(delta_fetch.next_request(False))
    assert isinstance(full_request, codec.PieceRequest) and full_request.base == ""
    # member 6 has fetched the full document
    (text,) = source_of(NEW, KNOWN).answer_at_once(codec.PieceRequest(ORDER, (), delta_fetch.base))
    piece = codec.decode(text)
    assert isinstance(piece, codec.Piece) and delta_fetch.put(piece) is not None


def test_after_a_wrong_delta_the_full_document_is_requested() -> None:
    """A member sends a delta that does not make the announced document."""
    wrong = codec.encode_piece(
        codec.Piece(ORDER, settings_digest(NEW), 0, 1, packed([["-", ["step"]]])[0], KNOWN.digest)
    )
    document_source = source_of()
    document, requests = converse(
        fetch_of(),
        lambda request: [wrong] if request.base else document_source.answer_at_once(request),
    )
    assert document is not None and settings_digest(document) == settings_digest(NEW)
    assert [request.base for request in requests][0] == KNOWN.digest and requests[1].base == ""


@pytest.mark.parametrize("told", ["whole", "other base", "other order"])
def test_pieces_that_do_not_belong_to_the_delta_are_ignored(told: str) -> None:
    """Pieces of another base, another revision and the full document arrive in between."""
    delta_fetch, right = fetch_of(), source_of(NEW, KNOWN)
    text = packed([["-", ["step"]]])[0]
    digest, base = settings_digest(NEW), KNOWN.digest
    other = {
        "whole": codec.Piece(ORDER, digest, 0, 1, text),
        "other base": codec.Piece(ORDER, digest, 0, 1, text, "zzzz"),
        "other order": codec.Piece(ORDER - 1, digest, 0, 1, text, base),
    }[told]
    assert (
        delta_fetch.put(other) is None
        and delta_fetch.base == base
        and not delta_fetch._delta_pieces._texts
    )
    assert converse(delta_fetch, right.answer_at_once)[0] is not None


def test_refusals_of_another_delta_are_ignored() -> None:
    """Members report that they lack a delta that was not requested."""
    delta_fetch = fetch_of()
    for sender in range(10):
        delta_fetch.delta_refused(sender, codec.DeltaUnavailable(ORDER, "zzzz"))
        delta_fetch.delta_refused(sender, codec.DeltaUnavailable(ORDER + 1, KNOWN.digest))
        delta_fetch.delta_refused(1, codec.DeltaUnavailable(ORDER, KNOWN.digest))
    assert delta_fetch.base == KNOWN.digest


def test_a_delta_as_long_as_the_document_is_not_sent() -> None:
    rng = random.Random(4)
    base, new = (
        {"grades": [{"name": f"{n}", "key": rng.random()} for n in range(60)]} for _ in range(2)
    )
    delta_base = DeltaBase(settings_digest(base), base)
    (text,) = source_of(new, delta_base).answer_at_once(
        codec.PieceRequest(ORDER, (), delta_base.digest)
    )
    assert codec.decode(text) == codec.DeltaUnavailable(ORDER, delta_base.digest)


def test_members_forward_pieces_of_an_incomplete_delta() -> None:
    rng = random.Random(5)
    base = {"grades": [{"name": f"class-{n}", "key": rng.random()} for n in range(400)]}
    new = {
        "grades": [{**entry, "key": rng.random()} for entry in base["grades"][:80]]
        + base["grades"][80:]
    }
    delta_base = DeltaBase(settings_digest(base), base)
    partial, empty, without_base = (
        fetch_of(new, delta_base),
        fetch_of(new, delta_base),
        fetch_of(new, None),
    )
    for text in source_of(new, delta_base).answer_at_once(
        codec.PieceRequest(ORDER, (0, 1), delta_base.digest)
    ):
        piece = codec.decode(text)
        assert isinstance(piece, codec.Piece)
        partial.put(piece)
    requests = codec.PieceRequest(ORDER, (0, 1, 2), delta_base.digest)
    forwarded = [codec.decode(text) for text in partial.answer(requests)]
    assert [piece.number for piece in forwarded if isinstance(piece, codec.Piece)] == [0, 1]
    assert (
        empty.answer(requests) == [] == without_base.answer(requests)
        and partial.answer(requests._replace(base="")) == []
    )
