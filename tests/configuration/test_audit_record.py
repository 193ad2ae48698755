"""The audit record: its stored form, its segments, its bounds."""

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
def test_a_torn_tail_is_reported_and_what_stands_before_it_is_read(torn: int) -> None:
    """The machine died while an entry was being written: the segment ends in the midst of it."""
    whole = [entry(1.0 + n, serial=n) for n in range(3)]
    data = b"".join(map(audit_entries.encode_entry, whole))
    found = list(audit_entries.decode_entries(data[: max(0, len(data) - torn)]))
    good = [one for one in found if isinstance(one, AuditEntry)]
    assert good == whole[: len(good)] and len(found) - len(good) == (
        0 < torn < len(data) and len(data) - torn not in _ends(whole)
    )


def _ends(whole: list[AuditEntry]) -> set[int]:
    sizes = [len(audit_entries.encode_entry(one)) for one in whole]
    return {sum(sizes[:n]) for n in range(len(sizes) + 1)}


def test_a_damaged_entry_is_never_read_as_another() -> None:
    """A byte of a segment has changed on disk. The checksum shows it."""
    data = bytearray(
        audit_entries.encode_entry(entry(1.0)) + audit_entries.encode_entry(entry(2.0, serial=2))
    )
    data[12] ^= 0xFF
    assert [
        one for one in audit_entries.decode_entries(bytes(data)) if isinstance(one, AuditEntry)
    ] == []


def test_segments_are_bounded_and_each_incarnation_begins_a_new_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(segments, "MAX_SEGMENT_BYTES", 300)
    monkeypatch.setattr(segments, "MAX_SEGMENTS", 3)
    for incarnation in (1, 2):
        one = AuditRecord(4, incarnation, SegmentWriter(tmp_path, 4, incarnation))
        for n in range(30):
            one.add(float(n), EntryKind.SETTINGS, "aaaa")
            one.flush()
        one.close()
    names = sorted(os.listdir(tmp_path))
    assert len(names) == 3 and all("-00000000000002-" in name for name in names)
    assert all(path.stat().st_size <= 300 for path in tmp_path.iterdir())


def test_a_failing_disk_costs_the_record_alone(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The folder is gone. That is logged once, and the entries in memory stay bounded."""
    one = AuditRecord(4, 1, SegmentWriter(tmp_path / "absent", 4, 1))
    for n in range(record.MAX_ENTRIES_IN_MEMORY + 10):
        one.add(float(n), EntryKind.SETTINGS, "aaaa")
        if n < 3:
            one.flush()
    one.close()
    assert (
        caplog.text.count("cannot be written") == 1
        and len(one.entries) == record.MAX_ENTRIES_IN_MEMORY
    )
