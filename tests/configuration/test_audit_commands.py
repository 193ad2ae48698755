"""Tests of `fleet audit` with files and with running limiters."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from hazelhollow.configuration.audit import entries as audit_entries
from hazelhollow.configuration.audit import merge, reader, record, report_page
from hazelhollow.configuration.audit.entries import AuditEntry, EntryKind
from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.fault_injection.commands import fleet
from tests.configuration.audit_entries import entry, late_adoption


def write(folder: Path, entries: list[AuditEntry]) -> None:
    for item in entries:
        member_folder = folder / f"n{item.member}"
        member_folder.mkdir(parents=True, exist_ok=True)
        with (member_folder / f"audit-{item.member}-{item.incarnation:014d}-0001.seg").open(
            "ab"
        ) as out:
            out.write(audit_entries.encode_entry(item))


@pytest.mark.parametrize(("lag", "status"), [(0.5, 0), (9.0, 1)])
def test_a_late_member_is_reported_and_drawn_on_the_page(
    lag: float, status: int, tmp_path: Path
) -> None:
    """A member adopts settings 0.5 s or 9 s late, and one of its segments is truncated."""
    write(tmp_path, late_adoption(0.0, lag))
    (tmp_path / "n1" / "audit-1-00000000000002-0001.seg").write_bytes(b"torn")
    page = tmp_path / "page.html"
    result = CliRunner().invoke(fleet, ["audit", str(tmp_path), "--json", "-", "--html", str(page)])
    found = json.loads(result.output)
    assert (
        result.exit_code == status
        and len(found["members"]) == 2
        and any("could not be read" in text for text in found["not_known"])
    )
    text = page.read_text()
    assert (
        text.count("<rect") > 4
        and "prefers-color-scheme: dark" in text
        and ("went on" in text or status == 0 or "acted on 1" in text)
    )


def test_a_folder_without_records_is_an_error(tmp_path: Path) -> None:
    assert CliRunner().invoke(fleet, ["audit", str(tmp_path)]).exit_code == 2


def test_the_page_escapes_text_from_records() -> None:
    """A record contains a script, which a browser must not execute."""
    found = merge.merge_entries([entry(1.0, 0, 1, revision=1, reason="<script>")]).document()
    assert "<script>" not in report_page.render(found) and "&lt;script&gt;" in report_page.render(
        found
    )


def test_entries_are_read_in_the_order_of_each_limiter(tmp_path: Path) -> None:
    write(tmp_path, late_adoption(0.0, 0.5))
    assert [
        e.serial for e in reader.read_entries(tmp_path, lambda text: None) if e.member == 1
    ] == [
        1,
        2,
        3,
        4,
        5,
    ]


def test_the_answer_of_a_running_limiter_is_read_and_a_request_is_found(tmp_path: Path) -> None:
    audit_record = AuditRecord(0, 1)
    audit_record.add(1.0, EntryKind.SETTINGS, "aaaa", revision=4)
    audit_record.add(
        2.0, EntryKind.ACTIVITY, "aaaa", revision=4, counts={"requests": 2}, samples=["r-1", "r-2"]
    )
    answer = json.dumps(audit_record.newest()).encode() + b"\nend\n"
    assert reader.decode_answer(answer) == list(audit_record.entries)
    write(tmp_path, reader.decode_answer(answer))
    result = CliRunner().invoke(fleet, ["audit", str(tmp_path), "--request", "r-2"])
    assert (
        result.exit_code == 0
        and "member 0 decided r-2" in result.output
        and "order 4 (aaaa)" in result.output
    )
    assert CliRunner().invoke(fleet, ["audit", str(tmp_path), "--request", "r-9"]).exit_code == 2
    for wrong in (b"", b"error no call\n", b"[]\nend", b"half"):
        with pytest.raises(ValueError):
            reader.decode_answer(wrong)


def test_the_answer_holds_the_newest_entries_within_a_bound() -> None:
    audit_record = AuditRecord(0, 1)
    for n in range(record.MAX_ENTRIES_IN_MEMORY):
        audit_record.add(
            float(n),
            EntryKind.ACTIVITY,
            "aaaa",
            hosts={f"s-{k}": 9 for k in range(20)},
            samples=["0" * 16] * 3,
        )
    last = audit_record.newest()
    assert last[-1][0] == record.MAX_ENTRIES_IN_MEMORY - 1 and len(json.dumps(last)) < 1 << 20


def test_an_unreachable_limiter_is_an_error() -> None:
    result = CliRunner().invoke(fleet, ["audit", "--live", "127.0.0.1:1"])
    assert result.exit_code == 2 and "127.0.0.1:1" in result.output
    assert CliRunner().invoke(fleet, ["audit"]).exit_code == 2
