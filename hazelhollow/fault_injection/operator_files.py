"""Operator files for the limiters of a run, by the features that they enable."""

from __future__ import annotations

from pathlib import Path

from hazelhollow.fault_injection.loopback_cluster import OperatorFile

CONTROL_BYTES_PER_S = 4000.0  # budget of a limiter's control traffic, including headers


def logging_file(_name: str, _home: Path) -> str:
    """Enables only log lines for a console."""
    return 'package operator\nlog: format: "console"\n'


def view_file(name: str, home: Path) -> str:
    """Adds membership, with its history in the file that the checker reads."""
    return logging_file(name, home) + f'fleet: view_file: "{home.parent / name}.view.jsonl"\n'


def replica_file(name: str, home: Path) -> str:
    """Adds replication to `view_file`."""
    return view_file(name, home) + "fleet: replicate: {}\n"


def disk_file(name: str, home: Path) -> str:
    """Adds to `replica_file` a state folder that outlives the process."""
    return view_file(name, home) + f'fleet: replicate: state_dir: "{home}"\n'


def audit_file(name: str, home: Path) -> str:
    """Adds the audit record to `disk_file`."""
    return disk_file(name, home) + f'fleet: audit: state_dir: "{home}"\n'


def control_file(name: str, home: Path, bytes_per_s: float = CONTROL_BYTES_PER_S) -> str:
    """Adds the control budget, in bytes a second, to `audit_file`."""
    return audit_file(name, home) + f"fleet: control: bytes_per_s: {bytes_per_s:g}\n"


# By the value of `--with`.
OPERATOR_FILES: dict[str, OperatorFile | None] = {
    "nothing": None,
    "view": view_file,
    "replica": replica_file,
    "disk": disk_file,
    "audit": audit_file,
    "control": control_file,
}
