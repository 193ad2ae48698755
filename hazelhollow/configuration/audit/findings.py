"""Rules that find violations in merged records: one function for each rule.

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

# Time within which a member that learns of newer settings has to adopt them or to be shut out.
ADOPTION_LIMIT_S = 3.0


class FindingKind(StrEnum):
    """The rule that was violated; operators read the values."""

    OLD_SETTINGS = "old"
    CONTRADICTION = "contradiction"
    DISABLED_HOST_USED = "host used"


@dataclass(frozen=True)
class Finding:
    """One violation of a rule.

    Attributes:
        kind: The rule.
        time: Unix seconds.
        members: The members concerned.
        text: Description for operators.
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
    """Finds members that accepted requests under older settings although they knew of newer ones.

    Each member is reported once for a revision. Settings that were only tried do not count.
    """
    found = set[tuple[int, int]]()
    for observation in observations:
        if observation.tried or (observation.observer, observation.revision) in found:
            continue
        learned_at = observation.time + offsets[observation.observer]
        for span in members[observation.observer].spans:
            if span.revision < observation.revision and _kept_serving(span, learned_at):
                found.add((observation.observer, observation.revision))
                text = (
                    f"member {observation.observer} learned of order {observation.revision} from "
                    f"member {observation.peer} and acted on {span.revision} for "
                    f"{span.last_request_at - learned_at:.1f} s more"
                )
                yield Finding(FindingKind.OLD_SETTINGS, learned_at, (observation.observer,), text)
                break


def _kept_serving(span: SettingsSpan, learned_at: float) -> bool:
    return (
        span.begin <= learned_at < span.end
        and span.last_request_at - learned_at > ADOPTION_LIMIT_S + ACTIVITY_PERIOD_S
        and not span.was_shut_out_since(learned_at, ADOPTION_LIMIT_S)
    )


def contradictions(members: Mapping[int, MemberTimeline]) -> Iterator[Finding]:
    """Finds revisions that stand for different settings at two members."""
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
    """Finds members that sent attempts to a host that they recorded as disabled."""
    for use in uses:
        text = f"member {use.member} sent {use.attempts} attempts to {use.host}, disabled there"
        time = use.time + offsets[use.member]
        yield Finding(FindingKind.DISABLED_HOST_USED, time, (use.member,), text)
