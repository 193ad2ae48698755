"""Settings that some members try first.

Who does, what holds them, how they come into force or go back, through faults.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.configuration import config_call, transfer
from hazelhollow.configuration.config_call import ConfigCallError
from hazelhollow.configuration.rollout import LEAST_REQUESTS, Health, canaries
from hazelhollow.configuration.versions import Phase
from hazelhollow.fault_injection.commands import fleet as fleet_commands
from tests.audit_fleet import AuditFleet, Member, settings

BEFORE, AFTER = settings(), settings(changed=2, deadline=0.5)
MEMBERS, TRIED_BY, BAKES = 8, 3, 20.0
ALL = set(range(MEMBERS))


@pytest.fixture
def fleet() -> AuditFleet:
    one = AuditFleet(MEMBERS, BEFORE)
    one.run(1.0)
    return one


def pushed(fleet: AuditFleet, at: int = 0, document: dict[str, Any] = AFTER) -> Member:
    """The member that was given a candidate, once as many try it as should."""
    leader = fleet.members[at]
    assert leader.driver.push(1, TRIED_BY, BAKES, document) == ""
    fleet.until(lambda: len(fleet.trying()) == TRIED_BY)
    fleet.run(1.0)  # and all have heard of them
    return leader


def test_some_try_it_and_when_nothing_speaks_against_it_all_act_on_it(fleet: AuditFleet) -> None:
    leader = pushed(fleet)
    trying = fleet.trying()
    fleet.run(BAKES - 2.0)
    assert fleet.trying() == trying == fleet.same(AFTER) and leader.limiter_id in trying
    assert fleet.same(BEFORE) == ALL - trying
    fleet.until(lambda: fleet.same(AFTER) == ALL and not fleet.trying())
    assert set(fleet.orders()) == {1}
    assert leader.steps() == ["pushed", "released"]
    merged = fleet.merged()
    assert not merged.findings and not merged.troubles
    (_, change) = merged.changes()
    assert change["members"] == sorted(ALL) and change["last_old_after_s"] < 2.0


def test_through_loss_no_more_try_it_than_should_and_all_have_it_in_the_end() -> None:
    fleet = AuditFleet(MEMBERS, BEFORE, lose=0.3)
    fleet.run(1.0)
    pushed(fleet)
    fleet.run(BAKES / 2)
    assert len(fleet.trying()) == TRIED_BY
    fleet.until(lambda: fleet.same(AFTER) == ALL and not fleet.trying(), longest=60.0)


def test_held_at_one_that_tries_it_nobody_else_takes_it_until_it_is_released(
    fleet: AuditFleet,
) -> None:
    pushed(fleet)
    trying = fleet.trying()
    other = max(trying)
    assert fleet.members[other].driver.hold() == ""
    fleet.run(3 * BAKES)
    assert fleet.trying() == trying == fleet.same(AFTER)
    assert all("held" in fleet.members[n].steps() for n in trying)
    assert fleet.members[other].driver.release() == ""
    fleet.until(lambda: fleet.same(AFTER) == ALL and not fleet.trying())


def test_one_that_comes_to_try_held_settings_holds_them_from_the_beginning(
    fleet: AuditFleet,
) -> None:
    leader = pushed(fleet)
    assert leader.driver.hold() == ""
    fleet.run(1.0)
    before = fleet.trying()
    fleet.kill(max(before - {leader.limiter_id}))
    fleet.until(lambda: len(fleet.trying()) == TRIED_BY)
    (new,) = fleet.trying() - before
    assert fleet.members[new].steps() == ["taken"] and fleet.members[
        new
    ].driver.rollout.candidate == (
        3,
        Phase.HELD,
    )


def test_one_that_is_behind_cannot_be_given_a_candidate(fleet: AuditFleet) -> None:
    one = fleet.members[3]
    one.cannot_take = lambda document: "plans differ"
    fleet.members[0].read_file(AFTER, 1)
    fleet.run(3.0)
    one.cannot_take = lambda document: ""
    assert "not on the newest settings" in one.driver.push(2, TRIED_BY, BAKES, settings(changed=4))


def test_one_that_tries_nothing_says_who_does(fleet: AuditFleet) -> None:
    assert "no settings are tried" in fleet.members[0].driver.hold()
    pushed(fleet)
    trying = ", ".join(map(str, sorted(fleet.trying())))
    idle = fleet.members[min(ALL - fleet.trying())]
    assert trying in idle.driver.hold() and trying in idle.driver.release()


def test_when_the_member_that_was_given_it_dies_it_stays_with_the_others_until_an_operator_says(
    fleet: AuditFleet,
) -> None:
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
    assert fleet.members[min(rest)].driver.release() == ""
    fleet.until(lambda: fleet.same(AFTER) == ALL)


def test_when_one_that_tries_it_dies_it_is_held(fleet: AuditFleet) -> None:
    leader = pushed(fleet)
    fleet.kill(max(fleet.trying() - {leader.limiter_id}))
    fleet.run(3 * BAKES)
    assert leader.steps() == ["pushed", "held"] and len(fleet.same(AFTER)) <= TRIED_BY
    (held,) = [entry for entry in leader.record.kept if entry.version == "held"]
    assert "tried it" in held.why


def test_when_the_member_that_was_given_it_is_cut_off_it_is_held(fleet: AuditFleet) -> None:
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


def test_one_that_waits_for_others_to_answer_does_not_judge_them(fleet: AuditFleet) -> None:
    leader = pushed(fleet)
    fleet.run(BAKES - 3.0)
    leader.may_admit = False  # it stood still, say
    fleet.run(6.0)
    assert leader.steps() == ["pushed"]
    leader.may_admit = True
    fleet.until(lambda: fleet.same(AFTER) == ALL)


def test_rolled_back_at_a_member_that_does_not_try_it(fleet: AuditFleet) -> None:
    pushed(fleet)
    idle = fleet.members[min(ALL - fleet.trying())]
    fleet.carried.clear()
    assert idle.driver.roll_back() == ""
    fleet.until(lambda: fleet.same(BEFORE) == ALL and set(fleet.orders()) == {2})
    assert not fleet.trying() and not fleet.carried  # all have known these settings
    assert idle.steps() == ["rolled back"] and not fleet.merged().findings


def test_rolled_back_at_a_member_that_tries_it(fleet: AuditFleet) -> None:
    leader = pushed(fleet)
    assert leader.driver.roll_back() == ""
    fleet.until(lambda: fleet.same(BEFORE) == ALL and set(fleet.orders()) == {2})


def test_rolled_back_after_it_was_in_force_for_all(fleet: AuditFleet) -> None:
    pushed(fleet)
    fleet.until(lambda: fleet.same(AFTER) == ALL and not fleet.trying())
    fleet.carried.clear()
    assert fleet.members[5].driver.roll_back() == ""
    fleet.until(lambda: fleet.same(BEFORE) == ALL and set(fleet.orders()) == {2})
    assert not fleet.carried


def test_of_two_candidates_in_a_row_it_goes_back_to_what_was_in_force(fleet: AuditFleet) -> None:
    leader = pushed(fleet)
    assert leader.driver.push(2, TRIED_BY, BAKES, settings(changed=3, deadline=0.2)) == ""
    fleet.run(3.0)
    assert leader.driver.roll_back() == ""
    fleet.until(lambda: fleet.same(BEFORE) == ALL and set(fleet.orders()) == {3})


def test_one_that_has_just_begun_knows_of_nothing_earlier(fleet: AuditFleet) -> None:
    assert "no earlier settings" in fleet.members[0].driver.roll_back()


def test_where_one_cannot_take_it_it_is_held_and_goes_no_further(fleet: AuditFleet) -> None:
    for number in ALL - {0}:
        fleet.members[number].cannot_take = (
            lambda document: "plans differ" if document == AFTER else ""
        )
    leader = fleet.members[0]
    assert leader.driver.push(1, TRIED_BY, BAKES, AFTER) == ""
    fleet.run(2 * BAKES)
    assert fleet.trying() == {0} and leader.steps() == ["pushed", "held"]
    refused = [n for n in ALL if fleet.members[n].steps() == ["refused"]]
    assert len(refused) == TRIED_BY - 1  # and is not asked again
    assert fleet.same(BEFORE) == ALL - {0}


def test_requests_that_fail_under_it_hold_it(fleet: AuditFleet) -> None:
    leader = pushed(fleet)
    other = fleet.members[max(fleet.trying() - {leader.limiter_id})]
    other.counts.update(requests=LEAST_REQUESTS, failed=LEAST_REQUESTS // 5)
    fleet.run(3 * BAKES)
    assert other.steps() == ["taken", "held"] and leader.steps() == ["pushed", "held"]
    assert len(fleet.trying()) == TRIED_BY


@pytest.mark.parametrize(
    ("before", "since", "troubled"),
    [
        ((0, 0), (LEAST_REQUESTS - 1, LEAST_REQUESTS - 1), False),  # too few to say anything
        ((0, 0), (100, 2), False),
        ((0, 0), (100, 3), True),
        ((1000, 100), (100, 30), False),  # as before, or near it
        ((1000, 100), (100, 31), True),
    ],
)
def test_failures_count_against_those_of_before(
    before: tuple[int, int], since: tuple[int, int], troubled: bool
) -> None:
    health = Health({"requests": before[0], "failed": before[1]})
    now = {"requests": before[0] + since[0], "failed": before[1] + since[1]}
    assert bool(health.trouble(now)) is troubled


def test_two_given_under_one_order_are_taken_by_nobody_else_and_neither_is_released(
    fleet: AuditFleet,
) -> None:
    other = settings(changed=4, deadline=0.1)
    assert fleet.members[0].driver.push(1, TRIED_BY, BAKES, AFTER) == ""
    # before it has heard of the first
    assert fleet.members[1].driver.push(1, TRIED_BY, BAKES, other) == ""
    fleet.run(2 * BAKES)
    assert fleet.same(BEFORE) >= ALL - {0, 1} and fleet.members[0].steps()[-1] == "held"
    (held,) = [entry for entry in fleet.members[0].record.kept if entry.version == "held"]
    assert held.why == "order 1 stands for other settings at others"
    assert "other settings" in fleet.members[0].driver.release()
    assert fleet.members[7].driver.roll_back() == ""
    fleet.until(lambda: fleet.same(BEFORE) == ALL and set(fleet.orders()) == {2})


def test_settings_in_force_under_the_same_order_win(fleet: AuditFleet) -> None:
    pushed(fleet)
    other = settings(changed=4, deadline=0.1)
    fleet.members[min(ALL - fleet.trying())].read_file(other, 1)  # an operator elsewhere, by SIGHUP
    fleet.until(lambda: fleet.same(other) == ALL and not fleet.trying())


def test_a_program_of_the_release_before_follows_no_candidate_and_what_is_in_force(
    fleet: AuditFleet,
) -> None:
    for number in ALL - {0}:
        fleet.members[number].earlier_release = True
    assert fleet.members[0].driver.push(1, TRIED_BY, BAKES, AFTER) == ""
    fleet.run(2 * BAKES)
    assert fleet.same(AFTER) == {0} and fleet.members[0].steps() == ["pushed", "held"]
    assert fleet.members[0].driver.release() == ""
    fleet.until(lambda: fleet.same(AFTER) == ALL)


@pytest.mark.parametrize(
    ("order", "by", "document", "says"),
    [
        (0, 3, AFTER, "not above 0"),
        (46656, 3, AFTER, "above 46655"),
        (1, 0, AFTER, "7 at most"),
        (1, 8, AFTER, "7 at most"),
        (1, 3, BEFORE, "acts on"),
        (1, 3, {"grades": []}, "no routes"),
    ],
)
def test_what_cannot_be_pushed_changes_nothing(
    fleet: AuditFleet, order: int, by: int, document: dict[str, Any], says: str
) -> None:
    one = fleet.members[0]
    one.cannot_take = lambda document: "" if document["grades"] else "no routes"
    assert says in one.driver.push(order, by, BAKES, document)
    fleet.run(5.0)
    assert fleet.same(BEFORE) == ALL and not fleet.trying() and not one.steps()


def test_the_greatest_order_counts_whether_it_is_tried_or_in_force(fleet: AuditFleet) -> None:
    pushed(fleet)
    idle = fleet.members[min(ALL - fleet.trying())]
    assert "not above 1" in idle.driver.push(1, TRIED_BY, BAKES, settings(changed=4, deadline=0.1))


def test_one_brought_up_by_others_that_reads_its_old_files_again_stays_with_them(
    fleet: AuditFleet,
) -> None:
    fleet.members[0].read_file(AFTER, 1)
    fleet.until(lambda: fleet.same(AFTER) == ALL)
    fleet.carried.clear()
    fleet.members[3].hang_up()
    assert fleet.members[3].acts_on == AFTER  # in the same turn
    fleet.run(3.0)
    assert fleet.same(AFTER) == ALL and set(fleet.orders()) == {1} and not fleet.carried
    assert not [finding for finding in fleet.merged().findings if finding.what == "contradiction"]


def test_settings_that_a_peer_gave_are_acted_on_once_they_are_on_record_or_after_a_while(
    fleet: AuditFleet,
) -> None:
    one = fleet.members[3]
    fleet.slow_disk = {3}
    fleet.members[0].read_file(AFTER, 1)
    fleet.until(lambda: fleet.same(AFTER) == ALL - {3})
    fleet.run(0.1)
    fleet.carried.clear()
    fleet.run(0.5)
    assert one.driver.order() == 0 and 3 not in fleet.same(AFTER)
    assert not fleet.carried  # it has them, and asks no more
    assert [entry.order for entry in one.record.kept if entry.what == "settings"] == [0, 1]
    fleet.slow_disk = set()
    fleet.run(0.5)
    assert fleet.same(AFTER) == ALL
    spans = [(span.order, span.why[:8]) for span in fleet.merged().members[3].spans]
    assert spans == [(0, "began"), (1, "given by")]  # written down once
    fleet.slow_disk = {3}
    fleet.members[0].read_file(BEFORE, 2)
    fleet.run(5.0)
    assert fleet.same(BEFORE) == ALL  # although the disk stands still


def test_one_that_was_away_for_many_changes_is_told_them_in_a_few_datagrams() -> None:
    routes, changes = 400, 40
    fleet = AuditFleet(4, settings(routes))
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
    whole = sum(map(len, transfer.Giver(changes, newest).whole()))
    assert fleet.bytes_to[3] < whole / 2 and fleet.carried["n"] == 0


@given(
    st.integers(1, 46655), st.integers(1, 35), st.sets(st.integers(0, 40), min_size=1), st.data()
)
def test_who_is_to_try_it_follows_from_the_order_and_the_members(
    order: int, wanted: int, up: set[int], data: st.DataObject
) -> None:
    trying = data.draw(st.sets(st.sampled_from(sorted(up)), max_size=wanted))
    chosen = canaries(order, wanted, trying, up)
    assert trying <= chosen <= up and len(chosen) == max(len(trying), min(wanted, len(up)))
    assert canaries(order, wanted, chosen, up) == chosen  # once they do, nobody else is to


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
def test_a_call_that_cannot_be_says_what_is_wrong(
    fleet: AuditFleet, tmp_path: Path, words: list[str], says: str
) -> None:
    (tmp_path / "bad.json").write_text("{")
    (tmp_path / "none.json").write_text("[]")
    said = config_call.answer(fleet.members[0].driver, tmp_path, tuple(words))
    assert said.startswith("error ") and says in said and "\n" not in said


def test_calls_are_carried_out(fleet: AuditFleet, tmp_path: Path) -> None:
    (tmp_path / "next.json").write_bytes(orjson.dumps({"settings": AFTER}))
    driver = fleet.members[0].driver
    push = ("push", "next.json", "1", "1", "60")
    said = [
        config_call.answer(driver, tmp_path, words)
        for words in (push, ("hold",), ("release",), ("rollback",))
    ]
    assert said == [
        "done config push",
        "done config hold",
        "done config release",
        "done config rollback",
    ]
    assert fleet.members[0].steps() == ["pushed", "held", "released", "rolled back"]


def test_settings_that_cannot_be_read_raise_with_the_files_name(tmp_path: Path) -> None:
    with pytest.raises(ConfigCallError, match="absent"):
        config_call.read_settings(tmp_path / "absent")


def test_where_nobody_answers_the_command_says_so() -> None:
    found = CliRunner().invoke(fleet_commands, ["config", "hold", "--at", "127.0.0.1:1"])
    assert found.exit_code == 2 and "127.0.0.1:1" in found.output
