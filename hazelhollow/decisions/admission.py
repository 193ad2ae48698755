"""Admission: the checks from a request's arrival to its first attempt or its rejection.

The checks run in this order, and the first that fails rejects the request:

1. Its class and plan exist, and its units and the time left are above 0.
2. Membership allows this limiter to admit new work.
3. `quota.py`: the ceiling has capacity, and so has the quota or the excess units.
4. `load_shedding.py`: an endpoint may get it, and its expected wait is short enough.

The request is then charged, and its first attempt starts. If a request of the same id may have run
before, a rejection would wrongly promise that repeating it is harmless: it fails instead.
"""

from __future__ import annotations

from typing import NamedTuple

from hazelhollow.decisions.actions import FailRequest, RejectRequest
from hazelhollow.decisions.attempts import Attempts
from hazelhollow.decisions.context import PERIOD_S, DecisionContext
from hazelhollow.decisions.endpoint_selection import EndpointSelection
from hazelhollow.decisions.events import RequestArrived
from hazelhollow.decisions.load_estimate import LEARNING_RATE, LoadEstimate
from hazelhollow.decisions.load_shedding import LoadShedding
from hazelhollow.decisions.quota import Quota
from hazelhollow.decisions.rejections import reject
from hazelhollow.decisions.retry import RetryBudget, is_always_rejectable
from hazelhollow.decisions.settings import RequestClass
from hazelhollow.decisions.state.customer_accounts import CustomerAccounts
from hazelhollow.decisions.state.executions import Execution, ExecutionMemory
from hazelhollow.decisions.state.pending_requests import PendingRequest, PendingRequests


class AdmissionRules(NamedTuple):
    """The rules that are applied to an arriving request."""

    quota: Quota
    load_shedding: LoadShedding
    selection: EndpointSelection
    retry_budget: RetryBudget
    attempts: Attempts
    executions: ExecutionMemory


class Admission:
    """Admits or rejects requests."""

    def __init__(
        self,
        context: DecisionContext,
        accounts: CustomerAccounts,
        pending: PendingRequests,
        load: LoadEstimate,
        rules: AdmissionRules,
    ) -> None:
        self._context, self._accounts, self._pending = context, accounts, pending
        self._load = load
        self._quota, self._shedding, self._selection = rules[:3]
        self._budget, self._attempts = rules.retry_budget, rules.attempts
        self._executions = rules.executions

    def arrive(self, event: RequestArrived) -> None:
        """Handles the arrival of a request."""
        context = self._context
        request_class = context.classes.get(event.class_name)
        earlier = self._executions.find(event)
        first_action = len(context.actions)
        self._admit_or_reject(event, request_class, earlier)
        if earlier and request_class and not is_always_rejectable(request_class):
            for position in range(first_action, len(context.actions)):
                if isinstance(context.actions[position], RejectRequest):
                    context.actions[position] = FailRequest(event.id)

    def _admit_or_reject(
        self,
        event: RequestArrived,
        request_class: RequestClass | None,
        earlier: tuple[Execution, ...],
    ) -> None:
        context, settings = self._context, self._context.settings
        plan = context.plans.get(event.plan_name)
        if request_class is None or plan is None or event.units <= 0 or event.time_left <= 0:
            reject(context, event.id, 0.0, "unknown")
            return
        if not context.may_admit:
            # This process was paused, and others may have declared it dead: its state is outdated.
            reject(context, event.id, PERIOD_S, "away")
            return
        set_size = max(1, min(event.set_size, settings.limiter_count))
        key = self._accounts.key_of_customer(event.customer)
        account = self._accounts.get(key, plan, event.set_start, set_size)
        account.last_used_at = context.now
        request = PendingRequest(event, request_class, account, context.now, settings.max_attempts)
        request.earlier = earlier if request_class.effect != "safe" else ()
        self._load.classes.learn_units(request_class, event.units, LEARNING_RATE)
        request.within_quota = self._quota.is_within(request)
        work = self._load.work_of(request)
        if request.within_quota:
            self._shedding.record_demand(request, work)
        if self._quota.rejects(request):
            return
        choice = self._selection.choose(request, work)
        if self._shedding.rejects(request, choice, work) or choice.endpoint is None:
            return
        self._pending.by_id[event.id] = request
        self._budget.request_admitted()
        self._quota.charge(request)
        self._attempts.start(request, choice.endpoint, work)
