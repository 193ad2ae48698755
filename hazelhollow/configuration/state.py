"""What one member acts on and what it knows of the others: shared by the parts of the driver."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from hazelhollow import __version__
from hazelhollow.configuration import versions
from hazelhollow.configuration.admission_verdict import AdmissionRule, AdmissionVerdict
from hazelhollow.configuration.audit.activity import ActivityRecorder, ObservedLimiter
from hazelhollow.configuration.audit.record import AuditRecord
from hazelhollow.configuration.distribution.history import SettingsHistory
from hazelhollow.configuration.known_versions import KnownVersions
from hazelhollow.configuration.rollout import CanaryRollout
from hazelhollow.configuration.versions import Candidate, Versions
from hazelhollow.decisions.gossip import codec as gossip_codec
from hazelhollow.net.rate_limited_log import RateLimitedLog

log = logging.getLogger(__name__)


class ConfigurableLimiter(ObservedLimiter, Protocol):
    """What is asked of the limiter."""

    def settings_document(self) -> Mapping[str, Any]:
        """The settings document that it acts on; another object whenever they change."""

    def check_settings(self, document: Mapping[str, Any]) -> str:
        """Why a running limiter cannot use settings of another member; empty if it can."""

    def apply_settings(self, document: Mapping[str, Any]) -> str:
        """Acts on settings of another member from now on, unless it cannot: then why."""


class SettingsInForce:
    """The settings that this member acts on, and those before.

    Args:
        limiter: acts on them.
        file_revision: the operator's number of them, as the operator file says it now.
    """

    def __init__(self, limiter: ConfigurableLimiter, file_revision: Callable[[], int]) -> None:
        self.history = SettingsHistory()
        self._limiter, self._file_revision = limiter, file_revision
        self._given_revision = 0  # of settings that a peer gave, or that are tried
        self._document: Mapping[str, Any] | None = None  # of which `_digest` is the digest
        self._digest = ""
        # The last two digests of settings that were in force here, and not only tried.
        self._digests_in_force = list[str]()

    def revision(self) -> int:
        """The greater one of the file's revision and the one given with the settings."""
        return max(self._file_revision(), self._given_revision)

    def digest(self) -> str:
        """The digest of the settings."""
        document = self._limiter.settings_document()
        if self._document is not document:
            self._set(document, versions.settings_digest(document))
        return self._digest

    def document(self) -> Mapping[str, Any]:
        """The settings."""
        self.digest()
        assert self._document is not None
        return self._document

    def apply(self, digest: str, document: Mapping[str, Any]) -> str:
        """Has the limiter act on a document of a known digest; why it cannot, or nothing."""
        reason = self._limiter.apply_settings(document) if digest != self.digest() else ""
        if not reason:
            self._set(self._limiter.settings_document(), digest)
        return reason

    def set_given_revision(self, revision: int) -> None:
        """The settings were given to this member under that revision."""
        self._given_revision = revision

    def clear_given_revision(self) -> None:
        """Only the revision of the file counts now."""
        self._given_revision = 0

    def remember_in_force(self, digest: str) -> None:
        """These settings are in force here, and not only tried."""
        if self._digests_in_force[-1:] != [digest]:
            self._digests_in_force = [*self._digests_in_force[-1:], digest]

    def rollback_digest(self, candidate_exists: bool) -> str:
        """The digest of the settings that a roll back restores; empty where none are known.

        That is, what was in force before a candidate, or else before what is in force.
        """
        earlier = self._digests_in_force if candidate_exists else self._digests_in_force[:-1]
        return earlier[-1] if earlier else ""

    def _set(self, document: Mapping[str, Any], digest: str) -> None:
        self._document, self._digest = document, digest
        self.history.put(digest, versions.shared_settings(document))


class ConfigurationState:
    """One member's state, and its part in each rule.

    Args:
        limiter_id: the member's number.
        limiter: the limiter itself.
        file_revision: the operator's number of the settings, as the operator file says it now.
        record: where it writes down what it acts on.
        clock: seconds.
    """

    def __init__(
        self,
        limiter_id: int,
        limiter: ConfigurableLimiter,
        file_revision: Callable[[], int],
        record: AuditRecord,
        clock: Callable[[], float],
    ) -> None:
        self.limiter_id, self.limiter, self.clock = limiter_id, limiter, clock
        self.in_force = SettingsInForce(limiter, file_revision)
        self.admission, self.rollout = AdmissionRule(limiter_id), CanaryRollout(limiter_id)
        self.activity = ActivityRecorder(limiter_id, record, limiter, clock)
        self.log = RateLimitedLog(log, clock)  # for what others can cause many times
        self.peers = KnownVersions()  # this member's own versions among them as of `known`

    def versions(self) -> Versions:
        """What this member acts on now."""
        list_index, discovery = self.limiter.endpoint_list()
        return Versions(
            gossip_codec.DIALECT,
            versions.program_digest(__version__),
            self.in_force.revision(),
            self.in_force.digest(),
            versions.bounded_list_index(list_index),
            versions.discovery_digest(discovery),
            versions.overrides_digest(self.limiter.disabled_hosts()),
            self.rollout.candidate,
        )

    def known(self) -> KnownVersions:
        """What the members that are up act on, this one as it is now."""
        self.peers.put(self.limiter_id, self.versions())
        return self.peers

    def document(self, verdict: AdmissionVerdict) -> dict[str, Any]:
        """What `call fleet` shows as `audit`."""
        return {
            "order": self.in_force.revision(),
            "settings": self.in_force.digest(),
            "candidate": _candidate_document(self.rollout.candidate),
            "state": verdict.state,
            "why": verdict.reason,
            "members": {
                str(number): {
                    "order": member.revision,
                    "settings": member.settings,
                    "candidate": _candidate_document(member.candidate),
                    "listed": member.list_index,
                }
                for number, member in sorted(self.known().items())
            },
        }


def _candidate_document(candidate: Candidate | None) -> dict[str, Any] | None:
    if candidate is None:
        return None
    return {"canaries": candidate.canaries, "phase": candidate.phase.name.lower()}
