"""Decides how many units a limiter leases, and when. No I/O, no clock.

A limiter leases ahead of need so that no request waits, but not far ahead: units that it holds and
does not use are not available at other limiters, and they delay the refill of the pool.
"""

from __future__ import annotations

from hazelhollow.shared_store.lease_pool import LeasePool
from hazelhollow.shared_store.leased_account import LeasedAccount

GROWTH_FACTOR = 1.6  # factor on a customer's rate, so that leases can follow a rising rate
LOW_RESERVE_S = 0.03  # seconds of usage that are kept in reserve beside the largest request
RENEW_SHARE = 0.3  # a lease in use is renewed when this share of its term is left


def rate_beyond_base(account: LeasedAccount, pool: LeasePool) -> float:
    """Returns the units per second that the customer may need beyond the refill of the base."""
    return max(GROWTH_FACTOR * account.admitted_rate - pool.base.rate, 0.0)


def units_wanted(account: LeasedAccount, pool: LeasePool, ahead: float) -> float:
    """Returns the units to lease in addition to those on lease, for the next `ahead` seconds."""
    target = rate_beyond_base(account, pool) * ahead
    if pool.base.level < account.largest_request:
        target = max(target, account.largest_request)
    return min(max(target - pool.leased, 0.0), pool.burst)


def is_low(account: LeasedAccount, pool: LeasePool, term: float, now: float) -> bool:
    """Whether the units will soon run out or a lease in use ends soon. `term`: of a lease."""
    if pool.available() < account.largest_request + account.admitted_rate * LOW_RESERVE_S:
        return True
    ends_soon = account.lease_ends_at - now < RENEW_SHARE * term
    return pool.leased > 0 and ends_soon and rate_beyond_base(account, pool) > 0
