"""Tests of the encoding and the digests of versions, and of the versions of all members."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.configuration import versions
from hazelhollow.configuration.known_versions import KnownVersions
from hazelhollow.configuration.versions import MAX_CANARIES, Candidate, Phase, Versions
from hazelhollow.membership.codec import MAX_VERSIONS_BYTES
from hazelhollow.membership.records import MemberState
from hazelhollow.membership.records import Record as FleetRecord
from tests.configuration.audit_entries import NEW, OLD, OTHER


@given(
    st.builds(
        Versions,
        st.sampled_from("hij"),
        st.just("4pz"),
        st.integers(0, 46655),
        st.just("k3f9"),
        st.integers(0, 36**4 - 1),
        st.just("a1c"),
        st.just("z0q1"),
        st.none() | st.builds(Candidate, st.integers(1, MAX_CANARIES), st.sampled_from(Phase)),
    )
)
def test_versions_can_be_decoded_and_fit_the_membership_record(member_versions: Versions) -> None:
    assert (
        versions.decode(versions.encode(member_versions)) == member_versions
        and len(versions.encode(member_versions)) <= MAX_VERSIONS_BYTES
    )


@pytest.mark.parametrize(
    "text",
    ["", "i", "i" * 21, "i" * 23, "I" * 22, "-" * 22, "i" * 22 + "0b", "i" * 22 + "3x", "i" * 25],
)
def test_malformed_versions_are_ignored(text: str) -> None:
    assert versions.decode(text) is None


def test_the_settings_digest_ignores_the_fields_of_one_limiter() -> None:
    document = {"position": 0, "zone": "a", "tariffs": [{"name": "gold"}], "step": 1}
    other = {"step": 1, "tariffs": [{"name": "gold"}], "position": 4, "zone": "b"}
    assert (
        versions.settings_digest(document)
        == versions.settings_digest(other)
        != versions.settings_digest({**document, "step": 2})
    )


CHANGE = st.tuples(
    st.integers(0, 4),
    st.sampled_from(["", *map(versions.encode, (OLD, NEW, OTHER))]),
    st.sampled_from([MemberState.ALIVE, MemberState.DEAD]),
)


@given(st.lists(CHANGE))
def test_known_versions_follow_the_membership_records(
    changes: list[tuple[int, str, MemberState]],
) -> None:
    """Members join, change and die; the newest revision is that of an iteration over all."""
    known_versions, table, latest = KnownVersions(), dict[int, Versions](), dict[int, Versions]()
    for step, (number, text, state) in enumerate(changes):
        known_versions.update_from(FleetRecord(number, 1, step, state, (), text))
        read = versions.decode(text) if state == MemberState.ALIVE else None
        table.pop(number, None)
        if read:
            table[number] = read
        revision = max((member.revision for member in table.values()), default=0)
        assert dict(known_versions) == table
        assert known_versions.newest() == (
            revision,
            {member.settings for member in table.values() if member.revision == revision},
        )
        if step % 3 == 0:
            latest.update(known_versions.drain_changed())
            assert {n: latest[n] for n in table} == table
