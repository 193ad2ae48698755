"""The soak: plans are the same in every process, the checker finds each broken rule, seeds hold."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace

import msgspec
import pytest
from click.testing import CliRunner

from hazelhollow.soak.checker import check, is_measured, judge
from hazelhollow.soak.commands import soak
from hazelhollow.soak.plan import ALL_KINDS, draw_plan
from hazelhollow.soak.record import (
    DrainRecord,
    ExecutionRecord,
    ExitRecord,
    PauseRecord,
    RequestRecord,
    SlowAnswer,
    SoakRecord,
    digest,
    value_for,
)
from hazelhollow.soak.rig import RigOptions
from hazelhollow.soak.run import SoakRun

SECONDS = 5.0
# Seed and number of limiters. Together they draw 20 of the 22 kinds.
SEEDS = [(6, 1), (11, 1), (12, 1), (41, 3), (109, 1), (17, 1)]


@pytest.mark.parametrize(("seed", "limiters"), SEEDS)
def test_all_rules_hold_on_a_drawn_run(seed: int, limiters: int) -> None:
    record = SoakRun(draw_plan(seed, SECONDS, limiters)).run()
    assert judge(record) == [] and len(record.executions) > 50


# The kinds of report 6d635e, and for each a fault that the run has to find: kinds, rules.
PLANTED_FAULTS: dict[str, tuple[tuple[str, ...], set[str]]] = {
    "begin at the head": (("server: heads", "server: long"), {"late", "answered"}),
    "never end a silent value": (("server: stops", "server: long"), {"answered", "begun"}),
    "cut off a slow value": (("server: drips", "server: long"), {"begun"}),
    "forward before judging": (("client: bytes behind", "server: pieces"), {"unsound"}),
    "serve ids of others": (("client: other id", "server: pieces"), {"unsound"}),
    "read without room": (("client: no reader",), {"memory"}),
    "begin before requests behind": (("client: orders behind",), {"behind"}),
    "trust the poll": (("client: much and gone",), {"gone"}),
    "cancel by age": (("client: slow answers",), {"cut off"}),
    "wait for the reader": (("client: large orders", "server: slow reads"), {"late"}),
}
PLANTED_SEED = 7


@pytest.mark.parametrize("fault", PLANTED_FAULTS)
def test_run_of_the_kinds_of_a_fault_holds_without_it_and_finds_it(fault: str) -> None:
    kinds, rules = PLANTED_FAULTS[fault]
    plan = draw_plan(PLANTED_SEED, SECONDS, kinds=kinds)
    if fault == "read without room":  # so many endpoints that none is overloaded
        plan = msgspec.structs.replace(plan, endpoints=140)
    assert judge(SoakRun(plan).run()) == []
    environment = {"PLANTED_FAULT": fault}
    options = RigOptions(module="tests.soak.planted_serve", environment=environment)
    assert {one.rule for one in check(SoakRun(plan, options).run())} & rules


def test_plan_of_a_seed_is_the_same_in_processes_with_other_hash_seeds() -> None:
    plans = {
        subprocess.run(
            [sys.executable, "-m", "hazelhollow", "soak", "plan", "--seed", "7"],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for hash_seed in ("1", "2")
    }
    assert len(plans) == 1 and "operations" in plans.pop()


def test_every_kind_is_drawn_by_some_seed_and_unknown_ones_are_refused() -> None:
    drawn = {kind for seed in range(60) for kind in draw_plan(seed).kinds}
    assert drawn == set(ALL_KINDS)
    refused = CliRunner().invoke(soak, ["plan", "--seed", "1", "--kinds", "client: none"])
    assert refused.exit_code == 2 and "client: none" in refused.output


# The checker, on records with one planted violation each

VALUE = digest(value_for("a", 5))
SOUND = RequestRecord(
    "a", "pay", 1.0, sent_at=10.0, value_size=5, first_byte_at=10.1, ended_at=10.1,
    outcome="value", value=VALUE,
)  # fmt: skip
RUN = ExecutionRecord(10.05, "s-0", 0, "a", 0.95, False)


def record_of(request: RequestRecord = SOUND, *runs: ExecutionRecord) -> SoakRecord:
    return SoakRecord([request], list(runs or (RUN,)), served_at_end=True)


def test_sound_record_breaks_no_rule() -> None:
    assert check(record_of()) == [] and is_measured(record_of())
    assert not is_measured(SoakRecord(max_lateness=1.0))


OTHER_CELL = replace(RUN, endpoint="s-1", cell=1)
LEFT = replace(SOUND, outcome="left", left_at=10.1, ended_at=10.1)
PLANTED = {
    "never answered": (replace(SOUND, outcome="silent"), (), "answered"),
    "behind a broken value although it ran": (
        replace(SOUND, outcome="behind a broken value"), (), "behind",
    ),
    "late": (replace(SOUND, ended_at=11.6), (), "late"),
    "late error": (replace(SOUND, outcome="error", ended_at=11.6), (), "late"),
    "late first byte": (
        replace(SOUND, id="b", value_size=70_000, value=digest(value_for("b", 70_000)),
                first_byte_at=11.6, ended_at=20.0),
        (replace(RUN, id="b"),),
        "late",
    ),
    "closed after it ran": (
        replace(SOUND, outcome="closed", on_new_connection=False), (), "answered",
    ),
    "closed on a new connection": (
        replace(SOUND, outcome="closed"), (replace(RUN, id="other"),), "answered",
    ),
    "value of another request": (replace(SOUND, value=digest(b"x")), (), "value"),
    "unsafe id ran twice": (SOUND, (RUN, replace(RUN, at=10.06)), "once"),
    "keyed id ran in two cells": (replace(SOUND, class_name="buy"), (RUN, OTHER_CELL), "once"),
    "keyed id ran after its window": (
        replace(SOUND, class_name="buy", sent_at=10.0),
        (RUN, replace(RUN, at=17.0, told_wait=0.0)),
        "once",
    ),
    "busy although it ran": (replace(SOUND, outcome="busy"), (), "refusal"),
    "ran after its client left": (LEFT, (replace(RUN, at=10.5, told_wait=0.5),), "gone"),
    "unsound request ran": (replace(SOUND, is_sound=False, outcome="error"), (), "unsound"),
    "unsound request served": (replace(SOUND, is_sound=False), (), "unsound"),
    "value cut off": (
        replace(SOUND, value_size=70_000, outcome="partial", last_byte_at=10.1), (), "begun",
    ),
    "value that stopped, told too late": (
        replace(SOUND, value_size=70_000, outcome="partial", last_byte_at=10.1, ended_at=13.8),
        (),
        "begun",
    ),
    "value that began late and broke": (
        replace(SOUND, outcome="partial", first_byte_at=11.6, last_byte_at=11.6, ended_at=12.0),
        (),
        "late",
    ),
    "told too much": (SOUND, (replace(RUN, told_wait=1.2),), "told time"),
}  # fmt: skip


@pytest.mark.parametrize("name", PLANTED)
def test_planted_violation_is_found(name: str) -> None:
    request, runs, rule = PLANTED[name]
    assert rule in {violation.rule for violation in check(record_of(request, *runs))}


def test_planted_violations_of_processes_are_found() -> None:
    for change, rule in (
        ({"drains": [DrainRecord("s-0", 9.0)]}, "drain"),
        ({"exits": [ExitRecord("n0", 20.0, 1.0, 1)]}, "exit"),
        ({"exits": [ExitRecord("n0", 20.0, 1.0, -9)]}, "exit"),
        ({"crashes": ["n0"]}, "exit"),
        ({"served_at_end": False}, "service"),
        ({"peak_memory_kb": 200_000}, "memory"),
    ):
        assert rule in {one.rule for one in check(replace(record_of(), **change))}
    assert check(replace(record_of(), exits=[ExitRecord("n0", 20.0, 3.71, -9)])) == []


def test_planted_use_of_the_id_of_an_open_request_is_found() -> None:
    used = replace(SOUND, is_sound=False, may_run=True, sent_at=10.06, ended_at=10.15)
    beside, after = replace(RUN, at=10.07), replace(RUN, at=10.11)
    record = record_of(SOUND, RUN, beside)
    record.requests.append(used)
    assert {one.rule for one in check(record)} == {"unsound"}
    record.executions[1] = after  # the id was free again
    assert check(record) == []
    record.requests[1] = replace(used, outcome="silent")
    assert {one.rule for one in check(record)} == {"unsound"}


SLOW = replace(
    SOUND, class_name="look", wait=2.0, value_size=70_000, value=digest(value_for("a", 70_000)),
    first_byte_at=11.0, ended_at=11.0,
)  # fmt: skip


def slow_record(request: RequestRecord, seconds: float, *runs: ExecutionRecord) -> SoakRecord:
    return replace(record_of(request, *runs), slow_answers={"a": SlowAnswer(seconds, True)})


def test_planted_cut_of_a_slow_answer_is_found() -> None:
    """An answer of 0.9 s: refused after its attempt was cut, or served by a second attempt."""
    again = replace(RUN, at=10.5, endpoint="s-1")
    refused = replace(SLOW, outcome="busy", ended_at=10.5)
    assert check(slow_record(SLOW, 0.9)) == []
    assert {one.rule for one in check(slow_record(refused, 0.9))} == {"cut off"}
    assert {one.rule for one in check(slow_record(SLOW, 0.9, RUN, again))} == {"cut off"}
    assert check(slow_record(SLOW, 1.7, RUN, again)) == []  # silent until its time was nearly over
    assert check(slow_record(refused, 0.9, replace(RUN, id="other"))) == []  # load was shed


def test_time_that_an_endpoint_takes_to_read_is_no_told_time() -> None:
    slowly_read = replace(RUN, at=10.6, told_wait=0.95, reading=0.55)
    assert check(record_of(replace(SOUND, ended_at=10.7), slowly_read)) == []
    assert check(record_of(replace(SOUND, ended_at=10.7), replace(slowly_read, reading=0.0)))


def test_request_behind_a_broken_value_that_no_server_has_got_may_be_sent_again() -> None:
    behind = replace(SOUND, outcome="behind a broken value")
    assert check(record_of(behind, replace(RUN, id="other"))) == []
    killed = replace(record_of(behind), exits=[ExitRecord("n0", 10.2, 3.8, -9)])
    assert check(killed) == []


def test_run_that_was_late_itself_is_judged_by_the_rules_without_times() -> None:
    late = replace(record_of(replace(SOUND, ended_at=11.6)), max_lateness=1.0)
    twice = replace(record_of(SOUND, RUN, replace(RUN, at=10.06)), max_lateness=1.0)
    assert check(late) and not judge(late) and judge(twice)


def test_refusal_of_an_endpoint_is_no_execution() -> None:
    refused = replace(RUN, refused=True)
    assert check(record_of(replace(SOUND, outcome="busy"), refused)) == []
    assert check(record_of(SOUND, refused, replace(OTHER_CELL, at=10.06))) == []


def test_pause_of_the_process_excuses_told_time_only_while_it_lasted() -> None:
    late = replace(RUN, at=10.2, told_wait=1.0)
    assert check(record_of(SOUND, late))
    paused = replace(record_of(SOUND, late), pauses=[PauseRecord(10.0, 10.15)])
    elsewhere = replace(record_of(SOUND, late), pauses=[PauseRecord(11.0, 11.15)])
    assert not check(paused) and check(elsewhere)
