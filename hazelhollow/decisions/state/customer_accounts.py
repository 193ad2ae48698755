"""The accounts of recently seen customers: lookup, opening, and removal when they are idle."""

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

KEY_COUNT = 36**5  # number of distinct customer keys in messages
MIN_IDLE_S = 2.0 * PERIOD_S  # minimum time that an account is kept after its last use
# Time after which members that are reachable again have replicated their charges.
COUNT_SETTLE_S = 4.0 * PERIOD_S
MAX_FORGET_CHECKS = 60  # accounts checked for removal in one gossip round
OPENING_FORGET_CHECKS = 2  # and for each opened one: ever new customers cannot outrun the checks


class CustomerAccounts:
    """All accounts of one limiter.

    Attributes:
        by_name: The accounts by name.
        checks: A heap of the times at which accounts are checked for removal. A sequence number
            orders checks that are due at the same time.
    """

    def __init__(self, context: DecisionContext, startup: StartupQuota) -> None:
        self._context, self._startup = context, startup
        self.by_name: dict[str, Account] = {}
        self.checks: list[tuple[float, int, Account]] = []
        self._check_number = 0
        self._latest_key = ("", "")  # the customer looked up last, and its key

    # Names

    def key_of_customer(self, customer: str) -> str:
        """Returns the key that stands for a customer in messages between limiters."""
        if customer != self._latest_key[0]:
            self._latest_key = customer, codec.base36(crc32(customer.encode()) % KEY_COUNT)
        return self._latest_key[1]

    def name_of(self, key: str, plan: Plan) -> str:
        """Returns the name of the account with that key and plan.

        Two customers may share a key, and a customer may change its plan. Each plan needs an
        account of its own, so the name of the second plan's account also contains the plan's tag.
        """
        first = self.by_name.get(key)
        if first and first.plan is plan:
            return key
        name_with_tag = f"{key}.{codec.name_tag(plan.name)}"
        return name_with_tag if first or name_with_tag in self.by_name else key

    # Opening

    def get(self, key: str, plan: Plan, set_start: int, set_size: int) -> Account:
        """Returns the refilled account, and opens it if there is none.

        A `set_size` of 0 means that the set is not known.
        """
        context = self._context
        account = self.by_name.get(name := self.name_of(key, plan))
        if account is None:
            account = self._open(name, plan, set_size)
        if set_size and (account.set_start, account.set_size) != (set_start, set_size):
            account.place_set(set_start, set_size, context.settings, context.unreachable)
            self.reserve_for_unreachable(account)
            large, limiter_id = set_size > MAX_DIRECT_SET, context.settings.limiter_id
            if large and limiter_id in account.hubs and not account.has_announcement:
                # This hub receives all charges from now on; the other hub announces the level that
                # results from the earlier ones.
                account.quota.level = plan.burst
            account.set_ceiling_share()
        account.refill(context.now, context.period)
        return account

    def _open(self, name: str, plan: Plan, set_size: int) -> Account:
        self._forget_due(OPENING_FORGET_CHECKS)
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

    # Unreachable members

    def apply_membership(
        self, event: MembershipChanged, unreachable_before: frozenset[int]
    ) -> None:
        """Updates the accounts of sets in which the reachable members have changed."""
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
        """Reserves the equal shares of unreachable members in an account for them."""
        context = self._context
        account.reserve_for(context.unreachable, context.settings.limiter_count, context.now)
        if account.returning:  # the check releases the reserves that they did not use
            self._schedule_check(account, context.now)

    # Forgetting

    def forget_idle(self) -> None:
        """Removes idle accounts whose state equals that of a new account.

        At most `MAX_FORGET_CHECKS` accounts are checked, which bounds the duration of a round.
        Reports of peers count as use: if the account were removed and opened again, a repeated
        report of a total would be charged a second time.
        """
        self._forget_due(MAX_FORGET_CHECKS)

    def _forget_due(self, checks: int) -> None:
        context = self._context
        while checks and self.checks and self.checks[0][0] <= context.now:
            due, _, account = heapq.heappop(self.checks)
            if account.next_check_at != due or self.by_name.get(account.name) is not account:
                continue
            checks -= 1
            if account.returning:
                account.release_returned(context.now, COUNT_SETTLE_S, context.away)
            recheck_at = account.next_forget_check(context.now, MIN_IDLE_S)
            if recheck_at <= context.now:
                del self.by_name[account.name]
            else:
                self._schedule_check(account, recheck_at)

    def _schedule_check(self, account: Account, check_at: float) -> None:
        account.next_check_at, self._check_number = check_at, self._check_number + 1
        heapq.heappush(self.checks, (check_at, self._check_number, account))
