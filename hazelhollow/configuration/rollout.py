"""Canary rollout: settings that a few members try before all act on them.

A canary announces with its versions that it tries the settings, so that no other member follows it
but those that are to be canaries too. Which these are follows from the revision and the members'
numbers alone. One member, the leader, was given the candidate by an operator and releases it.

| state     | meaning                           | left by                                        |
| --------- | --------------------------------- | ---------------------------------------------- |
| no canary | its settings are in force         | `push` -> leading; `join` -> trying            |
| leading   | was given the candidate, which is | released when it is due -> no canary; held on  |
|           | baking                            | a fault (below); `end` -> no canary            |
| trying    | takes part; the candidate is      | in force elsewhere -> no canary; held on a     |
|           | baking                            | fault; `end` -> no canary                      |
| held      | goes on, but nobody else takes it | in force elsewhere, or released by an operator |
|           |                                   | -> no canary; `end` -> no canary               |

`end` comes of a reload, a roll back, or other settings that come into force.

A baking candidate is held, at each canary that sees it, when its revision stands for other settings
somewhere, when another canary holds it, or when requests fail under it that did not before; and at
the leader when a canary is gone or too few tried it by the time it was due. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

from hazelhollow.configuration.known_versions import KnownVersions
from hazelhollow.configuration.versions import Candidate, Phase, Versions

# A leader that takes no work, or has just woken, waits before it judges the others.
SETTLE_S = 2.0
MIN_REQUESTS = 50  # under the candidate, before its failures say anything
MAX_FAILED_SHARE = 0.02  # of the requests
MAX_FAILED_RATIO = 3.0  # of the share that failed against the share before


class RolloutEvent(StrEnum):
    """What became of a candidate at a member; as the records hold it."""

    PUSHED = "pushed"
    TAKEN = "taken"
    REFUSED = "refused"
    HELD = "held"
    RELEASED = "released"
    ROLLED_BACK = "rolled back"


class RolloutVerdict(NamedTuple):
    """What is to become of the candidate now: HELD or RELEASED, and why."""

    event: RolloutEvent
    reason: str


class CanaryInvitation(NamedTuple):
    """Settings that this member is to try; `holders` try them already."""

    revision: int
    digest: str
    holders: tuple[int, ...]
    candidate: Candidate


@dataclass
class _Lead:
    """What the leader remembers.

    Attributes:
        due_at: when the candidate comes into force, in seconds of the clock.
        seen: members that have tried it.
    """

    due_at: float
    seen: set[int] = field(default_factory=set)


class FailureCheck:
    """Whether requests fail under a candidate that did not before.

    Args:
        figures: counts of `requests` and `failed` that only grow, as the candidate begins.
    """

    def __init__(self, figures: Mapping[str, int]) -> None:
        self._at_start = dict(figures)

    def failure(self, figures: Mapping[str, int]) -> str:
        """What is wrong by these counts; empty if nothing is.

        From MIN_REQUESTS on, a share of failures above MAX_FAILED_SHARE and above MAX_FAILED_RATIO
        times the share before.
        """
        requests = figures["requests"] - self._at_start["requests"]
        failed = figures["failed"] - self._at_start["failed"]
        if requests < MIN_REQUESTS:
            return ""
        before = self._at_start["failed"] / max(1, self._at_start["requests"])
        if failed / requests <= max(MAX_FAILED_SHARE, MAX_FAILED_RATIO * before):
            return ""
        return f"{failed} of {requests} requests failed here, of those before {100 * before:.1f}%"


class CanaryRollout:
    """One member's part in a rollout; `candidate` is what it announces with its versions."""

    def __init__(self, limiter_id: int) -> None:
        self.limiter_id = limiter_id
        self.candidate: Candidate | None = None
        self._lead: _Lead | None = None
        self._failures: FailureCheck | None = None
        self._refused = set[tuple[int, str]]()  # revisions and digests

    def push(self, canaries: int, due_at: float, figures: Mapping[str, int]) -> None:
        """An operator gave this member a candidate, which comes into force at `due_at`."""
        self.candidate = Candidate(canaries, Phase.BAKING)
        self._lead, self._failures = _Lead(due_at), FailureCheck(figures)

    def join(self, candidate: Candidate, figures: Mapping[str, int]) -> None:
        """This member tries a candidate that another was given."""
        self.candidate, self._lead, self._failures = candidate, None, FailureCheck(figures)

    def refuse(self, invitation: CanaryInvitation) -> None:
        """This member cannot use these settings and is not to be invited again."""
        self._refused.add((invitation.revision, invitation.digest))

    def hold(self) -> None:
        """Nobody else is to take the candidate."""
        if self.candidate:
            self.candidate = self.candidate._replace(phase=Phase.HELD)
        self._lead = None

    def end(self) -> None:
        """The settings of this member are in force, and no candidate any more."""
        self.candidate = self._lead = self._failures = None

    def invitation(self, known: KnownVersions) -> CanaryInvitation | None:
        """The newest settings that others try, if this member is to try them too."""
        own = known[self.limiter_id].revision
        tried = {n: canary for n, canary in known.canaries().items() if canary.revision > own}
        revision = max((canary.revision for canary in tried.values()), default=0)
        holders = {n: canary for n, canary in tried.items() if canary.revision == revision}
        digests = {canary.settings for canary in holders.values()}
        if len(digests) != 1:
            return None
        (digest,) = digests
        candidate = _common_candidate(holders.values())
        if (revision, digest) in self._refused:
            return None
        if self.limiter_id not in choose_canaries(revision, candidate.canaries, holders, known):
            return None
        return CanaryInvitation(revision, digest, tuple(sorted(holders)), candidate)

    def evaluate(
        self, known: KnownVersions, figures: Mapping[str, int], now: float, may_admit: bool
    ) -> RolloutVerdict | None:
        """Whether the candidate is to be held or released now; None: it goes on as it is.

        Args:
            known: what the members that are up act on, this one among them.
            figures: this member's counts, as for `FailureCheck`.
            now: seconds.
            may_admit: whether this member takes work, and so knows of the others.
        """
        own = known[self.limiter_id]
        if self.candidate is None or own.candidate is None:
            return None
        newest, digests = known.newest()
        if newest == own.revision and own.settings in digests:
            return RolloutVerdict(RolloutEvent.RELEASED, "it is in force at others")
        if self.candidate.phase is Phase.HELD:
            return None
        canaries = {
            number: canary
            for number, canary in known.canaries().items()
            if (canary.revision, canary.settings) == (own.revision, own.settings)
        }
        fault = self._fault(own.revision, known, canaries, figures)
        if fault:
            return RolloutVerdict(RolloutEvent.HELD, fault)
        if self._lead is None:
            return None
        if not may_admit:
            self._lead.due_at = max(self._lead.due_at, now + SETTLE_S)
            return None
        return self._evaluate_as_leader(self._lead, set(canaries), len(known), now)

    def _fault(
        self,
        revision: int,
        known: KnownVersions,
        canaries: Mapping[int, Versions],
        figures: Mapping[str, int],
    ) -> str:
        """What speaks against the candidate at any canary; empty if nothing does."""
        if len(known.digests_of(revision)) > 1:
            return f"order {revision} stands for other settings at others"
        holding = [
            number
            for number, canary in canaries.items()
            if canary.candidate and canary.candidate.phase is Phase.HELD
        ]
        if holding:
            return f"member {min(holding)} holds it"
        return self._failures.failure(figures) if self._failures else ""

    def _evaluate_as_leader(
        self, lead: _Lead, canaries: set[int], present: int, now: float
    ) -> RolloutVerdict | None:
        """`present`: how many members are up."""
        lead.seen |= canaries
        gone = lead.seen - canaries
        if gone:
            reason = f"member {min(gone)}, which tried it, does so no more"
            return RolloutVerdict(RolloutEvent.HELD, reason)
        if now < lead.due_at:
            return None
        expected = min(self.candidate.canaries if self.candidate else 0, present)
        if len(canaries) < expected:
            reason = f"{len(canaries)} of {expected} members tried it"
            return RolloutVerdict(RolloutEvent.HELD, reason)
        return RolloutVerdict(RolloutEvent.RELEASED, f"{len(canaries)} members have tried it")


def choose_canaries(
    revision: int, wanted: int, trying: Collection[int], present: Collection[int]
) -> set[int]:
    """Members that are to try the settings of that revision.

    Those that do, and as many more as are wanted; the same for all that know the same members.
    """
    others = sorted((n for n in present if n not in trying), key=lambda n: _rank(revision, n))
    return {*trying, *others[: max(0, wanted - len(trying))]}


def _rank(revision: int, number: int) -> bytes:
    return blake2b(f"{revision}.{number}".encode(), digest_size=8).digest()


def _common_candidate(canaries: Collection[Versions]) -> Candidate:
    """What the canaries of the same settings announce together: held if one of them holds them."""
    candidates = [canary.candidate for canary in canaries if canary.candidate]
    held = any(candidate.phase is Phase.HELD for candidate in candidates)
    most = max(candidate.canaries for candidate in candidates)
    return Candidate(most, Phase.HELD if held else Phase.BAKING)
