"""The format of a snapshot: what a limiter knew, for the case that all limiters end at once.

A file is a checksum and a document with a format and version. Fields are stored by position, not by
name: they may be renamed, and new ones with a default may be added at the end, but none may move.
`snapshot_file` reads and writes the file, `restore` says what its figures are worth.
"""

from __future__ import annotations

from zlib import crc32

import msgspec

from hazelhollow.replication.errors import (
    DamagedSnapshotError,
    ForeignSnapshotError,
    StaleSnapshotError,
)
from hazelhollow.replication.overrides import Override

FORMAT = "hazelhollow-replica"
VERSION = 1
MAX_AGE_S = 3600.0  # an older one says nothing of what is left now
MAX_CUSTOMERS = 5000  # those with the least left
CHECKSUM_BYTES = 4


class SavedAccount(msgspec.Struct, frozen=True, array_like=True):
    """A customer, and the units left of its burst; below 0, so many are a debt."""

    customer: str
    plan_name: str
    set_start: int
    set_size: int
    level: float


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """What one member knew at `taken_at`, in Unix seconds.

    `is_final`: written at an orderly end, after which this member admitted nothing.
    """

    format: str
    version: int
    taken_at: float
    member: int
    accounts: list[SavedAccount]
    overrides: list[Override]
    is_final: bool = False


def encode(snapshot: Snapshot) -> bytes:
    """The bytes of the file."""
    body = msgspec.msgpack.encode(snapshot)
    return crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def decode(data: bytes, member: int, now: float) -> Snapshot:
    """The snapshot that `member` may use at `now`. Raises SnapshotError where it must not."""
    checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    if len(checksum) < CHECKSUM_BYTES or crc32(body).to_bytes(CHECKSUM_BYTES, "big") != checksum:
        raise DamagedSnapshotError("is spoilt: its checksum does not match")
    try:
        snapshot: Snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        raise DamagedSnapshotError(f"is of another form: {error}") from None
    if (snapshot.format, snapshot.version) != (FORMAT, VERSION):
        raise ForeignSnapshotError(
            f"is {snapshot.format} version {snapshot.version}; this one reads {FORMAT} version"
            f" {VERSION}"
        )
    if snapshot.member != member:
        raise ForeignSnapshotError(f"is member {snapshot.member}'s")
    if now - snapshot.taken_at > MAX_AGE_S:
        raise StaleSnapshotError(f"is {now - snapshot.taken_at:.0f} s old")
    return snapshot
