"""Tests of merged records: clocks, the settings of each member, and findings."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.configuration.audit import merge, report_page
from hazelhollow.configuration.versions import Candidate, Phase
from tests.configuration.audit_entries import NEW, entry, late_adoption, peer_seen


def test_tried_settings_bind_other_members_only_once_in_force() -> None:
    tried = NEW._replace(candidate=Candidate(1, Phase.BAKING))
    merged = merge.merge_entries(
        [
            entry(1.0, 0, 1, revision=1),
            entry(10.0, 0, 2, version="bbbb", revision=2, candidate=True),
            entry(10.0, 0, 3, "rollout", "pushed", reason="by an operator", revision=2),
            entry(40.0, 0, 4, "rollout", "released", revision=2),
            entry(40.0, 0, 5, version="bbbb", revision=2),
            entry(50.0, 0, 6, "second", "bbbb", revision=2, counts={"requests": 5}),
            entry(1.0, 1, 1, revision=1),
            peer_seen(10.2, 1, 2, 0, tried),
            entry(30.0, 1, 3, "second", "aaaa", revision=1, counts={"requests": 9}),
            peer_seen(40.1, 1, 4, 0, NEW),
            entry(40.3, 1, 5, version="bbbb", revision=2),
            entry(50.0, 1, 6, "second", "bbbb", revision=2),
        ]
    )
    assert not merged.findings and not merged.unresolved
    (_, change) = merged.changes()
    assert change["out_at"] == 40.0 and change["last_old_after_s"] == pytest.approx(0.3)
    events = merged.document()["rollout"]
    assert [(event["t"], event["member"], event["order"], event["step"]) for event in events] == [
        (10.0, 0, 2, "pushed"),
        (40.0, 0, 2, "released"),
    ]
    assert "released" in report_page.render(merged.document())


def test_a_member_that_stays_on_old_settings_is_found() -> None:
    """A member observes newer settings in force and serves under the old ones for 20 s."""
    merged = merge.merge_entries(
        [
            entry(1.0, 0, 1, revision=1),
            entry(10.0, 0, 2, version="bbbb", revision=2),
            entry(1.0, 1, 1, revision=1),
            peer_seen(10.2, 1, 2, 0, NEW),
            entry(30.0, 1, 3, "second", "aaaa", revision=1, counts={"requests": 9}),
        ]
    )
    assert [finding.kind for finding in merged.findings] == ["old"]


def test_a_member_acts_on_its_settings_until_it_ends() -> None:
    last_second = entry(5.0, 0, 2, "second", "aaaa", revision=1, counts={"requests": 5})
    ended = entry(6.2, 0, 3, "program", "1.0", reason="ended", revision=1)
    began = entry(7.0, 0, 1, "program", "1.0", reason="began", revision=1, incarnation=2)
    merged = merge.merge_entries([entry(1.0, 0, 1, revision=1), last_second, ended, began])
    assert [(span.begin, span.end) for span in merged.members[0].spans] == [(1.0, 6.2)]


@pytest.mark.parametrize("skew", [-40.0, 0.0, 0.1])
def test_clocks_are_aligned_by_observations_of_peers(skew: float) -> None:
    """A member's clock is up to 40 s off; its observation of the other one shows by how much."""
    merged = merge.merge_entries(late_adoption(skew, 0.5))
    assert (
        merged.offsets[1] == pytest.approx(max(0.0, -skew - 0.2))
        and not merged.findings
        and not merged.unresolved
    )
    (_, change) = merged.changes()
    assert change["last_old_after_s"] == pytest.approx(
        0.5 + (0.2 if skew >= 0 else 0.0) + max(skew, 0.0), abs=0.01
    )


def test_a_member_serving_on_old_settings_is_found_a_shut_out_one_is_not() -> None:
    """A member stays on old settings for 9 s, in which it serves, is shut out, or is paused."""
    assert [(f.kind, f.members) for f in merge.merge_entries(late_adoption(0.0, 9.0)).findings] == [
        ("old", (1,))
    ]
    shut_out = late_adoption(0.0, 9.0)
    shut_out[5:] = [
        entry(10.4, 1, 3, "ruling", "shut out", revision=1),
        entry(19.0, 1, 4, "second", "aaaa", revision=1, counts={"requests": 9}),
        entry(19.2, 1, 5, version="bbbb", revision=2),
        entry(30.0, 1, 6, "second", "bbbb", revision=2),
    ]
    assert merge.merge_entries(shut_out).findings == []
    paused = late_adoption(0.0, 9.0)
    paused[5] = entry(
        10.3, 1, 3, "second", "aaaa", revision=1, counts={"requests": 9}
    )  # then it was paused until 19.2
    assert merge.merge_entries(paused).findings == []


def test_one_revision_with_two_settings_is_found() -> None:
    """Two operators use one revision for different settings."""
    merged = merge.merge_entries(
        [entry(1.0, 0, 1, revision=2, version="bbbb"), entry(2.0, 1, 1, revision=2, version="cccc")]
    )
    assert [(f.kind, f.members) for f in merged.findings] == [("contradiction", (0, 1))]


def test_the_use_of_a_disabled_host_is_found() -> None:
    """A limiter sends to a host that an operator disabled there 3 s ago."""
    disabling = [entry(1.0, 0, 1, revision=1), entry(5.0, 0, 2, "hands", "x", hosts={"h1": 1})]
    for t, what in ((5.9, []), (8.0, ["host used"])):
        merged = merge.merge_entries(
            [*disabling, entry(t, 0, 3, "second", "aaaa", revision=1, hosts={"h1": 2, "h2": 9})]
        )
        assert [f.kind for f in merged.findings] == what
    restarted = [
        *disabling,
        entry(6.0, 0, 1, incarnation=2, revision=1),
        entry(9.0, 0, 2, "second", "aaaa", incarnation=2, revision=1, hosts={"h1": 2}),
    ]
    assert (
        merge.merge_entries(restarted).findings == []
    )  # a new incarnation records its own overrides
    enabled_again = [
        *disabling,
        entry(6.0, 0, 3, "hands", "y"),
        entry(9.0, 0, 4, "second", "aaaa", revision=1, hosts={"h1": 2}),
    ]
    assert merge.merge_entries(enabled_again).findings == []


def test_contradicting_clocks_and_missing_entries_are_reported() -> None:
    """A member observes settings before they can have been in force; three entries are lost."""
    contradicting = [
        *late_adoption(0.0, 0.5),
        peer_seen(0.5, 0, 4, 1, NEW._replace(settings="bbbb")),
    ]  # observed before it was possible
    merged = merge.merge_entries(contradicting)
    assert any("clocks cannot be aligned" in text for text in merged.unresolved)
    gaps = merge.merge_entries(
        [entry(1.0, 0, 1, revision=1), entry(2.0, 0, 5, version="bbbb", revision=2)]
    )
    assert gaps.unresolved == ["member 0: 3 entries are missing"]


@given(st.permutations(range(2)), st.booleans())
def test_the_merge_does_not_depend_on_the_order_of_reading(order: list[int], twice: bool) -> None:
    late_entries = late_adoption(-40.0, 9.0)
    rows = [item for number in order for item in late_entries if item.member == number]
    merged = merge.merge_entries([*rows, *(rows if twice else [])])
    assert merged.document()["changes"] == merge.merge_entries(late_entries).document()["changes"]
    assert {f.text for f in merged.findings} == {
        f.text for f in merge.merge_entries(late_entries).findings
    }
    assert merged.document()["members"] == merge.merge_entries(late_entries).document()[
        "members"
    ] and merged.entries == len(late_entries)


def test_the_settings_of_each_member_at_a_time() -> None:
    merged = merge.merge_entries(late_adoption(0.0, 0.5))
    assert {n: span and span.revision for n, span in merged.settings_at(10.3).items()} == {
        0: 2,
        1: 1,
    }
    assert merged.settings_at(99.0) == {0: None, 1: None}
