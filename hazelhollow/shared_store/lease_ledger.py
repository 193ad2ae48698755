"""The accounting, at one limiter, of the customers' limits that the shared store holds.

No I/O, no clock: times are given, calls for the store are put into `outbox`. `LeasedDecisions` asks
it about each request, `StoreClient` writes its calls and hands it the answers.

Each limit (a rate and a burst) of a customer whose requests come through several limiters has two
parts:

- the base, `base_share` of it, divided evenly: each limiter refills its own and asks nobody;
- the pool, the rest, in the store: limiters lease units ahead of need and spend them unasked.

While a limiter cannot reach the store it has its even share of the pool instead, but only once it
is certain that the others and the store count it as absent and that all leases from before have
ended (`Presence`). docs/design/redis-store.md proves that no order of these events admits more than
the limit; `lease.lua` and `presence.lua` are the store's part.
"""

from __future__ import annotations

import math

from hazelhollow.decisions import interface as api
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.shared_store.lease_demand import is_low, units_wanted
from hazelhollow.shared_store.leased_account import (
    AccountTerms,
    LeasedAccount,
    ScriptCall,
    open_leased_account,
)
from hazelhollow.shared_store.presence import Presence
from hazelhollow.shared_store.scripts import (
    LeaseAnswer,
    LeaseCaller,
    customer_key,
    decode_lease,
    decode_presence,
    lease_arguments,
)

# Share of `lease.ahead` to wait before a nearly empty pool is asked again. Units that stay in the
# pool meanwhile are not lost.
SCARCE_PAUSE_SHARE = 0.25
IDLE_SHARE = 0.4  # of a lease's term: a customer without a request for so long does not need it
RETURN_BEFORE_END_S = 0.1  # before a lease's end, when what is left of it goes back
RETURN_SHARE = 0.1  # of the pool's burst: less than that on lease is not worth a call
FORGET_AFTER_S = 30.0  # without a request, after which a customer's account is closed
MAX_ACCOUNTS = 50_000  # past it the longest idle is closed
# Shown to operators under these names: docs/operators/redis-store.md says what they mean. `late`
# counts both calls that ran after their deadline and answers to calls that were given up.
COUNTERS = (
    "calls",
    "granted",
    "refused_dry",
    "given_up",
    "late",
    "stale",
    "returned",
    "lost",
    "absences",
    "lapsed",
)


class LeaseLedger:
    """All customers' accounts at one limiter.

    `incarnation` differs from that of every earlier process of this limiter; `now` is its start.
    """

    def __init__(
        self, settings: api.Settings, store_settings: StoreSettings, incarnation: str, now: float
    ) -> None:
        self.settings, self.store_settings = settings, store_settings
        self.slot = f"{settings.limiter_id}.{incarnation}"  # names the holder of a lease
        self.plans = {plan.name: plan for plan in settings.plans if self._is_leased(plan)}
        self.accounts: dict[str, LeasedAccount] = {}  # the longest idle first
        self._with_leases: dict[str, LeasedAccount] = {}  # those that may hold something on lease
        self.outbox: list[ScriptCall] = []  # calls to be written; the client empties it
        self._terms = AccountTerms(settings, store_settings, now)
        self.presence = Presence(settings.limiter_id, store_settings, now)
        self.sequence = 0
        self.counts = dict.fromkeys(COUNTERS, 0.0)

    def _is_leased(self, plan: api.Plan) -> bool:
        """Whether limits of that plan are held in the store: the chosen, or those with ceilings."""
        chosen = self.store_settings.plans
        return plan.name in chosen or (plan.ceiling_rate > 0 and not chosen)

    # Requests

    def account_for(self, request: api.RequestArrived, now: float) -> LeasedAccount | None:
        """The customer's account, whose pools say what may be admitted now.

        None where the store holds none of its limits; otherwise `record` must follow.
        """
        plan = self.plans.get(request.plan_name)
        if plan is None:
            return None
        key = f"{request.customer}/{request.plan_name}"
        account = self.accounts.pop(key, None)
        if account is None:
            account = open_leased_account(key, plan, request, self._terms, now)
            if account is None:
                return None
            if len(self.accounts) >= MAX_ACCOUNTS:
                del self.accounts[next(iter(self.accounts))]
        self.accounts[key] = account
        self._refresh(account, now)
        return account

    def record(self, account: LeasedAccount, units: float, sent: bool, now: float) -> None:
        """What became of the request that `account_for` was asked for.

        `sent`: it was admitted, and its `units` are spent.
        """
        short = not sent and min([pool.available() for pool in account.pools]) < units
        if sent or short:  # rejected for another reason, it is no demand that a lease could serve
            account.learn(units, sent, now)
        if sent:
            for pool in account.pools:
                pool.take(units, now)
        elif short:
            self.counts["refused_dry"] += 1
        if not account.call and now >= account.next_ask_at:
            self._lease_if_low(account, units if short else 0.0, now)

    def _refresh(self, account: LeasedAccount, now: float) -> None:
        account.expire_lease(now)
        presence = self.presence
        for pool in account.pools:
            pool.base.refill(now)
            if presence.isolated:
                restart = account.isolation != presence.isolations
                pool.refill_fallback(len(account.limiters), presence.isolated_at(), now, restart)
            else:
                pool.fallback = None
        account.isolation = presence.isolations

    # Calls of the store

    def _lease_if_low(self, account: LeasedAccount, refused: float, now: float) -> None:
        """Leases more where what is here will soon not do, and renews what is in use.

        `refused`: the units of a request that was rejected for lack of them; a grant that would not
        admit it is of no use.
        """
        if len(account.limiters) == 1 or not self.presence.may_lease(now):
            return
        lease = self.store_settings.lease
        wanted = [units_wanted(account, pool, lease.ahead) for pool in account.pools]
        if any(wanted) and any([is_low(account, pool, lease.term, now) for pool in account.pools]):
            self._lease(account, wanted, account.leased(), refused, now)

    def _lease(
        self,
        account: LeasedAccount,
        wanted: list[float],
        leased: list[float],
        refused: float,
        now: float,
    ) -> None:
        """Calls `lease.lua`: tells what was spent and is `leased`, and asks for `wanted` more.

        What the store has on lease here beyond `leased` goes back to the pool, so an answer that
        was lost or came late does no lasting harm.
        """
        self.sequence += 1
        presence = self.presence
        caller = LeaseCaller(
            slot=self.slot,
            sequence=self.sequence,
            now=now,
            deadline=presence.call_deadline(now),
            store_started_at=presence.store_started_at,
            term=self.store_settings.lease.term,
            present=len(presence.view & account.limiters),
        )
        args = lease_arguments(caller, account, leased, wanted, refused)
        key = customer_key(self.store_settings.prefix, account.key)
        account.call = ScriptCall("lease", key, args, now, account, leased, wanted)
        self._post(account.call)

    def _post(self, call: ScriptCall) -> None:
        self.counts["calls"] += 1
        self.outbox.append(call)

    # Time

    def tick(self, now: float) -> float:
        """Does what is due; gives the time at which it must be called again."""
        if self.presence.heartbeat_due(now):
            self._send_heartbeat(now)
        if self.presence.becomes_isolated(now):
            self.counts["absences"] += 1
        next_return = self._return_leases(now)
        self._close_idle_accounts(now)
        return min(self.presence.next_due(now), next_return)

    def _send_heartbeat(self, now: float) -> None:
        """Drops the even shares before the heartbeat is written: at no moment are there both."""
        for account in self.accounts.values():
            for pool in account.pools:
                pool.fallback = None
        self._post(self.presence.heartbeat(now))

    def _return_leases(self, now: float) -> float:
        """Returns leases that are idle or about to end; gives when to look again."""
        look_again_at = math.inf
        for account in list(self._with_leases.values()):
            account.expire_lease(now)
            if not any(pool.leased > 0 for pool in account.pools):
                del self._with_leases[account.key]
                continue
            return_at = min(
                account.last_used_at + IDLE_SHARE * self.store_settings.lease.term,
                account.lease_ends_at - RETURN_BEFORE_END_S,
            )
            if now >= return_at and any(
                pool.leased > RETURN_SHARE * pool.burst for pool in account.pools
            ):
                self._return_lease(account, now)
            else:
                look_again_at = min(look_again_at, max(return_at, now + RETURN_BEFORE_END_S))
        return look_again_at

    def _return_lease(self, account: LeasedAccount, now: float) -> None:
        if account.call or not self.presence.may_lease(now):
            return
        self.counts["returned"] += sum(account.leased())
        for pool in account.pools:
            pool.leased = 0.0
        nothing = [0.0] * len(account.pools)
        self._lease(account, nothing, nothing, 0.0, now)

    def _close_idle_accounts(self, now: float) -> None:
        while self.accounts:
            oldest = next(iter(self.accounts.values()))
            if now - oldest.last_used_at <= FORGET_AFTER_S or oldest.call:
                break
            del self.accounts[oldest.key]

    # The connection to the store

    def store_connected(self, store_started_at: float, store_now: float, now: float) -> None:
        """The store answers. By its clock, its process began at the first and it is the second."""
        self.presence.store_connected(store_started_at, store_now, now)

    def store_disconnected(self) -> None:
        """The connection is gone. What is on lease lasts until its end."""
        self.presence.connected = False
        for account in self.accounts.values():
            account.call = None

    def answered(self, call: ScriptCall, answer: list[str], now: float) -> None:
        """The store's answer in time. `answer`: what the script gave, as text."""
        if call.kind == "presence":
            if not self.presence.answered(call, decode_presence(answer), now):
                self.counts["stale"] += 1
            return
        account = call.account
        if account is None or account.call is not call:
            self.counts["late"] += 1
            return
        account.expire_lease(now)
        account.call = None
        decoded = decode_lease(answer)
        if decoded.status == "ok":
            self._take_grants(call, account, decoded, now)
            return
        self.counts[decoded.status] = self.counts.get(decoded.status, 0) + 1
        account.next_ask_at = now + self.store_settings.call_timeout
        self.presence.heartbeat_soon(now)

    def _take_grants(
        self, call: ScriptCall, account: LeasedAccount, answer: LeaseAnswer, now: float
    ) -> None:
        lease = self.store_settings.lease
        account.highest_total = max(account.highest_total, answer.highest_total)
        grants = answer.grants[: len(account.pools)]
        scarce = any(
            grant.granted < wanted / 2 and grant.level < account.largest_request
            for grant, wanted in zip(grants, call.wanted, strict=True)
        )
        wait = max(answer.wait, SCARCE_PAUSE_SHARE * lease.ahead if scarce else 0.0)
        account.next_ask_at = now + min(wait, lease.term)
        account.lease_ends_at = call.sent_at + lease.term
        if now >= account.lease_ends_at:
            return
        for pool, leased, grant in zip(account.pools, call.leased, grants, strict=True):
            pool.forget_spending(call.sent_at)
            self.counts["granted"] += grant.granted
            self.counts["lost"] += pool.add_grant(
                leased, grant.confirmed, grant.granted, call.lease_expired
            )
        if any(pool.leased > 0 for pool in account.pools):
            self._with_leases[account.key] = account

    def call_failed(self, call: ScriptCall, now: float) -> None:
        """No answer in time, or an error: the call may have run all the same.

        The next call tells what is on lease, by which the store corrects its record.
        """
        self.counts["given_up"] += 1
        if call.account and call.account.call is call:
            call.account.call = None
            call.account.next_ask_at = now + self.store_settings.call_timeout

    def answered_late(self) -> None:
        """A call that had been given up was answered: its units are left for the next to return."""
        self.counts["late"] += 1
