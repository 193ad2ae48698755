"""Merges the records of many limiters: which member acted on which settings when, and violations.

Clocks differ; `clocks` estimates by how much. Entries are read one by one and only spans are held
in memory. The module does no I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from hazelhollow.configuration.audit import findings
from hazelhollow.configuration.audit.clocks import ClockBound, clock_offsets
from hazelhollow.configuration.audit.entries import AuditEntry
from hazelhollow.configuration.audit.findings import ADOPTION_LIMIT_S, Finding
from hazelhollow.configuration.audit.timeline import (
    Evidence,
    MemberTimeline,
    ObservedRolloutEvent,
    SettingsSpan,
)


class AuditMerge:
    """Collects entries with `add`, each member's in its own order; its result follows `finish`.

    Attributes:
        members: Timeline of each member.
        findings: Violations that were found.
        unresolved: Lines about what could not be read or decided.
        offsets: Seconds by member to add to its times, so that all are on one clock.
        entries: Number of entries added.
    """

    def __init__(self) -> None:
        self._evidence = Evidence()
        self.members: dict[int, MemberTimeline] = defaultdict(
            lambda: MemberTimeline(self._evidence)
        )
        self.findings: list[Finding] = []
        self.unresolved: list[str] = []
        self.offsets: dict[int, float] = {}
        self.entries = 0

    def add(self, entry: AuditEntry) -> None:
        """Adds an entry; one that was added before is ignored."""
        self.entries += self.members[entry.member].add(entry)

    def finish(self) -> None:
        """Shifts all times to one clock and evaluates the rules in `findings`."""
        self._set_clocks()
        for number, member in self.members.items():
            for span in member.spans:
                span.shift(self.offsets[number])
            if member.missing_entries:
                self.unresolved.append(
                    f"member {number}: {member.missing_entries} entries are missing"
                )
        for event in self.rollout_events:
            event.time += self.offsets[event.member]
        self.rollout_events.sort(key=lambda event: event.time)
        evidence = self._evidence
        self.findings += findings.old_settings(evidence.observations, self.offsets, self.members)
        self.findings += findings.contradictions(self.members)
        self.findings += findings.disabled_hosts_used(evidence.disabled_host_uses, self.offsets)
        self.findings.sort(key=lambda finding: finding.time)

    @property
    def rollout_events(self) -> list[ObservedRolloutEvent]:
        """Events of candidates; ordered by time after `finish`."""
        return self._evidence.rollout_events

    def _set_clocks(self) -> None:
        bounds = list[ClockBound]()
        for observation in self._evidence.observations:
            peer = self.members.get(observation.peer)
            began_at = (
                peer.began_at.get((observation.revision, observation.settings)) if peer else None
            )
            if began_at is not None:
                bounds.append(
                    ClockBound(observation.observer, observation.peer, began_at - observation.time)
                )
        self.offsets, consistent = clock_offsets(self.members, bounds)
        if not consistent:
            self.unresolved.append(
                "the clocks cannot be aligned: observations in some records contradict the times "
                "in others, so times of different members are not comparable"
            )

    def changes(self) -> list[dict[str, Any]]:
        """Lists for each revision in force the members on it, and the delay of the last one."""
        spans = [
            span for member in self.members.values() for span in member.spans if not span.tried
        ]
        return [_change(revision, spans) for revision in sorted({span.revision for span in spans})]

    def settings_at(self, time: float) -> dict[int, SettingsSpan | None]:
        """Returns each member's span at that time; None where it is not known."""
        return {
            number: next((span for span in member.spans if span.begin <= time < span.end), None)
            for number, member in self.members.items()
        }

    def document(self) -> dict[str, Any]:
        """Returns the complete result in the form of `fleet audit --json`."""
        return {
            "entries": self.entries,
            "members": {
                str(number): {
                    "lives": len(member.incarnations),
                    "offset_s": round(self.offsets.get(number, 0.0), 3),
                    "spans": [_span_document(span) for span in member.spans],
                }
                for number, member in sorted(self.members.items())
            },
            "changes": self.changes(),
            "rollout": [
                {
                    "t": event.time,
                    "member": event.member,
                    "order": event.revision,
                    "step": event.event,
                    "why": event.reason,
                }
                for event in self.rollout_events
            ],
            "findings": [
                {
                    "what": finding.kind,
                    "t": finding.time,
                    "members": list(finding.members),
                    "text": finding.text,
                }
                for finding in self.findings
            ],
            "not_known": self.unresolved,
        }


def merge_entries(entries: Iterable[AuditEntry]) -> AuditMerge:
    """Merges all of these entries."""
    merge = AuditMerge()
    for entry in entries:
        merge.add(entry)
    merge.finish()
    return merge


def _change(revision: int, spans: list[SettingsSpan]) -> dict[str, Any]:
    """Describes a change: from the first member on a revision to the last on an older one."""
    own = [span for span in spans if span.revision == revision]
    first_in_force_at = min(span.begin for span in own)
    older = [span for span in spans if span.revision < revision and span.end > first_in_force_at]
    last = max(
        (
            span.end
            for span in older
            if not span.was_shut_out_since(first_in_force_at, ADOPTION_LIMIT_S)
        ),
        default=first_in_force_at,
    )
    return {
        "order": revision,
        "digests": sorted({span.settings for span in own}),
        "out_at": first_in_force_at,
        "last_old_after_s": round(last - first_in_force_at, 3),
        "requests_under_older_since": sum(
            span.requests for span in older if span.begin >= first_in_force_at
        ),
        "members": sorted({span.member for span in own}),
    }


def _span_document(span: SettingsSpan) -> dict[str, Any]:
    return {
        "order": span.revision,
        "settings": span.settings,
        "tried": span.tried,
        "begin": span.begin,
        "end": span.end,
        "why": span.reason,
        "requests": span.requests,
        "shut_out": span.shut_out,
    }
