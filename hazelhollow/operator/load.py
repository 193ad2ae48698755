"""Reads an operator file in steps: text, syntax tree, values, typed settings.

Each step raises `CueError`, which has the place in the file and the reason.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from hazelhollow.operator.errors import CueError, Place, Problem
from hazelhollow.operator.evaluate import Value, evaluate_placed
from hazelhollow.operator.parser import parse
from hazelhollow.operator.settings import OperatorSettings
from hazelhollow.operator.syntax_tree import Struct

SCHEMA = Path(__file__).parent / "schema.cue"
# Labels whose values are hidden. Paths of files that contain secrets are not hidden.
SECRETS = frozenset({"password", "secret"})
_DURATION = re.compile(r"([0-9]+)(ms|s|m|h)")
PORT_COUNT = 65536
MIN_CALL_TIMEOUTS_PER_TERM = 4  # minimum lease term, in call timeouts
MIN_HEARTBEATS_PER_TERM = 2  # minimum term of a heartbeat, in heartbeat intervals
_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_DURATION_PATHS = {
    *("store." + name for name in ("call_timeout", "connect_timeout", "retry_least", "retry_most")),
    "store.lease.term",
    "store.lease.ahead",
    "store.presence.every",
    "store.presence.term",
}


def seconds(text: str) -> float:
    """Parses a duration such as `250ms` into seconds.

    Raises:
        ValueError: The text is not a duration.
    """
    match = _DURATION.fullmatch(text)
    if not match:
        raise ValueError(f"{text!r} is not a duration: a number followed by ms, s, m or h")
    return int(match[1]) * _UNITS[match[2]]


def schema() -> Struct:
    """Returns the syntax tree of `schema.cue`."""
    return parse(SCHEMA.read_bytes(), "schema.cue")


def effective(data: bytes, file: str) -> dict[str, Any]:
    """Returns the file's values with all defaults, in the file's notation (durations are strings).

    Raises:
        CueError: The file has problems; the error has all of them.
    """
    value, places = evaluate_placed(parse(data, file), schema(), "#Operator")
    assert isinstance(value, dict)
    problems = _problems_across_fields(value, places)
    if problems:
        raise CueError(problems)
    return value


def read_bytes_of(path: str) -> bytes:
    """Returns the file's bytes.

    Raises:
        CueError: The file cannot be read.
    """
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise CueError([Problem(Place(path, 1, 1), "", error.strerror or str(error))]) from None


def load(path: str) -> OperatorSettings:
    """Returns the typed settings of the file at that path.

    Raises:
        CueError: The file cannot be read or has problems; the error has all of them.
    """
    return read(read_bytes_of(path), path)


def read(data: bytes, file: str) -> OperatorSettings:
    """Returns the typed settings of a file's bytes; `file` is its name in messages."""
    return msgspec.convert(_typed(effective(data, file), ""), OperatorSettings)


def _typed(value: Value, path: str) -> Any:
    if isinstance(value, dict):
        return {k: _typed(v, f"{path}.{k}" if path else k) for k, v in value.items()}
    if path in _DURATION_PATHS:
        return seconds(str(value))
    if path == "store.address":
        return _address(str(value))
    if path == "fleet.seeds" and isinstance(value, list):
        return [_address(str(seed)) for seed in value]
    return value


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class _Finding(NamedTuple):
    """A value that the schema allows but a check in this module rejects."""

    path: str
    found: str
    allowed: str


def _problems_across_fields(value: dict[str, Any], places: dict[str, Place]) -> list[Problem]:
    findings = _seed_findings(value.get("fleet") or {})
    if value.get("store"):
        findings = _store_findings(value, value["store"], findings)
    return [
        Problem(places[path], path, f"{found} is not allowed here", allowed)
        for path, found, allowed in findings
    ]


def _seed_findings(fleet: dict[str, Any]) -> list[_Finding]:
    return [
        _Finding("fleet.seeds", seed, "ports 1 to 65535")
        for seed in fleet.get("seeds", [])
        if not 0 < _address(seed)[1] < PORT_COUNT
    ]


def _store_findings(
    value: dict[str, Any], store: dict[str, Any], earlier: list[_Finding]
) -> list[_Finding]:
    """Returns the earlier findings and those of the store.

    The terms of leases and heartbeats are checked only if there are no findings before them.
    """
    lease, presence, findings = store["lease"], store["presence"], list(earlier)
    port = int(store["address"].rpartition(":")[2])
    if not 0 < port < PORT_COUNT:
        findings.append(_Finding("store.address", f"port {port}", "1 to 65535"))
    for path, text in sorted(flatten(value).items()):
        if path in _DURATION_PATHS and seconds(str(text)) <= 0:
            findings.append(_Finding(path, str(text), "greater than 0"))
    if not findings and seconds(lease["term"]) < MIN_CALL_TIMEOUTS_PER_TERM * seconds(
        store["call_timeout"]
    ):
        allowed = "at least four times store.call_timeout"
        findings.append(_Finding("store.lease.term", lease["term"], allowed))
    if not findings and seconds(presence["term"]) < MIN_HEARTBEATS_PER_TERM * seconds(
        presence["every"]
    ):
        allowed = "at least twice store.presence.every"
        findings.append(_Finding("store.presence.term", presence["term"], allowed))
    if seconds(store["retry_most"]) < seconds(store["retry_least"]):
        allowed = "at least store.retry_least"
        findings.append(_Finding("store.retry_most", store["retry_most"], allowed))
    return findings


def flatten(value: Any, path: str = "") -> dict[str, Any]:
    """Returns the leaves of nested values by their dotted paths."""
    if not isinstance(value, dict):
        return {path: value}
    return {
        leaf_path: leaf
        for name, part in value.items()
        for leaf_path, leaf in flatten(part, f"{path}.{name}" if path else name).items()
    }
