"""One customer's account as this limiter knows it: quota, ceiling, charges, and who else charges.

The limiters that a customer's requests come through are its set: `set_size` limiters from number
`set_start` on, in the circle of all. In a small set every member hears every charge. In a larger
one a few hubs do, and announce the level to the rest.

Units may be in four places besides the quota's level: `debt` (charged unheard, still to be paid),
`reserved_for_unreachable` (left to members that can't be heard), `returning` (who of these is back)
and the open periods of `charges`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from hazelhollow.decisions.settings import Plan, Settings
from hazelhollow.decisions.state.period_charges import PeriodCharges
from hazelhollow.decisions.state.token_bucket import TokenBucket

# The largest set whose members all tell each other what they charge, and the largest fleet whose
# limiters tell each other their loads.
MAX_DIRECT_SET = 8
HUBS_PER_SET = 2  # members of a larger set that hear every charge and announce the level
DEBT_REPAYMENT_SHARE = 0.5  # of the rate, with which units that were charged unheard are paid
MIN_FORGET_CHECK_S = 0.1  # seconds between two looks at whether an account may be forgotten
BUSY_FORGET_CHECK_S = 1.0  # the same of an account with requests in flight
MAX_FORGET_CHECK_S = 60.0  # the same at most, however much is missing


class Opening(NamedTuple):
    """What an account begins with.

    Attributes:
        level: Units of the quota.
        now: The instant.
        limiter_started_at: When this incarnation of the limiter started.
        unused_before: Whether it is known that nobody charged before the limiter started.
        counts_replicated: Whether closed periods are counted.
    """

    level: float
    now: float
    limiter_started_at: float
    unused_before: bool
    counts_replicated: bool = False


class Account:
    """One customer under one plan.

    There is one for each customer seen lately, and many come only once: small objects keep memory
    flat.

    Attributes:
        plan: The customer's plan.
        name: Its key in messages, with the plan's tag behind it where two share a key.
        last_used_at: The instant of its last request or report.
        open_requests: Requests in flight here.
        quota: What may be used; its rate and capacity are less than the plan's while members can't
            be heard.
        ceiling: This limiter's part of the hard limit.
        announced: The level that a hub announced last.
        has_announcement: Whether a hub has announced one.
        charges: Charges by period.
        peers_open: Requests in flight at each peer, as it said, and when.
        set_start: The first limiter of the set.
        set_size: How many there are; 0 until a request or a report has named the set.
        hubs: Those of the set that hear every charge.
        set_mask: A bit for each member of the set.
        leased: The quota is kept in the shared store, which counts what peers charge.
        debt: Units charged unheard, paid from what comes in.
        reserved_for_unreachable: Units left to each member that can't be heard.
        unreachable: Who these are.
        unreachable_since: When their units were last reckoned up.
        returning: Members that can be heard again, and since when.
        caught_up: A peer has sent everything that it knows of this customer.
        next_check_at: When it is looked at next, whether it may be forgotten.
    """

    __slots__ = (
        "plan",
        "name",
        "last_used_at",
        "open_requests",
        "quota",
        "ceiling",
        "announced",
        "has_announcement",
        "charges",
        "peers_open",
        "set_start",
        "set_size",
        "hubs",
        "set_mask",
        "leased",
        "debt",
        "reserved_for_unreachable",
        "unreachable",
        "unreachable_since",
        "returning",
        "caught_up",
        "next_check_at",
    )

    def __init__(self, plan: Plan, name: str, opening: Opening) -> None:
        now, started_at = opening.now, opening.limiter_started_at
        self.plan, self.name = plan, name
        self.last_used_at, self.open_requests = now, 0
        self.quota = TokenBucket(plan.rate, plan.burst, opening.level, now)
        self.announced = TokenBucket(plan.rate, plan.burst, plan.burst, now)
        self.has_announcement = False
        # Empty at the start, unless it is known that nobody used it before: an earlier incarnation
        # of this limiter may have spent it.
        ceiling_level = plan.ceiling_burst if opening.unused_before else 0.0
        self.ceiling = TokenBucket(0.0, 0.0, ceiling_level, started_at)
        self.charges = PeriodCharges(0)
        self.charges.closed_counts = {} if opening.counts_replicated else None
        self.peers_open: dict[int, tuple[float, int]] = {}
        self.set_start = self.set_size = self.set_mask = 0
        self.hubs: list[int] = []
        self.leased = self.caught_up = False
        self.debt = self.next_check_at = 0.0
        self.reserved_for_unreachable: dict[int, float] = {}
        self.unreachable, self.unreachable_since = frozenset[int](), started_at
        self.returning: dict[int, float] = {}

    # Requests in flight

    def record_peer_open(self, member: int, now: float, count: int) -> None:
        """A peer said how many requests it has in flight, where the plan limits them."""
        if self.plan.open_limit:
            self.peers_open[member] = now, count

    def expected_peer_open(self, now: float, mean_attempt_time: float) -> float:
        """How many of the requests that peers said they had in flight will not have ended since."""
        return sum(
            [
                count * math.exp((at - now) / mean_attempt_time)
                for at, count in self.peers_open.values()
            ]
        )

    # The set

    def place_set(
        self,
        set_start: int,
        set_size: int,
        settings: Settings,
        unreachable: frozenset[int] = frozenset(),
    ) -> None:
        """Names the set, and in a large one its hubs, of the members that can be heard.

        In a small set, all members hear every charge. Where hubs stand follows from the key, so
        that the customers of one set have different ones.
        """
        limiter_count = settings.limiter_count
        hub_count = HUBS_PER_SET if set_size > MAX_DIRECT_SET else 0
        self.set_start, self.set_size = set_start, set_size
        self.set_mask = _set_mask(set_start, set_size, limiter_count)
        key = int(key_of(self.name), 36) if hub_count else 0
        start, step = (key % set_size, set_size // hub_count) if hub_count else (0, 1)
        places = range(start, start + step * (hub_count or set_size), step)
        self.hubs = (
            [(set_start + place % set_size) % limiter_count for place in places]
            if settings.peers
            else []
        )
        if hub_count and unreachable.intersection(self.hubs):
            heard = [n for n in self.members(limiter_count) if n not in unreachable]
            count = min(hub_count, len(heard))
            self.hubs = [heard[(key + place) % len(heard)] for place in range(count)]

    def hears_all_charges(self, member: int) -> bool:
        """Whether that member hears every charge; else it goes by announced levels."""
        return len(self.hubs) == self.set_size or member in self.hubs

    def includes(self, member: int, limiter_count: int) -> bool:
        """Whether that limiter is a member of the set."""
        return (member - self.set_start) % limiter_count < self.set_size

    def members(self, limiter_count: int) -> list[int]:
        """The numbers of all members."""
        return [(self.set_start + place) % limiter_count for place in range(self.set_size)]

    def busiest_members(self, limiter_count: int, limit: int, random: Random) -> list[int]:
        """The set, or `limit` of it: those that charged most lately, ties by chance."""
        if self.set_size <= limit:
            return self.members(limiter_count)
        units = dict[int, float]()
        for (incarnation, _), total in self.charges.reported.items():
            member = int(incarnation.partition(".")[0])
            if total > 0 and self.includes(member, limiter_count):
                units[member] = units.get(member, 0.0) + total
        busy = list(units)
        random.shuffle(busy)
        busy = sorted(busy, key=lambda n: -units[n])[:limit]
        return busy + self._other_members(units, limit - len(busy), limiter_count, random)

    def _other_members(
        self, known: Iterable[int], count: int, limiter_count: int, random: Random
    ) -> list[int]:
        """`count` members that are not among the known ones, by chance."""
        places = {(member - self.set_start) % limiter_count for member in known}
        drawn = random.sample(range(self.set_size), min(self.set_size, count + len(places)))
        others = [place for place in drawn if place not in places]
        return [(self.set_start + place) % limiter_count for place in others][:count]

    def share_ceiling(self) -> None:
        """An even part of the ceiling for each member of the set.

        The parts sum to the ceiling, so that it holds without any message between the members.
        """
        self.ceiling.rate = self.plan.ceiling_rate / self.set_size
        self.ceiling.capacity = self.plan.ceiling_burst / self.set_size

    # The quota

    def refill(self, now: float, period: int) -> float:
        """Units left; a debt is paid out of what comes in."""
        self.charges.advance(period)
        elapsed = max(0.0, now - self.quota.updated_at)
        self.quota.refill(now)
        if self.debt > 0:
            paid = min(self.debt, DEBT_REPAYMENT_SHARE * self.plan.rate * elapsed)
            self.debt, self.quota.level = self.debt - paid, self.quota.level - paid
        return self.quota.level

    def next_forget_check(self, now: float, min_idle: float) -> float:
        """When it is worth while to ask again whether this account may be forgotten.

        `now` or earlier: it may be forgotten, since it was idle for at least `min_idle` seconds and
        a new account would have as much. At most a minute later.
        """
        idle_at = self.last_used_at + min_idle
        idle_at += self.plan.ceiling_burst / (self.plan.ceiling_rate or 1.0)
        if now < idle_at:
            return idle_at
        if self.open_requests or self.reserved_for_unreachable or self.returning:
            return now + BUSY_FORGET_CHECK_S
        missing = self.plan.burst - (self.quota.refill(now) - self.debt)
        if missing <= 0:
            return now
        wait = missing / self.quota.rate if self.quota.rate else MAX_FORGET_CHECK_S
        return now + min(max(wait, MIN_FORGET_CHECK_S), MAX_FORGET_CHECK_S)

    # Members that can't be heard

    def reserve_for(self, unreachable: frozenset[int], limiter_count: int, now: float) -> None:
        """Leaves the even part of members that can't be heard to them.

        Their part is taken off the rate, the capacity and the level, so that the two sides of a
        partition together admit no more than the quota. Not where a request beyond the quota costs
        no more than it earns.
        """
        if self.plan.excess_cost <= self.plan.excess_weight:
            unreachable = frozenset()
        part = 1.0
        if unreachable:
            count = len(unreachable.intersection(self.members(limiter_count)))
            part -= count / max(self.set_size, 1)
        rate, before = self.plan.rate * part, self.quota.level
        if rate < self.quota.rate and self.quota.level > 0:
            self.quota.level *= rate / self.quota.rate
        if self.charges.closed_counts is not None and self.set_size:
            members = unreachable.intersection(self.members(limiter_count))
            self._reserve(members, before - self.quota.level, now)
        self.quota.rate, self.quota.capacity = rate, self.plan.burst * part

    def _reserve(self, unreachable: frozenset[int], units: float, now: float) -> None:
        """Reckons up what is left to those members.

        Their part of what has come in, and of those that have only just gone, of what there was
        (`units` together).
        """
        for member in self.unreachable:
            self.reserved_for_unreachable[member] += (
                self.plan.rate / self.set_size * (now - self.unreachable_since)
            )
        gone = unreachable - self.unreachable
        for member in gone:
            self.reserved_for_unreachable[member] = self.reserved_for_unreachable.get(
                member, 0.0
            ) + units / len(gone)
            self.returning.pop(member, None)
        for member in self.unreachable - unreachable:
            self.returning[member] = now
        self.unreachable, self.unreachable_since = unreachable, now

    def charge_unheard(self, member: int, units: float) -> None:
        """Charges what a member charged without its being heard.

        First of what was reserved for it; the rest becomes a debt. Below zero it charged less than
        was heard, which is refunded.
        """
        reserved = min(max(units, 0.0), self.reserved_for_unreachable.get(member, 0.0))
        if reserved:
            self.reserved_for_unreachable[member] -= reserved
        self.debt += max(units - reserved, 0.0)
        self.quota.level -= min(units, 0.0)

    def release_returned(self, now: float, settle_time: float, away: frozenset[int]) -> None:
        """Gives back what was reserved for members that are back and didn't use it.

        `settle_time`: seconds after which their counts have come.
        """
        for member, since in list(self.returning.items()):
            if member not in away and now - since >= settle_time:
                del self.returning[member]
                unused = self.reserved_for_unreachable.pop(member, 0.0)
                self.quota.level = min(self.quota.capacity, self.quota.level + unused)

    def reclaim(self, unused: tuple[tuple[int, float], ...], limiter_count: int) -> float:
        """Units of this customer in those seconds of members' parts that nobody used.

        Where counts are replicated, of what was reserved for them.
        """
        members, found = self.members(limiter_count) if unused else [], 0.0
        for member, seconds in unused:
            units = self.plan.rate * seconds / self.set_size if member in members else 0.0
            if units and self.charges.closed_counts is not None:
                reserved = self.reserved_for_unreachable.get(member, 0.0)
                units = min(units, reserved)
                self.reserved_for_unreachable[member] = reserved - units
            found += units
        return found


def _set_mask(set_start: int, set_size: int, limiter_count: int) -> int:
    """A bit for each of `set_size` members from the first on, in the circle of all."""
    straight = ((1 << set_size) - 1) << set_start
    return straight & ((1 << limiter_count) - 1) | straight >> limiter_count


def members_mask(members: Iterable[int]) -> int:
    """A bit for each of these members."""
    mask = 0
    for member in members:
        mask |= 1 << member
    return mask


def key_of(name: str) -> str:
    """The key in messages of an account's name."""
    return name.partition(".")[0]
