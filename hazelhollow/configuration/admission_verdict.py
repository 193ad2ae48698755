"""When may a member with older settings take new work?

A member is *behind* while some member that it hears of has a greater revision in force. The rule
is evaluated on every tick, on each member for itself:

| state           | when                                                 | new work     | fetches |
| --------------- | ---------------------------------------------------- | ------------ | ------- |
| `current`       | it is not behind                                     | yes          | no      |
| `asking`        | behind, and the newer settings may still come: for   | yes; no if   | yes     |
|                 | FETCH_TIMEOUT_S since it heard of them, and after    | it has just  |         |
|                 | each piece of them, MAX_FETCH_S in all               | started (*)  |         |
| `shut out`      | behind, and nobody gave the settings in time or this | no           | yes     |
|                 | limiter cannot use them                              |              |         |
| `behind`        | as `shut out`, but too few would serve without it    | yes          | yes     |
|                 | (*), or it was current until MIN_OPEN_S ago          |              |         |
| `contradiction` | the newest revision stands for several settings      | yes          | no      |

(*) At least MIN_SERVING_SHARE of the members that are up go on serving, whoever is behind.

A member that hears nobody is behind nobody and goes on. No I/O, no clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from hazelhollow.configuration.known_versions import KnownVersions
from hazelhollow.configuration.versions import Versions

FETCH_TIMEOUT_S = 5.0  # without a piece of the newer settings
MAX_FETCH_S = 600.0  # from hearing of the newer settings, as long as pieces come
MIN_OPEN_S = 1.0  # after a member has come back: prevents flapping
MIN_SERVING_SHARE = 0.5  # of the members that are up


class SettingsState(StrEnum):
    """A member's settings against those of the others; as operators read and records hold it."""

    CURRENT = "current"
    ASKING = "asking"
    BEHIND = "behind"
    SHUT_OUT = "shut out"
    CONTRADICTION = "contradiction"


@dataclass(frozen=True)
class AdmissionVerdict:
    """Whether this member may take new work.

    Attributes:
        state: the case of the module's table.
        rejects_new_work: what was taken before is finished all the same.
        holders: members that have the newest revision in force, from which to fetch it.
        reason: for operators; empty when current.
    """

    state: SettingsState
    rejects_new_work: bool = False
    holders: tuple[int, ...] = ()
    reason: str = ""


class AdmissionRule:
    """The rule of this module for one member, and what it has to remember between ticks."""

    def __init__(self, limiter_id: int) -> None:
        self.limiter_id = limiter_id
        # By revision newer than its own, in seconds of the clock.
        self._heard_of_at: dict[int, float] = {}
        self._piece_arrived_at: dict[int, float] = {}
        self._refusals: dict[int, str] = {}  # why this limiter cannot use that revision
        self._caught_up_at = -1e9

    def settings_refused(self, revision: int, reason: str) -> None:
        """This limiter cannot use the settings of that revision while it runs."""
        self._refusals[revision] = reason

    def piece_arrived(self, revision: int, now: float) -> None:
        """A piece of the settings of that revision has come."""
        self._piece_arrived_at[revision] = now

    def evaluate(
        self, known: KnownVersions, now: float, just_started: bool = False
    ) -> AdmissionVerdict:
        """The verdict of this moment.

        Args:
            known: what the members that are up act on, this one among them.
            now: seconds.
            just_started: it began or woke less than FETCH_TIMEOUT_S ago, and must not first act on
                settings that went out of force meanwhile.
        """
        own = known[self.limiter_id]
        newest, digests = known.newest()
        if _is_behind(own, newest, digests):
            self._heard_of_at.setdefault(newest, now)
            return self._evaluate_behind(known, now, just_started)
        self._caught_up(now)
        if len(digests) > 1:
            listed = ", ".join(sorted(digests))
            reason = f"order {newest} stands for {len(digests)} settings: {listed}"
            return AdmissionVerdict(SettingsState.CONTRADICTION, reason=reason)
        return AdmissionVerdict(SettingsState.CURRENT)

    def _evaluate_behind(
        self, known: KnownVersions, now: float, just_started: bool
    ) -> AdmissionVerdict:
        own = known[self.limiter_id].revision
        newest, digests = known.newest()
        if len(digests) > 1:
            reason = f"order {newest} stands for {len(digests)} settings; {own} goes on here"
            return AdmissionVerdict(SettingsState.CONTRADICTION, reason=reason)
        holders = tuple(
            sorted(
                number
                for number, member in known.items()
                if member.revision == newest and member.settings in digests
            )
        )
        if newest not in self._refusals and self._may_still_arrive(newest, now):
            rejects = just_started and self._enough_serve_without_me(known)
            reason = f"order {newest} is out, {own} acts here"
            return AdmissionVerdict(SettingsState.ASKING, rejects, holders, reason)
        reason = self._refusals.get(
            newest, f"nobody gave order {newest} within {FETCH_TIMEOUT_S:g} s"
        )
        if now - self._caught_up_at < MIN_OPEN_S or not self._enough_serve_without_me(known):
            reason = f"{reason}; it goes on, or too few would serve"
            return AdmissionVerdict(SettingsState.BEHIND, holders=holders, reason=reason)
        return AdmissionVerdict(SettingsState.SHUT_OUT, True, holders, reason)

    def _caught_up(self, now: float) -> None:
        if self._heard_of_at:
            self._heard_of_at, self._piece_arrived_at, self._refusals = {}, {}, {}
            self._caught_up_at = now

    def _may_still_arrive(self, revision: int, now: float) -> bool:
        heard_of_at = self._heard_of_at[revision]
        last_piece_at = self._piece_arrived_at.get(revision, heard_of_at)
        last_piece_at = min(last_piece_at, heard_of_at + MAX_FETCH_S)
        return now - max(heard_of_at, last_piece_at) < FETCH_TIMEOUT_S

    def _enough_serve_without_me(self, known: KnownVersions) -> bool:
        """Whether this one is not among those that are behind and must serve all the same.

        Of the members that are behind these are the ones with the smallest numbers, as many as
        MIN_SERVING_SHARE takes. All members that know the same choose the same.
        """
        newest, digests = known.newest()
        behind = sorted(n for n, member in known.items() if _is_behind(member, newest, digests))
        not_behind = len(known) - len(behind)
        must_serve = max(0, math.ceil(MIN_SERVING_SHARE * len(known)) - not_behind)
        return behind.index(self.limiter_id) >= must_serve


def _is_behind(member: Versions, newest: int, digests: set[str]) -> bool:
    """Whether a member has older settings than the newest revision in force, or other ones tried.

    A candidate gives way to settings that are in force under the same revision.
    """
    if member.candidate and member.revision == newest:
        return member.settings not in digests
    return member.revision < newest
