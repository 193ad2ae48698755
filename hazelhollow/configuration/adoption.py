"""A new configuration arrives: which one is adopted, who says so if it cannot be, what stays.

| it arrives               | checked by                 | if it cannot be used                    |
| ------------------------ | -------------------------- | --------------------------------------- |
| in this limiter's file,  | `net/settings_reload`, at  | it logs "the configuration stays as it  |
| by an operator           | SIGHUP                     | was"; the revision that goes with it is |
|                          |                            | not taken over either                   |
| in the operator file     | `operator/attach`, at      | it logs "the operator file stays as it  |
|                          | SIGHUP                     | was", a line for each problem           |
| by `config push`         | `RolloutControl.push`      | the call is answered with the error     |
| from members that have   | `SettingsAdoption.propose` | it logs "audit: order N cannot be       |
| it in force              |                            | taken", N the revision; `AdmissionRule` |
|                          |                            | has the reason, which `call fleet`      |
|                          |                            | shows as `why`, and the record with the |
|                          |                            | verdict                                 |
| from canaries that try   | `SettingsAdoption.propose` | an error is logged; the record has the  |
| it                       |                            | event `refused`; the leader holds the   |
|                          |                            | candidate when too few have tried it    |
| in pieces that do not    | `DocumentFetch.put`        | they are requested anew; the verdict    |
| make what was announced  |                            | says that nobody gave it, FETCH_TIMEOUT_S|
|                          |                            | after the last piece, MAX_FETCH_S at most|

In each case the settings before stay in force, whole, under their own revision. Whether the member
may go on taking work on them is decided in `admission_verdict` alone.

Adoption of settings that can be used:

    proposed -> on record -> on disk, or RECORD_WAIT_S later -> in force and announced
    proposed -> refused
    proposed -> on record -> cancelled by a reload, a push or a roll back

No timers: the driver calls `advance` until it returns False.
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

# Settings of another member are acted on when they are on disk, or then at the latest.
RECORD_WAIT_S = 1.0

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class WantedSettings:
    """Settings that this member is to act on; `invitation`: to try as a canary."""

    document: WantedDocument
    invitation: CanaryInvitation | None = None


@dataclass(frozen=True)
class ProposedSettings:
    """Settings that are here and may be adopted.

    Attributes:
        revision: their revision.
        digest: their digest.
        document: the settings.
        reason: how they came here, for the record.
        invitation: set if they are to be tried as a canary.
    """

    revision: int
    digest: str
    document: Mapping[str, Any]
    reason: str
    invitation: CanaryInvitation | None = None


class SettingsAdoption:
    """Decides which settings this member is to act on, and has it act on them.

    Args:
        state: what the member acts on and knows.
        keeper: records and announces it.
        reevaluate: has the admission verdict evaluated again.
    """

    def __init__(
        self, state: ConfigurationState, keeper: RecordKeeper, reevaluate: Callable[[], None]
    ) -> None:
        self._state, self._keeper, self._reevaluate = state, keeper, reevaluate
        self._pending: ProposedSettings | None = None
        self._pending_until = 0.0  # seconds of the clock

    def wanted(self, verdict: AdmissionVerdict) -> WantedSettings | None:
        """The settings in force that this member lacks, or else those that it is to try."""
        known = self._state.known()
        revision, digests = known.newest()
        if verdict.holders and digests:
            document = WantedDocument(revision, next(iter(digests)), verdict.holders)
            return WantedSettings(document)
        invitation = self._state.rollout.invitation(known)
        if invitation is None:
            return None
        document = WantedDocument(invitation.revision, invitation.digest, invitation.holders)
        return WantedSettings(document, invitation)

    def accept(self, received: ReceivedDocument) -> ProposedSettings | None:
        """What to propose of a document that has come, if it is still wanted."""
        known = self._state.known()
        revision, digests = known.newest()
        reason = f"given by member {received.sender}"
        if (received.revision, {received.digest}) == (revision, digests):
            return ProposedSettings(revision, received.digest, received.document, reason)
        invitation = self._state.rollout.invitation(known)
        if invitation is None:
            return None
        if (invitation.revision, invitation.digest) != (received.revision, received.digest):
            return None
        return ProposedSettings(
            received.revision, received.digest, received.document, reason, invitation
        )

    def is_pending(self, revision: int, digest: str) -> bool:
        """Whether these settings are about to be acted on."""
        pending = self._pending
        return pending is not None and (pending.revision, pending.digest) == (revision, digest)

    def propose(self, settings: ProposedSettings) -> bool:
        """Refuses settings that the limiter cannot use, or records them ahead.

        Returns:
            Whether `advance` is to be called with them now.
        """
        if self.is_pending(settings.revision, settings.digest):
            return False
        state = self._state
        unusable = ""
        if settings.digest != state.in_force.digest():
            unusable = state.limiter.check_settings(settings.document)
        if unusable:
            self._refuse(settings, unusable)
            return False
        self._pending = settings
        self._pending_until = state.clock() + RECORD_WAIT_S
        tried = settings.invitation is not None
        self._keeper.record_ahead(settings.digest, settings.revision, tried, settings.reason)
        return True

    def advance(self, settings: ProposedSettings) -> bool:
        """Puts proposed settings in force once they are on disk; whether to call it again soon."""
        if settings is not self._pending:
            return False
        if not self._keeper.is_written() and self._state.clock() < self._pending_until:
            return True
        self.cancel()
        self._put_in_force(settings)
        return False

    def cancel(self) -> None:
        """What was proposed is not to be acted on any more."""
        self._pending = None
        self._keeper.settle()

    def _put_in_force(self, settings: ProposedSettings) -> None:
        state = self._state
        unusable = state.in_force.apply(settings.digest, settings.document)
        if unusable:
            self._refuse(settings, unusable)
            return
        state.in_force.set_given_revision(settings.revision)
        if settings.invitation:
            state.rollout.join(settings.invitation.candidate, state.limiter.request_counts())
            state.activity.rollout(RolloutEvent.TAKEN, settings.reason, state.in_force.revision())
        else:
            state.rollout.end()
        self._keeper.publish(settings.reason)
        self._reevaluate()
        log.info("audit: settings of order %d taken: %s", settings.revision, settings.reason)

    def _refuse(self, settings: ProposedSettings, reason: str) -> None:
        """The settings before stay in force."""
        if settings.invitation:
            self._state.rollout.refuse(settings.invitation)
            self._state.activity.rollout(RolloutEvent.REFUSED, reason, settings.revision)
        else:
            self._state.admission.settings_refused(settings.revision, reason)
        self._state.log.log(
            logging.ERROR, "audit: order %d cannot be taken: %s", settings.revision, reason
        )
