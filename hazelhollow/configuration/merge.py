"""Records of many limiters in one order.

Who acted on which version when, and which promise was broken. No I/O.

Clocks differ. A `heard` entry ties two of them: nobody hears of a version before its member began
to act on it. `Offsets` are the smallest that contradict none of these; where none exist, that is
said. Entries are read one by one and only spans are kept.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hazelhollow.configuration import versions
from hazelhollow.configuration.record import Entry

HEARD_WITHIN = (
    # seconds after which one that could hear of a newer version should have ceased to act on the
    # older
    3.0
)
OUT_WITHIN = 1.0  # seconds after which nothing more goes to a host that was put out by hand


@dataclass
class Span:
    """One member under one version of the settings, in its own time until `Fleet.settle`, then in
    the fleet's.
    """

    member: int
    incarnation: int
    order: int
    settings: str
    begin: float
    end: float
    why: str = ""
    requests: int = 0
    worked: float = 0.0  # when it last took a request: one that stands still acts on nothing
    shut: list[list[float]] = field(default_factory=list)  # spans in which it took nothing new
    tried: bool = False  # the settings, which were not in force for all


@dataclass
class Member:
    spans: list[Span] = field(default_factory=list)
    incarnations: list[int] = field(default_factory=list)
    first: float = 0.0
    last: float = 0.0
    # hosts that are out by hand here, and since when
    out: dict[str, float] = field(default_factory=dict)
    ruling: str = "current"
    gaps: int = 0  # entries that are missing, by their numbers


@dataclass(frozen=True)
class Finding:
    """What was not as it should be. `sure`: the clocks cannot explain it."""

    what: str
    t: float
    members: tuple[int, ...]
    text: str


@dataclass
class RolloutStep:
    """What became of a candidate at one member; `t` in its own time until `Fleet.settle`."""

    t: float
    member: int
    order: int
    step: str
    why: str


@dataclass(frozen=True)
class _Tie:
    """A member heard of another's settings; `tried`: they were not in force there."""

    hearer: int
    at: float
    other: int
    order: int
    digest: str
    tried: bool


class Fleet:
    def __init__(self) -> None:
        self.members: dict[int, Member] = defaultdict(Member)
        self.findings: list[Finding] = []
        self.troubles: list[str] = []  # what could not be read or known
        self.offsets: dict[int, float] = {}
        self._began: dict[
            tuple[int, int, str], float
        ] = {}  # when a member began to act on an order and digest, its own time
        self.rollout = list[RolloutStep]()
        self._ties = list[_Tie]()
        self._serials: dict[tuple[int, int], int] = {}
        self._used_out: list[tuple[int, float, str, int]] = []
        self.entries = 0

    # Entries, each member's in its own order

    def take(self, entry: Entry) -> None:
        one, key = self.members[entry.member], (entry.member, entry.incarnation)
        before = self._serials.get(key)
        if before is None:
            one.incarnations.append(entry.incarnation)
            one.out = {}
            one.ruling = "current"
        elif entry.serial <= before:
            return  # told twice
        elif entry.serial > before + 1:
            one.gaps += entry.serial - before - 1
        self._serials[key] = entry.serial
        one.first, one.last = one.first or entry.t, max(one.last, entry.t)
        self.entries += 1
        getattr(self, "_" + entry.what, self._nothing)(entry, one)

    def _nothing(self, entry: Entry, one: Member) -> None: ...

    def _settings(self, entry: Entry, one: Member) -> None:
        # else it ended unseen, after its last entry
        if one.spans and one.spans[-1].incarnation == entry.incarnation:
            one.spans[-1].end = max(entry.t, one.spans[-1].begin)
        self._began.setdefault((entry.member, entry.order, entry.version), entry.t)
        span = Span(
            entry.member, entry.incarnation, entry.order, entry.version, entry.t, entry.t, entry.why
        )
        span.tried = entry.candidate
        one.spans.append(span)
        one.ruling = "current"

    def _program(self, entry: Entry, one: Member) -> None:
        """A member that ends by itself writes that down, and acted on its settings until then."""
        if entry.why == "ended" and one.spans and one.spans[-1].incarnation == entry.incarnation:
            one.spans[-1].end = max(one.spans[-1].end, entry.t)

    def _second(self, entry: Entry, one: Member) -> None:
        if one.spans:
            span = one.spans[-1]
            span.requests += entry.counts.get("requests", 0)
            span.worked = entry.t if entry.counts.get("requests") else span.worked
            span.end = max(span.end, entry.t)
        for host in entry.hosts:
            since = one.out.get(host)
            if since is not None and entry.t - 1.0 > since + OUT_WITHIN:
                self._used_out.append((entry.member, entry.t, host, entry.hosts[host]))

    def _hands(self, entry: Entry, one: Member) -> None:
        one.out = {host: one.out.get(host, entry.t) for host in entry.hosts}

    def _ruling(self, entry: Entry, one: Member) -> None:
        if one.spans:
            shut = one.spans[-1].shut
            if entry.version == "shut out" and one.ruling != "shut out":
                shut.append([entry.t, float("inf")])
            elif entry.version != "shut out" and shut and shut[-1][1] == float("inf"):
                shut[-1][1] = entry.t
        one.ruling = entry.version

    def _heard(self, entry: Entry, one: Member) -> None:
        told = versions.read(entry.version)
        if told is not None and entry.other != entry.member:
            tried = told.candidate is not None
            tie = _Tie(entry.member, entry.t, entry.other, told.order, told.settings, tried)
            self._ties.append(tie)

    def _rollout(self, entry: Entry, one: Member) -> None:
        self.rollout.append(
            RolloutStep(entry.t, entry.member, entry.order, entry.version, entry.why)
        )

    # One order

    def settle(self) -> None:
        """Offsets, spans in the fleet's time, and what was not as it should be."""
        self._reckon_offsets()
        for number, one in self.members.items():
            offset = self.offsets[number]
            for span in one.spans:
                span.begin, span.end = span.begin + offset, max(span.begin, span.end) + offset
                span.worked += offset
                span.shut = [[a + offset, b + offset] for a, b in span.shut]
            if one.gaps:
                self.troubles.append(f"member {number}: {one.gaps} entries are missing")
        for step in self.rollout:
            step.t += self.offsets[step.member]
        self.rollout.sort(key=lambda step: step.t)
        self._old()
        self._contradict()
        for number, at, host, count in self._used_out:
            t = at + self.offsets[number]
            self.findings.append(
                Finding(
                    "host used",
                    t,
                    (number,),
                    f"member {number} sent {count} to {host}, which it held to be out",
                )
            )
        self.findings.sort(key=lambda finding: finding.t)

    def _reckon_offsets(self) -> None:
        self.offsets = dict.fromkeys(self.members, 0.0)
        ties = []
        for tie in self._ties:
            began = self._began.get((tie.other, tie.order, tie.digest))
            if began is not None:
                # offset[hearer] - offset[other] >= that
                ties.append((tie.hearer, tie.other, began - tie.at))
        for _ in range(len(self.members) + 1):
            moved = False
            for hearer, other, least in ties:
                if self.offsets[hearer] < self.offsets[other] + least - 1e-6:
                    self.offsets[hearer], moved = self.offsets[other] + least, True
            if not moved:
                return
        self.troubles.append(
            "the clocks cannot be brought into one order: what some heard contradicts "
            "what others wrote"
        )

    def changes(self) -> list[dict[str, Any]]:
        """For each order that was in force.

        When the first member acted on it, and when the last ceased to act on an older one.
        """
        spans = [span for one in self.members.values() for span in one.spans if not span.tried]
        found = []
        for order in sorted({span.order for span in spans}):
            out = min(span.begin for span in spans if span.order == order)
            older = [span for span in spans if span.order < order and span.end > out]
            acted = [span for span in older if not self._idle(span, out)]
            last = max((span.end for span in acted), default=out)
            found.append(
                {
                    "order": order,
                    "digests": sorted({span.settings for span in spans if span.order == order}),
                    "out_at": out,
                    "last_old_after_s": round(last - out, 3),
                    "requests_under_older_since": sum(
                        span.requests for span in older if span.begin >= out
                    ),
                    "members": sorted({span.member for span in spans if span.order == order}),
                }
            )
        return found

    @staticmethod
    def _idle(span: Span, since: float) -> bool:
        """Whether it took nothing new all that time."""
        at = max(span.begin, since)
        for begin, end in span.shut:
            if begin <= at + HEARD_WITHIN and end >= span.end - 1e-6:
                return True
        return False

    def _old(self) -> None:
        """Members that went on under an older order although they had heard of the newer one."""
        for tie in self._ties:
            hearer, other, order = tie.hearer, tie.other, tie.order
            if tie.tried:
                continue
            heard = tie.at + self.offsets[hearer]
            for span in self.members[hearer].spans:
                if (
                    span.order < order
                    and span.begin <= heard < span.end
                    and span.worked - heard > HEARD_WITHIN + 1.0
                    and not self._idle(span, heard)
                ):
                    text = (
                        f"member {hearer} heard of order {order} from member {other} and "
                        f"acted on {span.order} for {span.worked - heard:.1f} s more"
                    )
                    if not any(
                        f.what == "old" and f.members == (hearer,) and f"order {order} " in f.text
                        for f in self.findings
                    ):
                        self.findings.append(Finding("old", heard, (hearer,), text))

    def _contradict(self) -> None:
        """Two members that acted on one order with two meanings at one time."""
        by_order: dict[int, list[Span]] = defaultdict(list)
        for one in self.members.values():
            for span in one.spans:
                by_order[span.order].append(span)
        for order, spans in by_order.items():
            first: dict[str, Span] = {}
            for span in sorted(spans, key=lambda span: span.begin):
                first.setdefault(span.settings, span)
            digests = sorted(first)
            for place, digest in enumerate(digests):
                for other in digests[place + 1 :]:
                    a, b = first[digest], first[other]
                    text = (
                        f"order {order} is {digest} at member {a.member} and {other} at "
                        f"member {b.member}"
                    )
                    self.findings.append(
                        Finding("contradiction", max(a.begin, b.begin), (a.member, b.member), text)
                    )

    def at(self, t: float) -> dict[int, Span | None]:
        """Who acted on what then; nothing where it is not known."""
        return {
            number: next((s for s in one.spans if s.begin <= t < s.end), None)
            for number, one in self.members.items()
        }

    def document(self) -> dict[str, Any]:
        return {
            "entries": self.entries,
            "members": {
                str(number): {
                    "lives": len(one.incarnations),
                    "offset_s": round(self.offsets.get(number, 0.0), 3),
                    "spans": [
                        {
                            "order": s.order,
                            "settings": s.settings,
                            "tried": s.tried,
                            "begin": s.begin,
                            "end": s.end,
                            "why": s.why,
                            "requests": s.requests,
                            "shut_out": s.shut,
                        }
                        for s in one.spans
                    ],
                }
                for number, one in sorted(self.members.items())
            },
            "changes": self.changes(),
            "rollout": [
                {"t": s.t, "member": s.member, "order": s.order, "step": s.step, "why": s.why}
                for s in self.rollout
            ],
            "findings": [
                {"what": f.what, "t": f.t, "members": list(f.members), "text": f.text}
                for f in self.findings
            ],
            "not_known": self.troubles,
        }


def merged(entries: Iterable[Entry]) -> Fleet:
    one = Fleet()
    for entry in entries:
        one.take(entry)
    one.settle()
    return one
