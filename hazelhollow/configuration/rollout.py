"""Settings that a few members try before all act on them.

Who tries them, when they are held, when they come into force. No I/O, no clock.

A member that tries settings says so with its versions, so that no other follows it but those that
are to try them too. Which these are follows from the order and the members' numbers alone. Where
one of them fails, or is gone, the settings are held: nobody else takes them until an operator
releases them or goes back.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

from hazelhollow.configuration.known import KnownVersions
from hazelhollow.configuration.versions import Candidate, Phase, Versions

SETTLES = (
    # seconds that a member which takes no work, or has just woken, waits before it judges the
    # others
    2.0
)
LEAST_REQUESTS = 50  # under the candidate, before its failures say anything
MOST_FAILED = 0.02  # of them
TIMES_FAILED = 3.0  # as large a part as before is too much


class Step(StrEnum):
    """What became of a candidate at a member, as the record has it."""

    PUSHED = "pushed"
    TAKEN = "taken"
    REFUSED = "refused"
    HELD = "held"
    RELEASED = "released"
    ROLLED_BACK = "rolled back"


class Verdict(NamedTuple):
    """`step`: HELD or RELEASED."""

    step: Step
    why: str


class Invitation(NamedTuple):
    """Settings that this member is to try; `givers` act on them."""

    order: int
    digest: str
    givers: tuple[int, ...]
    candidate: Candidate


@dataclass
class _Lead:
    """Of the member that was given the candidate.

    `due`: when it comes into force; `seen`: members that have acted on it.
    """

    due: float
    seen: set[int] = field(default_factory=set)


class Health:
    """Whether requests fail under a candidate that did not before."""

    def __init__(self, figures: Mapping[str, int]) -> None:
        """`figures`: counts that only grow, as they are when the candidate begins."""
        self._began = dict(figures)

    def trouble(self, figures: Mapping[str, int]) -> str:
        """What is wrong; nothing where nothing is."""
        requests = figures["requests"] - self._began["requests"]
        failed = figures["failed"] - self._began["failed"]
        if requests < LEAST_REQUESTS:
            return ""
        before = self._began["failed"] / max(1, self._began["requests"])
        if failed / requests <= max(MOST_FAILED, TIMES_FAILED * before):
            return ""
        return f"{failed} of {requests} requests failed here, of those before {100 * before:.1f}%"


class Rollout:
    """Member `me`'s part.

    `candidate`: what is said with its versions, while what it acts on is tried.
    """

    def __init__(self, me: int) -> None:
        self.me = me
        self.candidate: Candidate | None = None
        self._lead: _Lead | None = None
        self._health: Health | None = None
        self._refused = set[tuple[int, str]]()

    def push(self, canaries: int, due: float, figures: Mapping[str, int]) -> None:
        """This member was given a candidate.

        Which comes into force at `due` if nothing speaks against it.
        """
        self.candidate = Candidate(canaries, Phase.BAKING)
        self._lead, self._health = _Lead(due), Health(figures)

    def take(self, candidate: Candidate, figures: Mapping[str, int]) -> None:
        """It has taken one that another was given."""
        self.candidate, self._lead, self._health = candidate, None, Health(figures)

    def refuse(self, invitation: Invitation) -> None:
        """It cannot act on these settings, and is not to be asked again."""
        self._refused.add((invitation.order, invitation.digest))

    def hold(self) -> None:
        if self.candidate:
            self.candidate = self.candidate._replace(phase=Phase.HELD)
        self._lead = None

    def end(self) -> None:
        """What it acts on is in force for all, or is no candidate."""
        self.candidate = self._lead = self._health = None

    def invitation(self, known: KnownVersions) -> Invitation | None:
        """The newest settings that others try, where this member is to try them too."""
        own = known[self.me].order
        tried = {n: one for n, one in known.candidates().items() if one.order > own}
        order = max((one.order for one in tried.values()), default=0)
        givers = {n: one for n, one in tried.items() if one.order == order}
        digests = {one.settings for one in givers.values()}
        if len(digests) != 1:
            return None
        (digest,) = digests
        candidate = _joined(givers.values())
        if (order, digest) in self._refused:
            return None
        if self.me not in canaries(order, candidate.canaries, givers, known):
            return None
        return Invitation(order, digest, tuple(sorted(givers)), candidate)

    def look(
        self, known: KnownVersions, figures: Mapping[str, int], now: float, acting: bool
    ) -> Verdict | None:
        """To be called at each beat.

        `acting`: whether it takes work, and so knows of the others.
        """
        own = known[self.me]
        if self.candidate is None or own.candidate is None:
            return None
        order, digests = known.newest()
        if order == own.order and own.settings in digests:
            return Verdict(Step.RELEASED, "it is in force at others")
        if self.candidate.phase is Phase.HELD:
            return None
        with_it = {
            n: one
            for n, one in known.candidates().items()
            if (one.order, one.settings) == (own.order, own.settings)
        }
        if len(meanings(known, own.order)) > 1:
            return Verdict(Step.HELD, f"order {own.order} stands for other settings at others")
        held = sorted(
            n for n, one in with_it.items() if one.candidate and one.candidate.phase is Phase.HELD
        )
        if held:
            return Verdict(Step.HELD, f"member {held[0]} holds it")
        trouble = self._health.trouble(figures) if self._health else ""
        if trouble:
            return Verdict(Step.HELD, trouble)
        return (
            self._look_as_leader(self._lead, set(with_it), len(known), now, acting)
            if self._lead
            else None
        )

    def _look_as_leader(
        self, lead: _Lead, with_it: set[int], up: int, now: float, acting: bool
    ) -> Verdict | None:
        if not acting:
            lead.due = max(lead.due, now + SETTLES)
            return None
        lead.seen |= with_it
        gone = sorted(lead.seen - with_it)
        if gone:
            return Verdict(Step.HELD, f"member {gone[0]}, which tried it, does so no more")
        if now < lead.due:
            return None
        expected = min(self.candidate.canaries if self.candidate else 0, up)
        if len(with_it) < expected:
            return Verdict(Step.HELD, f"{len(with_it)} of {expected} members tried it")
        return Verdict(Step.RELEASED, f"{len(with_it)} members have tried it")


def meanings(known: KnownVersions, order: int) -> set[str]:
    """Digests of the settings that members act on under that order, in force or tried."""
    return {one.settings for one in known.values() if one.order == order}


def canaries(order: int, wanted: int, trying: Collection[int], up: Collection[int]) -> set[int]:
    """Members that are to try the settings of that order.

    Those that do, and as many more as are wanted, the same for all that know of the same members.
    """
    others = sorted((n for n in up if n not in trying), key=lambda n: _rank(order, n))
    return {*trying, *others[: max(0, wanted - len(trying))]}


def _rank(order: int, number: int) -> bytes:
    return blake2b(f"{order}.{number}".encode(), digest_size=8).digest()


def _joined(versions: Collection[Versions]) -> Candidate:
    """What those that try the same settings say together: held where one of them holds them."""
    said = [one.candidate for one in versions if one.candidate]
    held = any(one.phase is Phase.HELD for one in said)
    return Candidate(max(one.canaries for one in said), Phase.HELD if held else Phase.BAKING)
