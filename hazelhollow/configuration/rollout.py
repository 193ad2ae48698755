"""Canary rollout: settings that a few members try before all act on them.

A canary announces with its versions that it tries the settings, so that only members chosen as
canaries follow it. The choice depends on the revision and the members' numbers alone. One member,
the leader, received the candidate from an operator and releases it.

| state     | meaning                           | left by                                        |
| --------- | --------------------------------- | ---------------------------------------------- |
| no canary | its settings are in force         | `push` -> leading; `join` -> trying            |
| leading   | received the candidate, which is  | released when it is due -> no canary; held on  |
|           | baking, from an operator          | a fault (below); `end` -> no canary            |
| trying    | joined; the candidate is baking   | in force elsewhere -> no canary; held on a     |
|           |                                   | fault; `end` -> no canary                      |
| held      | continues with the candidate, but | in force elsewhere, or released by an operator |
|           | no other member adopts it         | -> no canary; `end` -> no canary               |

A reload, a rollback or other settings that come into force call `end`.

Any canary holds a baking candidate when it detects that the revision stands for other settings
somewhere, that another canary holds the candidate, or that more requests fail than before it. The
leader also holds the candidate when a canary is gone, or when too few members tried it by the time
it was due. The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

from hazelhollow.configuration.known_versions import KnownVersions
from hazelhollow.configuration.versions import Candidate, Phase, Versions

# A leader that admits no work, or has just resumed, waits this long before it judges the others.
SETTLE_S = 2.0
MIN_REQUESTS = 50  # under the candidate; with fewer, the share of failures is not meaningful
MAX_FAILED_SHARE = 0.02  # of the requests
MAX_FAILED_RATIO = 3.0  # of the share of failures to the share before the candidate


class RolloutEvent(StrEnum):
    """What happened to a candidate at a member; audit records store the values."""

    PUSHED = "pushed"
    TAKEN = "taken"
    REFUSED = "refused"
    HELD = "held"
    RELEASED = "released"
    ROLLED_BACK = "rolled back"


class RolloutVerdict(NamedTuple):
    """A decision about the candidate, HELD or RELEASED, and its reason."""

    event: RolloutEvent
    reason: str


class CanaryInvitation(NamedTuple):
    """Settings that this member is to try; `holders` are the members that try them already."""

    revision: int
    digest: str
    holders: tuple[int, ...]
    candidate: Candidate


@dataclass
class _LeaderState:
    """The state that only the leader keeps.

    Attributes:
        due_at: When the candidate comes into force, in seconds of the clock.
        seen: Members that have tried it.
    """

    due_at: float
    seen: set[int] = field(default_factory=set)


class FailureCheck:
    """Compares the share of failed requests under a candidate with the share before it.

    Args:
        counts: Monotonic counts of `requests` and `failed` at the start of the candidate.
    """

    def __init__(self, counts: Mapping[str, int]) -> None:
        self._baseline = dict(counts)

    def failure(self, counts: Mapping[str, int]) -> str:
        """Describes the failure that these counts show; empty if they show none.

        It is a failure if, after MIN_REQUESTS, the share of failed requests exceeds both
        MAX_FAILED_SHARE and MAX_FAILED_RATIO times the share before the candidate.
        """
        requests = counts["requests"] - self._baseline["requests"]
        failed = counts["failed"] - self._baseline["failed"]
        if requests < MIN_REQUESTS:
            return ""
        before = self._baseline["failed"] / max(1, self._baseline["requests"])
        if failed / requests <= max(MAX_FAILED_SHARE, MAX_FAILED_RATIO * before):
            return ""
        return f"{failed} of {requests} requests failed here, of those before {100 * before:.1f}%"


class CanaryRollout:
    """One member's state in a rollout; it announces `candidate` with its versions."""

    def __init__(self, limiter_id: int) -> None:
        self.limiter_id = limiter_id
        self.candidate: Candidate | None = None
        self._leader_state: _LeaderState | None = None
        self._failures: FailureCheck | None = None
        self._refused = set[tuple[int, str]]()  # revisions and digests

    def push(self, canaries: int, due_at: float, counts: Mapping[str, int]) -> None:
        """Starts a rollout as its leader; the candidate comes into force at `due_at`."""
        self.candidate = Candidate(canaries, Phase.BAKING)
        self._leader_state, self._failures = _LeaderState(due_at), FailureCheck(counts)

    def join(self, candidate: Candidate, counts: Mapping[str, int]) -> None:
        """Joins a rollout that another member leads."""
        self.candidate, self._leader_state, self._failures = candidate, None, FailureCheck(counts)

    def refuse(self, invitation: CanaryInvitation) -> None:
        """Notes that this member cannot use these settings, so that it ignores the invitation."""
        self._refused.add((invitation.revision, invitation.digest))

    def hold(self) -> None:
        """Holds the candidate: no other member adopts it."""
        if self.candidate:
            self.candidate = self.candidate._replace(phase=Phase.HELD)
        self._leader_state = None

    def end(self) -> None:
        """Leaves the rollout: the settings of this member are in force."""
        self.candidate = self._leader_state = self._failures = None

    def invitation(self, known_versions: KnownVersions) -> CanaryInvitation | None:
        """Returns the newest settings that others try if this member is to try them, else None."""
        own = known_versions[self.limiter_id].revision
        tried = {
            n: canary for n, canary in known_versions.canaries().items() if canary.revision > own
        }
        revision = max((canary.revision for canary in tried.values()), default=0)
        holders = {n: canary for n, canary in tried.items() if canary.revision == revision}
        digests = {canary.settings for canary in holders.values()}
        if len(digests) != 1:
            return None
        (digest,) = digests
        candidate = _common_candidate(holders.values())
        if (revision, digest) in self._refused:
            return None
        if self.limiter_id not in choose_canaries(
            revision, candidate.canaries, holders, known_versions
        ):
            return None
        return CanaryInvitation(revision, digest, tuple(sorted(holders)), candidate)

    def evaluate(
        self, known_versions: KnownVersions, counts: Mapping[str, int], now: float, may_admit: bool
    ) -> RolloutVerdict | None:
        """Decides whether to hold or release the candidate now; None: neither.

        Args:
            known_versions: Versions of the members that are up, this one included.
            counts: This member's counts, as for `FailureCheck`.
            now: Seconds of the clock.
            may_admit: Whether this member admits work, and so knows the state of the others.
        """
        own = known_versions[self.limiter_id]
        if self.candidate is None or own.candidate is None:
            return None
        newest, digests = known_versions.newest()
        if newest == own.revision and own.settings in digests:
            return RolloutVerdict(RolloutEvent.RELEASED, "it is in force at others")
        if self.candidate.phase is Phase.HELD:
            return None
        canaries = {
            number: canary
            for number, canary in known_versions.canaries().items()
            if (canary.revision, canary.settings) == (own.revision, own.settings)
        }
        fault = self._fault(own.revision, known_versions, canaries, counts)
        if fault:
            return RolloutVerdict(RolloutEvent.HELD, fault)
        if self._leader_state is None:
            return None
        if not may_admit:
            self._leader_state.due_at = max(self._leader_state.due_at, now + SETTLE_S)
            return None
        return self._evaluate_as_leader(self._leader_state, set(canaries), len(known_versions), now)

    def _fault(
        self,
        revision: int,
        known_versions: KnownVersions,
        canaries: Mapping[int, Versions],
        counts: Mapping[str, int],
    ) -> str:
        """Returns the fault for which any canary holds the candidate; empty if there is none."""
        if len(known_versions.digests_of(revision)) > 1:
            return f"order {revision} stands for other settings at others"
        holding = [
            number
            for number, canary in canaries.items()
            if canary.candidate and canary.candidate.phase is Phase.HELD
        ]
        if holding:
            return f"member {min(holding)} holds it"
        return self._failures.failure(counts) if self._failures else ""

    def _evaluate_as_leader(
        self, leader_state: _LeaderState, canaries: set[int], present: int, now: float
    ) -> RolloutVerdict | None:
        """Applies the rules of the leader; `present`: the number of members that are up."""
        leader_state.seen |= canaries
        gone = leader_state.seen - canaries
        if gone:
            reason = f"member {min(gone)}, which tried it, does so no more"
            return RolloutVerdict(RolloutEvent.HELD, reason)
        if now < leader_state.due_at:
            return None
        expected = min(self.candidate.canaries if self.candidate else 0, present)
        if len(canaries) < expected:
            reason = f"{len(canaries)} of {expected} members tried it"
            return RolloutVerdict(RolloutEvent.HELD, reason)
        return RolloutVerdict(RolloutEvent.RELEASED, f"{len(canaries)} members have tried it")


def choose_canaries(
    revision: int, wanted: int, trying: Collection[int], present: Collection[int]
) -> set[int]:
    """Chooses the members that are to try the settings of that revision.

    These are the ones that try them already, and others up to the wanted number. All members that
    know the same members choose the same ones.
    """
    others = sorted((n for n in present if n not in trying), key=lambda n: _rank(revision, n))
    return {*trying, *others[: max(0, wanted - len(trying))]}


def _rank(revision: int, number: int) -> bytes:
    return blake2b(f"{revision}.{number}".encode(), digest_size=8).digest()


def _common_candidate(canaries: Collection[Versions]) -> Candidate:
    """Combines what the canaries of the same settings announce; held if one of them holds them."""
    candidates = [canary.candidate for canary in canaries if canary.candidate]
    held = any(candidate.phase is Phase.HELD for candidate in candidates)
    max_canaries = max(candidate.canaries for candidate in candidates)
    return Candidate(max_canaries, Phase.HELD if held else Phase.BAKING)
