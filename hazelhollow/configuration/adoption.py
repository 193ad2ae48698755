"""Adoption of new settings, and what happens when they cannot be used.

| settings arrive          | checked by                 | if they cannot be used                  |
| ------------------------ | -------------------------- | --------------------------------------- |
| in this limiter's file,  | `net/settings_reload`, at  | it logs "the configuration stays as it  |
| by an operator           | SIGHUP                     | was"; the revision of the file is not   |
|                          |                            | adopted either                          |
| in the operator file     | `operator/attach`, at      | it logs "the operator file stays as it  |
|                          | SIGHUP                     | was", a line for each problem           |
| by `config push`         | `RolloutControl.push`      | the call is answered with the error     |
| from members that have   | `SettingsAdoption.propose` | it logs "audit: order N cannot be       |
| them in force            |                            | adopted", where N is the revision;      |
|                          |                            | `AdmissionRule` keeps the reason, which |
|                          |                            | `call fleet` shows as `why` and the     |
|                          |                            | record holds with the verdict           |
| from canaries that try   | `SettingsAdoption.propose` | an error is logged; the record has the  |
| them                     |                            | event `refused`; the leader holds the   |
|                          |                            | candidate if too few members tried it   |
| in pieces that do not    | `DocumentFetch.put`        | the pieces are requested again; the     |
| make the announced       |                            | verdict gives as reason that no member  |
| document                 |                            | sent it, FETCH_TIMEOUT_S after the last |
|                          |                            | piece or after MAX_FETCH_S at the latest|

In each case the previous settings stay in force, unchanged and under their own revision. Whether
the member may accept new work under them is decided in `admission_verdict` alone.

Adoption of settings that can be used:

    proposed -> on record -> on disk, or RECORD_WAIT_S later -> in force and announced
    proposed -> refused
    proposed -> on record -> cancelled by a reload, a push or a rollback

This module sets no timers: the driver calls `advance` until it returns False.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from hazelhollow.configuration.admission_verdict import AdmissionVerdict
from hazelhollow.configuration.distribution.exchange import ReceivedDocument, WantedDocument
from hazelhollow.configuration.record_keeping import RecordKeeper
from hazelhollow.configuration.rollout import CanaryInvitation, RolloutEvent
from hazelhollow.configuration.state import ConfigurationState

# Settings from another member are put in force once the record of them is on disk, or after this
# time at the latest.
RECORD_WAIT_S = 1.0

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class WantedSettings:
    """Settings that this member has to adopt; `invitation` is set if it tries them as a canary."""

    document: WantedDocument
    invitation: CanaryInvitation | None = None


@dataclass(frozen=True)
class ProposedSettings:
    """Settings that this member has received and may adopt.

    Attributes:
        revision: Revision of the settings.
        digest: Digest of the settings.
        document: The settings themselves.
        reason: How this member got them, for the record.
        invitation: Set if they are to be tried as a canary.
    """

    revision: int
    digest: str
    document: Mapping[str, Any]
    reason: str
    invitation: CanaryInvitation | None = None


class SettingsAdoption:
    """Decides which settings this member has to adopt, and adopts them.

    Args:
        state: The member's settings and what it knows of the other members.
        keeper: Records and announces the member's versions.
        reevaluate: Triggers a new evaluation of the admission verdict.
    """

    def __init__(
        self, state: ConfigurationState, keeper: RecordKeeper, reevaluate: Callable[[], None]
    ) -> None:
        self._state, self._keeper, self._reevaluate = state, keeper, reevaluate
        self._pending: ProposedSettings | None = None
        self._pending_until = 0.0  # seconds of the clock

    def wanted(self, verdict: AdmissionVerdict) -> WantedSettings | None:
        """Returns the settings in force that this member lacks, or else those that it is to try."""
        known_versions = self._state.known_versions()
        revision, digests = known_versions.newest()
        if verdict.holders and digests:
            document = WantedDocument(revision, next(iter(digests)), verdict.holders)
            return WantedSettings(document)
        invitation = self._state.rollout.invitation(known_versions)
        if invitation is None:
            return None
        document = WantedDocument(invitation.revision, invitation.digest, invitation.holders)
        return WantedSettings(document, invitation)

    def accept(self, received: ReceivedDocument) -> ProposedSettings | None:
        """Returns the proposal for a document that has arrived; None if it is no longer wanted."""
        known_versions = self._state.known_versions()
        revision, digests = known_versions.newest()
        reason = f"given by member {received.sender}"
        if (received.revision, {received.digest}) == (revision, digests):
            return ProposedSettings(revision, received.digest, received.document, reason)
        invitation = self._state.rollout.invitation(known_versions)
        if invitation is None:
            return None
        if (invitation.revision, invitation.digest) != (received.revision, received.digest):
            return None
        return ProposedSettings(
            received.revision, received.digest, received.document, reason, invitation
        )

    def is_pending(self, revision: int, digest: str) -> bool:
        """Whether these settings were proposed and wait to be put in force."""
        pending = self._pending
        return pending is not None and (pending.revision, pending.digest) == (revision, digest)

    def propose(self, settings: ProposedSettings) -> bool:
        """Refuses settings that the limiter cannot use; records others before they are in force.

        Returns:
            Whether `advance` has to be called with them now.
        """
        if self.is_pending(settings.revision, settings.digest):
            return False
        state = self._state
        unusable_reason = ""
        if settings.digest != state.in_force.digest():
            unusable_reason = state.limiter.check_settings(settings.document)
        if unusable_reason:
            self._refuse(settings, unusable_reason)
            return False
        self._pending = settings
        self._pending_until = state.clock() + RECORD_WAIT_S
        tried = settings.invitation is not None
        self._keeper.record_ahead(settings.digest, settings.revision, tried, settings.reason)
        return True

    def advance(self, settings: ProposedSettings) -> bool:
        """Puts proposed settings in force once they are on disk.

        Returns:
            Whether it has to be called again soon.
        """
        if settings is not self._pending:
            return False
        if not self._keeper.is_written() and self._state.clock() < self._pending_until:
            return True
        self.cancel()
        self._put_in_force(settings)
        return False

    def cancel(self) -> None:
        """Withdraws the proposed settings."""
        self._pending = None
        self._keeper.resume_recording()

    def _put_in_force(self, settings: ProposedSettings) -> None:
        state = self._state
        unusable_reason = state.in_force.apply(settings.digest, settings.document)
        if unusable_reason:
            self._refuse(settings, unusable_reason)
            return
        state.in_force.set_adopted_revision(settings.revision)
        if settings.invitation:
            state.rollout.join(settings.invitation.candidate, state.limiter.request_counts())
            state.activity.rollout(RolloutEvent.TAKEN, settings.reason, state.in_force.revision())
        else:
            state.rollout.end()
        self._keeper.publish(settings.reason)
        self._reevaluate()
        log.info("audit: settings of order %d adopted: %s", settings.revision, settings.reason)

    def _refuse(self, settings: ProposedSettings, reason: str) -> None:
        """Records and logs a refusal; the previous settings stay in force."""
        if settings.invitation:
            self._state.rollout.refuse(settings.invitation)
            self._state.activity.rollout(RolloutEvent.REFUSED, reason, settings.revision)
        else:
            self._state.admission.settings_refused(settings.revision, reason)
        self._state.log.log(
            logging.ERROR, "audit: order %d cannot be adopted: %s", settings.revision, reason
        )
