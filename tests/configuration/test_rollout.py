"""Tests of canary rollouts.

They cover the choice of canaries, and hold, release and rollback of a candidate, with faults.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.configuration import operator_calls
from hazelhollow.configuration.audit.entries import EntryKind
from hazelhollow.configuration.distribution.source import DocumentSource
from hazelhollow.configuration.errors import RolloutRefusedError, SettingsFileError
from hazelhollow.configuration.rollout import MIN_REQUESTS, FailureCheck, choose_canaries
from hazelhollow.configuration.versions import Phase
from hazelhollow.fault_injection.commands import fleet as fleet_commands
from tests.configuration.configuration_fleet import ConfigurationFleet, Member, settings

BEFORE, AFTER = settings(), settings(changed=2, deadline=0.5)
MEMBERS, CANARIES, BAKE_S = 8, 3, 20.0
ALL = set(range(MEMBERS))


@pytest.fixture
def fleet() -> ConfigurationFleet:
    new_fleet = ConfigurationFleet(MEMBERS, BEFORE)
    new_fleet.run(1.0)
    return new_fleet


def refusal_message(call: Callable[[], None]) -> str:
    """Returns the error of an operator's call that is refused."""
    with pytest.raises(RolloutRefusedError) as refused:
        call()
    return str(refused.value)


def start_rollout(
    fleet: ConfigurationFleet, at: int = 0, document: dict[str, Any] = AFTER
) -> Member:
    """Pushes a candidate; returns the leader once the requested number of members try it."""
    leader = fleet.members[at]
    leader.driver.rollouts.push(1, CANARIES, BAKE_S, document)
    fleet.run_until(lambda: len(fleet.canaries()) == CANARIES)
    fleet.run(1.0)  # until all members know of them
    return leader


def test_a_candidate_without_faults_is_released_to_all(
    fleet: ConfigurationFleet,
) -> None:
    leader = start_rollout(fleet)
    canaries = fleet.canaries()
    fleet.run(BAKE_S - 2.0)
    assert fleet.canaries() == canaries == fleet.members_on(AFTER) and leader.limiter_id in canaries
    assert fleet.members_on(BEFORE) == ALL - canaries
    fleet.run_until(lambda: fleet.members_on(AFTER) == ALL and not fleet.canaries())
    assert set(fleet.revisions()) == {1}
    assert leader.rollout_events() == ["pushed", "released"]
    merged = fleet.merged()
    assert not merged.findings and not merged.unresolved
    (_, change) = merged.changes()
    assert change["members"] == sorted(ALL) and change["last_old_after_s"] < 2.0


def test_a_rollout_with_datagram_loss_is_released_to_all() -> None:
    """30% of the datagrams are lost; still no more members try the candidate than requested."""
    fleet = ConfigurationFleet(MEMBERS, BEFORE, loss=0.3)
    fleet.run(1.0)
    start_rollout(fleet)
    fleet.run(BAKE_S / 2)
    assert len(fleet.canaries()) == CANARIES
    fleet.run_until(lambda: fleet.members_on(AFTER) == ALL and not fleet.canaries(), limit_s=60.0)


def test_a_held_candidate_stays_with_the_canaries_until_released(
    fleet: ConfigurationFleet,
) -> None:
    start_rollout(fleet)
    canaries = fleet.canaries()
    other = max(canaries)
    fleet.members[other].driver.rollouts.hold()
    fleet.run(3 * BAKE_S)
    assert fleet.canaries() == canaries == fleet.members_on(AFTER)
    assert all("held" in fleet.members[n].rollout_events() for n in canaries)
    fleet.members[other].driver.rollouts.release()
    fleet.run_until(lambda: fleet.members_on(AFTER) == ALL and not fleet.canaries())


def test_a_replacement_canary_holds_a_held_candidate(
    fleet: ConfigurationFleet,
) -> None:
    """A canary of a held candidate dies; the member that replaces it holds the candidate too."""
    leader = start_rollout(fleet)
    leader.driver.rollouts.hold()
    fleet.run(1.0)
    before = fleet.canaries()
    fleet.kill(max(before - {leader.limiter_id}))
    fleet.run_until(lambda: len(fleet.canaries()) == CANARIES)
    (new,) = fleet.canaries() - before
    assert fleet.members[new].rollout_events() == ["taken"] and fleet.members[
        new
    ].driver.rollouts.candidate == (
        3,
        Phase.HELD,
    )


def test_a_member_that_is_behind_refuses_a_candidate(fleet: ConfigurationFleet) -> None:
    """A member could not use the newest settings, and an operator pushes other ones there."""
    member = fleet.members[3]
    member.rejection_reason = lambda document: "plans differ"
    fleet.members[0].change_file(AFTER, 1)
    fleet.run(3.0)
    member.rejection_reason = lambda document: ""
    assert "not on the newest settings" in refusal_message(
        lambda: member.driver.rollouts.push(2, CANARIES, BAKE_S, settings(changed=4))
    )


def test_a_member_that_is_no_canary_names_those_that_are(fleet: ConfigurationFleet) -> None:
    """An operator calls hold or release at a member that is no canary."""
    assert "no settings are tried" in refusal_message(fleet.members[0].driver.rollouts.hold)
    start_rollout(fleet)
    canary_names = ", ".join(map(str, sorted(fleet.canaries())))
    idle = fleet.members[min(ALL - fleet.canaries())]
    assert canary_names in refusal_message(
        idle.driver.rollouts.hold
    ) and canary_names in refusal_message(idle.driver.rollouts.release)


def test_after_the_death_of_the_leader_an_operator_releases(
    fleet: ConfigurationFleet,
) -> None:
    """Without a leader only an operator can release; another canary replaces the leader."""
    leader = start_rollout(fleet)
    rest = fleet.canaries() - {leader.limiter_id}
    fleet.kill(leader.limiter_id)
    fleet.run(3 * BAKE_S)
    assert (
        rest <= fleet.canaries() == fleet.members_on(AFTER) and len(fleet.canaries()) == CANARIES
    )  # another member replaces the leader
    fleet.start(leader.limiter_id, BEFORE, 0)  # its own files are still old
    fleet.run(5.0)
    assert len(fleet.canaries()) == CANARIES
    fleet.members[min(rest)].driver.rollouts.release()
    fleet.run_until(lambda: fleet.members_on(AFTER) == ALL)


def test_the_death_of_a_canary_makes_the_leader_hold(fleet: ConfigurationFleet) -> None:
    """The leader notices that a canary is gone and holds the candidate."""
    leader = start_rollout(fleet)
    fleet.kill(max(fleet.canaries() - {leader.limiter_id}))
    fleet.run(3 * BAKE_S)
    assert (
        leader.rollout_events() == ["pushed", "held"] and len(fleet.members_on(AFTER)) <= CANARIES
    )
    (held,) = [entry for entry in leader.record.entries if entry.version == "held"]
    assert "tried it" in held.reason


def test_a_partitioned_leader_holds_the_candidate(fleet: ConfigurationFleet) -> None:
    """A leader without contact to the canaries holds; once the partition heals, they hold too."""
    leader = start_rollout(fleet)
    canaries = fleet.canaries()
    fleet.cut({leader.limiter_id})
    fleet.run(3 * BAKE_S)
    assert leader.rollout_events() == ["pushed", "held"] and leader.active_settings == AFTER
    fleet.heal()
    fleet.run(5.0)
    assert canaries <= fleet.canaries() and fleet.members_on(BEFORE) == ALL - fleet.canaries()
    # the canaries on the other side hold it too
    assert all(fleet.members[n].rollout_events()[-1] == "held" for n in canaries)


def test_a_leader_that_admits_no_work_does_not_hold_the_candidate(
    fleet: ConfigurationFleet,
) -> None:
    """A leader that was paused has outdated records: it must not consider the canaries gone."""
    leader = start_rollout(fleet)
    fleet.run(BAKE_S - 3.0)
    leader.may_admit = False  # as after a pause
    fleet.run(6.0)
    assert leader.rollout_events() == ["pushed"]
    leader.may_admit = True
    fleet.run_until(lambda: fleet.members_on(AFTER) == ALL)


def test_a_candidate_is_rolled_back_at_a_member_that_is_no_canary(
    fleet: ConfigurationFleet,
) -> None:
    start_rollout(fleet)
    idle = fleet.members[min(ALL - fleet.canaries())]
    fleet.sent_datagrams.clear()
    idle.driver.rollouts.roll_back()
    fleet.run_until(lambda: fleet.members_on(BEFORE) == ALL and set(fleet.revisions()) == {2})
    assert (
        not fleet.canaries() and not fleet.sent_datagrams
    )  # all members have these settings in their history
    assert idle.rollout_events() == ["rolled back"] and not fleet.merged().findings


def test_a_candidate_is_rolled_back_at_a_canary(fleet: ConfigurationFleet) -> None:
    leader = start_rollout(fleet)
    leader.driver.rollouts.roll_back()
    fleet.run_until(lambda: fleet.members_on(BEFORE) == ALL and set(fleet.revisions()) == {2})


def test_settings_in_force_are_rolled_back(fleet: ConfigurationFleet) -> None:
    start_rollout(fleet)
    fleet.run_until(lambda: fleet.members_on(AFTER) == ALL and not fleet.canaries())
    fleet.sent_datagrams.clear()
    fleet.members[5].driver.rollouts.roll_back()
    fleet.run_until(lambda: fleet.members_on(BEFORE) == ALL and set(fleet.revisions()) == {2})
    assert not fleet.sent_datagrams


def test_a_second_candidate_is_rolled_back_to_what_was_in_force(
    fleet: ConfigurationFleet,
) -> None:
    leader = start_rollout(fleet)
    leader.driver.rollouts.push(2, CANARIES, BAKE_S, settings(changed=3, deadline=0.2))
    fleet.run(3.0)
    leader.driver.rollouts.roll_back()
    fleet.run_until(lambda: fleet.members_on(BEFORE) == ALL and set(fleet.revisions()) == {3})


def test_a_member_that_has_just_started_cannot_roll_back(fleet: ConfigurationFleet) -> None:
    """Its history has no earlier settings."""
    assert "no earlier settings" in refusal_message(fleet.members[0].driver.rollouts.roll_back)


def test_a_candidate_that_canaries_cannot_use_is_held(fleet: ConfigurationFleet) -> None:
    """All canaries except the leader refuse the candidate, so that too few members try it."""
    for number in ALL - {0}:
        fleet.members[number].rejection_reason = (
            lambda document: "plans differ" if document == AFTER else ""
        )
    leader = fleet.members[0]
    leader.driver.rollouts.push(1, CANARIES, BAKE_S, AFTER)
    fleet.run(2 * BAKE_S)
    assert fleet.canaries() == {0} and leader.rollout_events() == ["pushed", "held"]
    refused = [n for n in ALL if fleet.members[n].rollout_events() == ["refused"]]
    assert len(refused) == CANARIES - 1  # no further member is invited
    assert fleet.members_on(BEFORE) == ALL - {0}


def test_failing_requests_hold_a_candidate(fleet: ConfigurationFleet) -> None:
    """One fifth of the requests fail at one canary."""
    leader = start_rollout(fleet)
    other = fleet.members[max(fleet.canaries() - {leader.limiter_id})]
    other.counts.update(requests=MIN_REQUESTS, failed=MIN_REQUESTS // 5)
    fleet.run(3 * BAKE_S)
    assert other.rollout_events() == ["taken", "held"] and leader.rollout_events() == [
        "pushed",
        "held",
    ]
    assert len(fleet.canaries()) == CANARIES


@pytest.mark.parametrize(
    ("before", "since", "troubled"),
    [
        ((0, 0), (MIN_REQUESTS - 1, MIN_REQUESTS - 1), False),  # fewer than MIN_REQUESTS
        ((0, 0), (100, 2), False),
        ((0, 0), (100, 3), True),
        ((1000, 100), (100, 30), False),  # at most MAX_FAILED_RATIO times the share before
        ((1000, 100), (100, 31), True),
    ],
)
def test_failures_are_compared_with_those_before_the_candidate(
    before: tuple[int, int], since: tuple[int, int], troubled: bool
) -> None:
    check = FailureCheck({"requests": before[0], "failed": before[1]})
    now = {"requests": before[0] + since[0], "failed": before[1] + since[1]}
    assert bool(check.failure(now)) is troubled


def test_two_candidates_under_one_revision_are_held(
    fleet: ConfigurationFleet,
) -> None:
    """Two operators push different settings under one revision."""
    other = settings(changed=4, deadline=0.1)
    fleet.members[0].driver.rollouts.push(1, CANARIES, BAKE_S, AFTER)
    # before this member knows of the first push
    fleet.members[1].driver.rollouts.push(1, CANARIES, BAKE_S, other)
    fleet.run(2 * BAKE_S)
    assert (
        fleet.members_on(BEFORE) >= ALL - {0, 1} and fleet.members[0].rollout_events()[-1] == "held"
    )
    (held,) = [entry for entry in fleet.members[0].record.entries if entry.version == "held"]
    assert held.reason == "order 1 stands for other settings at others"
    assert "other settings" in refusal_message(fleet.members[0].driver.rollouts.release)
    fleet.members[7].driver.rollouts.roll_back()
    fleet.run_until(lambda: fleet.members_on(BEFORE) == ALL and set(fleet.revisions()) == {2})


def test_settings_in_force_win_over_a_candidate_of_the_same_revision(
    fleet: ConfigurationFleet,
) -> None:
    """An operator puts other settings in force under the candidate's revision, by SIGHUP."""
    start_rollout(fleet)
    other = settings(changed=4, deadline=0.1)
    fleet.members[min(ALL - fleet.canaries())].change_file(other, 1)
    fleet.run_until(lambda: fleet.members_on(other) == ALL and not fleet.canaries())


def test_members_of_an_earlier_release_follow_no_candidate(
    fleet: ConfigurationFleet,
) -> None:
    """The others run a program without canary rollouts; they follow once it is released."""
    for number in ALL - {0}:
        fleet.members[number].earlier_release = True
    fleet.members[0].driver.rollouts.push(1, CANARIES, BAKE_S, AFTER)
    fleet.run(2 * BAKE_S)
    assert fleet.members_on(AFTER) == {0} and fleet.members[0].rollout_events() == [
        "pushed",
        "held",
    ]
    fleet.members[0].driver.rollouts.release()
    fleet.run_until(lambda: fleet.members_on(AFTER) == ALL)


@pytest.mark.parametrize(
    ("order", "by", "document", "says"),
    [
        (0, 3, AFTER, "not above 0"),
        (46656, 3, AFTER, "above 46655"),
        (1, 0, AFTER, "7 at most"),
        (1, 8, AFTER, "7 at most"),
        (1, 3, BEFORE, "acts on these settings already"),
        (1, 3, {"grades": []}, "no routes"),
        (1, 3, {"grades": [{"name": "class-0"}]}, "missing keys that are in force"),
    ],
)
def test_a_refused_push_changes_nothing(
    fleet: ConfigurationFleet, order: int, by: int, document: dict[str, Any], says: str
) -> None:
    """The revision, the number of canaries or the settings are not allowed."""
    member = fleet.members[0]
    member.rejection_reason = lambda document: "" if document["grades"] else "no routes"
    assert says in refusal_message(lambda: member.driver.rollouts.push(order, by, BAKE_S, document))
    fleet.run(5.0)
    assert fleet.members_on(BEFORE) == ALL and not fleet.canaries() and not member.rollout_events()


def test_a_push_needs_no_settings_of_the_member_itself(fleet: ConfigurationFleet) -> None:
    """An operator pushes a file without the position and zone that each member has for itself."""
    member = fleet.members[0]
    member.active_settings = {**BEFORE, "position": 0, "zone": "a"}
    member.driver.rollouts.push(1, 3, BAKE_S, AFTER)
    assert member.active_settings == AFTER


def test_a_push_not_above_the_tried_revisions_is_refused(
    fleet: ConfigurationFleet,
) -> None:
    """An operator pushes under a revision that other members try already."""
    start_rollout(fleet)
    idle = fleet.members[min(ALL - fleet.canaries())]
    assert "not above 1" in refusal_message(
        lambda: idle.driver.rollouts.push(1, CANARIES, BAKE_S, settings(changed=4, deadline=0.1))
    )


def test_a_reload_of_old_files_does_not_undo_newer_settings(
    fleet: ConfigurationFleet,
) -> None:
    """A member has settings from others; SIGHUP makes it read its own old files again."""
    fleet.members[0].change_file(AFTER, 1)
    fleet.run_until(lambda: fleet.members_on(AFTER) == ALL)
    fleet.sent_datagrams.clear()
    fleet.members[3].reload()
    assert fleet.members[3].active_settings == AFTER  # in the same event loop turn
    fleet.run(3.0)
    assert (
        fleet.members_on(AFTER) == ALL
        and set(fleet.revisions()) == {1}
        and not fleet.sent_datagrams
    )
    assert not [finding for finding in fleet.merged().findings if finding.kind == "contradiction"]


def test_settings_of_a_peer_wait_for_a_slow_disk(
    fleet: ConfigurationFleet,
) -> None:
    """The disk stalls: settings wait until they are on record, but at most RECORD_WAIT_S."""
    member = fleet.members[3]
    fleet.slow_disk = {3}
    fleet.members[0].change_file(AFTER, 1)
    fleet.run_until(lambda: fleet.members_on(AFTER) == ALL - {3})
    fleet.run(0.1)
    fleet.sent_datagrams.clear()
    fleet.run(0.5)
    assert member.driver.revision() == 0 and 3 not in fleet.members_on(AFTER)
    assert not fleet.sent_datagrams  # the member has them and sends no further requests
    assert [
        entry.revision for entry in member.record.entries if entry.kind is EntryKind.SETTINGS
    ] == [
        0,
        1,
    ]
    fleet.slow_disk = set()
    fleet.run(0.5)
    assert fleet.members_on(AFTER) == ALL
    spans = [(span.revision, span.reason[:8]) for span in fleet.merged().members[3].spans]
    assert spans == [(0, "began"), (1, "given by")]  # recorded once
    fleet.slow_disk = {3}
    fleet.members[0].change_file(BEFORE, 2)
    fleet.run(5.0)
    assert fleet.members_on(BEFORE) == ALL  # although the disk still stalls


def test_a_member_that_missed_forty_changes_fetches_one_delta() -> None:
    """A member was down for 40 changes; it fetches them in less than half a document."""
    routes, changes = 400, 40
    fleet = ConfigurationFleet(4, settings(routes))
    fleet.run(1.0)
    fleet.kill(3)
    for new_revision in range(1, changes + 1):
        newest = settings(routes, changed=new_revision, deadline=new_revision / 100)
        newest["grades"][:new_revision] = [
            {**route, "deadline": n / 100}
            for n, route in enumerate(newest["grades"][:new_revision])
        ]
        fleet.members[new_revision % 3].change_file(newest, new_revision)
        fleet.run_until(lambda new_revision=new_revision: set(fleet.revisions()) == {new_revision})  # type: ignore[misc]
    fleet.bytes_received.clear()
    fleet.sent_datagrams.clear()
    fleet.start(3, settings(routes), 0)
    assert fleet.run_until(lambda: fleet.members_on(newest) == {0, 1, 2, 3}) < 10.0
    document_size = sum(map(len, DocumentSource(changes, newest).all_pieces()))
    assert fleet.bytes_received[3] < document_size / 2 and fleet.sent_datagrams["n"] == 0


@given(
    st.integers(1, 46655), st.integers(1, 35), st.sets(st.integers(0, 40), min_size=1), st.data()
)
def test_canaries_follow_from_the_revision_and_the_members(
    new_revision: int, canary_count: int, present: set[int], data: st.DataObject
) -> None:
    canaries = data.draw(st.sets(st.sampled_from(sorted(present)), max_size=canary_count))
    chosen = choose_canaries(new_revision, canary_count, canaries, present)
    assert canaries <= chosen <= present and len(chosen) == max(
        len(canaries), min(canary_count, len(present))
    )
    assert (
        choose_canaries(new_revision, canary_count, chosen, present) == chosen
    )  # once these try it, no other is chosen


# Operators' calls


@pytest.mark.parametrize(
    ("words", "says"),
    [
        ([], "no such call"),
        (["pull"], "no such call"),
        (["hold", "it"], "no such call"),
        (["push", "a.json", "7", "3"], "four words"),
        (["push", "../a.json", "7", "3", "60"], "in the folder"),
        (["push", ".hidden", "7", "3", "60"], "in the folder"),
        (["push", "a.json", "-7", "3", "60"], "whole numbers"),
        (["push", "a.json", "7", "x", "60"], "whole numbers"),
        (["push", "a.json", "7", "3", "nan"], "SECONDS"),
        (["push", "a.json", "7", "3", "-1"], "SECONDS"),
        (["push", "a.json", "7", "3", "60"], "No such file"),
        (["push", "bad.json", "7", "3", "60"], "bad.json"),
        (["push", "none.json", "7", "3", "60"], "no settings"),
    ],
)
def test_a_malformed_call_is_answered_with_the_error(
    fleet: ConfigurationFleet, tmp_path: Path, words: list[str], says: str
) -> None:
    """An operator makes an error in a call or names a file that cannot be used."""
    (tmp_path / "bad.json").write_text("{")
    (tmp_path / "none.json").write_text("[]")
    reply = operator_calls.answer(fleet.members[0].driver.rollouts, tmp_path, tuple(words))
    assert reply.startswith("error ") and says in reply and "\n" not in reply


def test_calls_are_carried_out(fleet: ConfigurationFleet, tmp_path: Path) -> None:
    (tmp_path / "next.json").write_bytes(orjson.dumps({"settings": AFTER}))
    rollouts = fleet.members[0].driver.rollouts
    push = ("push", "next.json", "1", "1", "60")
    replies = [
        operator_calls.answer(rollouts, tmp_path, words)
        for words in (push, ("hold",), ("release",), ("rollback",))
    ]
    assert replies == [
        "done config push",
        "done config hold",
        "done config release",
        "done config rollback",
    ]
    assert fleet.members[0].rollout_events() == ["pushed", "held", "released", "rolled back"]


def test_an_unreadable_settings_file_is_named_in_the_error(tmp_path: Path) -> None:
    """The file of a push does not exist."""
    with pytest.raises(SettingsFileError, match="absent"):
        operator_calls.read_settings(tmp_path / "absent")


def test_the_command_reports_a_limiter_that_does_not_answer() -> None:
    """Nothing listens at the operator address."""
    found = CliRunner().invoke(fleet_commands, ["config", "hold", "--at", "127.0.0.1:1"])
    assert found.exit_code == 2 and "127.0.0.1:1" in found.output
