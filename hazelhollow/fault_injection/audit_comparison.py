"""The audit of a drill against what was seen from outside.

Where they contradict, one of them is wrong, and it is the audit.
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

NEAR = 1.25  # seconds by which a probe and a record may differ: the record is written once a second
FIRST = "n"


def compare(folder: Path) -> dict[str, Any]:
    """Keys of the drill's figures; nothing is known (None) where no limiter kept a record."""
    troubles, fleet = list[str](), AuditMerge()
    rulings, brought, shut = Counter[str](), 0, set[int]()
    back = 0
    for entry in read_entries(folder, troubles.append):
        fleet.add(entry)
        brought += entry.kind == EntryKind.SETTINGS and entry.reason.startswith("given by")
        if entry.kind == EntryKind.VERDICT:
            rulings[entry.version] += 1
            back += entry.member in shut and entry.version == SettingsState.CURRENT
            shut.discard(entry.member) if entry.version == SettingsState.CURRENT else None
            shut.update([entry.member] if entry.version == SettingsState.SHUT_OUT else [])
    if not fleet.entries:
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
    fleet.finish()
    unseen, wrong = _against(fleet, folder)
    return {
        "brought_up": brought,
        "shut_out": rulings[SettingsState.SHUT_OUT],
        "came_back": back,
        "contradictions_unseen": unseen,
        "audit_wrong": wrong,
        "audit_findings": dict(Counter(finding.kind for finding in fleet.findings)),
        "audit_not_known": [*troubles, *fleet.unknowns],
    }


def _against(fleet: AuditMerge, folder: Path) -> tuple[int, int]:
    """Probes that saw a member serve by older settings where the audit has it on the newest.

    And the other way. All clocks of a drill are this machine's, so the writers' own times are
    taken.
    """
    unseen = wrong = 0
    for row in read_json_lines(folder / "probes.jsonl"):
        number = int(row["to"].removeprefix(FIRST))
        offset = fleet.offsets.get(number, 0.0)
        near = [
            s
            for s in fleet.members[number].spans
            if s.begin - offset - NEAR <= row["end"] and s.end - offset + NEAR >= row["t"]
        ]
        if row["new"] in ("served", "busy"):
            wrong += bool(near) and not any(_holds(span, row["order"]) for span in near)
        elif row["new"] == "unknown" and row["look"] == "served":
            unseen += bool(near) and all(_holds(span, row["order"]) for span in near)
    return unseen, wrong


def _holds(span: SettingsSpan, order: int) -> bool:
    return span.revision >= order
