"""Attempts: starts them, handles their end, and learns from the result.

The states of a request are described in `state/pending_requests.py`; `retry.py` decides whether it
may have another attempt.
"""

from __future__ import annotations

from typing import NamedTuple

from hazelhollow.decisions.actions import CancelAttempt, FailRequest, StartAttempt
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.endpoint_selection import EndpointSelection
from hazelhollow.decisions.events import AnswerStalled, AttemptEnded, AttemptStarted
from hazelhollow.decisions.gossip import codec
from hazelhollow.decisions.load_estimate import LoadEstimate
from hazelhollow.decisions.outlier_detection import (
    EJECTION_THRESHOLD,
    EVERY_CLASS,
    MAX_SILENCE_SHARE,
    OutlierDetection,
)
from hazelhollow.decisions.quota import Quota
from hazelhollow.decisions.rejections import overload_retry_after, reject
from hazelhollow.decisions.retry import (
    HANGING_FACTOR,
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
        attempt = self._attempt_in_flight(event.id, event.attempt)
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
        attempt = self._attempt_in_flight(event.id, event.attempt)
        if attempt is not None:
            attempt.is_answering = True
            attempt.endpoint.last_progress_at = self._context.now
            attempt.endpoint.in_flight.pop((event.id, event.attempt), None)

    def answer_stalled(self, event: AnswerStalled) -> None:
        """Cancels an attempt whose answer has stopped half way, if another can start at once.

        Otherwise the rest may still arrive in time, and nothing would be gained.
        """
        attempt = self._attempt_in_flight(event.id, event.attempt)
        if attempt is None:
            return
        request, context = self._pending.by_id[event.id], self._context
        attempt.in_flight = False  # as it would be after the cancellation
        can_retry = not request.ended and self._can_retry(request, 1.0) is not None
        attempt.in_flight = True
        if can_retry:
            context.actions.append(CancelAttempt(event.id, event.attempt))
            self._outliers.record_failure(attempt.endpoint, request.request_class.name)

    def _attempt_in_flight(self, request_id: str, number: int) -> Attempt | None:
        request = self._pending.by_id.get(request_id)
        if request is None or not 0 <= number < len(request.attempts):
            return None
        attempt = request.attempts[number]
        return attempt if attempt.in_flight else None

    def _can_retry(self, request: PendingRequest, cost: float) -> Endpoint | None:
        """Returns the endpoint of another attempt that is allowed and can be in time, or None."""
        context = self._context
        endpoint, delay = self._selection.choose(request, self._load.work_of(request))
        in_time = context.now + delay < min(request.objective_at, request.deadline)
        return endpoint if endpoint and self._budget.can_spend(cost) and in_time else None

    def _retry_or_end(self, request: PendingRequest, cost: float) -> None:
        """Starts another attempt if one is allowed and can be in time; else ends the request."""
        context, endpoint = self._context, self._can_retry(request, cost)
        if endpoint:
            self._budget.spend(cost)
            self.start(request, endpoint, self._load.work_of(request))
            return
        request.ended = True
        if may_reject(request):
            wait = overload_retry_after(request.request_class)
            reject(context, request.event.id, wait, "given up")
        else:
            context.actions.append(FailRequest(request.event.id))

    def cancel_hung(self) -> None:
        """Cancels hung attempts while another can still be in time, so that a retry follows.

        Applies only to requests that are safe to repeat, and only at low load, since all attempts
        wait in an overload. If the endpoint is also silent, this counts as its failure.
        """
        context, load = self._context, self._load
        if (
            not context.settings.cancellation
            or not self._budget.can_spend(1.0)
            or not load.is_low()
        ):
            return
        min_time = MAX_SILENCE_SHARE * load.tightest_objective
        hung = self._pending.hanging_attempts(context.now, HANGING_FACTOR, min_time)
        for request, number in hung:
            in_time = context.now + load.mean_attempt_time < request.objective_at
            if request.request_class.effect == "safe" and in_time:
                context.actions.append(CancelAttempt(request.event.id, number))
                endpoint = request.attempts[number].endpoint
                if self._outliers.is_silent(endpoint):
                    self._outliers.record_failure(endpoint, EVERY_CLASS)

    def _learn(self, attempt: Attempt, request: PendingRequest, event: AttemptEnded) -> None:
        """Updates the load estimate, the learned work, and the endpoint's outlier records."""
        load, endpoint, status = self._load, attempt.endpoint, event.status
        waited = event.elapsed - attempt.work > load.queue_wait
        if status in ("ok", "error", "full"):
            endpoint.last_progress_at = self._context.now
        # Unless there is an overload, a late answer counts as a failure of this endpoint regardless
        # of its cause, since the endpoint may stop answering next. In an overload all answers are
        # late, and ejection would make the overload worse.
        slow = event.elapsed > request.request_class.latency_objective and not load.is_overloaded()
        if status == "ok":
            load.learn_answer(attempt, request, event.elapsed)
            if not slow:
                self._outliers.record_success(endpoint, request.request_class.name)
        if (slow or status != "ok") and status not in ("cancelled", "never_sent"):
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
