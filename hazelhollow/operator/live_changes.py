"""Which changes of an operator file a running limiter takes, and which need a restart."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from hazelhollow.operator.load import flatten
from hazelhollow.operator.settings import OperatorSettings

# Paths that a running limiter takes, with all below them.
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
    """Paths that differ between two files."""

    live: list[str]  # that a running limiter takes
    restart: list[str]  # that need a restart


def changes(old: OperatorSettings, new: OperatorSettings) -> Changes:
    """Compares two files. A subsystem that comes or goes needs a restart as a whole."""
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
    """The new values where a running limiter takes them, the old ones elsewhere."""
    value, fresh = msgspec.to_builtins(old), msgspec.to_builtins(new)
    for path in LIVE:
        old_part, new_part, (*groups, name) = value, fresh, path.split(".")
        for group in groups:
            old_part, new_part = old_part and old_part[group], new_part and new_part[group]
        if old_part and new_part:
            old_part[name] = new_part[name]
    return msgspec.convert(value, OperatorSettings)
