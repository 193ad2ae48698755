"""Attempts: starts them, handles their end, and learns from the result.

The states of a request are described in `state/pending_requests.py`; `retry.py` decides whether it
may have another attempt, `supervision.py` which attempts are cancelled for one.
"""

from __future__ import annotations

from typing import NamedTuple

from hazelhollow.decisions.actions import FailRequest, RetryDenial, StartAttempt
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.endpoint_selection import EndpointSelection
from hazelhollow.decisions.events import AttemptEnded, AttemptStarted
from hazelhollow.decisions.gossip import codec
from hazelhollow.decisions.load_estimate import LoadEstimate
from hazelhollow.decisions.outlier_detection import (
    EJECTION_THRESHOLD,
    EVERY_CLASS,
    OutlierDetection,
)
from hazelhollow.decisions.quota import Quota
from hazelhollow.decisions.rejections import overload_retry_after, reject
from hazelhollow.decisions.retry import (
    NEVER_RAN,
    RetryBudget,
    cost_of_retry,
    may_reject,
)
from hazelhollow.decisions.slow_start import SlowStart
from hazelhollow.decisions.state.endpoint import Endpoint
from hazelhollow.decisions.state.executions import ExecutionMemory
from hazelhollow.decisions.state.peer_loads import PeerLoads
from hazelhollow.decisions.state.pending_requests import Attempt, PendingRequest, PendingRequests


class AttemptRules(NamedTuple):
    """The rules that are applied when an attempt starts or ends."""

    selection: EndpointSelection
    slow_start: SlowStart
    outliers: OutlierDetection
    quota: Quota
    retry_budget: RetryBudget
    executions: ExecutionMemory


class Attempts:
    """Starts attempts, and decides what happens when one ends."""

    def __init__(
        self,
        context: DecisionContext,
        pending: PendingRequests,
        load: LoadEstimate,
        peer_loads: PeerLoads,
        rules: AttemptRules,
    ) -> None:
        self._context, self._pending = context, pending
        self._load, self._peer_loads = load, peer_loads
        self._selection, self._slow_start, self._outliers, self._quota = rules[:4]
        self._budget, self._executions = rules.retry_budget, rules.executions

    def start(self, request: PendingRequest, endpoint: Endpoint, work: float) -> None:
        """Starts an attempt with `work` seconds of expected work."""
        context, number = self._context, len(request.attempts)
        send_by = request.repeatable_until()
        backlog = endpoint.backlog(self._peer_loads.total())
        attempt = Attempt(endpoint, context.now, work, backlog)
        request.attempts.append(attempt)
        if not endpoint.in_flight:
            endpoint.last_progress_at = context.now
        endpoint.in_flight[request.event.id, number] = work
        self._slow_start.record_sent(endpoint, work)
        execution = None
        if request.request_class.effect != "safe":
            execution = attempt.execution
            event = request.event
            self._executions.add(event.customer, event.id, execution, context.now)
        context.actions.append(
            StartAttempt(
                request.event.id, endpoint.entry.name, send_by=send_by, execution=execution
            )
        )

    def end(self, event: AttemptEnded) -> None:
        """Handles the end of an attempt: settles the charge, then retries or ends the request.

        The end of an attempt that is not in flight is ignored.
        """
        attempt = self._pending.attempt_in_flight(event.id, event.attempt)
        if attempt is None:
            return
        request = self._pending.by_id[event.id]
        attempt.in_flight, attempt.may_have_run = False, event.status not in NEVER_RAN
        attempt.endpoint.in_flight.pop((event.id, event.attempt), None)
        if not attempt.may_have_run and request.request_class.effect != "safe":
            self._executions.discard(request.event.customer, event.id, attempt.execution)
        self._learn(attempt, request, event)
        if event.true_units and request.within_quota and not request.settled:
            self._quota.settle(request, event.true_units)
        request.ended = request.ended or event.final
        if not request.ended and not request.has_attempt_in_flight():
            self._retry_or_end(request, cost_of_retry(attempt, event))
        self._pending.forget_if_done(event.id)

    def answer_started(self, event: AttemptStarted) -> None:
        """Notes that a long answer is being forwarded: the endpoint has done the work.

        The attempt stays in flight, but neither hangs nor counts as a backlog: how long the answer
        takes depends on the client.
        """
        attempt = self._pending.attempt_in_flight(event.id, event.attempt)
        if attempt is not None:
            attempt.is_answering = True
            attempt.endpoint.last_progress_at = self._context.now
            attempt.endpoint.in_flight.pop((event.id, event.attempt), None)

    def can_replace(self, request: PendingRequest, attempt: Attempt, retry_until: float) -> bool:
        """Whether another attempt could start at once if this one, which is in flight, ended.

        `retry_until`: the time by which it must be expected to end.
        """
        random = self._context.random
        state = random.getstate()
        attempt.in_flight = False
        _, denial = self._choose_for_retry(request, 1.0, retry_until)
        attempt.in_flight = True
        random.setstate(state)  # a check changes no later choice
        return denial is None

    def _choose_for_retry(
        self, request: PendingRequest, cost: float, retry_until: float
    ) -> tuple[Endpoint | None, RetryDenial | None]:
        """Returns the endpoint of another attempt, or why there can be none."""
        endpoint, delay = self._selection.choose(request, self._load.work_of(request))
        if endpoint is None:
            is_over = self._context.now >= request.deadline
            is_used_up = len(request.attempts) >= request.max_attempts
            return None, "not allowed" if is_over or is_used_up else "no endpoint"
        if self._context.now + delay >= retry_until:
            return None, "too late"
        if not self._budget.can_spend(cost):
            return None, "no budget"
        return endpoint, None

    def _retry_or_end(self, request: PendingRequest, cost: float) -> None:
        """Starts another attempt if one is allowed and can be in time; else ends the request."""
        context = self._context
        endpoint, denial = self._choose_for_retry(request, cost, request.retry_until)
        if endpoint:
            self._budget.spend(cost)
            self.start(request, endpoint, self._load.work_of(request))
            return
        request.ended = True
        if may_reject(request):
            wait = overload_retry_after(request.request_class)
            reject(context, request.event.id, wait, "given up", denial)
        else:
            context.actions.append(FailRequest(request.event.id, denial))

    def _learn(self, attempt: Attempt, request: PendingRequest, event: AttemptEnded) -> None:
        """Updates the load estimate, the learned work, and the endpoint's outlier records."""
        load, endpoint, status = self._load, attempt.endpoint, event.status
        time_to_answer = event.elapsed - event.answer_time
        waited = time_to_answer - attempt.work > load.queue_wait
        if status in ("ok", "error", "full"):
            endpoint.last_progress_at = self._context.now
        # Unless there is an overload, a late answer counts as a failure of this endpoint regardless
        # of its cause, since the endpoint may stop answering next. In an overload all answers are
        # late, and ejection would make the overload worse.
        slow = time_to_answer > request.request_class.latency_objective and not load.is_overloaded()
        if status == "ok":
            load.learn_answer(attempt, request, event.elapsed)
            if not slow:
                self._outliers.record_success(endpoint, request.request_class.name)
        still_answers = status == "timeout" and self._outliers.has_progressed(attempt)
        blameless = still_answers or status in ("cancelled", "never_sent")
        if (slow or status != "ok") and not blameless:
            # Attempts that failed immediately did not wait: a lost zone or a faulty endpoint must
            # not count as an overload.
            waited = waited or status in ("full", "timeout")
            self._record_failure(endpoint, request, event)
        load.learn_wait(waited)

    def _record_failure(
        self, endpoint: Endpoint, request: PendingRequest, event: AttemptEnded
    ) -> None:
        """Records a failure of an endpoint; in a large fleet it is also reported to peers.

        A failure counts for every class if the attempt did not run or timed out. A refused
        connection ejects the endpoint at once in a large fleet, where each limiter sees few
        attempts.
        """
        status, small_fleet = event.status, self._context.small_fleet
        for_every_class = status in NEVER_RAN or status == "timeout"
        class_name = EVERY_CLASS if for_every_class else request.request_class.name
        refused = status == "connect_failed" and not small_fleet
        weight = EJECTION_THRESHOLD if refused else 1.0
        self._outliers.record_failure(endpoint, class_name, weight)
        # Reports from all limiters together must not eject an endpoint that is merely full.
        if status != "full" and not small_fleet:
            tag = codec.name_tag(class_name) if class_name else codec.EVERY_CLASS_TAG
            self._outliers.record_for_gossip(endpoint.tag, tag)
