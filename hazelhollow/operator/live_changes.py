"""Determines which changes of an operator file apply at run time, and which need a restart."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from hazelhollow.operator.load import flatten
from hazelhollow.operator.settings import OperatorSettings

# Paths whose changes a running limiter applies, including all paths below them.
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


class Changes(NamedTuple):
    """The paths whose values differ between two files."""

    live: list[str]  # paths that a running limiter applies
    restart: list[str]  # paths that need a restart


def changes(old: OperatorSettings, new: OperatorSettings) -> Changes:
    """Compares two files. Switching a subsystem on or off needs a restart.

    In that case only the changes of `log` apply at run time, and `restart` names the subsystems.
    """
    before, after = flatten(msgspec.to_builtins(old)), flatten(msgspec.to_builtins(new))
    paths = sorted(path for path in {*before, *after} if before.get(path) != after.get(path))
    switched = [
        name
        for name in ("store", "fleet")
        if (getattr(old, name) is None) != (getattr(new, name) is None)
    ]
    if switched:
        return Changes([path for path in paths if path.startswith("log.")], switched)
    return Changes(
        [path for path in paths if _is_live(path)], [path for path in paths if not _is_live(path)]
    )


def _is_live(path: str) -> bool:
    return any(path == name or path.startswith(name + ".") for name in LIVE)


def merged(old: OperatorSettings, new: OperatorSettings) -> OperatorSettings:
    """Returns the new values for paths that a running limiter applies, else the old ones."""
    result, changed = msgspec.to_builtins(old), msgspec.to_builtins(new)
    for path in LIVE:
        old_part, new_part, (*groups, name) = result, changed, path.split(".")
        for group in groups:
            old_part, new_part = old_part and old_part[group], new_part and new_part[group]
        if old_part and new_part:
            old_part[name] = new_part[name]
    return msgspec.convert(result, OperatorSettings)
