"""Tests of the rule that decides whether a member with older settings may accept new work."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.configuration.admission_verdict import (
    FETCH_TIMEOUT_S,
    MIN_OPEN_S,
    MIN_SERVING_SHARE,
    AdmissionRule,
)
from hazelhollow.configuration.known_versions import KnownVersions
from tests.configuration.audit_entries import NEW, OLD, OTHER


def test_a_member_that_gets_no_newer_settings_in_time_is_shut_out() -> None:
    """Two members act on newer settings and never send them; the third stops accepting work."""
    rule, known = AdmissionRule(2), {0: NEW, 1: NEW, 2: OLD}
    assert AdmissionRule(2).evaluate(KnownVersions({2: OLD, 1: OLD}), 0.0).state == "current"
    verdict = rule.evaluate(KnownVersions(known), 100.0)
    assert (verdict.state, verdict.rejects_new_work, verdict.holders) == ("asking", False, (0, 1))
    verdict = rule.evaluate(KnownVersions(known), 100.0 + FETCH_TIMEOUT_S)
    assert (
        verdict.state == "shut out" and verdict.rejects_new_work and verdict.holders == (0, 1)
    )  # the settings are still fetched
    assert rule.evaluate(KnownVersions({0: NEW, 1: NEW, 2: NEW}), 106.0).state == "current"


def test_a_just_started_member_with_old_settings_rejects_new_work() -> None:
    """A member starts with old files and has to reject new work from the beginning."""
    assert (
        AdmissionRule(2)
        .evaluate(KnownVersions({0: NEW, 1: NEW, 2: OLD}), 100.0, just_started=True)
        .rejects_new_work
    )
    assert (
        not AdmissionRule(2)
        .evaluate(KnownVersions({0: OLD, 1: OLD, 2: OLD}), 100.0, just_started=True)
        .rejects_new_work
    )


def test_unusable_settings_shut_a_member_out_until_the_next_revision() -> None:
    """The newer settings need a restart: the member is shut out, and fetches the next revision."""
    rule = AdmissionRule(2)
    rule.evaluate(KnownVersions({0: NEW, 1: NEW, 2: OLD}), 100.0)
    rule.settings_refused(2, "plans differ")
    verdict = rule.evaluate(KnownVersions({0: NEW, 1: NEW, 2: OLD}), 100.5)
    assert verdict.state == "shut out" and verdict.reason == "plans differ"
    newer = NEW._replace(revision=3)
    assert rule.evaluate(KnownVersions({0: newer, 1: newer, 2: OLD}), 101.0).state == "asking"


@given(st.integers(1, 12), st.data())
def test_at_least_half_of_the_members_serve_when_others_are_behind(
    members: int, data: st.DataObject
) -> None:
    """No member sends the newer settings; enough of those that are behind keep serving."""
    new = data.draw(st.sets(st.integers(0, members - 1), min_size=1))
    known = {n: NEW if n in new else OLD for n in range(members)}
    serving = 0
    for number in range(members):
        rule = AdmissionRule(number)
        rule.evaluate(KnownVersions(known), 0.0)
        serving += not rule.evaluate(KnownVersions(known), FETCH_TIMEOUT_S).rejects_new_work
    assert serving >= MIN_SERVING_SHARE * members and serving >= len(new)


def test_contradiction_shuts_out_no_member() -> None:
    """Two members act on different settings under one revision; neither takes precedence."""
    for observer, own in ((0, NEW), (1, OTHER), (2, OLD)):
        rule = AdmissionRule(observer)
        for now in (0.0, FETCH_TIMEOUT_S + 1.0):
            verdict = rule.evaluate(
                KnownVersions({0: NEW, 1: OTHER, 2: own if observer == 2 else OLD}), now
            )
            assert (
                verdict.state == "contradiction"
                and not verdict.rejects_new_work
                and "2 settings" in verdict.reason
            )


def test_the_greatest_revision_counts_and_not_the_majority() -> None:
    assert (
        AdmissionRule(0).evaluate(KnownVersions({0: NEW, 1: OLD, 2: OLD, 3: OLD}), 0.0).state
        == "current"
    )
    back = OLD._replace(
        revision=3
    )  # an operator's rollback: the old settings under a greater revision
    assert AdmissionRule(0).evaluate(KnownVersions({0: NEW, 1: back}), 0.0).state == "asking"


def test_a_flapping_revision_does_not_toggle_admission_on_every_tick() -> None:
    """A newer revision appears, disappears and reappears; the member stays open for MIN_OPEN_S."""
    rule, low, high = AdmissionRule(2), {0: OLD, 1: OLD, 2: OLD}, {0: NEW, 1: NEW, 2: OLD}
    rule.evaluate(KnownVersions(high), 0.0)
    assert rule.evaluate(KnownVersions(high), FETCH_TIMEOUT_S).rejects_new_work
    assert not rule.evaluate(
        KnownVersions(low), FETCH_TIMEOUT_S + 0.1
    ).rejects_new_work  # the newer revision has disappeared
    rule.evaluate(KnownVersions(high), FETCH_TIMEOUT_S + 0.2)
    rule.settings_refused(2, "no")
    assert rule.evaluate(KnownVersions(high), FETCH_TIMEOUT_S + 0.3).state == "behind"
    assert rule.evaluate(KnownVersions(high), FETCH_TIMEOUT_S + 0.1 + MIN_OPEN_S).rejects_new_work
