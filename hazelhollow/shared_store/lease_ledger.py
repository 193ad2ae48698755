"""One limiter's accounting of the customers' limits that are held in the shared store.

No I/O and no clock: the caller passes the time, and calls for the store are appended to `outbox`.
`LeasedDecisions` queries the ledger about each request. `StoreClient` writes its calls and passes
it the answers.

Each limit (a rate and a burst) of a customer whose requests come through several limiters has two
parts:

- The base is `base_share` of the limit, divided evenly. Each limiter refills its own part without
  contacting the store.
- The pool is the rest and is kept in the store. Limiters lease units from it ahead of need and
  spend leased units without further calls.

A limiter that cannot reach the store uses its even share of the pool instead, but only once it is
certain that the other limiters and the store count it as absent and that all its earlier leases
have ended (see `Presence`). docs/design/redis-store.md proves that no order of these events admits
more than the limit. `lease.lua` and `presence.lua` are the parts that run in the store.
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

# Share of `lease.ahead` to wait before leasing again from a nearly empty pool. The wait loses no
# units, since they stay in the pool.
SCARCE_PAUSE_SHARE = 0.25
# Share of a lease's term after which the lease of a customer without requests is returned.
IDLE_SHARE = 0.4
RETURN_BEFORE_END_S = 0.1  # time before a lease's end at which its unspent units are returned
RETURN_SHARE = 0.1  # share of the pool's burst; fewer units on lease are not worth a call
ACCOUNT_IDLE_TIMEOUT_S = 30.0  # time without a request after which an account is closed
MAX_CLOSING_CHECKS = 16  # accounts examined for this in one call of `tick`
MAX_ACCOUNTS = 50_000  # beyond this number the account that has been idle longest is closed
# Counter names that are shown to operators; docs/operators/redis-store.md documents them. `late`
# counts both calls that ran after their deadline and answers to calls that had timed out.
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

    Args:
        settings: Settings of the decision engine.
        store_settings: Settings of the shared store.
        incarnation: Differs from that of every earlier process of this limiter.
        now: Start time of this process.
    """

    def __init__(
        self, settings: api.Settings, store_settings: StoreSettings, incarnation: str, now: float
    ) -> None:
        self.settings, self.store_settings = settings, store_settings
        self.slot = f"{settings.limiter_id}.{incarnation}"  # identifies this process
        self._closed_accounts = 0
        self.plans = {plan.name: plan for plan in settings.plans if self._is_leased(plan)}
        self.accounts: dict[str, LeasedAccount] = {}  # by key; least recently used first
        self._with_leases: dict[str, LeasedAccount] = {}  # accounts that may hold leased units
        self.outbox: list[ScriptCall] = []  # calls to be written; emptied by the client
        self._terms = AccountTerms(settings, store_settings, now)
        self.presence = Presence(settings.limiter_id, store_settings, now)
        self.sequence = 0
        self.counts = dict.fromkeys(COUNTERS, 0.0)

    def _is_leased(self, plan: api.Plan) -> bool:
        """Whether the plan's limits are held in the store.

        These are the plans listed in the settings or, if none are listed, those with a ceiling.
        """
        chosen = self.store_settings.plans
        return plan.name in chosen or (plan.ceiling_rate > 0 and not chosen)

    # Requests

    def account_for(self, request: api.RequestArrived, now: float) -> LeasedAccount | None:
        """Returns the customer's account, whose pools hold the units that may be admitted now.

        Returns None if the store holds none of the customer's limits. Otherwise the caller must
        call `record` with the outcome of the request.
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
            account.slot = self._new_slot()
            if len(self.accounts) >= MAX_ACCOUNTS:
                self._close(next(iter(self.accounts.values())))
        self.accounts[key] = account
        self._refresh(account, now)
        return account

    def _new_slot(self) -> str:
        """Returns the identifier under which a new account holds its leases.

        It differs from that of every closed account. Guards against units that are given away
        twice: a customer's next account reports no spending, and the store would take the units
        that the closed one had spent unreported for units that are returned. Under its own
        identifier the closed account's lease simply ends, and its units count as spent.
        """
        return f"{self.slot}.{self._closed_accounts}" if self._closed_accounts else self.slot

    def _close(self, account: LeasedAccount) -> None:
        del self.accounts[account.key]
        self._closed_accounts += 1

    def record(self, account: LeasedAccount, units: float, sent: bool, now: float) -> None:
        """Records the outcome of the request for which `account_for` was called.

        `sent`: the request was admitted, which spends its `units`.
        """
        lacked_units = not sent and min([pool.available() for pool in account.pools]) < units
        # A request that was rejected for another reason is not demand that a lease could serve.
        if sent or lacked_units:
            account.record_demand(units, sent, now)
        if sent:
            for pool in account.pools:
                pool.charge(units, now)
        elif lacked_units:
            self.counts["refused_dry"] += 1
        if not account.call and now >= account.next_lease_at:
            self._lease_if_low(account, units if lacked_units else 0.0, now)

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
        """Leases more units if those available will soon run out, and renews leases in use.

        `refused`: units of a request that was just rejected for lack of units; a grant too small to
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
        """Calls `lease.lua`: reports the units spent and on lease, and requests `wanted` more.

        Units that the store records as leased by this limiter beyond `leased` return to the pool,
        so a lost or late answer does no lasting harm.
        """
        self.sequence += 1
        presence = self.presence
        caller = LeaseCaller(
            slot=account.slot,
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
        """Performs what is due; returns the time of the next call."""
        if self.presence.heartbeat_due(now):
            self._send_heartbeat(now)
        if self.presence.becomes_isolated(now):
            self.counts["absences"] += 1
        next_return = self._return_leases(now)
        self._close_idle_accounts(now)
        return min(self.presence.next_due(now), next_return)

    def _send_heartbeat(self, now: float) -> None:
        """Sends a heartbeat.

        The even shares are dropped before the heartbeat is written, so that this limiter never has
        both its even share and access to the pool.
        """
        for account in self.accounts.values():
            for pool in account.pools:
                pool.fallback = None
        self._post(self.presence.heartbeat(now))

    def _return_leases(self, now: float) -> float:
        """Returns leased units that are idle or about to end; gives the time of the next check."""
        next_check_at = math.inf
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
                next_check_at = min(next_check_at, max(return_at, now + RETURN_BEFORE_END_S))
        return next_check_at

    def _return_lease(self, account: LeasedAccount, now: float) -> None:
        if account.call or not self.presence.may_lease(now):
            return
        self.counts["returned"] += sum(account.leased())
        for pool in account.pools:
            pool.leased = 0.0
        nothing = [0.0] * len(account.pools)
        self._lease(account, nothing, nothing, 0.0, now)

    def _close_idle_accounts(self, now: float) -> None:
        """Closes accounts that were not used lately and that a new one would equal.

        A new account's base is full, so one that has not refilled yet is kept: the customer could
        otherwise spend its base twice. It goes to the end of the table until it is due again.
        """
        for _ in range(min(len(self.accounts), MAX_CLOSING_CHECKS)):
            oldest = next(iter(self.accounts.values()))
            if now - oldest.last_used_at <= ACCOUNT_IDLE_TIMEOUT_S or oldest.call:
                break
            if oldest.has_full_base(now):
                self._close(oldest)
            else:
                self.accounts[oldest.key] = self.accounts.pop(oldest.key)

    # The connection to the store

    def store_connected(self, store_started_at: float, store_now: float, now: float) -> None:
        """Handles an established connection.

        `store_started_at` is the start time of the store's process, and `store_now` is the current
        time, both by the store's clock.
        """
        self.presence.store_connected(store_started_at, store_now, now)

    def store_disconnected(self) -> None:
        """Handles the loss of the connection. Leases remain valid until they end."""
        self.presence.connected = False
        for account in self.accounts.values():
            account.call = None

    def answered(self, call: ScriptCall, answer: list[str], now: float) -> None:
        """Handles an answer that arrived in time. `answer`: the script's reply as text."""
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
            self._apply_grants(call, account, decoded, now)
            return
        self.counts[decoded.status] = self.counts.get(decoded.status, 0) + 1
        account.next_lease_at = now + self.store_settings.call_timeout
        self.presence.heartbeat_soon(now)

    def _apply_grants(
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
        account.next_lease_at = now + min(wait, lease.term)
        account.lease_ends_at = call.sent_at + lease.term
        if now >= account.lease_ends_at:
            return
        for pool, leased, grant in zip(account.pools, call.leased, grants, strict=True):
            pool.drop_reported_spending(call.sent_at)
            self.counts["granted"] += grant.granted
            self.counts["lost"] += pool.add_grant(
                leased, grant.confirmed, grant.granted, call.lease_expired
            )
        if any(pool.leased > 0 for pool in account.pools):
            self._with_leases[account.key] = account

    def call_failed(self, call: ScriptCall, now: float) -> None:
        """Handles a call that got an error or no answer in time; it may have run nevertheless.

        The next call reports the units on lease, and the store corrects its record by them.
        """
        self.counts["given_up"] += 1
        if call.account and call.account.call is call:
            call.account.call = None
            call.account.next_lease_at = now + self.store_settings.call_timeout

    def answered_late(self) -> None:
        """Counts an answer to a call that had timed out.

        The units that it granted are not used; the next call returns them to the pool.
        """
        self.counts["late"] += 1
