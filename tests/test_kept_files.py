"""Files that an earlier version wrote to disk.

The present code must read every value in them and write the same bytes.
`tests/kept_files/README.md` describes how they were made.
"""

from __future__ import annotations

from pathlib import Path
from shutil import copy

import msgspec

from hazelhollow.configuration import versions
from hazelhollow.configuration.audit.entries import (
    AuditEntry,
    decode_entries,
    encode_entry,
)
from hazelhollow.configuration.audit.reader import read_entries, segment_paths
from hazelhollow.configuration.audit.segments import SegmentWriter
from hazelhollow.configuration.versions import Candidate, Phase, Versions
from hazelhollow.fault_injection.run_files import read_json_lines
from hazelhollow.net.override_file import OverrideFile, path_for
from hazelhollow.replication.overrides import Override
from hazelhollow.replication.snapshot import SavedAccount, Snapshot
from hazelhollow.replication.snapshot_file import SnapshotFile

KEPT_FILES = Path(__file__).parent / "kept_files"
INCARNATION = 1_700_000_000_123


def load_snapshot(member: int, now: float, tmp_path: Path) -> Snapshot | None:
    """Loads a copy of the kept file, since loading renames a file that cannot be used."""
    copy(KEPT_FILES / f"replica-{member}", tmp_path)
    return SnapshotFile(tmp_path, member).load(now)


def test_snapshot_with_customers_debts_and_overrides_is_read(tmp_path: Path) -> None:
    loaded = load_snapshot(3, 1_700_000_010.0, tmp_path)
    assert loaded is not None
    assert (loaded.format, loaded.version) == ("hazelhollow-replica", 1)
    assert (loaded.taken_at, loaded.member, loaded.is_final) == (1_700_000_005.75, 3, False)
    assert loaded.accounts == [
        SavedAccount("8tl2m", "7kq", 1, 5, 12.5),
        SavedAccount("0", "a1", 0, 1, -3.25),
        SavedAccount("zz9", "7kq", 4, 3, 0.0),
        *[SavedAccount(f"c{n}", "b22", n % 5, 1 + n % 5, n / 8 - 2) for n in range(40)],
    ]
    first = loaded.accounts[0]
    assert (first.customer, first.plan_name, first.set_start, first.set_size) == (
        "8tl2m",
        "7kq",
        1,
        5,
    )
    assert first.level == 12.5
    overrides = loaded.overrides
    assert overrides == [
        Override("s-0001", 2, 0, 1_700_000_002_000, 4),
        Override("s-0002", 3, 1, 1_700_000_003_250, 3),
        Override("10.0.0.7:9000", 9, 1, 1_700_000_004_500, 1),
    ]
    last = overrides[-1]
    assert (last.endpoint, last.lamport_time, last.disabled) == ("10.0.0.7:9000", 9, 1)
    assert (last.made_at_ms, last.member) == (1_700_000_004_500, 1)


def test_final_snapshot_is_read(tmp_path: Path) -> None:
    loaded = load_snapshot(12, 1_700_000_101.0, tmp_path)
    assert loaded == Snapshot("hazelhollow-replica", 1, 1_700_000_100.0, 12, [], [], True)
    assert loaded is not None and loaded.is_final


def test_kept_snapshots_are_written_as_the_same_bytes(tmp_path: Path) -> None:
    for member, now in ((3, 1_700_000_010.0), (12, 1_700_000_101.0)):
        loaded = load_snapshot(member, now, tmp_path)
        assert loaded is not None
        (tmp_path / f"replica-{member}").unlink()
        SnapshotFile(tmp_path, member).save(loaded)
        written = (tmp_path / f"replica-{member}").read_bytes()
        assert written == (KEPT_FILES / f"replica-{member}").read_bytes()


def test_audit_record_with_every_kind_of_entry_is_read() -> None:
    problems: list[str] = []
    entries = list(read_entries(KEPT_FILES, problems.append))
    assert not problems
    other = Versions("c", "abc", 7, "5d3a", 42, "def", "9c10", Candidate(2, Phase("b")))
    assert versions.decode(versions.encode(other)) == other
    began, again = "began", "an older index: discovery began anew or is another"
    behind = "order 8 is out, 7 acts here; it goes on, or too few would serve"
    given = "given by member 2"
    counts = {"requests": 120, "served": 100, "refused": 19, "failed": 1}
    out, hosts = {"s-0001": 1, "s-0002": 1}, {"s-0003": 60, "s-0004": 41}
    samples = ["r-1 s-0003", "r-2 s-0004"]
    t, by = 1_700_000_000.0, (4, INCARNATION)
    stored = [
        (t + 0.125, *by, 1, "program", "0.1", began, 7, -1, {}, {}, [], False),
        (t + 0.25, *by, 2, "settings", "5d3a", began, 7, -1, {}, {}, [], False),
        (t + 0.5, *by, 3, "list", "42", "", 7, -1, {}, {}, [], False),
        (t + 1, *by, 4, "list", "3", again, 7, -1, {}, {}, [], False),
        (t + 1.5, *by, 5, "hands", "9c10", "", 7, -1, {}, out, [], False),
        (t + 2, *by, 6, "ruling", "behind", behind, 7, -1, {}, {}, [], False),
        (t + 2.5, *by, 7, "heard", versions.encode(other), "", 7, 2, {}, {}, [], False),
        (t + 3, *by, 8, "rollout", "taken", "candidate 9", 7, -1, {}, {}, [], False),
        (t + 3.5, *by, 9, "settings", "77be", given, 9, -1, {}, {}, [], True),
        (t + 4, *by, 10, "second", "77be", "", 9, -1, counts, hosts, samples, False),
        (t + 9, 4, 1_700_000_009_000, 1, "program", "0.2", began, 9, -1, {}, {}, [], False),
    ]
    assert entries == msgspec.convert(stored, list[AuditEntry])
    last = entries[-2]
    assert (last.time, last.member, last.incarnation, last.serial) == (t + 4, 4, INCARNATION, 10)
    assert (last.kind, last.version, last.revision, last.peer) == ("second", "77be", 9, -1)
    assert (last.counts, last.hosts, last.samples) == (counts, hosts, samples)
    assert [entry.serial for entry in entries if entry.candidate] == [9]


def test_kept_audit_record_is_written_as_the_same_bytes(tmp_path: Path) -> None:
    paths = segment_paths(KEPT_FILES)
    assert len(paths) == 2
    for path in paths:
        entries = list(decode_entries(path.read_bytes()))
        assert (
            b"".join(encode_entry(e) for e in entries if isinstance(e, AuditEntry))
            == path.read_bytes()
        )
    SegmentWriter(tmp_path, 4, INCARNATION).write(
        [e for e in decode_entries(paths[0].read_bytes()) if isinstance(e, AuditEntry)]
    )
    assert (tmp_path / paths[0].name).read_bytes() == paths[0].read_bytes()


def test_file_of_disabled_endpoints_is_read_and_written_back(tmp_path: Path) -> None:
    loaded = OverrideFile(path_for("espoo main/0", str(KEPT_FILES))).read()
    assert loaded == {"10.0.0.7:9000", "s-0001", "s-0009"}
    path = path_for("espoo main/0", str(tmp_path))
    OverrideFile(path).write(loaded)
    assert path.read_bytes() == (KEPT_FILES / path.name).read_bytes()


def test_membership_lines_are_read() -> None:
    first, second = read_json_lines(KEPT_FILES / "n0.view.jsonl")
    assert first == {
        "t": 1_700_000_000.5,
        "me": 0,
        "acting": False,
        "members": {"0": ["alive", 28_333_333_333]},
    }
    assert second["t"] == 1_700_000_001.75 and second["me"] == 0 and second["acting"] is True
    assert second["members"] == {
        "0": ["alive", 28_333_333_333],
        "1": ["dead", 28_333_330_000],
        "2": ["shut out", 28_333_333_000],
    }
