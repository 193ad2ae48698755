"""Each limiter's timeline, built entry by entry from its record.

All times are by the writer's clock until `AuditMerge.finish` shifts them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hazelhollow.configuration import versions
from hazelhollow.configuration.admission_verdict import SettingsState
from hazelhollow.configuration.audit.entries import ACTIVITY_PERIOD_S, AuditEntry, EntryKind

# A host may still get attempts for this long after an operator has disabled it.
DISABLED_HOST_GRACE_S = 1.0


@dataclass
class SettingsSpan:
    """A period in which one member acted on one version of the settings.

    Attributes:
        member: Number of the member.
        incarnation: Incarnation of the member.
        revision: Revision of the settings.
        settings: Digest of the settings.
        begin: Unix seconds.
        end: Unix seconds of the last entry that shows that it acted on them.
        reason: Why it began to act on them.
        tried: Whether it tried them as a canary, so that they were not in force for all.
        requests: Number of requests that it accepted.
        last_request_at: Unix seconds of the last entry with requests; a paused process has none.
        shut_out: Begin and end of each period in which it accepted no new work.
    """

    member: int
    incarnation: int
    revision: int
    settings: str
    begin: float
    end: float
    reason: str = ""
    tried: bool = False
    requests: int = 0
    last_request_at: float = 0.0
    shut_out: list[list[float]] = field(default_factory=list)

    def shift(self, offset: float) -> None:
        """Shifts all times by that many seconds."""
        self.begin, self.end = self.begin + offset, max(self.begin, self.end) + offset
        self.last_request_at += offset
        self.shut_out = [[begin + offset, end + offset] for begin, end in self.shut_out]

    def was_shut_out_since(self, since: float, slack: float) -> bool:
        """Whether it was shut out to its end, beginning at most `slack` seconds after that time."""
        start = max(self.begin, since)
        return any(
            begin <= start + slack and end >= self.end - 1e-6 for begin, end in self.shut_out
        )


@dataclass(frozen=True)
class PeerObservation:
    """A member's first observation that a peer acts on these settings."""

    observer: int
    time: float  # by the observer's clock
    peer: int
    revision: int
    settings: str
    tried: bool  # tried by the peer as a canary, not in force


@dataclass
class ObservedRolloutEvent:
    """An event of a candidate at one member."""

    time: float
    member: int
    revision: int
    event: str
    reason: str


@dataclass(frozen=True)
class DisabledHostUse:
    """A member sent attempts to a host that it had recorded as disabled."""

    member: int
    time: float
    host: str
    attempts: int


@dataclass
class Evidence:
    """Evidence from all records for the rules in `findings`, in the order of reading."""

    observations: list[PeerObservation] = field(default_factory=list)
    rollout_events: list[ObservedRolloutEvent] = field(default_factory=list)
    disabled_host_uses: list[DisabledHostUse] = field(default_factory=list)


class MemberTimeline:
    """The timeline of one limiter, built from its entries in their order.

    Attributes:
        spans: The settings that it acted on.
        incarnations: Its incarnations in order.
        missing_entries: Number of missing entries, according to the serial numbers.
        began_at: When it first began to act on a revision and digest.
    """

    def __init__(self, evidence: Evidence) -> None:
        self.spans = list[SettingsSpan]()
        self.incarnations = list[int]()
        self.missing_entries = 0
        self.began_at = dict[tuple[int, str], float]()
        self._evidence = evidence
        self._serials = dict[int, int]()  # the last serial number, by incarnation
        self._disabled_since = dict[str, float]()  # by host
        self._state: str = SettingsState.CURRENT

    def add(self, entry: AuditEntry) -> bool:
        """Adds an entry; returns False if it was added before."""
        before = self._serials.get(entry.incarnation)
        if before is None:
            self.incarnations.append(entry.incarnation)
            self._disabled_since = {}
            self._state = SettingsState.CURRENT
        elif entry.serial <= before:
            return False
        else:
            self.missing_entries += entry.serial - before - 1
        self._serials[entry.incarnation] = entry.serial
        self._apply(entry)
        return True

    def _apply(self, entry: AuditEntry) -> None:
        match entry.kind:
            case EntryKind.SETTINGS:
                self._begin_span(entry)
            case EntryKind.PROGRAM:
                self._extend_to_end_of_program(entry)
            case EntryKind.ACTIVITY:
                self._add_activity(entry)
            case EntryKind.OVERRIDES:
                self._disabled_since = {
                    host: self._disabled_since.get(host, entry.time) for host in entry.hosts
                }
            case EntryKind.VERDICT:
                self._change_state(entry)
            case EntryKind.PEER_VERSIONS:
                self._add_observation(entry)
            case EntryKind.ROLLOUT:
                self._evidence.rollout_events.append(
                    ObservedRolloutEvent(
                        entry.time, entry.member, entry.revision, entry.version, entry.reason
                    )
                )
            case EntryKind.ENDPOINT_LIST:
                pass  # does not concern the settings

    def _begin_span(self, entry: AuditEntry) -> None:
        # The end of a span of an earlier incarnation is not recorded; it stays at its last entry.
        if self.spans and self.spans[-1].incarnation == entry.incarnation:
            self.spans[-1].end = max(entry.time, self.spans[-1].begin)
        self.began_at.setdefault((entry.revision, entry.version), entry.time)
        self.spans.append(
            SettingsSpan(
                entry.member,
                entry.incarnation,
                entry.revision,
                entry.version,
                entry.time,
                entry.time,
                entry.reason,
                entry.candidate,
            )
        )
        self._state = SettingsState.CURRENT

    def _extend_to_end_of_program(self, entry: AuditEntry) -> None:
        """Extends the span to the recorded end of the program, if the program ended regularly."""
        ended = entry.reason == "ended"
        if ended and self.spans and self.spans[-1].incarnation == entry.incarnation:
            self.spans[-1].end = max(self.spans[-1].end, entry.time)

    def _add_activity(self, entry: AuditEntry) -> None:
        if self.spans:
            span = self.spans[-1]
            span.requests += entry.counts.get("requests", 0)
            if entry.counts.get("requests"):
                span.last_request_at = entry.time
            span.end = max(span.end, entry.time)
        for host, attempts in entry.hosts.items():
            since = self._disabled_since.get(host)
            if since is not None and entry.time - ACTIVITY_PERIOD_S > since + DISABLED_HOST_GRACE_S:
                use = DisabledHostUse(entry.member, entry.time, host, attempts)
                self._evidence.disabled_host_uses.append(use)

    def _change_state(self, entry: AuditEntry) -> None:
        if self.spans:
            shut_out = self.spans[-1].shut_out
            if entry.version == SettingsState.SHUT_OUT:
                if self._state != SettingsState.SHUT_OUT:
                    shut_out.append([entry.time, math.inf])
            elif shut_out and shut_out[-1][1] == math.inf:
                shut_out[-1][1] = entry.time
        self._state = entry.version

    def _add_observation(self, entry: AuditEntry) -> None:
        peer = versions.decode(entry.version)
        if peer is not None and entry.peer != entry.member:
            tried = peer.candidate is not None
            self._evidence.observations.append(
                PeerObservation(
                    entry.member, entry.time, entry.peer, peer.revision, peer.settings, tried
                )
            )
