"""Tests of the datagrams between members and of the stored record, byte for byte.

The expected bytes were made by the release before the parts of the program were renamed: programs
of both releases have to read what the other wrote.
"""

from __future__ import annotations

import json
from typing import Any

from hazelhollow.configuration import versions
from hazelhollow.configuration.admission_verdict import SettingsState
from hazelhollow.configuration.audit.entries import (
    AuditEntry,
    EntryKind,
    decode_entries,
    encode_entry,
)
from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.configuration.distribution import codec
from hazelhollow.configuration.distribution.history import SettingsHistory
from hazelhollow.configuration.distribution.source import DocumentSource
from hazelhollow.configuration.rollout import RolloutEvent
from hazelhollow.configuration.versions import Candidate, Phase, Versions, settings_digest

BASE: dict[str, Any] = {
    "position": 3,
    "zone": "b",
    "step": 1,
    "grades": [{"name": "gold", "deadline": 1.5}, {"name": "tin", "deadline": 2}],
}
NEW: dict[str, Any] = {
    **BASE,
    "step": 2,
    "grades": [{"name": "gold", "deadline": 1.5}, {"name": "tin", "deadline": 3}],
}

VERSIONS = {
    "i4pz002k3f9005ta1cz0q13b": Versions(
        "i", "4pz", 2, "k3f9", 209, "a1c", "z0q1", Candidate(3, Phase.BAKING)
    ),
    "i4pzzzzk3f90007a1cz0q1": Versions("i", "4pz", 46655, "k3f9", 7, "a1c", "z0q1"),
    "j4pz007k3f90000a1cz0q1zh": Versions(
        "j", "4pz", 7, "k3f9", 0, "a1c", "z0q1", Candidate(35, Phase.HELD)
    ),
}

DOCUMENT_PIECE = (
    "d1g 2 yig5 0-1 eNqrVkovSkxJLVayiq5WSklNTMnJzEtVsjLUM9VRykvMBTKV0vNzUpRqdZCljeGSJZl5SrWxOkrF"
    "JakFSlZGtQAbQxmX"
)
DELTA_PIECE = (
    "d1g 2 yig5 0-1 eNqLjlayVdKJViouSS1QitUxitWBCqQXJaakFivpKJVk5gHJlNTElJzMvFSgGuPYWACncQ/3 y882"
)

SEGMENT = bytes.fromhex(
    "0000002db571fcba9dcb3ff800000000000004cf0000018bcfe5680001a770726f6772616da3312e30a562656761"
    "6e03ff808090c20000002f2310acf99dcb3ff800000000000004cf0000018bcfe5680002a873657474696e6773a4"
    "61616161a5626567616e03ff808090c300000024e7ef2dd09dcb400000000000000004cf0000018bcfe5680003a4"
    "6c697374a23137a003ff808090c20000002b723ad71c9dcb400000000000000004cf0000018bcfe5680004a56861"
    "6e6473a47a307131a003ff8081a268310190c20000004a754299009dcb400200000000000004cf0000018bcfe568"
    "0005a672756c696e67a873687574206f7574be6e6f626f64792067617665206f7264657220342077697468696e20"
    "35207303ff808090c20000003967fa79389dcb400400000000000004cf0000018bcfe5680006a56865617264b669"
    "34707a3030346b336639303035776131637a307131a00302808090c200000042f937dce09dcb4008000000000000"
    "04cf0000018bcfe5680007a67365636f6e64a461616161a003ff82a8726571756573747305a66661696c65640181"
    "a268320491a3722d31c20000003e9ab36b2a9dcb401000000000000004cf0000018bcfe5680008a7726f6c6c6f75"
    "74ab726f6c6c6564206261636bae627920616e206f70657261746f7205ff808090c2"
)
ANSWER = (
    '[[1.5,4,1700000000000,1,"program","1.0","began",3,-1,{},{},[],false],'
    '[1.5,4,1700000000000,2,"settings","aaaa","began",3,-1,{},{},[],true],'
    '[2.0,4,1700000000000,3,"list","17","",3,-1,{},{},[],false],'
    '[2.0,4,1700000000000,4,"hands","z0q1","",3,-1,{},{"h1":1},[],false],'
    '[2.25,4,1700000000000,5,"ruling","shut out","nobody gave order 4 within 5 s",3,-1,{},{},[],'
    "false],"
    '[2.5,4,1700000000000,6,"heard","i4pz004k3f9005wa1cz0q1","",3,2,{},{},[],false],'
    '[3.0,4,1700000000000,7,"second","aaaa","",3,-1,{"requests":5,"failed":1},{"h2":4},["r-1"],'
    "false],"
    '[4.0,4,1700000000000,8,"rollout","rolled back","by an operator",5,-1,{},{},[],false]]'
)


def test_versions_are_encoded_as_in_the_earlier_release() -> None:
    assert {versions.encode(member): member for member in VERSIONS.values()} == VERSIONS
    assert {text: versions.decode(text) for text in VERSIONS} == VERSIONS
    beyond = VERSIONS["i4pzzzzk3f90007a1cz0q1"]._replace(revision=46656, list_index=36**4 + 7)
    assert versions.encode(beyond) == "i4pzzzzk3f90007a1cz0q1"


def test_digests_equal_those_of_the_earlier_release() -> None:
    """Otherwise members of two releases with the same settings would report a contradiction."""
    assert (settings_digest(BASE), settings_digest(NEW)) == ("y882", "yig5")
    assert versions.overrides_digest({"h1"}) == "zp6r"


def test_requests_and_refusals_are_encoded_as_in_the_earlier_release() -> None:
    assert codec.encode_request(2, (0, 1, 36)) == "d1q 2 0-1-10"
    assert codec.encode_request(2, ()) == "d1q 2 "
    assert codec.encode_request(46655, (5,), "a0x1") == "d1q zzz 5 a0x1"
    assert codec.encode_delta_unavailable(codec.DeltaUnavailable(2, "a0x1")) == "d1n 2 a0x1"


def test_pieces_are_packed_and_encoded_as_in_the_earlier_release() -> None:
    """Pieces of a document come from several members, so all have to split it in the same way."""
    history = SettingsHistory()
    for document in (BASE, NEW):
        history.put(settings_digest(document), versions.shared_settings(document))
    source = DocumentSource(2, NEW, history)
    assert source.answer_at_once(codec.PieceRequest(2, ())) == [DOCUMENT_PIECE]
    assert source.answer_at_once(codec.PieceRequest(2, (), "y882")) == [DELTA_PIECE]
    assert source.answer_at_once(codec.PieceRequest(2, (0,), "zzzz")) == ["d1n 2 zzzz"]


def record() -> AuditRecord:
    """Returns a record with an entry of each kind."""
    audit_record = AuditRecord(4, 1_700_000_000_000)
    audit_record.add(1.5, EntryKind.PROGRAM, "1.0", "began", revision=3)
    audit_record.add(1.5, EntryKind.SETTINGS, "aaaa", "began", revision=3, candidate=True)
    audit_record.add(2.0, EntryKind.ENDPOINT_LIST, "17", revision=3)
    audit_record.add(2.0, EntryKind.OVERRIDES, "z0q1", hosts={"h1": 1}, revision=3)
    why = "nobody gave order 4 within 5 s"
    audit_record.add(2.25, EntryKind.VERDICT, SettingsState.SHUT_OUT, why, revision=3)
    audit_record.add(2.5, EntryKind.PEER_VERSIONS, "i4pz004k3f9005wa1cz0q1", revision=3, peer=2)
    activity: dict[str, Any] = {
        "counts": {"requests": 5, "failed": 1},
        "hosts": {"h2": 4},
        "samples": ["r-1"],
    }
    audit_record.add(3.0, EntryKind.ACTIVITY, "aaaa", revision=3, **activity)
    audit_record.add(4.0, EntryKind.ROLLOUT, RolloutEvent.ROLLED_BACK, "by an operator", revision=5)
    return audit_record


def test_a_segment_is_written_and_read_as_in_the_earlier_release() -> None:
    entries = list(record().entries)
    assert {entry.kind for entry in entries} == set(EntryKind)
    assert b"".join(map(encode_entry, entries)) == SEGMENT
    decoded = list(decode_entries(SEGMENT))
    assert decoded == entries
    assert all(type(entry.kind) is EntryKind for entry in decoded if isinstance(entry, AuditEntry))


def test_a_record_is_returned_by_a_limiter_as_in_the_earlier_release() -> None:
    assert record().newest() == json.loads(ANSWER)
