"""What records show that should not have happened: one function for each rule.

All times are on one clock: `AuditMerge.finish` has shifted them.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum

from hazelhollow.configuration.audit.entries import ACTIVITY_PERIOD_S
from hazelhollow.configuration.audit.timeline import (
    DisabledHostUse,
    MemberTimeline,
    PeerObservation,
    SettingsSpan,
)

# A member that heard of newer settings has ceased to act on the older ones by then, or is shut out.
ADOPTION_LIMIT_S = 3.0


class FindingKind(StrEnum):
    """The rule that was broken; as operators read it."""

    OLD_SETTINGS = "old"
    CONTRADICTION = "contradiction"
    DISABLED_HOST_USED = "host used"


@dataclass(frozen=True)
class Finding:
    """One case.

    Attributes:
        kind: the rule.
        time: Unix seconds.
        members: those concerned.
        text: in words.
    """

    kind: FindingKind
    time: float
    members: tuple[int, ...]
    text: str


def old_settings(
    observations: Iterable[PeerObservation],
    offsets: Mapping[int, float],
    members: Mapping[int, MemberTimeline],
) -> Iterator[Finding]:
    """Members that took requests under older settings although they had heard of newer ones.

    Each member is reported once for a revision. Settings that were only tried oblige nobody.
    """
    found = set[tuple[int, int]]()
    for seen in observations:
        if seen.tried or (seen.observer, seen.revision) in found:
            continue
        heard_at = seen.time + offsets[seen.observer]
        for span in members[seen.observer].spans:
            if span.revision < seen.revision and _went_on(span, heard_at):
                found.add((seen.observer, seen.revision))
                text = (
                    f"member {seen.observer} heard of order {seen.revision} from member "
                    f"{seen.peer} and acted on {span.revision} for "
                    f"{span.last_request_at - heard_at:.1f} s more"
                )
                yield Finding(FindingKind.OLD_SETTINGS, heard_at, (seen.observer,), text)
                break


def _went_on(span: SettingsSpan, heard_at: float) -> bool:
    return (
        span.begin <= heard_at < span.end
        and span.last_request_at - heard_at > ADOPTION_LIMIT_S + ACTIVITY_PERIOD_S
        and not span.took_nothing_since(heard_at, ADOPTION_LIMIT_S)
    )


def contradictions(members: Mapping[int, MemberTimeline]) -> Iterator[Finding]:
    """Revisions that stand for different settings at two members."""
    by_revision: dict[int, list[SettingsSpan]] = defaultdict(list)
    for member in members.values():
        for span in member.spans:
            by_revision[span.revision].append(span)
    for revision, spans in by_revision.items():
        first: dict[str, SettingsSpan] = {}
        for span in sorted(spans, key=lambda span: span.begin):
            first.setdefault(span.settings, span)
        digests = sorted(first)
        for index, digest in enumerate(digests):
            for other_digest in digests[index + 1 :]:
                span, other = first[digest], first[other_digest]
                text = (
                    f"order {revision} is {digest} at member {span.member} and {other_digest} at "
                    f"member {other.member}"
                )
                yield Finding(
                    FindingKind.CONTRADICTION,
                    max(span.begin, other.begin),
                    (span.member, other.member),
                    text,
                )


def disabled_hosts_used(
    uses: Iterable[DisabledHostUse], offsets: Mapping[int, float]
) -> Iterator[Finding]:
    """Members that sent something to a host that they held to be disabled."""
    for use in uses:
        text = f"member {use.member} sent {use.attempts} to {use.host}, which it held to be out"
        time = use.time + offsets[use.member]
        yield Finding(FindingKind.DISABLED_HOST_USED, time, (use.member,), text)
