"""Audit entries for tests."""

from __future__ import annotations

from typing import Any

from hazelhollow.configuration import versions
from hazelhollow.configuration.audit.entries import AuditEntry, EntryKind
from hazelhollow.configuration.versions import Versions

OLD = Versions("i", "abc", 1, "aaaa")
NEW = Versions("i", "abc", 2, "bbbb")
OTHER = Versions("i", "abc", 2, "cccc")  # other settings under the revision of NEW


def entry(
    time: float,
    member: int = 0,
    serial: int = 1,
    kind: str = "settings",
    version: str = "aaaa",
    **fields: Any,
) -> AuditEntry:
    incarnation = fields.pop("incarnation", 1)
    return AuditEntry(time, member, incarnation, serial, EntryKind(kind), version, **fields)


def peer_seen(
    time: float, member: int, serial: int, peer: int, peer_versions: Versions
) -> AuditEntry:
    """An entry of a member that observes for the first time that a peer acts on these versions."""
    return entry(time, member, serial, "heard", versions.encode(peer_versions), peer=peer)


def late_adoption(skew: float, lag: float) -> list[AuditEntry]:
    """Entries of two members, of which the second adopts revision 2 late.

    Member 0 adopts it at second 10. Member 1, whose clock is `skew` ahead, observes this 0.2 s
    later and adopts it after `lag`.
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
