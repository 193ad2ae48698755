"""One customer's limits at this limiter, its use of them, and its call to the store. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Literal

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.state.token_bucket import TokenBucket
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store.lease_pool import LeasePool

RATE_WINDOW_S = 1.5  # over which a customer's rate is averaged
LARGEST_REQUEST_DECAY = 0.98  # with each request, of the largest one seen lately
# Where one of the largest requests for each limiter takes no more than this part of a burst, the
# base has room for it.
BASE_ROOM = 0.5

ScriptName = Literal["lease", "presence"]


@dataclass(eq=False)
class ScriptCall:
    """One call of a script, from when it is written until it is answered, fails or is given up.

    `account` is the customer's for a lease call; the lists have a number for each of its pools.
    """

    kind: ScriptName
    key: str
    args: list[str]
    sent_at: float
    account: LeasedAccount | None = None
    leased: list[float] = field(default_factory=list)  # units on lease when it was written
    wanted: list[float] = field(default_factory=list)  # units asked for
    lease_expired: bool = False  # what was on lease when it was written has ended since


@dataclass(eq=False)
class LeasedAccount:
    """One customer's pools (quota, ceiling or both, in this order) and what is known of its use.

    `limiters` are the numbers of those that its requests come through.
    """

    key: str
    limiters: frozenset[int]
    pools: list[LeasePool]
    last_used_at: float
    quota: LeasePool | None = None
    ceiling: LeasePool | None = None
    admitted_rate: float = 0.0  # units a second that are admitted here
    largest_request: float = 1.0  # units, of those seen lately
    lease_ends_at: float = 0.0
    highest_total: float = 0.0  # of units ever leased, as the store told it
    next_ask_at: float = 0.0  # the store has nothing before then, or did not answer
    call: ScriptCall | None = None
    isolation: int = 0  # the number of the isolation that the pools' fallbacks belong to

    def learn(self, units: float, sent: bool, now: float) -> None:
        """Updates the average rate and the largest request. `sent`: the units were admitted."""
        decay = math.exp((self.last_used_at - now) / RATE_WINDOW_S)
        self.admitted_rate = self.admitted_rate * decay + (units / RATE_WINDOW_S if sent else 0.0)
        self.largest_request = max(units, self.largest_request * LARGEST_REQUEST_DECAY)
        self.last_used_at = now

    def expire_lease(self, now: float) -> None:
        """A lease that was not renewed in time is void."""
        if now >= self.lease_ends_at:
            for pool in self.pools:
                pool.leased = 0.0
            if self.call:
                self.call.lease_expired = True

    def leased(self) -> list[float]:
        """Units on lease, by pool."""
        return [pool.leased for pool in self.pools]


@dataclass(frozen=True)
class AccountTerms:
    """What all accounts of one limiter depend on. `started_at`: when this process began."""

    settings: api.Settings
    store_settings: StoreSettings
    started_at: float


def open_leased_account(
    key: str, plan: api.Plan, request: api.RequestArrived, terms: AccountTerms, now: float
) -> LeasedAccount | None:
    """A customer's account; None where the store keeps none of the plan's limits.

    A ceiling's base starts as if it had been empty when this process began: the process before may
    have spent it. A quota's starts full: each restart may cost its base once more.
    """
    settings, store_settings, started_at = terms.settings, terms.store_settings, terms.started_at
    spread = max(1, min(request.set_size, settings.limiter_count))
    base_share = store_settings.lease.base_share if spread > 1 else 1.0

    def pool(rate: float, burst: float, starts_full: bool) -> LeasePool:
        base_burst = base_share * burst / spread
        if spread > 1 and spread * settings.max_units <= BASE_ROOM * burst:
            # so that the first request waits for no lease
            base_burst = max(base_burst, settings.max_units)
        base = TokenBucket(
            base_share * rate / spread, base_burst, base_burst if starts_full else 0.0, started_at
        )
        base.refill(now)
        return LeasePool(base, (1 - base_share) * rate, burst - spread * base_burst)

    quota = ceiling = None
    if store_settings.hold in ("quotas", "both") and plan.rate > 0:
        quota = pool(plan.rate, plan.burst, starts_full=True)
    if store_settings.hold in ("ceilings", "both") and plan.ceiling_rate > 0:
        ceiling = pool(plan.ceiling_rate, plan.ceiling_burst, starts_full=False)
    pools = [found for found in (quota, ceiling) if found]
    if not pools:
        return None
    limiters = frozenset((request.set_start + n) % settings.limiter_count for n in range(spread))
    return LeasedAccount(key, limiters, pools, now, quota, ceiling)
