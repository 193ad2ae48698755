"""What a limiter knew, on disk, so that all killed at once is not a new burst for everybody.

A file is a checksum and a document of a format and version. It is written whole beside the old one
and put in its place; what is spoilt, of another version or too old is set aside under another name
and said, never trusted, never fatal.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path
from zlib import crc32

import msgspec

from hazelhollow.replication.codec import Override
from hazelhollow.storage.writer import DirectWriter, WriteJob, Writer

FORMAT, VERSION = "hazelhollow-replica", 1
OLDEST = 3600.0  # seconds: older than that nothing in it says anything
MOST = 5000  # customers, those with the least left
CHECK = 4  # bytes of the checksum

log = logging.getLogger(__name__)


class SavedAccount(msgspec.Struct, frozen=True, array_like=True):
    """A customer.

    Units left of the burst when the snapshot was made; below nothing, so many are to be paid back.
    """

    key: str
    plan: str
    first: int
    spread: int
    level: float


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """`at`: Unix seconds.

    `final`: written at an orderly end, after which this member has let nothing in.
    """

    format: str
    version: int
    at: float
    member: int
    customers: list[SavedAccount]
    hands: list[tuple[str, int, int, int, int]]
    final: bool = False

    def calls(self) -> list[Override]:
        return [Override(*one) for one in self.hands]


def least_left(level: float, rate: float, burst: float, kept: Snapshot, now: float) -> float:
    """Units that are left at `now` for certain, of a customer that `kept` says had `level`.

    When the member died is not known, nor how long it had waited for its processor before, while
    others let in. So after a kill all that was left, and all that has come in since, may have been
    used; what was owed is paid back by what came in.
    """
    came_in = rate * max(0.0, now - kept.at)
    return min(level + came_in, burst if kept.final else 0.0)


class SnapshotError(Exception):
    """Why a file cannot be used."""


def write(snapshot: Snapshot) -> bytes:
    body = msgspec.msgpack.encode(snapshot)
    return crc32(body).to_bytes(CHECK, "big") + body


def read(data: bytes, member: int, now: float) -> Snapshot:
    """Raises SnapshotError for what cannot be used."""
    check, body = data[:CHECK], data[CHECK:]
    if len(check) < CHECK or crc32(body).to_bytes(CHECK, "big") != check:
        raise SnapshotError("is spoilt: its checksum does not match")
    try:
        one: Snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"is of another form: {error}") from None
    if (one.format, one.version) != (FORMAT, VERSION):
        raise SnapshotError(
            f"is {one.format} version {one.version}; this one reads {FORMAT} version {VERSION}"
        )
    if one.member != member:
        raise SnapshotError(f"is member {one.member}'s")
    if now - one.at > OLDEST:
        raise SnapshotError(f"is {now - one.at:.0f} s old")
    return one


class SnapshotFile:
    """One limiter's snapshot in a folder that outlives it.

    It is written by `writer`; on a slow disk the newest alone waits.
    """

    def __init__(self, folder: Path, member: int, writer: Writer | None = None) -> None:
        self.path, self.member = folder / f"replica-{member}", member
        self._writer = writer or DirectWriter()
        self._said = False

    def load(self, now: float) -> Snapshot | None:
        """Nothing where there is none, or where it was set aside."""
        try:
            return read(self.path.read_bytes(), self.member, now)
        except FileNotFoundError:
            return None
        except (OSError, SnapshotError) as error:
            aside = self.path.with_name(self.path.name + ".bad")
            log.warning("snapshot %s %s; it is set aside as %s", self.path, error, aside.name)
            try:
                os.replace(self.path, aside)
            except OSError as trouble:
                log.warning("snapshot %s cannot be set aside: %s", self.path, trouble)
            return None

    def save(self, snapshot: Snapshot) -> None:
        """A disk that is full costs the snapshot and nothing else: the old one stays."""
        data = write(snapshot)
        self._writer.submit(WriteJob(lambda: self._put(data), len(data), self.path.name))

    def _put(self, data: bytes) -> None:
        part = self.path.with_name(f"{self.path.name}.{os.getpid()}.part")
        try:
            part.write_bytes(data)
            os.replace(part, self.path)
            self._said = False
        except OSError as error:
            if not self._said:
                log.error("snapshot %s cannot be written: %s", self.path, error)
            self._said = True
