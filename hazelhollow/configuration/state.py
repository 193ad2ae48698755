"""Settings of one member and its knowledge of the others, shared by the parts of the driver."""

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
    """The methods of the limiter that the configuration driver uses."""

    def settings_document(self) -> Mapping[str, Any]:
        """Returns the settings document in use; a new object whenever the settings change."""

    def check_settings(self, document: Mapping[str, Any]) -> str:
        """Returns why the limiter cannot use settings while it runs; empty if it can."""

    def apply_settings(self, document: Mapping[str, Any]) -> str:
        """Puts settings of another member in force; returns why it cannot, or an empty string."""


class SettingsInForce:
    """The settings that this member acts on, and its earlier ones.

    Args:
        limiter: The limiter that uses the settings.
        file_revision: Returns the revision that the operator file names at the time of the call.
    """

    def __init__(self, limiter: ConfigurableLimiter, file_revision: Callable[[], int]) -> None:
        self.history = SettingsHistory()
        self._limiter, self._file_revision = limiter, file_revision
        self._adopted_revision = 0  # 0 while the file's revision applies
        self._document: Mapping[str, Any] | None = None  # the document that `_digest` belongs to
        self._digest = ""
        # Digests of the last two settings that were in force here, without those only tried.
        self._digests_in_force = list[str]()

    def revision(self) -> int:
        """Returns the greater of the file's revision and the one adopted with the settings."""
        return max(self._file_revision(), self._adopted_revision)

    def digest(self) -> str:
        """Returns the digest of the settings in use."""
        document = self._limiter.settings_document()
        if self._document is not document:
            self._set(document, versions.settings_digest(document))
        return self._digest

    def document(self) -> Mapping[str, Any]:
        """Returns the settings in use."""
        self.digest()
        assert self._document is not None
        return self._document

    def apply(self, digest: str, document: Mapping[str, Any]) -> str:
        """Puts a document in force; returns why the limiter cannot use it, or an empty string."""
        reason = self._limiter.apply_settings(document) if digest != self.digest() else ""
        if not reason:
            self._set(self._limiter.settings_document(), digest)
        return reason

    def set_adopted_revision(self, revision: int) -> None:
        """Sets the revision of settings that a peer sent, or that were pushed or rolled back."""
        self._adopted_revision = revision

    def clear_adopted_revision(self) -> None:
        """Makes the file's revision the only one that applies."""
        self._adopted_revision = 0

    def remember_in_force(self, digest: str) -> None:
        """Notes that these settings are in force here, not only tried."""
        if self._digests_in_force[-1:] != [digest]:
            self._digests_in_force = [*self._digests_in_force[-1:], digest]

    def rollback_digest(self, candidate_exists: bool) -> str:
        """Returns the digest of the settings that a rollback restores; empty if there are none.

        These are the settings in force before the candidate if there is one, and otherwise the
        predecessor of the settings in force.
        """
        earlier = self._digests_in_force if candidate_exists else self._digests_in_force[:-1]
        return earlier[-1] if earlier else ""

    def _set(self, document: Mapping[str, Any], digest: str) -> None:
        self._document, self._digest = document, digest
        self.history.put(digest, versions.shared_settings(document))


class ConfigurationState:
    """One member's state, including that of its admission and rollout rules.

    Args:
        limiter_id: The member's number.
        limiter: The limiter itself.
        file_revision: Returns the revision that the operator file names at the time of the call.
        record: The audit record of this member.
        clock: Returns seconds.
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
        self.log = RateLimitedLog(log, clock)  # for messages that other members can trigger often
        self.peers = KnownVersions()  # own versions included, as of the last `known_versions`

    def versions(self) -> Versions:
        """Returns the versions that this member acts on now."""
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

    def known_versions(self) -> KnownVersions:
        """Returns the versions of the members that are up, with this member's current ones."""
        self.peers.put(self.limiter_id, self.versions())
        return self.peers

    def document(self, verdict: AdmissionVerdict) -> dict[str, Any]:
        """Returns what `call fleet` shows as `audit`."""
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
                for number, member in sorted(self.known_versions().items())
            },
        }


def _candidate_document(candidate: Candidate | None) -> dict[str, Any] | None:
    if candidate is None:
        return None
    return {"canaries": candidate.canaries, "phase": candidate.phase.name.lower()}
