"""How many units a limiter leases, and when. No I/O, no clock.

A limiter leases ahead of need, so that no request waits, and not much further: what it holds and
does not use is missing elsewhere, and holds back the pool's refill.
"""

from __future__ import annotations

from hazelhollow.shared_store.lease_pool import LeasePool
from hazelhollow.shared_store.leased_account import LeasedAccount

GROWTH_FACTOR = 1.6  # of a customer's rate, so that leases can follow one that speeds up
LOW_RESERVE_S = 0.03  # of use, beside the largest request, below which more is asked for
RENEW_SHARE = 0.3  # of a lease's term: what is left of it when a lease in use is renewed


def rate_beyond_base(account: LeasedAccount, pool: LeasePool) -> float:
    """Units a second that the customer may need beside what the base refills."""
    return max(GROWTH_FACTOR * account.admitted_rate - pool.base.rate, 0.0)


def units_wanted(account: LeasedAccount, pool: LeasePool, ahead: float) -> float:
    """Units to ask for beside those on lease, for use within the next `ahead` seconds."""
    target = rate_beyond_base(account, pool) * ahead
    if pool.base.level < account.largest_request:
        target = max(target, account.largest_request)
    return min(max(target - pool.leased, 0.0), pool.burst)


def is_low(account: LeasedAccount, pool: LeasePool, term: float, now: float) -> bool:
    """Whether what is here will soon not do, or a lease in use ends soon. `term`: of a lease."""
    if pool.available() < account.largest_request + account.admitted_rate * LOW_RESERVE_S:
        return True
    ends_soon = account.lease_ends_at - now < RENEW_SHARE * term
    return pool.leased > 0 and ends_soon and rate_beyond_base(account, pool) > 0
