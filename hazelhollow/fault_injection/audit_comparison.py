"""Compares the audit record of a drill with what the probes observed from outside.

A contradiction between the two counts as an error of the audit.
"""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

from hazelhollow.configuration.admission_verdict import SettingsState
from hazelhollow.configuration.audit.entries import EntryKind
from hazelhollow.configuration.audit.merge import AuditMerge
from hazelhollow.configuration.audit.reader import read_entries
from hazelhollow.configuration.audit.timeline import SettingsSpan
from hazelhollow.fault_injection.run_files import read_json_lines

# Seconds by which a probe and a record may differ: the record is written once a second.
TOLERANCE_S = 1.25
LIMITER_PREFIX = "n"


def compare(folder: Path) -> dict[str, Any]:
    """Returns the audit's figures of a drill; all are None if no limiter kept an audit record."""
    read_errors, merged = list[str](), AuditMerge()
    verdicts, settings_received, shut_out = Counter[str](), 0, set[int]()
    readmitted = 0
    for entry in read_entries(folder, read_errors.append):
        merged.add(entry)
        settings_received += entry.kind == EntryKind.SETTINGS and entry.reason.startswith(
            "given by"
        )
        if entry.kind == EntryKind.VERDICT:
            verdicts[entry.version] += 1
            readmitted += entry.member in shut_out and entry.version == SettingsState.CURRENT
            shut_out.discard(entry.member) if entry.version == SettingsState.CURRENT else None
            shut_out.update([entry.member] if entry.version == SettingsState.SHUT_OUT else [])
    if not merged.entries:
        return dict.fromkeys(
            (
                "brought_up",
                "shut_out",
                "came_back",
                "contradictions_unseen",
                "audit_wrong",
                "audit_findings",
            )
        )
    merged.finish()
    unseen, wrong = _count_contradictions(merged, folder)
    return {
        "brought_up": settings_received,
        "shut_out": verdicts[SettingsState.SHUT_OUT],
        "came_back": readmitted,
        "contradictions_unseen": unseen,
        "audit_wrong": wrong,
        "audit_findings": dict(Counter(finding.kind for finding in merged.findings)),
        "audit_not_known": [*read_errors, *merged.unresolved],
    }


def _count_contradictions(merged: AuditMerge, folder: Path) -> tuple[int, int]:
    """Counts the probes that contradict the audit, in each direction.

    First, probes that saw a member apply older settings although, by the audit, it had the newest;
    then probes that saw the newest settings applied although, by the audit, it had older ones. All
    processes of a drill share this machine's clock, so the offsets that the merge computed are
    removed and the writers' own times are compared.
    """
    unseen = wrong = 0
    for row in read_json_lines(folder / "probes.jsonl"):
        number = int(row["to"].removeprefix(LIMITER_PREFIX))
        offset = merged.offsets.get(number, 0.0)
        nearby_spans = [
            s
            for s in merged.members[number].spans
            if s.begin - offset - TOLERANCE_S <= row["end"]
            and s.end - offset + TOLERANCE_S >= row["t"]
        ]
        if row["new"] in ("served", "busy"):
            wrong += bool(nearby_spans) and not any(
                _is_current(span, row["order"]) for span in nearby_spans
            )
        elif row["new"] == "unknown" and row["look"] == "served":
            unseen += bool(nearby_spans) and all(
                _is_current(span, row["order"]) for span in nearby_spans
            )
    return unseen, wrong


def _is_current(span: SettingsSpan, newest_revision: int) -> bool:
    return span.revision >= newest_revision
