"""Writes to disk beside the event loop: in order, bounded, and waited for within a timeout."""

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

TIMEOUT_S = 30.0  # never reached but by a fault
NOW = 1000.0


class Disk:
    """A writer whose first job blocks until the test lets it go on, as on a disk that hangs."""

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
    one = Disk()
    yield one
    one.unblock()


def test_jobs_are_done_in_order_and_nobody_waits_for_them(disk: Disk) -> None:
    """The disk hangs: submitting returns at once."""
    assert all(disk.writer.submit(disk.job(name)) for name in "abc")
    assert not disk.done and not disk.writer.finish(0.0)
    disk.unblock()
    assert disk.done == ["a", "b", "c"]


def test_of_jobs_that_replace_each_other_the_newest_is_done_at_the_place_of_the_first(
    disk: Disk,
) -> None:
    for name, replaces in (("a1", "a"), ("b", ""), ("a2", "a"), ("c1", "c"), ("a3", "a")):
        disk.writer.submit(disk.job(name, replaces=replaces))
    disk.unblock()
    assert disk.done == ["a3", "b", "c1"]


def test_what_waits_is_bounded_and_what_is_dropped_is_counted_and_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The disk hangs for longer than there is room for what is to be written."""
    disk = Disk(max_pending_bytes=10)
    taken = [disk.writer.submit(disk.job(name, 4)) for name in "abcd"]
    assert taken == [True, True, False, False] and disk.writer.dropped == 2
    assert caplog.text.count("dropped a write of 4 bytes") == 1
    assert disk.writer.submit(disk.job("r", 2, "r"))
    # in place of the one before: no more than that waits
    assert disk.writer.submit(disk.job("s", 2, "r"))
    disk.unblock()
    assert disk.done == ["a", "b", "s"]
    assert disk.writer.submit(disk.job("e", 10))


def test_a_job_that_raises_does_not_end_the_writer(
    disk: Disk, caplog: pytest.LogCaptureFixture
) -> None:
    """A job that has a fault itself ended the thread, and nothing was written any more."""

    def fails() -> None:
        raise RuntimeError("of the test")

    disk.writer.submit(WriteJob(fails))
    disk.writer.submit(disk.job("after"))
    disk.unblock()
    assert disk.done == ["after"] and "of the test" in caplog.text


def saved(at: float) -> snapshot.Snapshot:
    return snapshot.Snapshot(snapshot.FORMAT, snapshot.VERSION, at, 2, [], [])


def test_of_snapshots_that_wait_the_newest_is_written(disk: Disk, tmp_path: Path) -> None:
    file = SnapshotFile(tmp_path, 2, disk.writer)
    for at in (NOW, NOW + 1.0, NOW + 2.0):
        file.save(saved(at))
    assert file.load(NOW) is None
    disk.unblock()
    assert file.load(NOW + 3.0) == saved(NOW + 2.0)


def entries(folder: Path) -> list[AuditEntry | str]:
    return [one for path in sorted(folder.iterdir()) for one in decode_entries(path.read_bytes())]


@pytest.mark.parametrize("within", [0.0, 0.001])
def test_the_audit_record_is_written_when_the_disk_goes_on(
    disk: Disk, tmp_path: Path, within: float
) -> None:
    """The disk hangs while the record is written and closed: nothing is lost."""
    record = AuditRecord(4, 1, SegmentWriter(tmp_path, 4, 1, disk.writer))
    record.add(NOW, EntryKind.SETTINGS, "aaaa")
    record.flush()
    assert not record.wait_until_written(within)
    record.add(NOW + 1.0, EntryKind.SETTINGS, "bbbb")
    record.close()
    assert entries(tmp_path) == []
    disk.unblock()
    assert entries(tmp_path) == list(record.entries)


def test_what_must_be_on_record_is_waited_for_within_a_timeout(tmp_path: Path) -> None:
    """Who waits for a record on a disk that hangs goes on after its timeout."""
    segments = SegmentWriter(tmp_path, 4, 1, BackgroundWriter())
    record = AuditRecord(4, 1, segments)
    record.add(NOW, EntryKind.SETTINGS, "aaaa")
    record.flush()
    assert record.wait_until_written(TIMEOUT_S) and entries(tmp_path) == list(record.entries)
    disk = Disk()
    behind = AuditRecord(4, 2, SegmentWriter(tmp_path, 4, 2, disk.writer))
    behind.add(NOW, EntryKind.SETTINGS, "aaaa")
    behind.flush()
    assert not behind.wait_until_written(0.001)
    disk.unblock()
    assert behind.wait_until_written() and AuditRecord(4, 3).wait_until_written()


def test_records_are_appended_and_a_file_that_cannot_be_opened_is_logged_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The directory is missing at first: records of that time are lost, later ones are written."""
    later = tmp_path / "later"
    file = AppendFile(later / "lines")
    append: Callable[[bytes], None] = file.append
    append(b"lost\n")
    append(b"lost\n")
    assert caplog.text.count("cannot be written") == 1
    later.mkdir()
    append(b"one\n")
    append(b"two\n")
    assert file.path.read_bytes() == b"one\ntwo\n"
