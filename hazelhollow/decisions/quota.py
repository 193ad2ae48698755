"""The quota: whether a customer's request may be charged; charge, settlement and refund.

Each limiter keeps its own view of a customer's quota, a token bucket that its own charges and those
that peers report are taken off. A request is within the quota if the bucket holds its units and a
reserve for what peers charge that is not heard yet.

Beyond the quota, and when a limiter can't hear its peers:

- A plan whose excess earns more than it costs lets a request beyond its quota through, while what
  such requests used stays under `EXCESS_SHARE` of what was charged within quotas (saved up to a
  burst).
- Until membership says that a member can't be heard, or where no membership is kept, a limiter goes
  by its own charges and by what it heard last. The sides of a partition may then each use the level
  that they saw, and the rate.
- Once it says so, the member's even part of the rate, the capacity and the level is left to it
  (`state/accounts.py`, `reserve_for`): the sides together hold the quota. Later the larger side
  takes over what the smaller does not use (`membership/partition_quota.py`).
- A plan whose excess costs no more than it earns (`excess_cost <= excess_weight`; both are 0 by
  default) is not held in a partition: each side goes on with the whole rate.
- What was charged unheard becomes a debt once counts show it, beyond what was left to that member,
  and is paid with `DEBT_REPAYMENT_SHARE` of the rate.
- A limiter that has just started begins with its part of the burst (`startup_quota.py`).
- The ceiling is split evenly between the limiters of the set, so that it holds without any message.
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

UNHEARD_S = 0.06  # about one gossip round: peers' charges that were not received yet
# Of the burst: while a level was announced, the last part of it in which requests are admitted by
# chance, and the same in a set so large that one hub can't notify all of it in a second.
ANNOUNCED_RESERVE = 1.0
SLOWLY_ANNOUNCED_RESERVE = 2.0
MAX_OPEN_LIMIT_RISK = 0.04  # the probability of passing an open limit that a request may take
EXCESS_SHARE = 0.1  # of the units charged within quotas, which those beyond may use


class Quota:
    """Charges requests to accounts.

    Attributes:
        excess_units: Units that requests beyond quotas may use now.
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
        """Takes the levels of limits that are kept elsewhere, right before the request.

        Neither the rate nor a peer's report changes such a quota.
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

        What a large set was announced is soon old. As the level falls, requests are admitted by
        chance, fewer and fewer: so it settles above zero, where being a little wrong admits a few
        more or less and none beyond the quota.
        """
        account, plan, now = request.account, request.account.plan, self._context.now
        span = now - (self._context.period - 1) * PERIOD_S
        peers_rate = account.charges.reported_rate(span)
        slow = account.set_size > self._gossip.max_announced_members
        reserve_share = SLOWLY_ANNOUNCED_RESERVE if slow else ANNOUNCED_RESERVE
        by_chance = account.has_announcement * plan.burst * reserve_share
        reserve = 0.0
        if not account.leased:
            reserve = UNHEARD_S * peers_rate
            if by_chance:
                reserve += by_chance * self._context.random.random()
        if plan.open_limit and not self._may_open(account, plan.open_limit, peers_rate):
            return False
        return not plan.rate or account.quota.level >= request.event.units + reserve

    def _may_open(self, account: Account, limit: int, peers_rate: float) -> bool:
        """Whether one more request may be in flight, of `limit` in the whole set.

        Within this limiter's part it may. Beyond, as far as the set is not likely to pass the
        limit: parts of so small a number would reject what the set has room for. `peers_rate`:
        units a second that peers charged.
        """
        part = max(1, limit // account.set_size)
        if account.open_requests < part:
            return True
        attempt_time = self._load.mean_attempt_time
        by_rate = peers_rate / self._load.classes.mean_units() * attempt_time
        at_peers = max(by_rate, account.expected_peer_open(self._context.now, attempt_time))
        left = limit - account.open_requests
        return probability_at_least(left, at_peers) <= MAX_OPEN_LIMIT_RISK

    def has_room_beyond(self, request: PendingRequest) -> bool:
        """Whether a request beyond its quota may be admitted."""
        plan = request.account.plan
        return plan.excess_weight > plan.excess_cost and self.excess_units >= request.event.units

    def rejects(self, request: PendingRequest) -> bool:
        """Rejects a request that may not be charged; whether it did.

        Its Retry-After is the time in which the lacking units come in at the plan's rate.
        """
        account, plan, units = request.account, request.account.plan, request.event.units
        if plan.ceiling_rate and account.ceiling.refill(self._context.now) < units:
            wait = (units - account.ceiling.level) / account.ceiling.rate
            reject(self._context, request.event.id, wait, "ceiling")
            return True
        if request.within_quota or self.has_room_beyond(request):
            return False
        wait = (units - account.quota.level) / plan.rate if plan.rate else PERIOD_S
        reason: Reason = "quota" if wait > 0 else "open" if plan.open_limit else "reserve"
        reject(self._context, request.event.id, wait, reason)
        return True

    def charge(self, request: PendingRequest) -> None:
        """Charges a request that is admitted."""
        account, units = request.account, request.event.units
        account.open_requests += 1
        if account.plan.ceiling_rate:
            account.ceiling.level -= units
        added = EXCESS_SHARE if request.within_quota else -1.0
        self.excess_units = min(self.excess_units + added * units, account.plan.burst)
        if request.within_quota:
            self.record_charge(account, units, self._context.period)

    def settle(self, request: PendingRequest, true_units: float) -> None:
        """Charges the true units in place of the estimated ones, or refunds the difference.

        The difference belongs to the period of the charge, if that is still open.
        """
        request.settled = True
        period = max(int(request.arrived_at // PERIOD_S), self._context.period - 1)
        request.account.charges.advance(self._context.period)
        self.record_charge(request.account, true_units - request.event.units, period)

    def record_charge(self, account: Account, units: float, period: int) -> None:
        """Takes units off an account, and hands the charge to gossip."""
        account.quota.level -= account.charges.charge(units, period)
        self._replicated.mark_charged(account)
        self._gossip.report_charge(account, period)


def probability_at_least(count: int, mean: float) -> float:
    """How likely a Poisson number of that mean is to reach `count`."""
    return 1.0 - sum(math.exp(-mean) * mean**k / math.factorial(k) for k in range(max(count, 0)))
