"""Writes to disk outside the event loop: in order, bounded, and awaited only up to a timeout."""

from __future__ import annotations

import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from hazelhollow.configuration.audit.entries import AuditEntry, EntryKind, decode_entries
from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.configuration.audit.segments import SegmentWriter
from hazelhollow.replication import snapshot
from hazelhollow.replication.snapshot_file import SnapshotFile
from hazelhollow.storage.append_file import AppendFile
from hazelhollow.storage.writer import BackgroundWriter, WriteJob

TIMEOUT_S = 30.0  # reached only if a test fails
NOW = 1000.0


class Disk:
    """A writer whose first job blocks until the test unblocks it, as on a disk that hangs."""

    def __init__(self, max_pending_bytes: int = 1000) -> None:
        self.writer = BackgroundWriter(max_pending_bytes)
        self.done: list[str] = []
        self._unblocked, reached = threading.Event(), threading.Event()

        def block() -> None:
            reached.set()
            self._unblocked.wait(TIMEOUT_S)

        self.writer.submit(WriteJob(block))
        assert reached.wait(TIMEOUT_S)

    def job(self, name: str, size: int = 1, replaces: str = "") -> WriteJob:
        return WriteJob(lambda: self.done.append(name), size, replaces)

    def unblock(self) -> None:
        self._unblocked.set()
        assert self.writer.finish(TIMEOUT_S)


@pytest.fixture
def disk() -> Any:
    hanging_disk = Disk()
    yield hanging_disk
    hanging_disk.unblock()


def test_jobs_are_done_in_order_and_submitting_does_not_block(disk: Disk) -> None:
    """While the disk hangs, submitting must return at once."""
    assert all(disk.writer.submit(disk.job(name)) for name in "abc")
    assert not disk.done and not disk.writer.finish(0.0)
    disk.unblock()
    assert disk.done == ["a", "b", "c"]


def test_newest_of_replacing_jobs_is_done_in_place_of_the_first(
    disk: Disk,
) -> None:
    for name, replaces in (("a1", "a"), ("b", ""), ("a2", "a"), ("c1", "c"), ("a3", "a")):
        disk.writer.submit(disk.job(name, replaces=replaces))
    disk.unblock()
    assert disk.done == ["a3", "b", "c1"]


def test_pending_bytes_are_bounded_and_drops_are_counted_and_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The disk hangs until the pending jobs reach the bound."""
    disk = Disk(max_pending_bytes=10)
    accepted = [disk.writer.submit(disk.job(name, 4)) for name in "abcd"]
    assert accepted == [True, True, False, False] and disk.writer.dropped == 2
    assert caplog.text.count("dropped a write of 4 bytes") == 1
    assert disk.writer.submit(disk.job("r", 2, "r"))
    # This job replaces the previous one, so the pending bytes stay the same.
    assert disk.writer.submit(disk.job("s", 2, "r"))
    disk.unblock()
    assert disk.done == ["a", "b", "s"]
    assert disk.writer.submit(disk.job("e", 10))


def test_a_job_that_raises_does_not_stop_the_writer(
    disk: Disk, caplog: pytest.LogCaptureFixture
) -> None:
    """An exception in a job must not end the writer's thread, or later jobs would be lost."""

    def fails() -> None:
        raise RuntimeError("raised by the test")

    disk.writer.submit(WriteJob(fails))
    disk.writer.submit(disk.job("after"))
    disk.unblock()
    assert disk.done == ["after"] and "raised by the test" in caplog.text


def saved(at: float) -> snapshot.Snapshot:
    return snapshot.Snapshot(snapshot.FORMAT, snapshot.VERSION, at, 2, [], [])


def test_only_the_newest_of_pending_snapshots_is_written(disk: Disk, tmp_path: Path) -> None:
    file = SnapshotFile(tmp_path, 2, disk.writer)
    for at in (NOW, NOW + 1.0, NOW + 2.0):
        file.save(saved(at))
    assert file.load(NOW) is None
    disk.unblock()
    assert file.load(NOW + 3.0) == saved(NOW + 2.0)


def entries(folder: Path) -> list[AuditEntry | str]:
    return [
        entry for path in sorted(folder.iterdir()) for entry in decode_entries(path.read_bytes())
    ]


@pytest.mark.parametrize("within", [0.0, 0.001])
def test_the_audit_record_is_written_once_the_disk_responds_again(
    disk: Disk, tmp_path: Path, within: float
) -> None:
    """The disk hangs while the record is written and closed; no entry may be lost."""
    record = AuditRecord(4, 1, SegmentWriter(tmp_path, 4, 1, disk.writer))
    record.add(NOW, EntryKind.SETTINGS, "aaaa")
    record.flush()
    assert not record.wait_until_written(within)
    record.add(NOW + 1.0, EntryKind.SETTINGS, "bbbb")
    record.close()
    assert entries(tmp_path) == []
    disk.unblock()
    assert entries(tmp_path) == list(record.entries)


def test_waiting_for_the_audit_record_ends_at_its_timeout(tmp_path: Path) -> None:
    """If the disk hangs, the wait for a record must end after its timeout."""
    segment_writer = SegmentWriter(tmp_path, 4, 1, BackgroundWriter())
    record = AuditRecord(4, 1, segment_writer)
    record.add(NOW, EntryKind.SETTINGS, "aaaa")
    record.flush()
    assert record.wait_until_written(TIMEOUT_S) and entries(tmp_path) == list(record.entries)
    disk = Disk()
    blocked_record = AuditRecord(4, 2, SegmentWriter(tmp_path, 4, 2, disk.writer))
    blocked_record.add(NOW, EntryKind.SETTINGS, "aaaa")
    blocked_record.flush()
    assert not blocked_record.wait_until_written(0.001)
    disk.unblock()
    assert blocked_record.wait_until_written() and AuditRecord(4, 3).wait_until_written()


def test_records_are_appended_and_a_failure_to_open_is_logged_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The directory does not exist at first. Records of that time are written before later ones."""
    directory = tmp_path / "later"
    file = AppendFile(directory / "lines")
    append: Callable[[bytes], None] = file.append
    append(b"early\n")
    append(b"early\n")
    assert caplog.text.count("cannot be written") == 1
    directory.mkdir()
    append(b"one\n")
    append(b"two\n")
    assert file.path.read_bytes() == b"early\nearly\none\ntwo\n"
