"""The snapshot on disk: it is read as written, and never used if it is damaged."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from hazelhollow.replication import snapshot
from hazelhollow.replication.overrides import Override
from hazelhollow.replication.snapshot_file import SnapshotFile
from tests.replication.network import NOW

SAVED = snapshot.Snapshot(
    snapshot.FORMAT,
    snapshot.VERSION,
    float(NOW),
    2,
    [snapshot.SavedAccount("a", "gold", 0, 3, 12.5)],
    [Override("h", 1, 1, 5, 0)],
)


def test_a_snapshot_is_read_as_it_was_written(tmp_path: Path) -> None:
    file = SnapshotFile(tmp_path, 2)
    assert file.load(NOW) is None
    file.save(SAVED)
    loaded = file.load(NOW + 1.0)
    assert loaded == SAVED and loaded.overrides == [Override("h", 1, 1, 5, 0)]
    assert os.listdir(tmp_path) == ["replica-2"]


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (b"", "is damaged"),
        (snapshot.encode(SAVED)[:-1], "is damaged"),
        (snapshot.encode(SAVED).replace(b"gold", b"golf"), "is damaged"),
        (snapshot.encode(snapshot.Snapshot("other", 1, NOW, 2, [], [])), "other"),
        (snapshot.encode(snapshot.Snapshot(snapshot.FORMAT, 2, NOW, 2, [], [])), "version 2"),
        (snapshot.encode(snapshot.Snapshot(snapshot.FORMAT, 1, NOW, 1, [], [])), "member 1"),
        (
            snapshot.encode(snapshot.Snapshot(snapshot.FORMAT, 1, NOW - 7200.0, 2, [], [])),
            "7200 s old",
        ),
        (b"\x8b\x98w\x07abc", "is damaged"),
    ],
)
def test_a_snapshot_that_cannot_be_used_is_set_aside_and_logged(
    data: bytes, says: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The file is torn, altered, of another format, version or member, or two hours old."""
    file = SnapshotFile(tmp_path, 2)
    file.path.write_bytes(data)
    assert file.load(NOW) is None and says in caplog.text
    assert os.listdir(tmp_path) == ["replica-2.bad"]


def test_a_failed_write_is_logged_once_and_does_not_raise(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The directory does not exist: nothing can be written, and the limiter must keep running."""
    file = SnapshotFile(tmp_path / "absent", 2)
    file.save(SAVED)
    file.save(SAVED)
    assert caplog.text.count("cannot be written") == 1 and file.load(NOW) is None
