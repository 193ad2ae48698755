"""What a member writes down of what it does and of what it hears from others."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from hazelhollow.configuration import versions
from hazelhollow.configuration.admission_verdict import AdmissionVerdict
from hazelhollow.configuration.audit.entries import EntryKind
from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.configuration.known_versions import KnownVersions
from hazelhollow.configuration.rollout import RolloutEvent
from hazelhollow.configuration.versions import Versions

log = logging.getLogger(__name__)


class ObservedLimiter(Protocol):
    """What the record asks of the limiter."""

    def endpoint_list(self) -> tuple[int, str]:
        """The index of its endpoint list, and the address of discovery."""

    def disabled_hosts(self) -> set[str]:
        """Hosts that operators have disabled."""

    def request_counts(self) -> dict[str, int]:
        """Counts that only grow: requests, served, refused, failed."""

    def drain_attempts(self) -> Counter[str]:
        """Attempts by host since the last call."""

    def drain_samples(self) -> list[str]:
        """Ids of some or all requests since the last call."""


class ActivityRecorder:
    """Writes one member's entries, each when it differs from the last of its kind."""

    def __init__(
        self,
        limiter_id: int,
        record: AuditRecord,
        limiter: ObservedLimiter,
        clock: Callable[[], float],
    ) -> None:
        self._limiter_id, self._record = limiter_id, record
        self._limiter, self._clock = limiter, clock
        self._settings = ("", 0, False)  # digest, revision, tried
        self._disabled_hosts: set[str] = set()
        self._list_index = -1
        self._peer_versions: dict[int, Versions] = {}  # as written last
        self._figures: dict[str, int] = {}

    def program(self, version: str, reason: str, revision: int) -> None:
        """The program begins or ends."""
        self._add(EntryKind.PROGRAM, version, reason, revision=revision)

    def settings(self, digest: str, revision: int, tried: bool, reason: str) -> bool:
        """It acts on these settings, or is about to; whether they differ from those before."""
        if (digest, revision, tried) == self._settings:
            return False
        self._settings = digest, revision, tried
        self._add(EntryKind.SETTINGS, digest, reason, revision=revision, candidate=tried)
        return True

    def endpoints(self, revision: int) -> None:
        """Its endpoint list, and the hosts that operators have disabled."""
        disabled = self._limiter.disabled_hosts()
        if disabled != self._disabled_hosts:
            self._disabled_hosts = set(disabled)
            digest = versions.overrides_digest(disabled)
            hosts = dict.fromkeys(sorted(disabled), 1)
            self._add(EntryKind.OVERRIDES, digest, hosts=hosts, revision=revision)
        index = self._limiter.endpoint_list()[0]
        if index != self._list_index:
            reason = (
                ""
                if index > self._list_index
                else "an older index: discovery began anew or is another"
            )
            self._list_index = index
            self._add(EntryKind.ENDPOINT_LIST, f"{index}", reason, revision=revision)

    def peers(self, known: KnownVersions, revision: int) -> None:
        """The settings that others act on, where they have changed since the last call."""
        for number, peer_versions in known.take_changed():
            settings = _without_other_versions(peer_versions)
            if number != self._limiter_id and self._peer_versions.get(number) != settings:
                self._peer_versions[number] = settings
                encoded = versions.encode(peer_versions)
                self._add(EntryKind.PEER_VERSIONS, encoded, revision=revision, peer=number)

    def second(self, digest: str, revision: int) -> None:
        """What was done in the last second, under these settings."""
        figures = self._limiter.request_counts()
        counts = {name: count - self._figures.get(name, 0) for name, count in figures.items()}
        self._figures = figures
        hosts = self._limiter.drain_attempts()
        if any(counts.values()) or hosts:
            more: dict[str, Any] = {
                "counts": counts,
                "hosts": dict(hosts),
                "samples": self._limiter.drain_samples(),
            }
            self._add(EntryKind.ACTIVITY, digest, revision=revision, **more)

    def verdict(self, now: float, verdict: AdmissionVerdict, revision: int) -> None:
        """Whether it may take new work has changed."""
        self._record.add(now, EntryKind.VERDICT, verdict.state, verdict.reason, revision=revision)

    def rollout(self, event: RolloutEvent, reason: str, revision: int) -> None:
        """What became of settings that are tried."""
        self._add(EntryKind.ROLLOUT, event, reason, revision=revision)
        warns = event in (RolloutEvent.HELD, RolloutEvent.REFUSED)
        level = logging.WARNING if warns else logging.INFO
        log.log(level, "audit: candidate %d %s: %s", revision, event, reason)

    def _add(self, kind: EntryKind, version: str, reason: str = "", **fields: Any) -> None:
        self._record.add(self._clock(), kind, version, reason, **fields)


def _without_other_versions(peer_versions: Versions) -> Versions:
    """Without what says nothing of the settings."""
    return peer_versions._replace(program="", list_index=0, discovery="", overrides="")
