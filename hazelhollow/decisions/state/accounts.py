"""One customer's account at this limiter: quota, ceiling, charges, and the limiters that share it.

The limiters that a customer's requests arrive at are its set: `set_size` limiters from number
`set_start` on, wrapping around after the last limiter. In a small set every member receives every
charge. In a larger set only a few hubs do, and they announce the level to the other members.

Besides the level of the quota, four attributes account for units: `debt` (charged without a report,
not repaid yet), `reserved_for_unreachable` (set aside for unreachable members), `returning`
(members that are reachable again and whose reserve is not released yet) and the open periods of
`charges`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from hazelhollow.decisions.settings import Plan, Settings
from hazelhollow.decisions.state.period_charges import PeriodCharges
from hazelhollow.decisions.state.token_bucket import TokenBucket

# The largest set whose members all report their charges to each other, and the largest fleet whose
# limiters report their loads to each other.
MAX_DIRECT_SET = 8
HUBS_PER_SET = 2  # members of a larger set that receive every charge and announce the level
DEBT_REPAYMENT_SHARE = 0.5  # share of the rate that repays units charged without a report
MIN_FORGET_CHECK_S = 0.1  # shortest time between two checks whether an account may be forgotten
BUSY_FORGET_CHECK_S = 1.0  # interval of the checks while requests are in flight or units reserved
MAX_FORGET_CHECK_S = 60.0  # longest interval, however many units are missing


class Opening(NamedTuple):
    """The initial state of an account.

    Attributes:
        level: Initial level of the quota, in units.
        now: The current time.
        limiter_started_at: The start time of this incarnation of the limiter.
        unused_before: Whether nothing can have been charged before the limiter started.
        counts_replicated: Whether counts of closed periods are kept for replication.
    """

    level: float
    now: float
    limiter_started_at: float
    unused_before: bool
    counts_replicated: bool = False


class Account:
    """One customer under one plan.

    Each customer seen recently has an account, and many customers send a single request, so the
    objects are kept small to bound memory.

    Attributes:
        plan: The customer's plan.
        name: The customer's key in messages, followed by the plan's tag if two plans share a key.
        last_used_at: The time of the last request or report.
        open_requests: Requests in flight at this limiter.
        quota: The units that may be used; while members are unreachable, its rate and capacity are
            below the plan's.
        ceiling: This limiter's share of the hard limit.
        announced: The level that a hub announced last, refilled since.
        has_announcement: Whether a level has been announced.
        charges: Charges by period.
        peers_open: Each peer's last report of its requests in flight: its time, and the number.
        set_start: The number of the first limiter of the set.
        set_size: The number of limiters in the set; 0 until a request or a report names the set.
        hubs: The members of the set that receive every charge.
        set_mask: A bit mask with one bit for each member of the set.
        leased: Whether the quota is kept in the shared store, which also counts peers' charges.
        debt: Units charged without a report, repaid from the refill of the quota.
        reserved_for_unreachable: Units set aside for each unreachable member.
        unreachable: The unreachable members, as of the last update of the reserves.
        unreachable_since: The time up to which the reserves have been accrued.
        returning: Members that are reachable again, and since when.
        caught_up: Whether a peer has sent its complete copy of this account.
        next_check_at: The time of the next check whether the account may be forgotten.
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
        # The ceiling starts empty unless it is known to be unused: an earlier incarnation of this
        # limiter may have spent it.
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
        """Records a peer's number of requests in flight, if the plan limits them."""
        if self.plan.open_limit:
            self.peers_open[member] = now, count

    def expected_peer_open(self, now: float, mean_attempt_time: float) -> float:
        """Returns how many of the requests that peers reported are expected to be still in flight.

        Each report decays exponentially with the mean duration of an attempt.
        """
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
        """Assigns the set and selects its hubs among the reachable members.

        In a small set all members receive every charge. In a large set the positions of the hubs
        are derived from the customer's key, so that the customers of one set have different hubs.
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
            reachable = [n for n in self.members(limiter_count) if n not in unreachable]
            count = min(hub_count, len(reachable))
            self.hubs = [reachable[(key + place) % len(reachable)] for place in range(count)]

    def receives_all_charges(self, member: int) -> bool:
        """Whether a member receives every charge; the other members rely on announced levels."""
        return len(self.hubs) == self.set_size or member in self.hubs

    def includes(self, member: int, limiter_count: int) -> bool:
        """Whether a limiter is a member of the set."""
        return (member - self.set_start) % limiter_count < self.set_size

    def members(self, limiter_count: int) -> list[int]:
        """Returns the numbers of all members."""
        return [(self.set_start + place) % limiter_count for place in range(self.set_size)]

    def busiest_members(self, limiter_count: int, limit: int, random: Random) -> list[int]:
        """Returns at most `limit` members, those with the highest recent charges first.

        Ties, and places left over by members with charges, are filled at random. A set of at most
        `limit` members is returned in the order of its numbers.
        """
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
        self, excluded: Iterable[int], count: int, limiter_count: int, random: Random
    ) -> list[int]:
        """Returns `count` random members that are not among the excluded ones."""
        excluded_places = {(member - self.set_start) % limiter_count for member in excluded}
        drawn = random.sample(
            range(self.set_size), min(self.set_size, count + len(excluded_places))
        )
        others = [place for place in drawn if place not in excluded_places]
        return [(self.set_start + place) % limiter_count for place in others][:count]

    def set_ceiling_share(self) -> None:
        """Limits this limiter to an equal share of the ceiling.

        The shares of all members sum to the ceiling, so that it holds without any message between
        them.
        """
        self.ceiling.rate = self.plan.ceiling_rate / self.set_size
        self.ceiling.capacity = self.plan.ceiling_burst / self.set_size

    # The quota

    def refill(self, now: float, period: int) -> float:
        """Refills the quota, repays debt from the refill, and returns the level."""
        self.charges.advance(period)
        elapsed = max(0.0, now - self.quota.updated_at)
        self.quota.refill(now)
        if self.debt > 0:
            repaid = min(self.debt, DEBT_REPAYMENT_SHARE * self.plan.rate * elapsed)
            self.debt, self.quota.level = self.debt - repaid, self.quota.level - repaid
        return self.quota.level

    def next_forget_check(self, now: float, min_idle: float) -> float:
        """Returns when to check next whether this account may be forgotten.

        A result of `now` or earlier means that it may be forgotten: it has been idle for at least
        `min_idle` seconds and a new account would hold as many units. Once the account has been
        idle for long enough, the next check is at most one minute later.
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

    # Unreachable members

    def reserve_for(self, unreachable: frozenset[int], limiter_count: int, now: float) -> None:
        """Reserves the equal shares of unreachable members for them.

        The shares are subtracted from the rate, the capacity and the level, so that the two sides
        of a partition together admit no more than the quota. Nothing is reserved if a request
        beyond the quota costs no more than it earns.
        """
        if self.plan.excess_cost <= self.plan.excess_weight:
            unreachable = frozenset()
        reachable_share = 1.0
        if unreachable:
            count = len(unreachable.intersection(self.members(limiter_count)))
            reachable_share -= count / max(self.set_size, 1)
        rate, level_before = self.plan.rate * reachable_share, self.quota.level
        if rate < self.quota.rate and self.quota.level > 0:
            self.quota.level *= rate / self.quota.rate
        if self.charges.closed_counts is not None and self.set_size:
            members = unreachable.intersection(self.members(limiter_count))
            self._update_reserves(members, level_before - self.quota.level, now)
        self.quota.rate, self.quota.capacity = rate, self.plan.burst * reachable_share

    def _update_reserves(self, unreachable: frozenset[int], units: float, now: float) -> None:
        """Updates the units reserved for unreachable members.

        Members that were unreachable before get their share of the refill since the last update.
        Members that have just become unreachable split `units`, their share of the level, equally.
        """
        for member in self.unreachable:
            self.reserved_for_unreachable[member] += (
                self.plan.rate / self.set_size * (now - self.unreachable_since)
            )
        newly_unreachable = unreachable - self.unreachable
        for member in newly_unreachable:
            self.reserved_for_unreachable[member] = self.reserved_for_unreachable.get(
                member, 0.0
            ) + units / len(newly_unreachable)
            self.returning.pop(member, None)
        for member in self.unreachable - unreachable:
            self.returning[member] = now
        self.unreachable, self.unreachable_since = unreachable, now

    def charge_unreported(self, member: int, units: float) -> None:
        """Accounts for units that a member charged and that no report had brought here.

        They are taken from the member's reserve first; the rest becomes debt. Negative `units` mean
        that the member charged less than it had reported, and are refunded.
        """
        reserved = min(max(units, 0.0), self.reserved_for_unreachable.get(member, 0.0))
        if reserved:
            self.reserved_for_unreachable[member] -= reserved
        self.debt += max(units - reserved, 0.0)
        self.quota.level -= min(units, 0.0)

    def release_returned(self, now: float, settle_time: float, away: frozenset[int]) -> None:
        """Returns the unused reserves of members that are reachable again to the quota.

        This happens `settle_time` seconds after a member's return, when its counts have arrived.
        """
        for member, since in list(self.returning.items()):
            if member not in away and now - since >= settle_time:
                del self.returning[member]
                unused = self.reserved_for_unreachable.pop(member, 0.0)
                self.quota.level = min(self.quota.capacity, self.quota.level + unused)

    def reclaim(self, unused: tuple[tuple[int, float], ...], limiter_count: int) -> float:
        """Returns this customer's units in the shares that members left unused.

        `unused` holds members and the seconds of their share that were not used. Where counts are
        replicated, the units are taken from the members' reserves and are limited to them.
        """
        members, reclaimed = self.members(limiter_count) if unused else [], 0.0
        for member, seconds in unused:
            units = self.plan.rate * seconds / self.set_size if member in members else 0.0
            if units and self.charges.closed_counts is not None:
                reserved = self.reserved_for_unreachable.get(member, 0.0)
                units = min(units, reserved)
                self.reserved_for_unreachable[member] = reserved - units
            reclaimed += units
        return reclaimed


def _set_mask(set_start: int, set_size: int, limiter_count: int) -> int:
    """Returns the bit mask of a set that wraps around after the last limiter."""
    unwrapped = ((1 << set_size) - 1) << set_start
    return unwrapped & ((1 << limiter_count) - 1) | unwrapped >> limiter_count


def members_mask(members: Iterable[int]) -> int:
    """Returns the bit mask of the given members."""
    mask = 0
    for member in members:
        mask |= 1 << member
    return mask


def key_of(name: str) -> str:
    """Returns the key, as used in messages, of an account's name."""
    return name.partition(".")[0]
