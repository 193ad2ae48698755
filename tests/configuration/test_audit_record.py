"""Tests of the audit record: its stored form, its segments and its bounds."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhollow.configuration.audit import entries as audit_entries
from hazelhollow.configuration.audit import record, segments
from hazelhollow.configuration.audit.entries import AuditEntry, EntryKind
from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.configuration.audit.segments import SegmentWriter
from tests.configuration.audit_entries import entry


@given(st.integers(0, 200))
def test_a_truncated_tail_is_reported_and_earlier_entries_are_read(torn: int) -> None:
    """The machine failed while an entry was being written: the segment ends within the entry."""
    written = [entry(1.0 + n, serial=n) for n in range(3)]
    data = b"".join(map(audit_entries.encode_entry, written))
    found = list(audit_entries.decode_entries(data[: max(0, len(data) - torn)]))
    decoded = [item for item in found if isinstance(item, AuditEntry)]
    assert decoded == written[: len(decoded)] and len(found) - len(decoded) == (
        0 < torn < len(data) and len(data) - torn not in _ends(written)
    )


def _ends(written: list[AuditEntry]) -> set[int]:
    sizes = [len(audit_entries.encode_entry(item)) for item in written]
    return {sum(sizes[:n]) for n in range(len(sizes) + 1)}


def test_a_damaged_entry_is_never_read_as_another() -> None:
    """A byte of a segment has changed on disk; the checksum does not match."""
    data = bytearray(
        audit_entries.encode_entry(entry(1.0)) + audit_entries.encode_entry(entry(2.0, serial=2))
    )
    data[12] ^= 0xFF
    assert [
        item for item in audit_entries.decode_entries(bytes(data)) if isinstance(item, AuditEntry)
    ] == []


def test_segments_are_bounded_and_each_incarnation_begins_a_new_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(segments, "MAX_SEGMENT_BYTES", 300)
    monkeypatch.setattr(segments, "MAX_SEGMENTS", 3)
    for incarnation in (1, 2):
        audit_record = AuditRecord(4, incarnation, SegmentWriter(tmp_path, 4, incarnation))
        for n in range(30):
            audit_record.add(float(n), EntryKind.SETTINGS, "aaaa")
            audit_record.flush()
        audit_record.close()
    names = sorted(os.listdir(tmp_path))
    assert len(names) == 3 and all("-00000000000002-" in name for name in names)
    assert all(path.stat().st_size <= 300 for path in tmp_path.iterdir())


def test_a_failing_disk_affects_only_the_record(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The folder does not exist: this is logged once, and the entries in memory stay bounded."""
    audit_record = AuditRecord(4, 1, SegmentWriter(tmp_path / "absent", 4, 1))
    for n in range(record.MAX_ENTRIES_IN_MEMORY + 10):
        audit_record.add(float(n), EntryKind.SETTINGS, "aaaa")
        if n < 3:
            audit_record.flush()
    audit_record.close()
    assert (
        caplog.text.count("cannot be written") == 1
        and len(audit_record.entries) == record.MAX_ENTRIES_IN_MEMORY
    )
