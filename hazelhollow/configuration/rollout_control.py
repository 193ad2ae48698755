"""A canary rollout at one member: what operators ask for, and what the rule in `rollout` decides.

Each operation of an operator raises RolloutRefusedError, and changes nothing, if it cannot be
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


class RolloutControl:
    """Begins, holds, releases and ends rollouts.

    Args:
        state: what the member acts on and knows.
        keeper: records and announces it.
        adoption: what is cancelled when an operator decides otherwise.
        verdict: the newest admission verdict.
        reevaluate: has the admission verdict evaluated again.
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
        """What this member tries; None: its settings are in force."""
        return self._state.rollout.candidate

    def tick(self, now: float, may_admit: bool) -> None:
        """Holds or releases the candidate, if it is time; `may_admit`: the member takes work."""
        state = self._state
        verdict = state.rollout.evaluate(
            state.known(), state.limiter.request_counts(), now, may_admit
        )
        if verdict is None:
            return
        if verdict.event is RolloutEvent.HELD:
            self._hold(verdict.reason)
        else:
            self._release(verdict.reason)

    def push(self, revision: int, canaries: int, after: float, document: Mapping[str, Any]) -> None:
        """This member and others try these settings.

        Args:
            revision: greater than all others, up to MAX_REVISION.
            canaries: members that try them, this one among them.
            after: seconds after which they come into force for all, if nothing speaks against it.
            document: the settings.
        """
        state = self._state
        self._check_push(revision, canaries, document)
        unusable = state.limiter.apply_settings(document)
        if unusable:
            raise RolloutRefusedError(unusable)
        self._adoption.cancel()
        state.in_force.set_given_revision(revision)
        state.rollout.push(canaries, state.clock() + after, state.limiter.request_counts())
        self._record(
            RolloutEvent.PUSHED, f"{canaries} members try it, all act on it after {after:g} s"
        )
        self._keeper.publish("pushed by an operator")

    def _check_push(self, revision: int, canaries: int, document: Mapping[str, Any]) -> None:
        known = self._state.known()
        greatest = known.greatest()
        state = self._verdict().state
        if state is not SettingsState.CURRENT:
            raise RolloutRefusedError(f"this member is not on the newest settings: {state}")
        if not greatest < revision <= MAX_REVISION:
            raise RolloutRefusedError(
                f"order {revision} is not above {greatest}, the greatest that is out, or above "
                f"{MAX_REVISION}"
            )
        most = min(MAX_CANARIES, len(known) - 1)
        if not 1 <= canaries <= most:
            raise RolloutRefusedError(
                f"{canaries} members cannot try it first: of {len(known)} that are up {most} "
                "at most"
            )
        if versions.settings_digest(document) == self._state.in_force.digest():
            raise RolloutRefusedError("these are the settings that this member acts on")

    def hold(self) -> None:
        """The candidate that this member tries stays with those that try it."""
        self._check_candidate()
        self._hold("by an operator")

    def release(self) -> None:
        """The candidate that this member tries is in force for all from now on."""
        self._check_candidate()
        revision = self._state.in_force.revision()
        if len(self._state.known().digests_of(revision)) > 1:
            raise RolloutRefusedError(
                f"order {revision} stands for other settings at others: push one of them "
                "under a greater order"
            )
        self._release("by an operator")

    def _check_candidate(self) -> None:
        if self.candidate is not None:
            return
        trying = sorted(self._state.known().canaries())
        if not trying:
            raise RolloutRefusedError("no settings are tried anywhere")
        raise RolloutRefusedError(
            f"this member tries no settings; members that do: {', '.join(map(str, trying))}"
        )

    def roll_back(self) -> None:
        """The settings from before come into force for all, under the greatest revision yet.

        Those from before the candidate, where there is one, else those from before the ones that
        are in force.
        """
        state = self._state
        known = state.known()
        digest = state.in_force.rollback_digest(bool(known.canaries()))
        document = state.in_force.history.document(digest) if digest else None
        if document is None:
            raise RolloutRefusedError(
                "this member knows of no earlier settings; ask another, or give them under a "
                "greater order"
            )
        revision = known.greatest() + 1
        if revision > MAX_REVISION:
            raise RolloutRefusedError(f"there is no order above {MAX_REVISION}")
        unusable = state.in_force.apply(digest, document)
        if unusable:
            raise RolloutRefusedError(unusable)
        state.in_force.set_given_revision(revision)
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
