"""Records a member's own actions and the settings that it observes at other members."""

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
    """The methods of the limiter that the recorder uses."""

    def endpoint_list(self) -> tuple[int, str]:
        """Returns the index of its endpoint list, and the address of discovery."""

    def disabled_hosts(self) -> set[str]:
        """Returns the hosts that operators have disabled."""

    def request_counts(self) -> dict[str, int]:
        """Returns monotonic counts: requests, served, refused, failed."""

    def drain_attempts(self) -> Counter[str]:
        """Returns the attempts by host since the last call, and resets them."""

    def drain_samples(self) -> list[str]:
        """Returns the ids of some or all requests since the last call, and clears them."""


class ActivityRecorder:
    """Adds one member's entries to its record, most kinds only when something has changed."""

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
        self._peer_versions: dict[int, Versions] = {}  # as last recorded
        self._last_totals: dict[str, int] = {}

    def program(self, version: str, reason: str, revision: int) -> None:
        """Records the start or the end of the program."""
        self._add(EntryKind.PROGRAM, version, reason, revision=revision)

    def settings(self, digest: str, revision: int, tried: bool, reason: str) -> bool:
        """Records settings in force or about to be; returns whether they differ from the last."""
        if (digest, revision, tried) == self._settings:
            return False
        self._settings = digest, revision, tried
        self._add(EntryKind.SETTINGS, digest, reason, revision=revision, candidate=tried)
        return True

    def endpoints(self, revision: int) -> None:
        """Records changes of the endpoint list and of the hosts that operators have disabled."""
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

    def peers(self, known_versions: KnownVersions, revision: int) -> None:
        """Records the settings of other members that have changed since the last call."""
        for number, peer_versions in known_versions.drain_changed():
            settings = _without_other_versions(peer_versions)
            if number != self._limiter_id and self._peer_versions.get(number) != settings:
                self._peer_versions[number] = settings
                encoded = versions.encode(peer_versions)
                self._add(EntryKind.PEER_VERSIONS, encoded, revision=revision, peer=number)

    def second(self, digest: str, revision: int) -> None:
        """Records the requests and attempts of the last second, under these settings."""
        totals = self._limiter.request_counts()
        counts = {name: count - self._last_totals.get(name, 0) for name, count in totals.items()}
        self._last_totals = totals
        hosts = self._limiter.drain_attempts()
        if any(counts.values()) or hosts:
            activity_fields: dict[str, Any] = {
                "counts": counts,
                "hosts": dict(hosts),
                "samples": self._limiter.drain_samples(),
            }
            self._add(EntryKind.ACTIVITY, digest, revision=revision, **activity_fields)

    def verdict(self, now: float, verdict: AdmissionVerdict, revision: int) -> None:
        """Records a change of the admission verdict."""
        self._record.add(now, EntryKind.VERDICT, verdict.state, verdict.reason, revision=revision)

    def rollout(self, event: RolloutEvent, reason: str, revision: int) -> None:
        """Records and logs an event of a candidate."""
        self._add(EntryKind.ROLLOUT, event, reason, revision=revision)
        warns = event in (RolloutEvent.HELD, RolloutEvent.REFUSED)
        level = logging.WARNING if warns else logging.INFO
        log.log(level, "audit: candidate %d %s: %s", revision, event, reason)

    def _add(self, kind: EntryKind, version: str, reason: str = "", **fields: Any) -> None:
        self._record.add(self._clock(), kind, version, reason, **fields)


def _without_other_versions(peer_versions: Versions) -> Versions:
    """Clears the versions that do not concern the settings."""
    return peer_versions._replace(program="", list_index=0, discovery="", overrides="")
