"""Figures through an upgrade: the new process counts on from the old one; a restart counts from its own start."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from hazelhollow.net.handover import Figures, alive

DEAD = 2**22 + 7  # above the largest process id that Linux hands out


def own(success: int = 0, dispatches: int = 0, concurrent: int = 0) -> dict[str, Any]:
    return {
        "replies": {"look": {"success": success, "overload": 1, "error": 0}},
        "dispatches": dispatches, "concurrent": concurrent, "targets": 4, "targets_disabled": 1,
        "reload_success": 1, "reload_failure": 0,
    }  # fmt: skip


def test_the_new_process_counts_on_from_the_old_one(tmp_path: Path) -> None:
    old = Figures("n0", str(tmp_path), pid=os.getpid())  # alive: this test's own process
    old.write(old.total(own(success=10, dispatches=12, concurrent=3)), 3)
    new = Figures("n0", str(tmp_path), pid=DEAD - 1)
    whole = new.total(own(success=2, dispatches=2, concurrent=1))
    assert whole["replies"]["look"] == {"success": 12, "overload": 2, "error": 0}
    assert whole["dispatches"] == 14 and whole["reload_success"] == 2
    assert whole["concurrent"] == 4 and whole["targets"] == 4  # the old one's open requests while it lives


def test_what_the_old_one_counts_later_reaches_the_new_one(tmp_path: Path) -> None:
    old = Figures("n0", str(tmp_path), pid=os.getpid())
    old.write(old.total(own(success=10)), 0)
    new = Figures("n0", str(tmp_path), pid=DEAD - 1)
    old.write(old.total(own(success=15)), 0)
    new.look()
    assert new.total(own(success=0))["replies"]["look"]["success"] == 15


def test_a_restart_counts_from_its_own_start(tmp_path: Path) -> None:
    dead = Figures("n0", str(tmp_path), pid=DEAD)
    dead.write(dead.total(own(success=10)), 0)
    new = Figures("n0", str(tmp_path), pid=DEAD - 1)
    assert new.total(own(success=2))["replies"]["look"]["success"] == 2


def test_a_broken_or_foreign_file_is_not_counted(tmp_path: Path) -> None:
    (tmp_path / f"hazelhollow-n0-figures-{os.getpid()}.json").write_bytes(b'{"format": "other", "version": 1}')
    new = Figures("n0", str(tmp_path), pid=DEAD - 1)
    assert new.total(own(success=2))["replies"]["look"]["success"] == 2


def test_a_process_that_seems_alive_is_not_counted_twice(tmp_path: Path) -> None:
    """The first of three has ended but is not reaped yet, so it seems to run: the second holds its figures already."""
    first = Figures("n0", str(tmp_path), pid=os.getppid())  # alive, as an unreaped process seems
    first.write(first.total(own(success=10)), 0)
    second = Figures("n0", str(tmp_path), pid=os.getpid())
    second.write(second.total(own(success=5)), 0)
    third = Figures("n0", str(tmp_path), pid=DEAD - 2)
    assert third.total(own(success=1))["replies"]["look"]["success"] == 16


def test_a_process_that_has_ended_unreaped_is_not_alive() -> None:
    import subprocess
    import sys

    child = subprocess.Popen([sys.executable, "-c", "pass"], stdout=subprocess.PIPE)
    assert child.stdout is not None
    child.stdout.read()  # its end: the system closes what it held as it exits
    for _ in range(100_000):
        if (Path(f"/proc/{child.pid}/stat").read_text().rsplit(")", 1)[1].split()[0]) == "Z":
            break
        os.sched_yield()
    assert not alive(child.pid)
    child.wait()
