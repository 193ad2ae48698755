"""The executions that two processes share: torn lines, failing disks, the roll to the next file."""

from __future__ import annotations

import errno
import os
from dataclasses import replace
from pathlib import Path

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.state import executions as memory_module
from hazelhollow.decisions.state.executions import ExecutionMemory
from hazelhollow.net.execution_log import KEPT_SLICES, OTHER_LASTS_S, SLICE_S, ExecutionLog
from hazelhollow.net.ids_elsewhere import IdsElsewhere
from tests.net.scenario import Stage
from tests.net.test_scenarios import DO, ask


class Machine:
    """Two processes with one folder and one monotonic clock."""

    def __init__(self, folder: Path) -> None:
        self.now, self.folder = 1000.0, folder
        self.old, self.new = self.process(), self.process()

    def process(self) -> ExecutionLog:
        return ExecutionLog("n0", self.folder, lambda: self.now)


@pytest.fixture
def machine(tmp_path: Path) -> Machine:
    return Machine(tmp_path)


def request(number: int) -> api.RequestArrived:
    return api.RequestArrived(f"r{number}", "pay", "basic", "c", 1.0, 1.0, 0, 1)


def append(log: ExecutionLog, number: int, age: float = 0.0) -> api.Execution:
    execution = api.Execution("a b", 3, "10.0.0.1:1", 5.0)
    log.append(request(number), execution, age)
    return execution


def ids(log: ExecutionLog) -> list[str]:
    return [report.id for report in log.read()]


def test_each_process_reads_what_the_other_wrote_and_nothing_of_its_own(machine: Machine) -> None:
    append(machine.old, 1, age=0.25)
    append(machine.new, 2)
    (report,) = machine.new.read()
    assert (report.customer, report.id, report.zone, report.cell) == ("c", "r1", "a b", 3)
    assert report.address == "10.0.0.1:1" and report.age == pytest.approx(0.25, abs=0.002)
    assert ids(machine.old) == ["r2"] and not ids(machine.old) and not ids(machine.new)


def test_process_that_starts_later_reads_the_files_from_before(machine: Machine) -> None:
    append(machine.old, 1)
    machine.now += SLICE_S
    append(machine.old, 2)
    assert ids(machine.process()) == ["r1", "r2"]
    machine.now += KEPT_SLICES * SLICE_S
    append(machine.old, 3)
    assert ids(machine.process()) == ["r3"] and len(list(machine.folder.iterdir())) == 1


def test_entry_that_a_killed_process_wrote_half_way_spoils_no_other(machine: Machine) -> None:
    append(machine.old, 1)
    (path,) = machine.folder.iterdir()
    whole = path.read_bytes()
    for size in range(len(whole)):
        path.write_bytes(whole[:size])
        append(machine.process(), 2)
        assert "r2" in ids(machine.process())


def test_retraction_names_the_same_execution(machine: Machine) -> None:
    execution = append(machine.old, 1)
    machine.old.retract(request(1), execution, 0.0)
    ran, never_ran = machine.new.read()
    assert ran.shared_id == never_ran.shared_id and (ran.never_ran, never_ran.never_ran) == (
        False,
        True,
    )


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, None], ids=["full", "error", "short"])
def test_entries_wait_while_the_disk_fails(
    machine: Machine, error: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What was forwarded meanwhile is still told, once the disk works again."""
    write = os.write

    def fail(descriptor: int, data: bytes) -> int:
        if error is None:
            return write(descriptor, data[: len(data) // 2])
        raise OSError(error, "for a while")

    append(machine.old, 1)
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", fail)
        append(machine.old, 2)
        append(machine.old, 3)
        assert machine.old.failures and ids(machine.new) == ["r1"]
    append(machine.old, 4)
    assert ids(machine.new) == ["r2", "r3", "r4"]


def test_folder_that_is_missing_costs_nothing_but_the_other_process(tmp_path: Path) -> None:
    log = ExecutionLog("n0", tmp_path / "absent")
    append(log, 1)
    assert log.failures == 1 and log.read() == ()


def test_memory_of_executions_is_bounded_in_time_and_number(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(memory_module, "MAX_REMEMBERED", 100)
    memory = ExecutionMemory()
    for number in range(1000):
        memory.add("c", f"r{number}", api.Execution("a", 1, "", float(number)), float(number))
    assert len(memory) == 100 and memory.find(request(999)) and not memory.find(request(0))
    memory.add("c", "last", api.Execution("a", 1, "", 9999.0), 9999.0)
    assert len(memory) == 1


def test_id_that_two_customers_use_is_remembered_for_each() -> None:
    """Once nothing runs under an id, another customer may use it: what ran is told apart."""
    memory = ExecutionMemory()
    memory.add("c", "r1", api.Execution("a", 1, "", 1.0), 1.0)
    memory.add("d", "r1", api.Execution("a", 2, "", 1.0), 1.0)
    (found,) = memory.find(request(1))
    assert found.cell == 1
    (other,) = memory.find(replace(request(1), customer="d"))
    assert other.cell == 2


@pytest.mark.parametrize("age", [0.1, 2.9, 3.1])
@pytest.mark.parametrize("customer", ["00000000b4d65521", "00000000000000aa"])
@pytest.mark.parametrize("command", [DO.format(1), ask(1)], ids=["keyed", "safe"])
def test_id_that_is_open_at_the_other_process_is_an_error(
    command: str, customer: str, age: float, tmp_path: Path
) -> None:
    """The two processes of an upgrade are one limiter; after any deadline the id is free."""
    clock = Clock(1000.0)
    stage = Stage(hosts=1)
    stage.service.engine_driver.executions = ExecutionLog("n0", tmp_path, clock)
    other = ExecutionLog("n0", tmp_path, clock)
    there = replace(request(1), customer=customer)
    other.append(there, api.Execution("a", 0, "", 0.0), age)
    stage.play(f"a send {command}")
    if age < 3.0:
        stage.play("a expect -ERR failed")
        clock.now += 3.0 - age
        stage.play(f"a send {command}")
    stage.play(f"s1 expect {command}")
    assert stage.service.stats.attempts == 1


def test_open_ids_are_shared_while_another_process_is_there(tmp_path: Path) -> None:
    """Guards against a safe request that is served under an id that is open at the old process."""
    clock = Clock(1000.0)
    old, new = ExecutionLog("n0", tmp_path, clock), ExecutionLog("n0", tmp_path, clock)
    old.append_open(request(1))  # nobody is there who would read it
    assert new.read() == () and not new.is_open_elsewhere(request(1))
    new.announce()
    assert old.read() == ()
    old.append_open(request(2))
    assert new.read() == ()
    assert new.is_open_elsewhere(request(2)) and not new.is_open_elsewhere(request(3))
    clock.now += OTHER_LASTS_S
    old.append_open(request(3))
    assert new.read() == () and not new.is_open_elsewhere(request(3))


def test_id_is_free_once_the_other_process_reports_that_it_never_ran() -> None:
    ids = IdsElsewhere()
    ids.add("r1", 0.1, never_ran=False, now=10.0)
    assert ids.is_open("r1", 10.0) and not ids.is_open("r2", 10.0)
    ids.add("r1", 0.2, never_ran=True, now=10.1)
    assert not ids.is_open("r1", 10.1)


class Clock:
    """The monotonic clock of both processes."""

    def __init__(self, now: float) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now
