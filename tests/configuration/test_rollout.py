"""Settings that some members try first.

Who does, what holds them, how they come into force or go back, through faults.
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
MEMBERS, TRIED_BY, BAKES = 8, 3, 20.0
ALL = set(range(MEMBERS))


@pytest.fixture
def fleet() -> ConfigurationFleet:
    one = ConfigurationFleet(MEMBERS, BEFORE)
    one.run(1.0)
    return one


def refusal(call: Callable[[], None]) -> str:
    """What the operator is told, whose call is not carried out."""
    with pytest.raises(RolloutRefusedError) as refused:
        call()
    return str(refused.value)


def pushed(fleet: ConfigurationFleet, at: int = 0, document: dict[str, Any] = AFTER) -> Member:
    """The member that was given a candidate, once as many try it as should."""
    leader = fleet.members[at]
    leader.driver.rollouts.push(1, TRIED_BY, BAKES, document)
    fleet.until(lambda: len(fleet.trying()) == TRIED_BY)
    fleet.run(1.0)  # and all have heard of them
    return leader


def test_a_candidate_without_faults_is_released_to_all(
    fleet: ConfigurationFleet,
) -> None:
    leader = pushed(fleet)
    trying = fleet.trying()
    fleet.run(BAKES - 2.0)
    assert fleet.trying() == trying == fleet.same(AFTER) and leader.limiter_id in trying
    assert fleet.same(BEFORE) == ALL - trying
    fleet.until(lambda: fleet.same(AFTER) == ALL and not fleet.trying())
    assert set(fleet.orders()) == {1}
    assert leader.steps() == ["pushed", "released"]
    merged = fleet.merged()
    assert not merged.findings and not merged.unresolved
    (_, change) = merged.changes()
    assert change["members"] == sorted(ALL) and change["last_old_after_s"] < 2.0


def test_a_rollout_through_loss() -> None:
    """Three datagrams of ten are lost. No more members try the candidate than should."""
    fleet = ConfigurationFleet(MEMBERS, BEFORE, lose=0.3)
    fleet.run(1.0)
    pushed(fleet)
    fleet.run(BAKES / 2)
    assert len(fleet.trying()) == TRIED_BY
    fleet.until(lambda: fleet.same(AFTER) == ALL and not fleet.trying(), longest=60.0)


def test_a_held_candidate_stays_with_the_canaries_until_released(
    fleet: ConfigurationFleet,
) -> None:
    pushed(fleet)
    trying = fleet.trying()
    other = max(trying)
    fleet.members[other].driver.rollouts.hold()
    fleet.run(3 * BAKES)
    assert fleet.trying() == trying == fleet.same(AFTER)
    assert all("held" in fleet.members[n].steps() for n in trying)
    fleet.members[other].driver.rollouts.release()
    fleet.until(lambda: fleet.same(AFTER) == ALL and not fleet.trying())


def test_a_replacement_canary_holds_a_held_candidate(
    fleet: ConfigurationFleet,
) -> None:
    """A canary of a held candidate dies. The member that takes its place holds it too."""
    leader = pushed(fleet)
    leader.driver.rollouts.hold()
    fleet.run(1.0)
    before = fleet.trying()
    fleet.kill(max(before - {leader.limiter_id}))
    fleet.until(lambda: len(fleet.trying()) == TRIED_BY)
    (new,) = fleet.trying() - before
    assert fleet.members[new].steps() == ["taken"] and fleet.members[
        new
    ].driver.rollouts.candidate == (
        3,
        Phase.HELD,
    )


def test_a_member_that_is_behind_refuses_a_candidate(fleet: ConfigurationFleet) -> None:
    """A member could not use the newest settings, and an operator pushes others to it."""
    one = fleet.members[3]
    one.cannot_take = lambda document: "plans differ"
    fleet.members[0].read_file(AFTER, 1)
    fleet.run(3.0)
    one.cannot_take = lambda document: ""
    assert "not on the newest settings" in refusal(
        lambda: one.driver.rollouts.push(2, TRIED_BY, BAKES, settings(changed=4))
    )


def test_a_member_that_is_no_canary_names_those_that_are(fleet: ConfigurationFleet) -> None:
    """An operator asks the wrong member to hold or release."""
    assert "no settings are tried" in refusal(fleet.members[0].driver.rollouts.hold)
    pushed(fleet)
    trying = ", ".join(map(str, sorted(fleet.trying())))
    idle = fleet.members[min(ALL - fleet.trying())]
    assert trying in refusal(idle.driver.rollouts.hold) and trying in refusal(
        idle.driver.rollouts.release
    )


def test_the_leader_dies(
    fleet: ConfigurationFleet,
) -> None:
    """Nobody but an operator releases the candidate then; the canaries go on, with one more."""
    leader = pushed(fleet)
    rest = fleet.trying() - {leader.limiter_id}
    fleet.kill(leader.limiter_id)
    fleet.run(3 * BAKES)
    assert (
        rest <= fleet.trying() == fleet.same(AFTER) and len(fleet.trying()) == TRIED_BY
    )  # one more in its place
    fleet.start(leader.limiter_id, BEFORE, 0)  # its own files are still the old ones
    fleet.run(5.0)
    assert len(fleet.trying()) == TRIED_BY
    fleet.members[min(rest)].driver.rollouts.release()
    fleet.until(lambda: fleet.same(AFTER) == ALL)


def test_a_canary_dies(fleet: ConfigurationFleet) -> None:
    """The leader sees it gone and holds the candidate."""
    leader = pushed(fleet)
    fleet.kill(max(fleet.trying() - {leader.limiter_id}))
    fleet.run(3 * BAKES)
    assert leader.steps() == ["pushed", "held"] and len(fleet.same(AFTER)) <= TRIED_BY
    (held,) = [entry for entry in leader.record.entries if entry.version == "held"]
    assert "tried it" in held.reason


def test_the_leader_is_cut_off(fleet: ConfigurationFleet) -> None:
    """The leader cannot hear the canaries and holds the candidate; after the heal so do they."""
    leader = pushed(fleet)
    trying = fleet.trying()
    fleet.cut({leader.limiter_id})
    fleet.run(3 * BAKES)
    assert leader.steps() == ["pushed", "held"] and leader.acts_on == AFTER
    fleet.heal()
    fleet.run(5.0)
    assert trying <= fleet.trying() and fleet.same(BEFORE) == ALL - fleet.trying()
    # also at those that were not cut off
    assert all(fleet.members[n].steps()[-1] == "held" for n in trying)


def test_a_leader_that_takes_no_work_judges_nobody(fleet: ConfigurationFleet) -> None:
    """The leader stood still and has not heard the others yet: it must not hold them for gone."""
    leader = pushed(fleet)
    fleet.run(BAKES - 3.0)
    leader.may_admit = False  # it stood still, say
    fleet.run(6.0)
    assert leader.steps() == ["pushed"]
    leader.may_admit = True
    fleet.until(lambda: fleet.same(AFTER) == ALL)


def test_a_candidate_is_rolled_back_at_a_member_that_is_no_canary(
    fleet: ConfigurationFleet,
) -> None:
    pushed(fleet)
    idle = fleet.members[min(ALL - fleet.trying())]
    fleet.carried.clear()
    idle.driver.rollouts.roll_back()
    fleet.until(lambda: fleet.same(BEFORE) == ALL and set(fleet.orders()) == {2})
    assert not fleet.trying() and not fleet.carried  # all have known these settings
    assert idle.steps() == ["rolled back"] and not fleet.merged().findings


def test_a_candidate_is_rolled_back_at_a_canary(fleet: ConfigurationFleet) -> None:
    leader = pushed(fleet)
    leader.driver.rollouts.roll_back()
    fleet.until(lambda: fleet.same(BEFORE) == ALL and set(fleet.orders()) == {2})


def test_settings_in_force_are_rolled_back(fleet: ConfigurationFleet) -> None:
    pushed(fleet)
    fleet.until(lambda: fleet.same(AFTER) == ALL and not fleet.trying())
    fleet.carried.clear()
    fleet.members[5].driver.rollouts.roll_back()
    fleet.until(lambda: fleet.same(BEFORE) == ALL and set(fleet.orders()) == {2})
    assert not fleet.carried


def test_a_second_candidate_is_rolled_back_to_what_was_in_force(
    fleet: ConfigurationFleet,
) -> None:
    leader = pushed(fleet)
    leader.driver.rollouts.push(2, TRIED_BY, BAKES, settings(changed=3, deadline=0.2))
    fleet.run(3.0)
    leader.driver.rollouts.roll_back()
    fleet.until(lambda: fleet.same(BEFORE) == ALL and set(fleet.orders()) == {3})


def test_a_member_that_has_just_started_cannot_roll_back(fleet: ConfigurationFleet) -> None:
    """It knows of no earlier settings, and says so."""
    assert "no earlier settings" in refusal(fleet.members[0].driver.rollouts.roll_back)


def test_canaries_that_cannot_use_the_candidate(fleet: ConfigurationFleet) -> None:
    """All canaries but the leader refuse it: too few try it, and it goes no further."""
    for number in ALL - {0}:
        fleet.members[number].cannot_take = (
            lambda document: "plans differ" if document == AFTER else ""
        )
    leader = fleet.members[0]
    leader.driver.rollouts.push(1, TRIED_BY, BAKES, AFTER)
    fleet.run(2 * BAKES)
    assert fleet.trying() == {0} and leader.steps() == ["pushed", "held"]
    refused = [n for n in ALL if fleet.members[n].steps() == ["refused"]]
    assert len(refused) == TRIED_BY - 1  # and is not asked again
    assert fleet.same(BEFORE) == ALL - {0}


def test_failing_requests_hold_a_candidate(fleet: ConfigurationFleet) -> None:
    """A fifth of the requests fail at one canary."""
    leader = pushed(fleet)
    other = fleet.members[max(fleet.trying() - {leader.limiter_id})]
    other.counts.update(requests=MIN_REQUESTS, failed=MIN_REQUESTS // 5)
    fleet.run(3 * BAKES)
    assert other.steps() == ["taken", "held"] and leader.steps() == ["pushed", "held"]
    assert len(fleet.trying()) == TRIED_BY


@pytest.mark.parametrize(
    ("before", "since", "troubled"),
    [
        ((0, 0), (MIN_REQUESTS - 1, MIN_REQUESTS - 1), False),  # too few to say anything
        ((0, 0), (100, 2), False),
        ((0, 0), (100, 3), True),
        ((1000, 100), (100, 30), False),  # as before, or near it
        ((1000, 100), (100, 31), True),
    ],
)
def test_failures_count_against_those_of_before(
    before: tuple[int, int], since: tuple[int, int], troubled: bool
) -> None:
    check = FailureCheck({"requests": before[0], "failed": before[1]})
    now = {"requests": before[0] + since[0], "failed": before[1] + since[1]}
    assert bool(check.failure(now)) is troubled


def test_two_candidates_under_one_revision(
    fleet: ConfigurationFleet,
) -> None:
    """Two operators push different settings under one revision. Neither goes further."""
    other = settings(changed=4, deadline=0.1)
    fleet.members[0].driver.rollouts.push(1, TRIED_BY, BAKES, AFTER)
    # before it has heard of the first
    fleet.members[1].driver.rollouts.push(1, TRIED_BY, BAKES, other)
    fleet.run(2 * BAKES)
    assert fleet.same(BEFORE) >= ALL - {0, 1} and fleet.members[0].steps()[-1] == "held"
    (held,) = [entry for entry in fleet.members[0].record.entries if entry.version == "held"]
    assert held.reason == "order 1 stands for other settings at others"
    assert "other settings" in refusal(fleet.members[0].driver.rollouts.release)
    fleet.members[7].driver.rollouts.roll_back()
    fleet.until(lambda: fleet.same(BEFORE) == ALL and set(fleet.orders()) == {2})


def test_settings_in_force_win_over_a_candidate_of_the_same_revision(
    fleet: ConfigurationFleet,
) -> None:
    """An operator puts other settings in force elsewhere, under the candidate's revision."""
    pushed(fleet)
    other = settings(changed=4, deadline=0.1)
    fleet.members[min(ALL - fleet.trying())].read_file(other, 1)  # an operator elsewhere, by SIGHUP
    fleet.until(lambda: fleet.same(other) == ALL and not fleet.trying())


def test_the_release_before_follows_no_candidate(
    fleet: ConfigurationFleet,
) -> None:
    """All others run a program that knows of no canaries. They follow once it is released."""
    for number in ALL - {0}:
        fleet.members[number].earlier_release = True
    fleet.members[0].driver.rollouts.push(1, TRIED_BY, BAKES, AFTER)
    fleet.run(2 * BAKES)
    assert fleet.same(AFTER) == {0} and fleet.members[0].steps() == ["pushed", "held"]
    fleet.members[0].driver.rollouts.release()
    fleet.until(lambda: fleet.same(AFTER) == ALL)


@pytest.mark.parametrize(
    ("order", "by", "document", "says"),
    [
        (0, 3, AFTER, "not above 0"),
        (46656, 3, AFTER, "above 46655"),
        (1, 0, AFTER, "7 at most"),
        (1, 8, AFTER, "7 at most"),
        (1, 3, BEFORE, "acts on these settings already"),
        (1, 3, {"grades": []}, "no routes"),
    ],
)
def test_a_refused_push_changes_nothing(
    fleet: ConfigurationFleet, order: int, by: int, document: dict[str, Any], says: str
) -> None:
    """The revision, the number of canaries or the settings cannot be."""
    one = fleet.members[0]
    one.cannot_take = lambda document: "" if document["grades"] else "no routes"
    assert says in refusal(lambda: one.driver.rollouts.push(order, by, BAKES, document))
    fleet.run(5.0)
    assert fleet.same(BEFORE) == ALL and not fleet.trying() and not one.steps()


def test_a_push_must_be_above_the_tried_revisions_too(
    fleet: ConfigurationFleet,
) -> None:
    """An operator pushes under a revision that others try already."""
    pushed(fleet)
    idle = fleet.members[min(ALL - fleet.trying())]
    assert "not above 1" in refusal(
        lambda: idle.driver.rollouts.push(1, TRIED_BY, BAKES, settings(changed=4, deadline=0.1))
    )


def test_a_reload_of_old_files_does_not_undo_newer_settings(
    fleet: ConfigurationFleet,
) -> None:
    """A member got its settings from others; SIGHUP makes it read its own old files again."""
    fleet.members[0].read_file(AFTER, 1)
    fleet.until(lambda: fleet.same(AFTER) == ALL)
    fleet.carried.clear()
    fleet.members[3].hang_up()
    assert fleet.members[3].acts_on == AFTER  # in the same turn
    fleet.run(3.0)
    assert fleet.same(AFTER) == ALL and set(fleet.orders()) == {1} and not fleet.carried
    assert not [finding for finding in fleet.merged().findings if finding.kind == "contradiction"]


def test_settings_of_a_peer_wait_for_a_slow_disk(
    fleet: ConfigurationFleet,
) -> None:
    """The disk stands still. Settings wait until they are on record, but not for ever."""
    one = fleet.members[3]
    fleet.slow_disk = {3}
    fleet.members[0].read_file(AFTER, 1)
    fleet.until(lambda: fleet.same(AFTER) == ALL - {3})
    fleet.run(0.1)
    fleet.carried.clear()
    fleet.run(0.5)
    assert one.driver.revision() == 0 and 3 not in fleet.same(AFTER)
    assert not fleet.carried  # it has them, and asks no more
    assert [entry.revision for entry in one.record.entries if entry.kind is EntryKind.SETTINGS] == [
        0,
        1,
    ]
    fleet.slow_disk = set()
    fleet.run(0.5)
    assert fleet.same(AFTER) == ALL
    spans = [(span.revision, span.reason[:8]) for span in fleet.merged().members[3].spans]
    assert spans == [(0, "began"), (1, "given by")]  # written down once
    fleet.slow_disk = {3}
    fleet.members[0].read_file(BEFORE, 2)
    fleet.run(5.0)
    assert fleet.same(BEFORE) == ALL  # although the disk stands still


def test_a_member_that_missed_forty_changes_fetches_one_delta() -> None:
    """A member was dead for forty changes. It gets them in less than half a document."""
    routes, changes = 400, 40
    fleet = ConfigurationFleet(4, settings(routes))
    fleet.run(1.0)
    fleet.kill(3)
    for order in range(1, changes + 1):
        newest = settings(routes, changed=order, deadline=order / 100)
        newest["grades"][:order] = [
            {**one, "deadline": n / 100} for n, one in enumerate(newest["grades"][:order])
        ]
        fleet.members[order % 3].read_file(newest, order)
        fleet.until(lambda order=order: set(fleet.orders()) == {order})  # type: ignore[misc]
    fleet.bytes_to.clear()
    fleet.carried.clear()
    fleet.start(3, settings(routes), 0)
    assert fleet.until(lambda: fleet.same(newest) == {0, 1, 2, 3}) < 10.0
    whole = sum(map(len, DocumentSource(changes, newest).all_pieces()))
    assert fleet.bytes_to[3] < whole / 2 and fleet.carried["n"] == 0


@given(
    st.integers(1, 46655), st.integers(1, 35), st.sets(st.integers(0, 40), min_size=1), st.data()
)
def test_canaries_follow_from_the_revision_and_the_members(
    order: int, wanted: int, up: set[int], data: st.DataObject
) -> None:
    trying = data.draw(st.sets(st.sampled_from(sorted(up)), max_size=wanted))
    chosen = choose_canaries(order, wanted, trying, up)
    assert trying <= chosen <= up and len(chosen) == max(len(trying), min(wanted, len(up)))
    assert choose_canaries(order, wanted, chosen, up) == chosen  # once they do, nobody else is to


# The calls


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
    """An operator mistypes a call or names a file that cannot be used."""
    (tmp_path / "bad.json").write_text("{")
    (tmp_path / "none.json").write_text("[]")
    said = operator_calls.answer(fleet.members[0].driver.rollouts, tmp_path, tuple(words))
    assert said.startswith("error ") and says in said and "\n" not in said


def test_calls_are_carried_out(fleet: ConfigurationFleet, tmp_path: Path) -> None:
    (tmp_path / "next.json").write_bytes(orjson.dumps({"settings": AFTER}))
    rollouts = fleet.members[0].driver.rollouts
    push = ("push", "next.json", "1", "1", "60")
    said = [
        operator_calls.answer(rollouts, tmp_path, words)
        for words in (push, ("hold",), ("release",), ("rollback",))
    ]
    assert said == [
        "done config push",
        "done config hold",
        "done config release",
        "done config rollback",
    ]
    assert fleet.members[0].steps() == ["pushed", "held", "released", "rolled back"]


def test_an_unreadable_settings_file_is_named_in_the_error(tmp_path: Path) -> None:
    """The file of a push is not there."""
    with pytest.raises(SettingsFileError, match="absent"):
        operator_calls.read_settings(tmp_path / "absent")


def test_the_command_reports_a_limiter_that_does_not_answer() -> None:
    """Nothing listens at the operator address."""
    found = CliRunner().invoke(fleet_commands, ["config", "hold", "--at", "127.0.0.1:1"])
    assert found.exit_code == 2 and "127.0.0.1:1" in found.output
