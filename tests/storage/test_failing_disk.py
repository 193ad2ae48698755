"""Disks that fail for a while: what was accepted is written once they work again."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from hazelhollow.configuration.audit import segments
from hazelhollow.net.override_file import OverrideFile, path_for
from hazelhollow.replication.snapshot_file import SnapshotFile
from hazelhollow.storage.append_file import AppendFile
from tests.net.scenario import Stage

FAILURES = ["full", "error", "short"]


@contextmanager
def failing_disk(how: str) -> Iterator[None]:
    """Every write to a file fails, or takes half of its bytes, as a full disk does."""
    write, write_bytes = os.write, Path.write_bytes

    def fail(descriptor: int, data: bytes) -> int:
        if how == "short":
            return write(descriptor, data[: len(data) // 2])
        raise OSError(errno.ENOSPC if how == "full" else errno.EIO, how)

    def fail_whole(path: Path, data: bytes) -> int:
        write_bytes(path, data[: len(data) // 2])
        raise OSError(errno.ENOSPC if how != "error" else errno.EIO, how)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(os, "write", fail)
        patch.setattr(Path, "write_bytes", fail_whole)
        yield


@pytest.mark.parametrize("how", FAILURES)
def test_override_that_was_accepted_while_the_disk_failed_reaches_the_other_process(
    how: str,
) -> None:
    """`set-down` was answered with done. The new process of an upgrade reads the file."""
    old, new = Stage(hosts=2), Stage(hosts=2)
    with failing_disk(how):
        old.service.overrides.apply({"s1": True})
        old.play("wait 1")
        assert old.service.overrides.disabled == {"s1"} and not new.service.overrides.disabled
        old.service.overrides.apply({"s2": True})
    new.service.overrides.apply({"s2": False})
    old.play("wait 0.3")
    new.now = old.now
    new.play("wait 0.3")
    assert "s1" in new.service.overrides.disabled and "s1" in old.service.overrides.disabled
    assert OverrideFile(path_for("n0")).read() == old.service.overrides.disabled


@pytest.mark.parametrize("how", FAILURES)
def test_records_wait_while_the_disk_fails(how: str, tmp_path: Path) -> None:
    file = AppendFile(tmp_path / "lines")
    file.append(b"one\n")
    with failing_disk(how):
        file.append(b"two\n")
        file.append(b"three\n")
    file.append(b"four\n")
    lines = (tmp_path / "lines").read_bytes().splitlines()
    assert [line for line in lines if line in (b"one", b"two", b"three", b"four")] == [
        b"one",
        b"two",
        b"three",
        b"four",
    ]


@pytest.mark.parametrize("how", FAILURES)
def test_audit_entries_wait_while_the_disk_fails(
    how: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(segments, "encode_entry", lambda entry: entry)
    writer = segments.SegmentWriter(tmp_path, 0, 1)
    write: Callable[[list[bytes]], None] = writer.write  # type: ignore[assignment]
    write([b"one\n"])
    with failing_disk(how):
        write([b"two\n"])
    write([b"three\n"])
    data = b"".join(path.read_bytes() for path in sorted(tmp_path.iterdir()))
    assert [data.count(word) for word in (b"one\n", b"two\n", b"three\n")] == [1, 1, 1]


def test_snapshot_that_cannot_be_read_for_a_while_stays_for_the_next_start(tmp_path: Path) -> None:
    path = tmp_path / "replica-0"
    path.write_bytes(b"{}")

    def fail(_path: Path) -> bytes:
        raise OSError(errno.EIO, "for a while")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Path, "read_bytes", fail)
        assert SnapshotFile(tmp_path, 0).load(100.0) is None
    assert path.read_bytes() == b"{}" and [one.name for one in tmp_path.iterdir()] == ["replica-0"]
