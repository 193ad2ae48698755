"""The format of a snapshot, which preserves a limiter's state in case all limiters end at once.

A file is a checksum and a document with a format and version. Fields are stored by position, not by
name: they may be renamed, and new ones with a default may be added at the end, but none may move.
`snapshot_file` reads and writes the file, and `restore` derives the guaranteed levels from it.
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
MAX_AGE_S = 3600.0  # an older snapshot does not show what is left now
MAX_CUSTOMERS = 5000  # only the customers with the least left are saved
CHECKSUM_BYTES = 4


class SavedAccount(msgspec.Struct, frozen=True, array_like=True):
    """A customer's account; `level` is the units left of its burst, negative for a debt."""

    customer: str
    plan_name: str
    set_start: int
    set_size: int
    level: float


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state of one member at `taken_at`, in Unix seconds.

    `is_final` is set if it was written at an orderly shutdown, after which the member admitted
    nothing.
    """

    format: str
    version: int
    taken_at: float
    member: int
    accounts: list[SavedAccount]
    overrides: list[Override]
    is_final: bool = False


def encode(snapshot: Snapshot) -> bytes:
    """Returns the content of the file."""
    body = msgspec.msgpack.encode(snapshot)
    return crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def decode(data: bytes, member: int, now: float) -> Snapshot:
    """Returns the snapshot; raises SnapshotError if `member` must not use it at `now`."""
    checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    if len(checksum) < CHECKSUM_BYTES or crc32(body).to_bytes(CHECKSUM_BYTES, "big") != checksum:
        raise DamagedSnapshotError(f"is damaged: the checksum of its {len(data)} bytes is wrong")
    try:
        snapshot: Snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        raise DamagedSnapshotError(f"is not a valid document: {error}") from None
    if (snapshot.format, snapshot.version) != (FORMAT, VERSION):
        raise ForeignSnapshotError(
            f"is {snapshot.format} version {snapshot.version}; this limiter reads {FORMAT} version"
            f" {VERSION}"
        )
    if snapshot.member != member:
        raise ForeignSnapshotError(f"is of member {snapshot.member}, not of member {member}")
    if now - snapshot.taken_at > MAX_AGE_S:
        raise StaleSnapshotError(
            f"is {now - snapshot.taken_at:.0f} s old, more than {MAX_AGE_S:.0f} s"
        )
    return snapshot
