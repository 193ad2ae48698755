"""The accounts of customers seen lately: found, opened, and forgotten when they are idle."""

from __future__ import annotations

import heapq
from zlib import crc32

from hazelhollow.decisions.context import PERIOD_S, DecisionContext
from hazelhollow.decisions.events import MembershipChanged
from hazelhollow.decisions.gossip import codec
from hazelhollow.decisions.settings import Plan
from hazelhollow.decisions.startup_quota import StartupQuota
from hazelhollow.decisions.state.accounts import (
    MAX_DIRECT_SET,
    Account,
    Opening,
    members_mask,
)

KEY_COUNT = 36**5  # how many keys there are for customers in messages
MIN_IDLE_S = 2.0 * PERIOD_S  # an account is kept at least so long after its last use
# Seconds after which members that can be heard again have replicated what they charged.
COUNT_SETTLE_S = 4.0 * PERIOD_S
MAX_FORGET_CHECKS = 60  # accounts looked at in one gossip round, whether to forget them


class CustomerAccounts:
    """All accounts of one limiter.

    Attributes:
        by_name: The accounts, by name.
        checks: A heap: when accounts are looked at whether they may be forgotten. The number tells
            apart those of one instant.
    """

    def __init__(self, context: DecisionContext, startup: StartupQuota) -> None:
        self._context, self._startup = context, startup
        self.by_name: dict[str, Account] = {}
        self.checks: list[tuple[float, int, Account]] = []
        self._check_number = 0
        self._latest_key = ("", "")  # a customer's name and key

    # Names

    def key_of_customer(self, customer: str) -> str:
        """The key under which limiters tell each other of a customer."""
        if customer != self._latest_key[0]:
            self._latest_key = customer, codec.base36(crc32(customer.encode()) % KEY_COUNT)
        return self._latest_key[1]

    def name_of(self, key: str, plan: Plan) -> str:
        """The name of the account of that key and plan.

        Two customers may have one key, and one may change its plan: neither goes by the other's
        plan, so the second plan's account has a name of its own.
        """
        known = self.by_name.get(key)
        if known and known.plan is plan:
            return key
        other = f"{key}.{codec.name_tag(plan.name)}"
        return other if known or other in self.by_name else key

    # Opening

    def get(self, key: str, plan: Plan, set_start: int, set_size: int) -> Account:
        """The account, refilled; opened where there is none. `set_size` 0: the set is not known."""
        context = self._context
        account = self.by_name.get(name := self.name_of(key, plan))
        if account is None:
            account = self._open(name, plan, set_size)
        if set_size and (account.set_start, account.set_size) != (set_start, set_size):
            account.place_set(set_start, set_size, context.settings, context.unreachable)
            self.reserve_for_unreachable(account)
            large, limiter_id = set_size > MAX_DIRECT_SET, context.settings.limiter_id
            if large and limiter_id in account.hubs and not account.has_announcement:
                # A hub hears what is charged from now on, and of the other hub what was before.
                account.quota.level = plan.burst
            account.share_ceiling()
        account.refill(context.now, context.period)
        return account

    def _open(self, name: str, plan: Plan, set_size: int) -> Account:
        context, startup = self._context, self._startup
        opening = Opening(
            startup.initial_level(plan, set_size),
            context.now,
            context.started_at,
            startup.all_started_together,
            context.counts_replicated,
        )
        account = self.by_name[name] = Account(plan, name, opening)
        self._schedule_check(account, context.now + MIN_IDLE_S)
        return account

    # Members that can't be heard

    def apply_membership(
        self, event: MembershipChanged, unreachable_before: frozenset[int]
    ) -> None:
        """Takes over who can be heard, in the accounts of sets in which that has changed."""
        context = self._context
        changed = members_mask(context.unreachable ^ unreachable_before)
        changed |= members_mask(member for member, _ in event.unused)
        for account in self.by_name.values() if changed else ():
            if not account.set_mask & changed:
                continue
            account.quota.refill(context.now)
            if account.set_size > MAX_DIRECT_SET:
                account.place_set(
                    account.set_start, account.set_size, context.settings, context.unreachable
                )
            self.reserve_for_unreachable(account)
            account.quota.level += account.reclaim(event.unused, context.settings.limiter_count)

    def reserve_for_unreachable(self, account: Account) -> None:
        """Leaves the even part of the members that can't be heard to them."""
        context = self._context
        account.reserve_for(context.unreachable, context.settings.limiter_count, context.now)
        if account.returning:  # what they did not use is given back soon
            self._schedule_check(account, context.now)

    # Forgetting

    def forget_idle(self) -> None:
        """Forgets accounts that a new account would equal by now.

        Looks at some of them only, so that no round is long. Reports of peers count as use, too: a
        total that is reported again would count as a new charge to an account opened anew.
        """
        context, checks = self._context, MAX_FORGET_CHECKS
        while checks and self.checks and self.checks[0][0] <= context.now:
            due, _, account = heapq.heappop(self.checks)
            if account.next_check_at != due or self.by_name.get(account.name) is not account:
                continue
            checks -= 1
            if account.returning:
                account.release_returned(context.now, COUNT_SETTLE_S, context.away)
            again = account.next_forget_check(context.now, MIN_IDLE_S)
            if again <= context.now:
                del self.by_name[account.name]
            else:
                self._schedule_check(account, again)

    def _schedule_check(self, account: Account, when: float) -> None:
        account.next_check_at, self._check_number = when, self._check_number + 1
        heapq.heappush(self.checks, (when, self._check_number, account))
