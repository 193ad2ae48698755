"""The quota: whether a customer's request may be charged; charge, settlement and refund.

Each limiter keeps its own view of a customer's quota: a token bucket from which it deducts its own
charges and those that peers report. A request is within the quota if the bucket holds its units
plus a reserve for charges of peers that have not been received yet.

Requests beyond the quota, partitions, restarts and the ceiling are handled as follows:

- If a plan's excess units earn more than they cost, requests beyond the quota are admitted as long
  as they use less than `EXCESS_SHARE` of the units charged within quotas. Unused excess units
  accumulate up to one burst.
- Until membership reports a member as unreachable, or without a membership protocol, a limiter uses
  its own charges and the last ones it received. In a partition each side may then use the last
  known level and the full rate.
- Once a member is reported as unreachable, its even share of the rate, the capacity and the level
  is reserved for it (`state/accounts.py`, `reserve_for`), so that the sides together stay within
  the quota. Later the larger side takes over what the smaller does not use
  (`membership/partition_quota.py`).
- The quota of a plan whose excess costs no more than it earns (`excess_cost <= excess_weight`; both
  are 0 by default) is not split in a partition: each side continues with the full rate.
- Charges that were not received from a member become a debt once its counts show them, as far as
  they exceed what was reserved for it. The debt is repaid with `DEBT_REPAYMENT_SHARE` of the rate.
- A limiter that has just started begins with its share of the burst (`startup_quota.py`).
- The ceiling is split evenly between the limiters of the set, and so holds without any messages.
"""

from __future__ import annotations

import math

from hazelhollow.decisions.context import PERIOD_S, DecisionContext
from hazelhollow.decisions.events import AllowanceGranted
from hazelhollow.decisions.gossip.scheduler import GossipScheduler
from hazelhollow.decisions.load_estimate import LoadEstimate
from hazelhollow.decisions.rejections import Reason, reject
from hazelhollow.decisions.state.accounts import Account
from hazelhollow.decisions.state.customer_accounts import CustomerAccounts
from hazelhollow.decisions.state.pending_requests import PendingRequest
from hazelhollow.decisions.state.replicated_accounts import ReplicatedAccounts

# About one gossip round; charges made by peers in this time may not have been received yet.
PROPAGATION_DELAY_S = 0.06
# Shares of the burst below which requests are admitted at random, once a hub has announced a level.
# The second applies to sets so large that one hub can't notify all members within a second.
ANNOUNCED_RESERVE_SHARE = 1.0
SLOWLY_ANNOUNCED_RESERVE_SHARE = 2.0
MAX_OPEN_LIMIT_RISK = 0.04  # accepted probability of exceeding an open limit
EXCESS_SHARE = 0.1  # excess units per unit charged within quotas


class Quota:
    """Charges requests to accounts.

    Attributes:
        excess_units: Units that requests beyond their quotas may currently use.
    """

    def __init__(
        self,
        context: DecisionContext,
        load: LoadEstimate,
        accounts: CustomerAccounts,
        replicated: ReplicatedAccounts,
        gossip: GossipScheduler,
    ) -> None:
        self._context, self._load, self._accounts = context, load, accounts
        self._replicated, self._gossip = replicated, gossip
        self.excess_units = 0.0

    def grant_allowance(self, event: AllowanceGranted) -> None:
        """Sets the levels of limits that are kept elsewhere, for the request that follows.

        Such a quota is not refilled at the plan's rate, nor changed by reports of peers.
        """
        plan = self._context.plans.get(event.plan_name)
        if plan is None:
            return
        set_size = max(1, min(event.set_size, self._context.settings.limiter_count))
        key = self._accounts.key_of_customer(event.customer)
        account = self._accounts.get(key, plan, event.set_start, set_size)
        if event.ceiling is not None:
            account.ceiling.capacity, account.ceiling.level = plan.ceiling_burst, event.ceiling
            account.ceiling.updated_at = self._context.now
        if event.quota is not None:
            account.quota.level, account.leased = event.quota, True

    def is_within(self, request: PendingRequest) -> bool:
        """Whether the quota has room for a request.

        An announced level of a large set is soon outdated. Requests are therefore admitted with a
        probability that decreases with the level. The level then settles above zero, where a small
        error admits a few requests more or fewer, but none beyond the quota.
        """
        account, plan, now = request.account, request.account.plan, self._context.now
        span = now - (self._context.period - 1) * PERIOD_S
        peers_rate = account.charges.reported_rate(span)
        slowly_announced = account.set_size > self._gossip.max_announced_members
        reserve_share = (
            SLOWLY_ANNOUNCED_RESERVE_SHARE if slowly_announced else ANNOUNCED_RESERVE_SHARE
        )
        max_random_reserve = account.has_announcement * plan.burst * reserve_share
        reserve = 0.0
        if not account.leased:
            reserve = PROPAGATION_DELAY_S * peers_rate
            if max_random_reserve:
                reserve += max_random_reserve * self._context.random.random()
        if plan.open_limit and not self._may_open(account, plan.open_limit, peers_rate):
            return False
        return not plan.rate or account.quota.level >= request.event.units + reserve

    def _may_open(self, account: Account, limit: int, peers_rate: float) -> bool:
        """Whether one more request may be in flight, where the entire set may have `limit`.

        Up to this limiter's even share, it may. Beyond the share, it may if the set is unlikely to
        exceed the limit: such limits are small, and fixed shares alone would reject requests that
        the set has room for. `peers_rate` is the rate that peers charged, in units per second.
        """
        share = max(1, limit // account.set_size)
        if account.open_requests < share:
            return True
        attempt_time = self._load.mean_attempt_time
        estimated_by_rate = peers_rate / self._load.classes.mean_units() * attempt_time
        open_at_peers = max(
            estimated_by_rate, account.expected_peer_open(self._context.now, attempt_time)
        )
        remaining = limit - account.open_requests
        return probability_at_least(remaining, open_at_peers) <= MAX_OPEN_LIMIT_RISK

    def may_admit_excess(self, request: PendingRequest) -> bool:
        """Whether a request beyond its quota may be admitted."""
        plan = request.account.plan
        return plan.excess_weight > plan.excess_cost and self.excess_units >= request.event.units

    def rejects(self, request: PendingRequest) -> bool:
        """Rejects a request that may not be charged; returns whether it did.

        The Retry-After is the time in which the missing units refill at the plan's rate.
        """
        account, plan, units = request.account, request.account.plan, request.event.units
        if plan.ceiling_rate and account.ceiling.refill(self._context.now) < units:
            wait = (units - account.ceiling.level) / account.ceiling.rate
            reject(self._context, request.event.id, wait, "ceiling")
            return True
        if request.within_quota or self.may_admit_excess(request):
            return False
        wait = (units - account.quota.level) / plan.rate if plan.rate else PERIOD_S
        reason: Reason = "quota" if wait > 0 else "open" if plan.open_limit else "reserve"
        reject(self._context, request.event.id, wait, reason)
        return True

    def charge(self, request: PendingRequest) -> None:
        """Charges an admitted request."""
        account, units = request.account, request.event.units
        account.open_requests += 1
        if account.plan.ceiling_rate:
            account.ceiling.level -= units
        added = EXCESS_SHARE if request.within_quota else -1.0
        self.excess_units = min(self.excess_units + added * units, account.plan.burst)
        if request.within_quota:
            self.record_charge(account, units, self._context.period)

    def settle(self, request: PendingRequest, true_units: float) -> None:
        """Replaces the estimated units by the true ones: charges or refunds the difference.

        The difference is recorded in the period of the charge if that period is still open.
        """
        request.settled = True
        period = max(int(request.arrived_at // PERIOD_S), self._context.period - 1)
        request.account.charges.advance(self._context.period)
        self.record_charge(request.account, true_units - request.event.units, period)

    def record_charge(self, account: Account, units: float, period: int) -> None:
        """Deducts units from an account, and passes the charge to gossip."""
        account.quota.level -= account.charges.charge(units, period)
        self._replicated.mark_charged(account)
        self._gossip.report_charge(account, period)


def probability_at_least(count: int, mean: float) -> float:
    """Returns the probability that a Poisson variable of mean `mean` is at least `count`."""
    return 1.0 - sum(math.exp(-mean) * mean**k / math.factorial(k) for k in range(max(count, 0)))
