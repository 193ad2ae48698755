"""All that can happen to counts, up to stated bounds.

Charges, datagrams late, lost, doubled or out of order, crashes, catch-up.

Breadth first over sequences of steps that drive the real functions (`ReplicatedAccounts`,
`PeriodCharges`, `replication.count_table.CountTable`); each sequence is played anew from the start,
so nothing of the product has to be copied. In every state nobody may hold more for used than was
charged; and after all have heard all counts, each holds what was charged, once.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.startup_quota import StartupQuota
from hazelhollow.decisions.state.accounts import Account, Opening
from hazelhollow.decisions.state.customer_accounts import CustomerAccounts
from hazelhollow.decisions.state.period_charges import ClosedCount, PeriodCharges
from hazelhollow.decisions.state.replicated_accounts import ReplicatedAccounts
from hazelhollow.fault_injection.plan import Event, Plan
from hazelhollow.replication import count_table
from hazelhollow.replication.count_table import CountRow, CountTable, CountValue

Step = tuple[Any, ...]
KEY, BURST, START = "abc", 1000.0, 1_000
NEAR = 0.01
MOST_COUNTS = 1000  # that close at once: more than a model has
SETTLE = 4  # periods until all that was charged is closed


@dataclass(frozen=True)
class Bounds:
    members: int = 2
    charges: int = 2
    sends: int = 2
    turns: int = 3
    crashes: int = 1
    copies: int = 1  # of datagrams that come again
    lags: int = 1  # turns that one member's clock comes late to
    depth: int = 8


class Broken(Exception):
    """A state that must not be."""


class Accounts(CustomerAccounts):
    """Accounts that begin full where the member is whole, and that nothing refills."""

    def __init__(self, context: DecisionContext, startup: StartupQuota, whole: bool) -> None:
        super().__init__(context, startup)
        self.whole = whole

    def get(self, key: str, plan: api.Plan, set_start: int, set_size: int) -> Account:
        """The only account."""
        context = self._context
        known = self.by_name.get(key)
        if known is None:
            level = plan.burst if self.whole else plan.burst / set_size
            opening = Opening(level, context.now, context.now, False, True)
            known = self.by_name[key] = Account(plan, KEY, opening)
            known.place_set(set_start, set_size, context.settings)
        known.charges.advance(context.period)
        return known


class Member:
    def __init__(self, number: int, members: int, now: int, incarnation: str, whole: bool) -> None:
        plan = api.Plan("p", rate=1e-9, burst=BURST, excess_cost=1.0)
        kind = api.RequestClass("c", 1.0, 3.0, 1.0, "safe")
        settings = api.Settings(number, members, (kind,), (plan,), peers=True)
        self.context = DecisionContext(settings, Random(0))
        self.context.counts_replicated, self.context.incarnation = True, incarnation
        self.context.started_at = float(now)
        startup = StartupQuota(self.context)
        self.accounts = Accounts(self.context, startup, whole)
        self.replicated = ReplicatedAccounts(self.context, self.accounts, startup)
        self.book, self.whole = CountTable(), whole
        # the most that it was ever told of an incarnation
        self.best: dict[tuple[int, str], float] = {}
        self.at(now)
        if whole:
            startup.complete_since = -math.inf
            self.account()

    def at(self, now: int) -> None:
        self.context.now, self.context.period = float(now), now
        self.book.advance(now)
        for action in self.replicated.take_closed(MOST_COUNTS):
            if isinstance(action, api.ReplicateCount):
                c, me = action.replicated_count, self.context.settings.limiter_id
                own = (c.member, c.incarnation) == (me, self.context.incarnation)
                self.book.merge_in(
                    CountRow(
                        KEY,
                        "p",
                        0,
                        action.set_size,
                        c.member,
                        c.incarnation,
                        CountValue(c.since, c.through, round(10 * c.total), int(own)),
                    )
                )

    def account(self) -> Account:
        one = self.accounts.by_name.get(KEY)
        if one is None:
            size = self.context.settings.limiter_count
            one = self.accounts.get(KEY, self.context.plans["p"], 0, size)
        one.charges.advance(self.context.period)
        self.replicated.mark_charged(one)
        return one

    def copied(self, event: api.AccountReplicated) -> None:
        self.replicated.merge(event)

    def tell_rows(self, rows: list[CountRow]) -> None:
        for row in rows:
            mine, who = (
                (row.member, row.incarnation)
                == (self.context.settings.limiter_id, self.context.incarnation),
                (row.member, row.incarnation),
            )
            self.best[who] = max(self.best.get(who, 0.0), row.value.total / 10)
            if not mine and self.book.merge_in(row) and self.whole:
                self.count(row)

    def count(self, row: CountRow) -> None:
        value = row.value
        count = api.ReplicatedCount(
            row.member, row.incarnation, value.since, value.through, value.total / 10
        )
        self.copied(api.AccountReplicated(KEY, "p", 0, row.set_size, (count,)))

    def used(self) -> float:
        one = self.account()
        return BURST - (one.quota.level - one.debt)

    def shown(self) -> tuple[Any, ...]:
        a = self.account()
        t = a.charges
        return (
            round(a.quota.level - a.debt, 3),
            self.whole,
            a.caught_up,
            t.own_closed,
            t.complete_since,
            tuple(sorted(t.own.items())),
            tuple(sorted(t.reported.items())),
            tuple(sorted((t.closed_counts or {}).items())),
            tuple(sorted((r.member, r.incarnation, r.value) for r in self.book.rows(KEY))),
        )


class World:
    """The members, what is on its way, and what really was charged, by incarnation."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds, self.period = bounds, START
        self.members = [
            Member(n, bounds.members, START, f"a{n}", True) for n in range(bounds.members)
        ]
        self.flying: list[tuple[int, int, str, Any]] = []
        self.charged: dict[tuple[int, str], int] = {}
        self.left = {
            "charge": bounds.charges,
            "send": bounds.sends,
            "turn": bounds.turns,
            "crash": bounds.crashes,
            "again": bounds.copies,
        }
        self.left["lag"] = bounds.lags

    def steps(self) -> Iterator[Step]:
        """What can happen next."""
        numbers = range(len(self.members))
        if self.left["charge"]:
            yield from (("charge", n) for n in numbers)
        if self.left["turn"]:
            yield ("turn",)
            if self.left["lag"]:
                yield from (("turn", n) for n in numbers)
        if self.left["send"]:
            pairs = [(a, b) for a in numbers for b in numbers if a != b]
            yield from (("gossip", a, b) for a, b in pairs if self.members[a].account().charges.own)
            yield from (("counts", a, b) for a, b in pairs if self.members[a].book.customers)
        yield from (
            ("ask", n, g)
            for n in numbers
            for g in numbers
            if not self.members[n].whole and self.members[g].whole and n != g
        )
        for place in range(len(self.flying)):
            yield ("deliver", place)
            if self.left["again"]:
                yield ("again", place)
        if self.left["crash"]:
            yield from (("crash", n) for n in numbers)

    def do(self, step: Step) -> None:
        what = step[0]
        if what in self.left:
            self.left[what] -= 1
        if what == "charge":
            one = self.members[step[1]]
            account = one.account()
            account.quota.level -= account.charges.charge(1.0, one.context.period)
            who = step[1], one.context.incarnation
            self.charged[who] = self.charged.get(who, 0) + 1
        elif what == "turn":
            self.period += 1
            self.left["lag"] -= len(step) - 1
            for number, one in enumerate(self.members):
                if step[1:] != (number,):
                    one.at(self.period)
        elif what in ("gossip", "counts"):
            self.left["send"] -= 1
            self.flying.append((step[1], step[2], what, self._said(self.members[step[1]], what)))
        elif what == "ask":
            piece = self.members[step[2]].replicated.copy_of(KEY)
            self.flying.append(
                (step[2], step[1], "piece", (self.members[step[1]].context.incarnation, piece))
            )
        elif what in ("deliver", "again"):
            a, b, kind, said = self.flying[step[1]]
            if what == "deliver":
                del self.flying[step[1]]
            self._take(a, self.members[b], kind, said)
        elif what == "crash":
            self.members[step[1]] = Member(
                step[1], len(self.members), self.period, f"b{step[1]}{self.period}", False
            )
            self.flying = [f for f in self.flying if f[1] != step[1]]

    @staticmethod
    def _said(one: Member, kind: str) -> Any:
        if kind == "gossip":
            return one.context.incarnation, dict(one.account().charges.own)
        return one.book.rows(KEY)

    def _take(self, source: int, one: Member, kind: str, said: Any) -> None:
        if kind == "gossip":
            incarnation, periods = said
            account = one.account()
            for period, total in periods.items():
                account.quota.level -= account.charges.merge_report(
                    f"{source}.{incarnation}", period, total
                )
        elif kind == "counts":
            one.tell_rows(said)
        elif said[0] == one.context.incarnation and said[1] is not None and not one.whole:
            one.copied(said[1])
            self._whole(one)

    @staticmethod
    def _whole(one: Member) -> None:
        one.whole = True
        one.copied(api.AccountReplicated(""))
        for row in one.book.rows(KEY):
            if (row.member, row.incarnation) != (
                one.context.settings.limiter_id,
                one.context.incarnation,
            ):
                one.count(row)

    # What must hold

    def check(self) -> None:
        total = sum(self.charged.values())
        for number, one in enumerate(self.members):
            if one.whole and one.used() > total + NEAR:
                raise Broken(
                    f"member {number} holds {one.used():g} for used where {total} were "
                    "charged: something counts twice"
                )

    def finish(self) -> None:
        """All hear all; then each holds what was charged.

        What the dead charged and no row told may be known to some alone.
        """
        live = {(n, one.context.incarnation) for n, one in enumerate(self.members)}
        for one in self.members:
            giver = next((g for g in self.members if g.whole), None)
            if not one.whole and giver is not None:
                self._take(
                    0, one, "piece", (one.context.incarnation, giver.replicated.copy_of(KEY))
                )
            elif not one.whole:
                return  # nobody is left who knows anything
        for _ in range(SETTLE):
            self.do(("turn",))
        for _ in range(2):
            for a, source in enumerate(self.members):
                for b, one in enumerate(self.members):
                    if a != b:
                        one.tell_rows(source.book.rows(KEY))
        told = [
            max((one.best.get(who, 0.0) for one in self.members), default=0.0)
            for who in self.charged
            if who not in live
        ]
        least, most = (
            sum(self.charged.get(who, 0) for who in live) + sum(told),
            sum(self.charged.values()),
        )
        for number, one in enumerate(self.members):
            if not least - NEAR <= one.used() <= most + NEAR:
                raise Broken(
                    f"in the end member {number} holds {one.used():g} for used; {least} "
                    f"to {most} were charged"
                )
        sums = {tuple(one.book.digests()) for one in self.members}
        if len(sums) != 1:
            raise Broken("all have told each other all, and their books differ")

    def shown(self) -> tuple[Any, ...]:
        return (
            self.period,
            tuple(one.shown() for one in self.members),
            repr(self.flying),
            tuple(self.left.items()),
        )


def play(bounds: Bounds, steps: tuple[Step, ...]) -> World:
    world = World(bounds)
    for step in steps:
        world.do(step)
    return world


@dataclass
class Found:
    states: int
    steps: tuple[Step, ...] = ()
    why: str = ""


def explore(
    bounds: Bounds,
    progress: Callable[[int], None] = lambda states: None,
    first: tuple[Step, ...] = (),
) -> Found:
    """Every state within the bounds that follows on `first`, or up to the first that is broken.

    No shorter sequence breaks one.
    """
    seen, waiting, states = {play(bounds, first).shown()}, deque[tuple[Step, ...]]([first]), 0
    while waiting:
        steps = waiting.popleft()
        states += 1
        if states % 1000 == 0:
            progress(states)
        try:
            play(bounds, steps).check()
            play(bounds, steps).finish()
        except Broken as error:
            return Found(states, steps, str(error))
        if len(steps) == bounds.depth:
            continue
        for step in list(play(bounds, steps).steps()):
            after = play(bounds, (*steps, step))
            shown = after.shown()
            if shown not in seen:
                seen.add(shown)
                waiting.append((*steps, step))
    return Found(states)


# Mistakes that it must find


@contextmanager
def planted(name: str) -> Iterator[None]:
    """The product with a mistake in it, for as long as it lasts."""
    owner, attribute, wrong = MISTAKES[name]
    right = getattr(owner, attribute)
    setattr(owner, attribute, wrong(right))
    try:
        yield
    finally:
        setattr(owner, attribute, right)


def _late_gossip(right: Callable[..., float]) -> Callable[..., float]:
    def hear(charges: PeriodCharges, incarnation: str, period: int, total: float) -> float:
        counts, charges.closed_counts = charges.closed_counts, {}
        try:
            return right(charges, incarnation, period, total)
        finally:
            charges.closed_counts = counts

    return hear


def _forgets_gossip(right: Callable[..., float]) -> Callable[..., float]:
    def told(charges: PeriodCharges, incarnation: str, count: ClosedCount) -> float:
        reported, charges.reported = charges.reported, {}
        try:
            return right(charges, incarnation, count)
        finally:
            charges.reported = reported

    return told


def _last_speaker(right: Callable[..., CountValue]) -> Callable[..., CountValue]:
    return lambda one, other: other


def _forgets_own(right: Callable[..., None]) -> Callable[..., None]:
    def adopt(
        replicated: ReplicatedAccounts, account: Account, event: api.AccountReplicated
    ) -> None:
        before, closed = account.charges.own, account.charges.own_closed
        account.charges.own, account.charges.own_closed = {}, 0.0
        right(replicated, account, event)
        account.charges.own, account.charges.own_closed = before, closed

    return adopt


MISTAKES: dict[str, tuple[Any, str, Callable[..., Any]]] = {
    "late gossip counts beside its count": (PeriodCharges, "merge_report", _late_gossip),
    "a count forgets what gossip told": (PeriodCharges, "merge_count", _forgets_gossip),
    "who spoke last is right": (count_table, "merge", _last_speaker),
    "catch-up forgets what was charged meanwhile": (ReplicatedAccounts, "_catch_up", _forgets_own),
}


def as_plan(bounds: Bounds, steps: tuple[Step, ...], name: str) -> Plan:
    """The same as a drill.

    A second for each period, links cut where a datagram stayed away, processes killed where one
    ended.
    """
    events, at, sent = list[Event](), 4.0, list[tuple[int, int]]()
    for step in steps:
        if step[0] == "turn":
            at += 1.0
        elif step[0] in ("gossip", "counts"):
            sent.append((step[1], step[2]))
        elif step[0] == "ask":
            sent.append((step[2], step[1]))
        elif step[0] == "deliver" and step[1] < len(sent):
            del sent[step[1]]
        elif step[0] == "again":
            events.append(
                Event(
                    at=at,
                    what="double",
                    whom=(f"n{sent[step[1]][0]}",),
                    others=(f"n{sent[step[1]][1]}",),
                    lasts=1.0,
                    amount=1.0,
                    one_way=True,
                )
            )
        elif step[0] == "crash":
            events.append(Event(at=at, what="kill", whom=(f"n{step[1]}",), lasts=0.3))
    for a, b in dict.fromkeys(sent):
        events.append(
            Event(
                at=4.0,
                what="cut",
                whom=(f"n{a}",),
                others=(f"n{b}",),
                lasts=max(1.0, at - 3.0),
                one_way=True,
            )
        )
    return Plan(
        name=name, instances=max(2, bounds.members), seconds=at + 12.0, events=tuple(events)
    )
