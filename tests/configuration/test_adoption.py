"""New settings that cannot be used: how that is reported, and which settings stay in force."""

from __future__ import annotations

import pytest

from hazelhollow.configuration.audit.entries import EntryKind
from hazelhollow.configuration.rollout import RolloutEvent
from tests.configuration.configuration_fleet import ConfigurationFleet, settings

BEFORE, AFTER = settings(), settings(changed=2, deadline=0.5)
MEMBERS = 5


@pytest.fixture
def fleet() -> ConfigurationFleet:
    members = ConfigurationFleet(MEMBERS, BEFORE)
    members.run(1.0)
    return members


def test_unusable_settings_of_peers_leave_the_previous_ones_in_force(
    fleet: ConfigurationFleet, caplog: pytest.LogCaptureFixture
) -> None:
    """One member of five needs a restart to use the new settings.

    It reports the reason in `call fleet`, in the log and in its record.
    """
    member = fleet.members[3]
    member.rejection_reason = lambda document: "plans differ" if document == AFTER else ""
    fleet.members[0].change_file(AFTER, 1)
    fleet.run_until(lambda: fleet.members_on(AFTER) == set(range(MEMBERS)) - {3})
    fleet.run(1.0)
    assert member.active_settings == BEFORE and member.driver.revision() == 0
    shown = member.driver.document()
    assert (shown["state"], shown["why"]) == ("shut out", "plans differ")
    assert "order 1 cannot be adopted: plans differ" in caplog.text
    verdicts = [
        (entry.version, entry.reason)
        for entry in member.record.entries
        if entry.kind is EntryKind.VERDICT
    ]
    assert verdicts[-1] == ("shut out", "plans differ")


def test_an_unusable_candidate_leaves_the_previous_settings_in_force(
    fleet: ConfigurationFleet, caplog: pytest.LogCaptureFixture
) -> None:
    """All other members need a restart for the candidate. The invited ones refuse it and keep
    serving.
    """
    others = [fleet.members[number] for number in range(1, MEMBERS)]
    for member in others:
        member.rejection_reason = lambda document: "plans differ" if document == AFTER else ""
    fleet.members[0].driver.rollouts.push(1, 2, 5.0, AFTER)
    fleet.run(10.0)
    assert fleet.members_on(BEFORE) == set(range(1, MEMBERS))
    assert {member.driver.document()["state"] for member in others} == {"current"}
    refused = [member for member in others if member.rollout_events() == [RolloutEvent.REFUSED]]
    assert len(refused) == 1 and fleet.members[0].rollout_events() == ["pushed", "held"]
    assert "order 1 cannot be adopted: plans differ" in caplog.text


def test_settings_refused_after_the_check_are_not_announced(
    fleet: ConfigurationFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The settings pass the check and are recorded, but the limiter then fails to apply them."""
    member = fleet.members[3]
    before = member.driver.document()["settings"]
    monkeypatch.setattr(member, "apply_settings", lambda document: "plans differ")
    fleet.members[0].change_file(AFTER, 1)
    fleet.run_until(lambda: fleet.members_on(AFTER) == set(range(MEMBERS)) - {3})
    fleet.run(1.0)
    shown = member.driver.document()
    assert (shown["order"], shown["settings"], shown["state"]) == (0, before, "shut out")
    assert member.active_settings == BEFORE
