"""Audit entries for tests."""

from __future__ import annotations

from typing import Any

from hazelhollow.configuration import versions
from hazelhollow.configuration.audit.entries import AuditEntry, EntryKind
from hazelhollow.configuration.versions import Versions

OLD = Versions("i", "abc", 1, "aaaa")
NEW = Versions("i", "abc", 2, "bbbb")
OTHER = Versions("i", "abc", 2, "cccc")  # under the revision of the new ones


def entry(
    time: float,
    member: int = 0,
    serial: int = 1,
    kind: str = "settings",
    version: str = "aaaa",
    **more: Any,
) -> AuditEntry:
    incarnation = more.pop("incarnation", 1)
    return AuditEntry(time, member, incarnation, serial, EntryKind(kind), version, **more)


def peer_seen(
    time: float, member: int, serial: int, peer: int, peer_versions: Versions
) -> AuditEntry:
    """A member heard for the first time that a peer acts on these."""
    return entry(time, member, serial, "heard", versions.encode(peer_versions), peer=peer)


def late_adoption(skew: float, lag: float) -> list[AuditEntry]:
    """Member 0 takes revision 2 at second 10.

    Member 1, whose clock is `skew` ahead, hears of it 0.2 s later and takes it after `lag`.
    """
    return [
        entry(1.0, 0, 1, revision=1),
        entry(10.0, 0, 2, version="bbbb", revision=2),
        entry(30.0, 0, 3, "second", "bbbb", revision=2, counts={"requests": 5}),
        entry(1.0 + skew, 1, 1, revision=1),
        peer_seen(10.2 + skew, 1, 2, 0, NEW),
        entry(10.1 + skew + lag, 1, 3, "second", "aaaa", revision=1, counts={"requests": 9}),
        entry(10.2 + skew + lag, 1, 4, version="bbbb", revision=2),
        entry(30.0 + skew, 1, 5, "second", "bbbb", revision=2),
    ]
