"""An operator file to records, and what of a changed one can be taken while the limiter serves."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec

from hazelhollow.operator import records
from hazelhollow.operator.evaluate import Value, evaluate_placed
from hazelhollow.operator.syntax import CueError, Place, Struct, Trouble, parse

SCHEMA = Path(__file__).parent / "schema.cue"
SECRETS = frozenset({"password", "secret"})  # labels; files that hold secrets are named, not shown
LIVE = frozenset(
    {
        "log.level",
        "log.format",
        "store.call_timeout",
        "store.connect_timeout",
        "store.retry_least",
        "store.retry_most",
        "fleet.audit.order",
        "store.address",
        "store.username",
        "store.password_file",
        "store.tls",
        "store.database",
    }
)
_DURATION = re.compile(r"([0-9]+)(ms|s|m|h)")
_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_TIMES = {
    *("store." + name for name in ("call_timeout", "connect_timeout", "retry_least", "retry_most")),
    "store.lease.term",
    "store.lease.ahead",
    "store.presence.every",
    "store.presence.term",
}


def seconds(text: str) -> float:
    """`250ms` to 0.25. The schema has checked the form."""
    match = _DURATION.fullmatch(text)
    if not match:
        raise ValueError(f"{text!r} is no duration")
    return int(match[1]) * _UNITS[match[2]]


def schema() -> Struct:
    return parse(SCHEMA.read_bytes(), "schema.cue")


def effective(data: bytes, file: str) -> dict[str, Any]:
    """The file's values with all defaults, in the file's own words.

    Raises `CueError` with all that is wrong.
    """
    value, places = evaluate_placed(parse(data, file), schema(), "#Operator")
    assert isinstance(value, dict)
    troubles = _across(value, places)
    if troubles:
        raise CueError(troubles)
    return value


def text_of(path: str) -> bytes:
    """The file's bytes. Raises `CueError` where there are none to be had."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise CueError([Trouble(Place(path, 1, 1), "", error.strerror or str(error))]) from None


def load(path: str) -> records.Operator:
    """The records.

    Raises `CueError` with every trouble of the file, or with the one that keeps it from being read.
    """
    return read(text_of(path), path)


def read(data: bytes, file: str) -> records.Operator:
    """As `load`, of text that is at hand."""
    return msgspec.convert(_typed(effective(data, file), ""), records.Operator)


def _typed(value: Value, path: str) -> Any:
    if isinstance(value, dict):
        return {k: _typed(v, f"{path}.{k}" if path else k) for k, v in value.items()}
    if path in _TIMES:
        return seconds(str(value))
    if path == "store.address":
        return _address(str(value))
    if path == "fleet.seeds" and isinstance(value, list):
        return [_address(str(seed)) for seed in value]
    return value


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _across(value: dict[str, Any], places: dict[str, Place]) -> list[Trouble]:
    """What no field shows by itself."""
    store, found = value.get("store"), list[tuple[str, str, str]]()
    for seed in (value.get("fleet") or {}).get("seeds", []):
        if not 0 < _address(seed)[1] < 65536:
            found.append(("fleet.seeds", seed, "ports 1 to 65535"))
    if store:
        lease, presence = store["lease"], store["presence"]
        port = int(store["address"].rpartition(":")[2])
        found += [("store.address", f"port {port}", "1 to 65535")] if not 0 < port < 65536 else []
        for path, text in sorted(_flat(value).items()):
            if path in _TIMES and seconds(str(text)) <= 0:
                found.append((path, str(text), "more than nothing"))
        if not found and seconds(lease["term"]) < 4 * seconds(store["call_timeout"]):
            found.append(
                ("store.lease.term", lease["term"], "at least four times store.call_timeout")
            )
        if not found and seconds(presence["term"]) < 2 * seconds(presence["every"]):
            found.append(
                ("store.presence.term", presence["term"], "at least twice store.presence.every")
            )
        if seconds(store["retry_most"]) < seconds(store["retry_least"]):
            found.append(("store.retry_most", store["retry_most"], "at least store.retry_least"))
    return [
        Trouble(places[path], path, f"{text} is not allowed here", allowed)
        for path, text, allowed in found
    ]


def _flat(value: Any, path: str = "") -> dict[str, Any]:
    if not isinstance(value, dict):
        return {path: value}
    return {
        k: v
        for name, part in value.items()
        for k, v in _flat(part, f"{path}.{name}" if path else name).items()
    }


def changes(old: records.Operator, new: records.Operator) -> tuple[list[str], list[str]]:
    """The paths that differ: those that a running limiter takes, and those that need a restart."""
    before, after = _flat(msgspec.to_builtins(old)), _flat(msgspec.to_builtins(new))
    differ = sorted(path for path in {*before, *after} if before.get(path) != after.get(path))
    come_or_gone = [
        name
        for name in ("store", "fleet")
        if (getattr(old, name) is None) != (getattr(new, name) is None)
    ]
    if come_or_gone:
        return [p for p in differ if p.startswith("log.")], come_or_gone

    def live(path: str) -> bool:
        return any(path == name or path.startswith(name + ".") for name in LIVE)

    return [p for p in differ if live(p)], [p for p in differ if not live(p)]


def merged(old: records.Operator, new: records.Operator) -> records.Operator:
    """The new values where they can be taken live, the old ones elsewhere."""
    value, fresh = msgspec.to_builtins(old), msgspec.to_builtins(new)
    for path in LIVE:
        old_part, new_part, (*groups, name) = value, fresh, path.split(".")
        for group in groups:
            old_part, new_part = old_part and old_part[group], new_part and new_part[group]
        if old_part and new_part:
            old_part[name] = new_part[name]
    return msgspec.convert(value, records.Operator)
