"""One customer's limits at this limiter, its usage, and its pending call to the store. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Literal

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.state.token_bucket import TokenBucket
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store.lease_pool import LeasePool

RATE_WINDOW_S = 1.5  # time constant of the average of a customer's rate
LARGEST_REQUEST_DECAY = 0.98  # factor applied to the largest recent request at each request
# Share of a limit's burst. If one request of the maximum size at each limiter takes no more than
# this, each base is made large enough for such a request.
BASE_ROOM = 0.5

ScriptName = Literal["lease", "presence"]


@dataclass(eq=False)
class ScriptCall:
    """One call of a script, from when it is written until it is answered, fails or times out.

    `account` is the customer's account for a lease call and None for a heartbeat. The lists have
    one entry for each pool of the account.
    """

    kind: ScriptName
    key: str
    args: list[str]
    sent_at: float
    account: LeasedAccount | None = None
    leased: list[float] = field(default_factory=list)  # units on lease when the call was written
    wanted: list[float] = field(default_factory=list)  # units requested
    lease_expired: bool = False  # the lease reported in the call has ended since


@dataclass(eq=False)
class LeasedAccount:
    """One customer's pools (quota, ceiling or both, in this order) and statistics of its usage.

    `limiters` are the numbers of the limiters that receive the customer's requests. `slot`
    identifies the account as the holder of its leases.
    """

    key: str
    limiters: frozenset[int]
    pools: list[LeasePool]
    last_used_at: float
    quota: LeasePool | None = None
    ceiling: LeasePool | None = None
    admitted_rate: float = 0.0  # units per second admitted at this limiter, averaged
    largest_request: float = 1.0  # units of the largest recent request
    lease_ends_at: float = 0.0
    highest_total: float = 0.0  # highest count of units ever leased that the store reported
    # No lease call before this time: the pool has no units until then, or a call failed.
    next_lease_at: float = 0.0
    call: ScriptCall | None = None  # the pending call
    slot: str = ""
    isolation: int = 0  # number of the isolation period that the pools' fallbacks belong to

    def record_demand(self, units: float, sent: bool, now: float) -> None:
        """Updates the average rate and the largest request. `sent`: the units were admitted."""
        decay = math.exp((self.last_used_at - now) / RATE_WINDOW_S)
        self.admitted_rate = self.admitted_rate * decay + (units / RATE_WINDOW_S if sent else 0.0)
        self.largest_request = max(units, self.largest_request * LARGEST_REQUEST_DECAY)
        self.last_used_at = now

    def expire_lease(self, now: float) -> None:
        """Discards the leased units if the lease was not renewed in time."""
        if now >= self.lease_ends_at:
            for pool in self.pools:
                pool.leased = 0.0
            if self.call:
                self.call.lease_expired = True

    def has_full_base(self, now: float) -> bool:
        """Whether each pool's base has refilled, as that of a new account has."""
        return all(pool.base.refill(now) >= pool.base.capacity for pool in self.pools)

    def leased(self) -> list[float]:
        """Returns the units on lease in each pool."""
        return [pool.leased for pool in self.pools]


@dataclass(frozen=True)
class AccountTerms:
    """Settings shared by all accounts of one limiter. `started_at`: start of this process."""

    settings: api.Settings
    store_settings: StoreSettings
    started_at: float


def open_leased_account(
    key: str, plan: api.Plan, request: api.RequestArrived, terms: AccountTerms, now: float
) -> LeasedAccount | None:
    """Opens a customer's account; returns None if the store holds none of the plan's limits.

    A ceiling's base starts as if it had been empty when this process started, since the previous
    process may have spent it. A quota's base starts full, so each restart may admit the base once
    more.
    """
    settings, store_settings, started_at = terms.settings, terms.store_settings, terms.started_at
    spread = max(1, min(request.set_size, settings.limiter_count))
    base_share = store_settings.lease.base_share if spread > 1 else 1.0

    def pool(rate: float, burst: float, starts_full: bool) -> LeasePool:
        base_burst = base_share * burst / spread
        if spread > 1 and spread * settings.max_units <= BASE_ROOM * burst:
            # The first request can then be admitted without a lease.
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
    pools = [held for held in (quota, ceiling) if held]
    if not pools:
        return None
    limiters = frozenset((request.set_start + n) % settings.limiter_count for n in range(spread))
    return LeasedAccount(key, limiters, pools, now, quota, ceiling)
