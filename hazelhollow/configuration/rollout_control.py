"""Carries out rollouts at one member, as requested by operators or decided by `rollout`.

Each operation for an operator raises RolloutRefusedError and changes nothing if it cannot be
carried out.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from hazelhollow.configuration import versions
from hazelhollow.configuration.admission_verdict import AdmissionVerdict, SettingsState
from hazelhollow.configuration.adoption import SettingsAdoption
from hazelhollow.configuration.errors import RolloutRefusedError
from hazelhollow.configuration.record_keeping import RecordKeeper
from hazelhollow.configuration.rollout import RolloutEvent
from hazelhollow.configuration.state import ConfigurationState
from hazelhollow.configuration.versions import MAX_CANARIES, MAX_REVISION, Candidate
from hazelhollow.missing_keys import describe_missing_keys
from hazelhollow.net.settings_reload import OWN_SETTINGS


class RolloutControl:
    """Begins, holds, releases and ends rollouts.

    Args:
        state: The member's settings and what it knows of the other members.
        keeper: Records and announces the member's versions.
        adoption: The adoption in progress, which an operator's decision cancels.
        verdict: Returns the newest admission verdict.
        reevaluate: Triggers a new evaluation of the admission verdict.
    """

    def __init__(
        self,
        state: ConfigurationState,
        keeper: RecordKeeper,
        adoption: SettingsAdoption,
        verdict: Callable[[], AdmissionVerdict],
        reevaluate: Callable[[], None],
    ) -> None:
        self._state, self._keeper, self._adoption = state, keeper, adoption
        self._verdict, self._reevaluate = verdict, reevaluate

    @property
    def candidate(self) -> Candidate | None:
        """The candidate that this member tries; None: its settings are in force."""
        return self._state.rollout.candidate

    def tick(self, now: float, may_admit: bool) -> None:
        """Holds or releases the candidate as `rollout` decides.

        `may_admit` says whether this member admits work.
        """
        state = self._state
        verdict = state.rollout.evaluate(
            state.known_versions(), state.limiter.request_counts(), now, may_admit
        )
        if verdict is None:
            return
        if verdict.event is RolloutEvent.HELD:
            self._hold(verdict.reason)
        else:
            self._release(verdict.reason)

    def push(self, revision: int, canaries: int, after: float, document: Mapping[str, Any]) -> None:
        """Starts a rollout of these settings, led by this member.

        Args:
            revision: Revision of the settings; greater than all others, up to MAX_REVISION.
            canaries: Number of members that try them, this one included.
            after: Seconds after which they come into force for all, unless they are held.
            document: The settings.
        """
        state = self._state
        self._check_push(revision, canaries, document)
        unusable_reason = state.limiter.apply_settings(document)
        if unusable_reason:
            raise RolloutRefusedError(unusable_reason)
        self._adoption.cancel()
        state.in_force.set_adopted_revision(revision)
        state.rollout.push(canaries, state.clock() + after, state.limiter.request_counts())
        self._record(
            RolloutEvent.PUSHED, f"{canaries} members try it, all act on it after {after:g} s"
        )
        self._keeper.publish("pushed by an operator")

    def _check_push(self, revision: int, canaries: int, document: Mapping[str, Any]) -> None:
        known_versions = self._state.known_versions()
        greatest = known_versions.greatest()
        state = self._verdict().state
        if state is not SettingsState.CURRENT:
            raise RolloutRefusedError(
                f"this member is not on the newest settings: its state is {state}"
            )
        if not greatest < revision <= MAX_REVISION:
            raise RolloutRefusedError(
                f"order {revision} is not above {greatest}, the greatest in use, or is above "
                f"{MAX_REVISION}, the maximum"
            )
        max_canaries = min(MAX_CANARIES, len(known_versions) - 1)
        if not 1 <= canaries <= max_canaries:
            raise RolloutRefusedError(
                f"{canaries} canaries: of the {len(known_versions)} members that are up, at least "
                f"1 and {max_canaries} at most can try settings"
            )
        if versions.settings_digest(document) == self._state.in_force.digest():
            raise RolloutRefusedError("this member acts on these settings already")
        in_force = self._state.limiter.settings_document()
        shared = {key: value for key, value in in_force.items() if key not in OWN_SETTINGS}
        missing_keys = describe_missing_keys(shared, document)
        if missing_keys:
            raise RolloutRefusedError(missing_keys)

    def hold(self) -> None:
        """Holds the candidate that this member tries: no other member adopts it."""
        self._check_candidate()
        self._hold("by an operator")

    def release(self) -> None:
        """Puts the candidate that this member tries in force for all."""
        self._check_candidate()
        revision = self._state.in_force.revision()
        if len(self._state.known_versions().digests_of(revision)) > 1:
            raise RolloutRefusedError(
                f"order {revision} stands for other settings at other members: push one of them "
                "under a greater order"
            )
        self._release("by an operator")

    def _check_candidate(self) -> None:
        if self.candidate is not None:
            return
        trying = sorted(self._state.known_versions().canaries())
        if not trying:
            raise RolloutRefusedError("no settings are tried at any member that is up")
        raise RolloutRefusedError(
            f"this member tries no settings; members that do: {', '.join(map(str, trying))}"
        )

    def roll_back(self) -> None:
        """Puts the previous settings in force for all, under a new greatest revision.

        These are the settings in force before the candidate if there is one, and otherwise the
        predecessor of the settings in force.
        """
        state = self._state
        known_versions = state.known_versions()
        digest = state.in_force.rollback_digest(bool(known_versions.canaries()))
        document = state.in_force.history.document(digest) if digest else None
        if document is None:
            raise RolloutRefusedError(
                "this member has no earlier settings; roll back at another one, or push them "
                "under a greater order"
            )
        revision = known_versions.greatest() + 1
        if revision > MAX_REVISION:
            raise RolloutRefusedError(
                f"a rollback needs order {revision}, but the greatest is {MAX_REVISION}"
            )
        unusable_reason = state.in_force.apply(digest, document)
        if unusable_reason:
            raise RolloutRefusedError(unusable_reason)
        state.in_force.set_adopted_revision(revision)
        self._adoption.cancel()
        state.rollout.end()
        self._record(RolloutEvent.ROLLED_BACK, "by an operator")
        self._keeper.publish("rolled back by an operator")
        self._reevaluate()

    def _hold(self, reason: str) -> None:
        self._state.rollout.hold()
        self._record(RolloutEvent.HELD, reason)
        self._keeper.publish("held")

    def _release(self, reason: str) -> None:
        self._record(RolloutEvent.RELEASED, reason)
        self._state.rollout.end()
        self._keeper.publish("released")
        self._reevaluate()

    def _record(self, event: RolloutEvent, reason: str) -> None:
        self._state.activity.rollout(event, reason, self._state.in_force.revision())
