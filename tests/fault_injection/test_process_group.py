"""Fleets of real processes: the supervisor, its commands, and the end of all processes."""

from __future__ import annotations

import json
import os
import select
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from hazelhollow.fault_injection import plan, process_sweeper, supervisor
from hazelhollow.fault_injection.errors import CommandError


def test_command_whose_library_is_missing_names_it(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A command needs an optional library that is not installed: it exits with status 2 and names
    the library, whatever arguments follow.
    """
    from hazelhollow.cli import _command_without_library

    with pytest.raises(SystemExit) as ended:
        _command_without_library("fleet", "msgspec").main(["up", "--instances", "3"])
    assert ended.value.code == 2 and "'fleet' needs msgspec" in capsys.readouterr().err


def alive(pid: int) -> bool:
    return (
        process_sweeper.start_time(pid) != ""
        and Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    )


@pytest.fixture
def start_fleet() -> Any:
    """A function that starts fleets; they are killed after the test, even if it fails."""
    started: list[subprocess.Popen[bytes]] = []

    def start(folder: Path) -> subprocess.Popen[bytes]:
        started.append(start_ready_fleet(folder))
        return started[-1]

    yield start
    for process in started:
        process.kill()
        process.wait()


def start_ready_fleet(folder: Path) -> subprocess.Popen[bytes]:
    command = [
        sys.executable,
        "-m",
        "hazelhollow",
        "fleet",
        "up",
        "--instances",
        "2",
        "--hosts",
        "1",
        "--state",
        str(folder),
    ]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    assert process.stdout
    assert process.stdout.readline().startswith(
        b"ready n0"
    ) and process.stdout.readline().startswith(b"ready n1")
    return process


def wait_until(condition: Callable[[], bool], supervisor_process: subprocess.Popen[bytes]) -> None:
    """Waits for a condition, for 30 s or more, so that only a real failure ends the wait."""
    timer = select.poll()  # without descriptors, so that poll() only waits
    for _ in range(3000):
        if condition():
            return
        timer.poll(10)
        supervisor_process.poll()
    raise AssertionError("the condition was not met within 3000 checks, 10 ms apart")


def test_commands_inject_faults_and_down_leaves_nothing(
    tmp_path: Path, start_fleet: Callable[[Path], subprocess.Popen[bytes]]
) -> None:
    """An operator cuts a link, and kills and restarts a limiter by commands. After `down` no
    process and no state folder remain.
    """
    folder = tmp_path / "fleet"
    process = start_fleet(folder)
    pids = [int(line.split()[0]) for line in (folder / "pids").read_text().splitlines()]
    assert len(pids) == 3 and all(alive(pid) for pid in pids)

    def views() -> list[dict[str, str]]:
        found = supervisor.command(folder, do="status")["processes"]
        return [
            {n: entry["state"] for n, entry in row["view"].items()}
            for row in found
            if "view" in row
        ]

    wait_until(lambda: views() == [{"0": "alive", "1": "alive"}] * 2, process)
    with pytest.raises(CommandError, match="no process 'n7'"):
        supervisor.command(folder, do="kill", name="n7")
    supervisor.command(folder, do="cut", a="n0", b="n1", one_way=True)
    status = supervisor.command(folder, do="status")
    assert [(link["from"], link["to"]) for link in status["links"]] == [("n0", "n1")]
    supervisor.command(folder, do="kill", name="n1")

    def states() -> dict[str, str]:
        return {
            row["name"]: row["state"]
            for row in supervisor.command(folder, do="status")["processes"]
        }

    wait_until(lambda: states()["n1"] == "ended", process)
    supervisor.command(folder, do="start", name="n1")
    supervisor.command(folder, do="heal")
    assert supervisor.command(folder, do="status")["links"] == [] and states()["n1"] == "running"
    supervisor.command(folder, do="down")
    assert process.wait() == 0
    assert not any(alive(pid) for pid in pids) and not folder.exists()


def test_command_with_a_wrong_token_is_refused(
    tmp_path: Path, start_fleet: Callable[[Path], subprocess.Popen[bytes]]
) -> None:
    """A state file with a forged token, or a missing one, must not end another user's fleet."""
    folder, other = tmp_path / "fleet", tmp_path / "other"
    process = start_fleet(folder)
    state = json.loads((folder / supervisor.FILE).read_text())
    other.mkdir()
    (other / supervisor.FILE).write_text(json.dumps(state | {"token": "0" * 32}))
    with pytest.raises(CommandError, match="not the token"):
        supervisor.command(other, do="down")
    with pytest.raises(CommandError, match="no fleet is up"):
        supervisor.command(tmp_path, do="down")
    process.send_signal(signal.SIGTERM)
    assert process.wait() == 0 and not folder.exists()


def find_sweeper(folder: Path) -> int:
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            command = path.read_bytes().split(b"\0")
        except OSError:
            continue
        if (
            b"hazelhollow.fault_injection.process_sweeper" in command
            and str(folder).encode() in command
        ):
            return int(path.parent.name)
    raise AssertionError(f"no process sweeper of {folder} is running")


@pytest.mark.parametrize("kill_sweeper", [False, True])
def test_no_process_outlives_a_killed_supervisor(
    tmp_path: Path, kill_sweeper: bool, start_fleet: Callable[[Path], subprocess.Popen[bytes]]
) -> None:
    """The supervisor is killed, and in the second case also its process sweeper, while a limiter is
    paused. All processes must still end.
    """
    folder = tmp_path / "fleet"
    process = start_fleet(folder)
    pids = [int(line.split()[0]) for line in (folder / "pids").read_text().splitlines()]
    os.kill(pids[1], signal.SIGSTOP)  # a paused process must end too
    if kill_sweeper:
        os.kill(find_sweeper(folder), signal.SIGKILL)
    process.kill()
    process.wait()
    wait_until(
        lambda: not any(alive(pid) for pid in pids) and folder.exists() == kill_sweeper, process
    )


def test_sweeper_spares_a_process_that_reuses_a_listed_pid(
    tmp_path: Path,
) -> None:
    """A listed process ended, and its PID was assigned to another. The sweeper distinguishes them
    by their start times and kills only processes that are listed, even if a line is incomplete.
    """
    both = [
        subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE) for _ in range(2)
    ]
    lines = [
        f"{both[0].pid} {process_sweeper.start_time(both[0].pid)}",
        f"{both[1].pid} 12345",
        "half a li",
        "",
    ]
    (tmp_path / "pids").write_text("\n".join(lines))
    assert process_sweeper.sweep(tmp_path) == [both[0].pid]
    assert both[0].wait() == -signal.SIGKILL and both[1].poll() is None
    both[1].kill()
    both[1].wait()


def test_run_with_a_partition_and_a_kill_violates_no_guarantee(tmp_path: Path) -> None:
    """One limiter is partitioned and another killed under load. No request may be lost, answered
    twice or repeated although that is not allowed, and no ceiling may be exceeded.
    """
    source, out = tmp_path / "plan.json", tmp_path / "out.json"
    events = (
        plan.Event(at=1.0, what="cut", whom=("n0",), lasts=3.0),
        plan.Event(at=2.0, what="kill", whom=("n1",), lasts=0.3),
    )
    source.write_bytes(plan.write(plan.Plan(name="cut", instances=3, seconds=6.0, events=events)))
    command = [
        sys.executable,
        "-m",
        "hazelhollow",
        "fleet",
        "drill",
        str(source),
        "--json",
        str(out),
    ]
    assert subprocess.run(command, capture_output=True).returncode == 0
    figures = json.loads(out.read_text())
    assert (
        figures["requests"] > 300
        and figures["accepted"] > 100
        and (figures["cuts"], figures["kills"]) == (1, 1)
    )
    assert {
        key: figures[key]
        for key in ("lost", "doubled", "untrue_answers", "repeats_not_allowed", "ceilings_passed")
    } == dict.fromkeys(
        ("lost", "doubled", "untrue_answers", "repeats_not_allowed", "ceilings_passed"), 0
    )
    assert plan.read(json.dumps(figures["plan"])).events == events
