"""Records of many limiters in one order: clocks, who acted on what, and what went wrong."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.configuration.audit import merge, report_page
from hazelhollow.configuration.versions import Candidate, Phase
from tests.configuration.audit_entries import NEW, entry, late_adoption, peer_seen


def test_tried_settings_oblige_others_only_once_they_are_in_force() -> None:
    tried = NEW._replace(candidate=Candidate(1, Phase.BAKING))
    found = merge.merge_entries(
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
    assert not found.findings and not found.unresolved
    (_, change) = found.changes()
    assert change["out_at"] == 40.0 and change["last_old_after_s"] == pytest.approx(0.3)
    steps = found.document()["rollout"]
    assert [(one["t"], one["member"], one["order"], one["step"]) for one in steps] == [
        (10.0, 0, 2, "pushed"),
        (40.0, 0, 2, "released"),
    ]
    assert "released" in report_page.render(found.document())


def test_a_member_that_stays_on_old_settings_is_found() -> None:
    """A member hears of newer settings in force and serves on the old ones for twenty seconds."""
    found = merge.merge_entries(
        [
            entry(1.0, 0, 1, revision=1),
            entry(10.0, 0, 2, version="bbbb", revision=2),
            entry(1.0, 1, 1, revision=1),
            peer_seen(10.2, 1, 2, 0, NEW),
            entry(30.0, 1, 3, "second", "aaaa", revision=1, counts={"requests": 9}),
        ]
    )
    assert [finding.kind for finding in found.findings] == ["old"]


def test_a_member_acts_on_its_settings_until_it_ends() -> None:
    last_second = entry(5.0, 0, 2, "second", "aaaa", revision=1, counts={"requests": 5})
    ended = entry(6.2, 0, 3, "program", "1.0", reason="ended", revision=1)
    began = entry(7.0, 0, 1, "program", "1.0", reason="began", revision=1, incarnation=2)
    found = merge.merge_entries([entry(1.0, 0, 1, revision=1), last_second, ended, began])
    assert [(span.begin, span.end) for span in found.members[0].spans] == [(1.0, 6.2)]


@pytest.mark.parametrize("skew", [-40.0, 0.0, 0.1])
def test_clocks_are_aligned_by_who_heard_what_of_whom(skew: float) -> None:
    """A member's clock is seconds off. What it heard of the other shows by how much."""
    found = merge.merge_entries(late_adoption(skew, 0.5))
    assert (
        found.offsets[1] == pytest.approx(max(0.0, -skew - 0.2))
        and not found.findings
        and not found.unresolved
    )
    (_, change) = found.changes()
    assert change["last_old_after_s"] == pytest.approx(
        0.5 + (0.2 if skew >= 0 else 0.0) + max(skew, 0.0), abs=0.01
    )


def test_a_member_that_went_on_is_found_but_not_one_that_was_shut_out() -> None:
    """A member is on old settings for nine seconds: it served, was shut out, or stood still."""
    assert [(f.kind, f.members) for f in merge.merge_entries(late_adoption(0.0, 9.0)).findings] == [
        ("old", (1,))
    ]
    shut = late_adoption(0.0, 9.0)
    shut[5:] = [
        entry(10.4, 1, 3, "ruling", "shut out", revision=1),
        entry(19.0, 1, 4, "second", "aaaa", revision=1, counts={"requests": 9}),
        entry(19.2, 1, 5, version="bbbb", revision=2),
        entry(30.0, 1, 6, "second", "bbbb", revision=2),
    ]
    assert merge.merge_entries(shut).findings == []
    still = late_adoption(0.0, 9.0)
    still[5] = entry(
        10.3, 1, 3, "second", "aaaa", revision=1, counts={"requests": 9}
    )  # then it stood still until 19.2
    assert merge.merge_entries(still).findings == []


def test_one_revision_with_two_settings_is_found() -> None:
    """Two operators have used one revision for different settings."""
    found = merge.merge_entries(
        [entry(1.0, 0, 1, revision=2, version="bbbb"), entry(2.0, 1, 1, revision=2, version="cccc")]
    )
    assert [(f.kind, f.members) for f in found.findings] == [("contradiction", (0, 1))]


def test_the_use_of_a_disabled_host_is_found() -> None:
    """A limiter sends to a host that an operator disabled there three seconds ago."""
    begin = [entry(1.0, 0, 1, revision=1), entry(5.0, 0, 2, "hands", "x", hosts={"h1": 1})]
    for t, what in ((5.9, []), (8.0, ["host used"])):
        found = merge.merge_entries(
            [*begin, entry(t, 0, 3, "second", "aaaa", revision=1, hosts={"h1": 2, "h2": 9})]
        )
        assert [f.kind for f in found.findings] == what
    again = [
        *begin,
        entry(6.0, 0, 1, incarnation=2, revision=1),
        entry(9.0, 0, 2, "second", "aaaa", incarnation=2, revision=1, hosts={"h1": 2}),
    ]
    assert merge.merge_entries(again).findings == []  # a new incarnation says itself what is out
    back = [
        *begin,
        entry(6.0, 0, 3, "hands", "y"),
        entry(9.0, 0, 4, "second", "aaaa", revision=1, hosts={"h1": 2}),
    ]
    assert merge.merge_entries(back).findings == []


def test_contradicting_clocks_and_missing_entries_are_reported() -> None:
    """A member heard of settings before they can have been in force; three entries are lost."""
    apart = [
        *late_adoption(0.0, 0.5),
        peer_seen(0.5, 0, 4, 1, NEW._replace(settings="bbbb")),
    ]  # heard before it can have been
    found = merge.merge_entries(apart)
    assert any("clocks cannot be aligned" in text for text in found.unresolved)
    gaps = merge.merge_entries(
        [entry(1.0, 0, 1, revision=1), entry(2.0, 0, 5, version="bbbb", revision=2)]
    )
    assert gaps.unresolved == ["member 0: 3 entries are missing"]


@given(st.permutations(range(2)), st.booleans())
def test_the_merge_does_not_depend_on_the_order_of_reading(order: list[int], twice: bool) -> None:
    one = late_adoption(-40.0, 9.0)
    rows = [e for number in order for e in one if e.member == number]
    found = merge.merge_entries([*rows, *(rows if twice else [])])
    assert found.document()["changes"] == merge.merge_entries(one).document()["changes"]
    assert {f.text for f in found.findings} == {f.text for f in merge.merge_entries(one).findings}
    assert found.document()["members"] == merge.merge_entries(one).document()[
        "members"
    ] and found.entries == len(one)


def test_the_settings_of_each_member_at_a_time() -> None:
    found = merge.merge_entries(late_adoption(0.0, 0.5))
    assert {n: span and span.revision for n, span in found.settings_at(10.3).items()} == {
        0: 2,
        1: 1,
    }
    assert found.settings_at(99.0) == {0: None, 1: None}
