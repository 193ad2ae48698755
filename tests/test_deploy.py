"""Tests of the deploy file: its run command, and that nothing is specific to one deployment."""

from __future__ import annotations

import signal
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest

from tests.net.test_net_parts import GOOD

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
# Names used by the two organisations that run the program and by the one that the operators add.
# The names of the sites in deploy/sites are read from their files.
NAMES = {
    "espoo-main",
    "order-place",
    "schedule-read",
    "stock-check",
    "pieni",
    "perus",
    "laaja",
    "kumppani",
    "hall-a",
    "api-fleet",
    "zaventem-main",
    "ticket-lookup",
    "groot",
    "machelen-room",
    "booking-servers",
    "hcm-lookup",
    "lookup-fleet",
}


def names_of_sites() -> Iterator[str]:
    """Yields the names of sites, zones, tiers, grades, classes and tenants.

    Except for sites and zones, only names with a hyphen are used, since others are common words.
    """
    for path in (ROOT / "deploy" / "sites").glob("*.toml"):
        site = tomllib.loads(path.read_text())
        yield site["name"]
        yield from site["net"]["zones"]
        for part in ("tier", "grade", "class", "tenant"):
            yield from (one["name"] for one in site.get(part, []) if "-" in one["name"])


def test_program_and_deploy_file_contain_no_name_of_a_deployment() -> None:
    sources = [
        ROOT / "deploy" / "balancer.toml",
        *(ROOT / "hazelhollow").glob("*.py"),
        *(ROOT / "hazelhollow" / "decisions").rglob("*.py"),
        *(ROOT / "hazelhollow" / "simulator").rglob("*.py"),
        *(ROOT / "hazelhollow" / "net").rglob("*.py"),
    ]
    assert len(sources) > 25
    names = NAMES | set(names_of_sites())
    assert {"tram-tickets", "clinic-desk", "depot-north"} <= names
    found = [(path.name, name) for path in sources for name in names if name in path.read_text()]
    assert not found


def status(pid: int) -> dict[str, str]:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return {name: value.strip() for name, _, value in (line.partition(":") for line in lines)}


@pytest.mark.skipif(not Path("/proc/self/status").exists(), reason="needs /proc")
def test_run_command_becomes_one_limiter_process_that_survives_sighup(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps({**GOOD, "listen": "127.0.0.1:0"}))
    assert ".venv/bin/python" in DEPLOY["run"]
    command = DEPLOY["run"].replace(".venv/bin/python", sys.executable)
    environment = {"RELAY_CONFIG": str(path), "TMPDIR": str(tmp_path), "PATH": "/usr/bin:/bin"}
    with subprocess.Popen(
        ["/bin/sh", "-c", command], cwd=ROOT, env=environment, text=True, stderr=subprocess.PIPE
    ) as program:
        assert program.stderr
        assert any("listens at" in line for line in program.stderr)
        # The shell has been replaced by the limiter.
        assert "serve" in Path(f"/proc/{program.pid}/cmdline").read_text().split("\0")
        assert status(program.pid)["Threads"] == "1"
        assert not Path(f"/proc/{program.pid}/task/{program.pid}/children").read_text().split()
        program.send_signal(signal.SIGHUP)
        assert any("reloaded" in line for line in program.stderr)
        program.send_signal(signal.SIGTERM)
        assert program.wait(30) == 0


def test_run_command_ignores_sighup_until_the_limiter_handles_it(tmp_path: Path) -> None:
    """The run command must start the program with SIGHUP ignored, since a SIGHUP that arrives
    before the limiter handles it would end the process. Here the command starts a program that
    prints its ignored signals.
    """
    probe_command = DEPLOY["run"].partition("exec ")[0] + "exec cat /proc/self/status"
    output = subprocess.run(
        ["/bin/sh", "-c", probe_command], text=True, capture_output=True, timeout=30
    ).stdout
    ignored = int(
        next(line for line in output.splitlines() if line.startswith("SigIgn")).split()[1], 16
    )
    assert ignored >> (signal.SIGHUP - 1) & 1 and not ignored >> (signal.SIGTERM - 1) & 1
