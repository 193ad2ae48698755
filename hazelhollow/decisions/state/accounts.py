"""One customer's budget as a gateway knows it.

Stores, charges by period and what was left to others. No decision.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from hazelhollow.decisions import interface as api

SOON, LOOK_AGAIN, LOOK_LATEST = 0.1, 1.0, 60.0  # seconds until an account is looked at again


class Store:
    """Units that come in evenly at a rate, up to the most it holds; it may go below nothing."""

    __slots__ = ("rate", "most", "level", "at")

    def __init__(self, rate: float, most: float, level: float, now: float) -> None:
        self.rate, self.most, self.level, self.at = rate, most, level, now

    def fill(self, now: float) -> float:
        self.level = min(self.most, self.level + self.rate * max(0.0, now - self.at))
        self.at = now
        return self.level


class Totals:
    """Charges by period, this one and the last: this gateway's own and those heard of others'.

    Where counts are kept, also what the periods before those come to.
    """

    __slots__ = ("period", "since", "knows", "charged", "closed", "last", "fresh", "heard", "bases")

    def __init__(self, period: int) -> None:
        self.period, self.since, self.closed, self.last = (
            period,
            0,
            0.0,
            0,
        )  # the last period in which it charged
        self.knows = 0  # since when it hears of all charges, or was told of them
        self.fresh: set[str] = (
            set()
        )  # incarnations, or nothing for the own, of which a period has closed that had charges
        self.charged: dict[int, float] = {}
        self.heard: dict[tuple[str, int], float] = {}  # by peer's incarnation and period
        self.bases: dict[str, tuple[int, int, float]] | None = (
            None  # by peer's incarnation: since, through, what came to be known
        )

    def turn(self, period: int) -> None:
        if period > self.period:
            self.period, self.since, self.knows = period, self.since or period, self.knows or period
            if self.bases is not None:
                self._close(period - 1, self.bases)
            self.charged = {k: v for k, v in self.charged.items() if k >= period - 1}
            self.heard = {k: v for k, v in self.heard.items() if k[1] >= period - 1}

    def _close(self, least: int, bases: dict[str, tuple[int, int, float]]) -> None:
        """The periods before that one get no more charges."""
        for period, total in self.charged.items():
            if period < least and total:
                self.closed, self.last = self.closed + total, max(self.last, period)
                self.fresh.add("")
        for (who, period), total in self.heard.items():
            if period < least and total:
                since, through, known = bases.get(who, (0, 0, 0.0))
                bases[who] = since, max(through, period), known + total
                self.fresh.add(who)

    def told(self, who: str, since: int, through: int, total: float) -> float:
        """A peer's count of closed periods, whatever way it came; what it adds.

        What gossip told is part of it; of one that began before this gateway knew the customer the
        first word adds nothing.
        """
        assert self.bases is not None
        base = self.bases.get(who)
        if base and since < base[0]:
            return 0.0  # old word
        begun, before, known = base or (0, 0, 0.0)
        heard = sum(
            v for (peer, period), v in self.heard.items() if peer == who and period <= through
        )
        if begun and since > begun:
            known, before = 0.0, 0  # the peer had let the customer go and counts anew
        more = total - known - heard
        self.heard = {k: v for k, v in self.heard.items() if k[0] != who or k[1] > through}
        self.bases[who] = since, max(through, before), max(total, known + heard)
        return max(more, 0.0) if begun or since >= self.knows else 0.0

    def charge(self, units: float, period: int) -> float:
        """What it changes.

        What is given back belongs to its charge's period: no total falls below nothing.
        """
        before = self.charged.get(period, 0.0)
        self.charged[period] = max(before + units, 0.0)
        return self.charged[period] - before

    def hear(self, incarnation: str, period: int, total: float) -> float:
        """What it changes. A repeated total changes nothing, and the next one heals a lost one."""
        if period < self.period - 1 or (
            self.bases and period <= self.bases.get(incarnation, (0, 0, 0.0))[1]
        ):
            return 0.0
        before, self.heard[incarnation, period] = self.heard.get((incarnation, period), 0.0), total
        return total - before

    def heard_rate(self, span: float) -> float:
        """Units a second that peers charged.

        `span`: since the start of the period before this one.
        """
        return sum(self.heard.values()) / span if self.heard else 0.0

    def sum(self) -> float:
        return sum(self.charged.values()) + sum(self.heard.values())


def at_least(count: int, mean: float) -> float:
    """How likely a Poisson number of that mean is to reach the count."""
    return 1.0 - sum(math.exp(-mean) * mean**k / math.factorial(k) for k in range(max(count, 0)))


class Account:
    """One customer: its budget as this gateway knows it, and what its set was told of it last.

    There is one for each customer seen lately, and many come only once: small objects keep memory
    flat.
    """

    __slots__ = (
        "plan",
        "used",
        "open",
        "budget",
        "told",
        "telling",
        "ceiling",
        "totals",
        "theirs",
        "first",
        "spread",
        "hubs",
        "kept",
        "owed",
        "aside",
        "apart",
        "apart_at",
        "back",
        "copied",
        "name",
        "due",
        "set_mask",
    )

    def __init__(
        self,
        plan: api.Plan,
        level: float,
        born: float,
        now: float,
        whole: bool,
        keeps: bool = False,
        name: str = "",
    ) -> None:
        self.plan, self.used, self.open, self.name = (
            plan,
            now,
            0,
            name,
        )  # the name that this gateway has it under
        self.budget = Store(plan.rate, plan.burst, level, now)
        self.told, self.telling = Store(plan.rate, plan.burst, plan.burst, now), False
        # Empty at the start, unless it is known that nobody was there before: an earlier
        # incarnation of this gateway may have spent it.
        self.ceiling, self.totals = (
            Store(0.0, 0.0, plan.ceiling_burst if whole else 0.0, born),
            Totals(0),
        )
        self.totals.bases = {} if keeps else None
        self.due = 0.0  # when it is looked at next, whether it may be forgotten
        # when peers told how many requests they had open
        self.theirs: dict[int, tuple[float, int]] = {}
        # Where counts are kept: units to be paid back; what was left to each member that could not
        # be heard; who those are, since when that was reckoned up, and when one that is back was
        # heard again; whether a peer told it all.
        self.owed, self.aside, self.apart, self.apart_at = (
            0.0,
            dict[int, float](),
            frozenset[int](),
            born,
        )
        self.back, self.copied = dict[int, float](), False
        self.kept = False  # its quota is kept elsewhere: what peers charge is counted there
        self.first, self.spread = 0, 0  # the set, once a request or a charge has named it
        self.hubs: list[int] = []  # those of the set that hear every charge
        self.set_mask = 0  # a bit for each member of the set

    def hear_open(self, number: int, now: float, count: int) -> None:
        """A peer told how many requests it has open, which is of use where the plan limits them."""
        if self.plan.open_limit:
            self.theirs[number] = now, count

    def told_open(self, now: float, stay: float) -> float:
        """What of the requests that peers said they had open will not have ended since."""
        return sum([count * math.exp((at - now) / stay) for at, count in self.theirs.values()])

    def place(
        self,
        first: int,
        spread: int,
        told: api.Settings,
        number: int,
        hubs: int,
        lost: frozenset[int] = frozenset(),
    ) -> None:
        """The set, and those of it that hear every charge.

        All, or in a large one so many hubs that can be heard.
        """
        self.first, self.spread = first, spread
        self.set_mask = _mask_of_set(first, spread, told.limiter_count)
        start, step = (number % spread, spread // hubs) if hubs else (0, 1)
        places = range(start, start + step * (hubs or spread), step)
        self.hubs = (
            [(first + place % spread) % told.limiter_count for place in places]
            if told.peers
            else []
        )
        if hubs and lost.intersection(self.hubs):
            heard = [n for n in self.members(told.limiter_count) if n not in lost]
            self.hubs = [
                heard[(number + place) % len(heard)] for place in range(min(hubs, len(heard)))
            ]

    def hubs_hear(self, me: int) -> bool:
        """Whether that member hears every charge: else it is told the level."""
        return len(self.hubs) == self.spread or me in self.hubs

    def has(self, number: int, gateways: int) -> bool:
        """Whether it is a member of the set."""
        return (number - self.first) % gateways < self.spread

    def members(self, gateways: int) -> list[int]:
        return [(self.first + place) % gateways for place in range(self.spread)]

    def busiest(self, gateways: int, most: int, chance: Random) -> list[int]:
        """The set, or so many of it.

        Those of which most charges were heard lately, those alike by chance.
        """
        if self.spread <= most:
            return self.members(gateways)
        units = dict[int, float]()
        for (incarnation, _), total in self.totals.heard.items():
            number = int(incarnation.partition(".")[0])
            if total > 0 and self.has(number, gateways):
                units[number] = units.get(number, 0.0) + total
        busy = list(units)
        chance.shuffle(busy)
        busy = sorted(busy, key=lambda n: -units[n])[:most]
        return busy + self._others(units, most - len(busy), gateways, chance)

    def _others(
        self, known: dict[int, float], count: int, gateways: int, chance: Random
    ) -> list[int]:
        """So many members that are not among those, by chance."""
        places = {(number - self.first) % gateways for number in known}
        drawn = chance.sample(range(self.spread), min(self.spread, count + len(places)))
        return [(self.first + place) % gateways for place in drawn if place not in places][:count]

    def may_be_forgotten_at(self, now: float, least: float) -> float:
        """When it is worth while to look again, at latest in a minute.

        By now, if it may be forgotten: it was not used for so long, and a new account would have as
        much.
        """
        unused = self.used + least + self.plan.ceiling_burst / (self.plan.ceiling_rate or 1.0)
        if now < unused:
            return unused
        if self.open or self.aside or self.back:
            return now + LOOK_AGAIN
        missing = self.plan.burst - (self.budget.fill(now) - self.owed)
        if missing <= 0:
            return now
        return now + min(
            max(missing / self.budget.rate if self.budget.rate else LOOK_LATEST, SOON), LOOK_LATEST
        )

    def fill(self, now: float, pay_back: float, period: int) -> float:
        """Units left; what is owed is paid with so much of the rate."""
        self.totals.turn(period)
        passed = max(0.0, now - self.budget.at)
        self.budget.fill(now)
        if self.owed > 0:
            paid = min(self.owed, pay_back * self.plan.rate * passed)
            self.owed, self.budget.level = self.owed - paid, self.budget.level - paid
        return self.budget.level

    def _set_aside(self, apart: frozenset[int], scaled: float, now: float) -> None:
        """What is left to those that cannot be heard.

        Their part of what comes in, and, of those that have only just gone, of what there was.
        """
        for number in self.apart:
            self.aside[number] += self.plan.rate / self.spread * (now - self.apart_at)
        new = apart - self.apart
        for number in new:
            self.aside[number] = self.aside.get(number, 0.0) + scaled / len(new)
            self.back.pop(number, None)
        for number in self.apart - apart:
            self.back[number] = now
        self.apart, self.apart_at = apart, now

    def missed(self, number: int, units: float) -> None:
        """What a member charged without its being heard.

        First of what was left to it; the rest is paid back.
        """
        left = min(max(units, 0.0), self.aside.get(number, 0.0))
        if left:
            self.aside[number] -= left
        self.owed += max(units - left, 0.0)
        self.budget.level -= min(units, 0.0)  # it charged less than was said

    def give_back(self, now: float, settled: float, away: frozenset[int]) -> None:
        """What was left to members that are back, and which their counts do not show to be used."""
        for number, at in list(self.back.items()):
            if number not in away and now - at >= settled:
                del self.back[number]
                self.budget.level = min(
                    self.budget.most, self.budget.level + self.aside.pop(number, 0.0)
                )

    def leave_to(self, lost: frozenset[int], gateways: int, now: float) -> None:
        """The even part of those that cannot be heard is theirs, of the rate and of what has come
        in; what comes back with them is not more than what has been kept here. Not where going
        over earns more than it costs.
        """
        lost = lost if self.plan.excess_cost > self.plan.excess_weight else frozenset()
        part = (
            1.0 - len(lost.intersection(self.members(gateways))) / max(self.spread, 1)
            if lost
            else 1.0
        )
        rate, before = self.plan.rate * part, self.budget.level
        if rate < self.budget.rate and self.budget.level > 0:
            self.budget.level *= rate / self.budget.rate
        if self.totals.bases is not None and self.spread:
            self._set_aside(
                lost.intersection(self.members(gateways)), before - self.budget.level, now
            )
        self.budget.rate, self.budget.most = rate, self.plan.burst * part

    def reclaim(self, unused: tuple[tuple[int, float], ...], gateways: int) -> float:
        """Units of this customer in those seconds of members' parts.

        Where counts are kept, of what was left to them.
        """
        members, found = self.members(gateways) if unused else [], 0.0
        for number, seconds in unused:
            share = self.plan.rate * seconds / self.spread if number in members else 0.0
            if share and self.totals.bases is not None:
                share = min(share, self.aside.get(number, 0.0))
                self.aside[number] = self.aside.get(number, 0.0) - share
            found += share
        return found

    def share_ceiling(self, spread: int) -> None:
        self.ceiling.rate, self.ceiling.most = (
            self.plan.ceiling_rate / spread,
            self.plan.ceiling_burst / spread,
        )


def _mask_of_set(first: int, spread: int, gateways: int) -> int:
    """A bit for each of so many members from the first on, in the circle of all."""
    straight = ((1 << spread) - 1) << first
    return straight & ((1 << gateways) - 1) | straight >> gateways


def mask_of(numbers: Iterable[int]) -> int:
    """A bit for each of these members."""
    mask = 0
    for number in numbers:
        mask |= 1 << number
    return mask


def key_of(name: str) -> str:
    """The key in messages of an account's name."""
    return name.partition(".")[0]
