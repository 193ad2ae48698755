"""The rule that decides whether a member with older settings may accept new work.

A member is *behind* while any member that is up, as far as it knows, has a greater revision in
force. Each member evaluates the rule for itself on every tick:

| state           | when                                                 | new work     | fetches |
| --------------- | ---------------------------------------------------- | ------------ | ------- |
| `current`       | it is not behind                                     | yes          | no      |
| `asking`        | it is behind, and the newer settings may still       | yes; no if   | yes     |
|                 | arrive: until FETCH_TIMEOUT_S after it learned of    | it has just  |         |
|                 | them or after their last piece, MAX_FETCH_S in all   | started (*)  |         |
| `shut out`      | it is behind, and either no member sent the settings | no           | yes     |
|                 | in time or this limiter cannot use them              |              |         |
| `behind`        | as `shut out`, but too few members would serve       | yes          | yes     |
|                 | without it (*), or it caught up with an earlier      |              |         |
|                 | revision less than MIN_OPEN_S ago                    |              |         |
| `contradiction` | the newest revision stands for several settings      | yes          | no      |

(*) At least MIN_SERVING_SHARE of the members that are up keep serving, even if they are behind.

A member that knows of no other member is not behind and keeps serving. The module does no I/O and
reads no clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from hazelhollow.configuration.known_versions import KnownVersions
from hazelhollow.configuration.versions import Versions

FETCH_TIMEOUT_S = 5.0  # without a piece of the newer settings
MAX_FETCH_S = 600.0  # since the member learned of the newer settings, while pieces arrive
MIN_OPEN_S = 1.0  # after a member has caught up; prevents flapping
MIN_SERVING_SHARE = 0.5  # of the members that are up


class SettingsState(StrEnum):
    """State of a member's settings; operators read the values, and audit records store them."""

    CURRENT = "current"
    ASKING = "asking"
    BEHIND = "behind"
    SHUT_OUT = "shut out"
    CONTRADICTION = "contradiction"


@dataclass(frozen=True)
class AdmissionVerdict:
    """Whether this member may take new work.

    Attributes:
        state: The case of the module's table.
        rejects_new_work: Whether new work is rejected; requests accepted before are finished.
        holders: Members with the newest revision in force, from which it can be fetched.
        reason: The reason that operators are shown; empty when current.
    """

    state: SettingsState
    rejects_new_work: bool = False
    holders: tuple[int, ...] = ()
    reason: str = ""


class AdmissionRule:
    """The admission rule for one member, with the state that it keeps between ticks."""

    def __init__(self, limiter_id: int) -> None:
        self.limiter_id = limiter_id
        # By revision newer than this member's, in seconds of the clock.
        self._first_seen_at: dict[int, float] = {}
        self._piece_arrived_at: dict[int, float] = {}
        self._refusals: dict[int, str] = {}  # by revision: why this limiter cannot use it
        self._caught_up_at = -1e9

    def settings_refused(self, revision: int, reason: str) -> None:
        """Notes that this limiter cannot use the settings of that revision without a restart."""
        self._refusals[revision] = reason

    def piece_arrived(self, revision: int, now: float) -> None:
        """Notes the arrival of a piece of the settings of that revision."""
        self._piece_arrived_at[revision] = now

    def evaluate(
        self, known_versions: KnownVersions, now: float, just_started: bool = False
    ) -> AdmissionVerdict:
        """Returns the verdict at this moment.

        Args:
            known_versions: Versions of the members that are up, this one included.
            now: Seconds of the clock.
            just_started: Whether the member started or resumed less than FETCH_TIMEOUT_S ago. It
                must not begin with settings that were replaced in the meantime.
        """
        own = known_versions[self.limiter_id]
        newest, digests = known_versions.newest()
        if _is_behind(own, newest, digests):
            self._first_seen_at.setdefault(newest, now)
            return self._evaluate_behind(known_versions, now, just_started)
        self._caught_up(now)
        if len(digests) > 1:
            listed = ", ".join(sorted(digests))
            reason = f"order {newest} stands for {len(digests)} settings: {listed}"
            return AdmissionVerdict(SettingsState.CONTRADICTION, reason=reason)
        return AdmissionVerdict(SettingsState.CURRENT)

    def _evaluate_behind(
        self, known_versions: KnownVersions, now: float, just_started: bool
    ) -> AdmissionVerdict:
        own = known_versions[self.limiter_id].revision
        newest, digests = known_versions.newest()
        if len(digests) > 1:
            reason = f"order {newest} stands for {len(digests)} settings; {own} goes on here"
            return AdmissionVerdict(SettingsState.CONTRADICTION, reason=reason)
        holders = tuple(
            sorted(
                number
                for number, member in known_versions.items()
                if member.revision == newest and member.settings in digests
            )
        )
        if newest not in self._refusals and self._may_still_arrive(newest, now):
            rejects = just_started and self._enough_serve_without_self(known_versions)
            reason = f"order {newest} is out, {own} acts here"
            return AdmissionVerdict(SettingsState.ASKING, rejects, holders, reason)
        reason = self._refusals.get(
            newest, f"nobody gave order {newest} within {FETCH_TIMEOUT_S:g} s"
        )
        if now - self._caught_up_at < MIN_OPEN_S or not self._enough_serve_without_self(
            known_versions
        ):
            reason = f"{reason}; it goes on, or too few would serve"
            return AdmissionVerdict(SettingsState.BEHIND, holders=holders, reason=reason)
        return AdmissionVerdict(SettingsState.SHUT_OUT, True, holders, reason)

    def _caught_up(self, now: float) -> None:
        if self._first_seen_at:
            self._first_seen_at, self._piece_arrived_at, self._refusals = {}, {}, {}
            self._caught_up_at = now

    def _may_still_arrive(self, revision: int, now: float) -> bool:
        first_seen_at = self._first_seen_at[revision]
        last_piece_at = self._piece_arrived_at.get(revision, first_seen_at)
        last_piece_at = min(last_piece_at, first_seen_at + MAX_FETCH_S)
        return now - max(first_seen_at, last_piece_at) < FETCH_TIMEOUT_S

    def _enough_serve_without_self(self, known_versions: KnownVersions) -> bool:
        """Whether this member, which is behind, is not needed to keep enough members serving.

        As many members that are behind as MIN_SERVING_SHARE requires have to serve, in the order of
        their numbers. All members with the same knowledge choose the same ones.
        """
        newest, digests = known_versions.newest()
        behind = sorted(
            n for n, member in known_versions.items() if _is_behind(member, newest, digests)
        )
        not_behind = len(known_versions) - len(behind)
        must_serve = max(0, math.ceil(MIN_SERVING_SHARE * len(known_versions)) - not_behind)
        return behind.index(self.limiter_id) >= must_serve


def _is_behind(member: Versions, newest: int, digests: set[str]) -> bool:
    """Whether a member acts on settings older than the newest in force, or on a rival candidate.

    Settings in force take precedence over a candidate under the same revision.
    """
    if member.candidate and member.revision == newest:
        return member.settings not in digests
    return member.revision < newest
