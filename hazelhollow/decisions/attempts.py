"""Attempts: started, followed to their end, and what is learned from it.

The states of a request are in `state/pending_requests.py`; whether it may have another attempt is
decided in `retry.py`.
"""

from __future__ import annotations

from typing import NamedTuple

from hazelhollow.decisions.actions import CancelAttempt, FailRequest, StartAttempt
from hazelhollow.decisions.context import DecisionContext
from hazelhollow.decisions.endpoint_selection import EndpointSelection
from hazelhollow.decisions.events import AttemptEnded
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
from hazelhollow.decisions.state.peer_loads import PeerLoads
from hazelhollow.decisions.state.pending_requests import Attempt, PendingRequest, PendingRequests


class AttemptRules(NamedTuple):
    """The rules that an attempt's start and end go through."""

    selection: EndpointSelection
    slow_start: SlowStart
    outliers: OutlierDetection
    quota: Quota
    retry_budget: RetryBudget


class Attempts:
    """Starts attempts, and decides what follows when one ends."""

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
        self._selection, self._slow_start, self._outliers, self._quota, self._budget = rules

    def start(self, request: PendingRequest, endpoint: Endpoint, work: float) -> None:
        """Starts an attempt of `work` seconds."""
        context, number = self._context, len(request.attempts)
        send_by = request.repeatable_until()
        backlog = endpoint.backlog(self._peer_loads.total())
        request.attempts.append(Attempt(endpoint, context.now, work, backlog))
        if not endpoint.in_flight:
            endpoint.last_progress_at = context.now
        endpoint.in_flight[request.event.id, number] = work
        self._slow_start.record_sent(endpoint, work)
        context.actions.append(StartAttempt(request.event.id, endpoint.entry.name, send_by=send_by))

    def end(self, event: AttemptEnded) -> None:
        """An attempt has ended: settles the charge, and retries or gives up.

        The end of an attempt that is not in flight changes nothing.
        """
        request = self._pending.by_id.get(event.id)
        if (
            request is None
            or not 0 <= event.attempt < len(request.attempts)
            or not request.attempts[event.attempt].in_flight
        ):
            return
        attempt = request.attempts[event.attempt]
        attempt.in_flight, attempt.may_have_run = False, event.status not in NEVER_RAN
        attempt.endpoint.in_flight.pop((event.id, event.attempt), None)
        self._learn(attempt, request, event)
        if event.true_units and request.within_quota and not request.settled:
            self._quota.settle(request, event.true_units)
        request.ended = request.ended or event.final
        if not request.ended and not request.has_attempt_in_flight():
            self._retry_or_give_up(request, cost_of_retry(attempt, event))
        self._pending.forget_if_done(event.id)

    def _retry_or_give_up(self, request: PendingRequest, cost: float) -> None:
        """With no attempt in flight: another if it is allowed and may be in time, else the end."""
        context, work = self._context, self._load.work_of(request)
        endpoint, delay = self._selection.choose(request, work)
        in_time = context.now + delay < min(request.objective_at, request.deadline)
        if endpoint and self._budget.has_room_for(cost) and in_time:
            self._budget.spend(cost)
            self.start(request, endpoint, work)
            return
        request.ended = True
        if may_reject(request):
            wait = overload_retry_after(request.request_class)
            reject(context, request.event.id, wait, "given up")
        else:
            context.actions.append(FailRequest(request.event.id))

    def cancel_hanging(self) -> None:
        """Cancels attempts that hang while another may be in time, so that a retry follows.

        Only of requests that are safe to repeat, and not in an overload, in which all wait. An
        endpoint that is silent besides has failed.
        """
        context, load = self._context, self._load
        if (
            not context.settings.cancellation
            or not self._budget.has_room_for(1.0)
            or not load.is_calm()
        ):
            return
        min_time = MAX_SILENCE_SHARE * load.tightest_objective
        hanging = self._pending.hanging_attempts(context.now, HANGING_FACTOR, min_time)
        for request, number in hanging:
            in_time = context.now + load.mean_attempt_time < request.objective_at
            if request.request_class.effect == "safe" and in_time:
                context.actions.append(CancelAttempt(request.event.id, number))
                endpoint = request.attempts[number].endpoint
                if self._outliers.is_silent(endpoint):
                    self._outliers.record_failure(endpoint, EVERY_CLASS)

    def _learn(self, attempt: Attempt, request: PendingRequest, event: AttemptEnded) -> None:
        """Learns the load, the request's work, and whether the endpoint fails."""
        load, endpoint, status = self._load, attempt.endpoint, event.status
        waited = event.elapsed - attempt.work > load.queue_wait
        if status in ("ok", "error", "full"):
            endpoint.last_progress_at = self._context.now
        # Late while others hardly wait is a failure of this endpoint, whatever slowed it; it may
        # die next. In an overload all are late, and ejecting would make it worse.
        slow = event.elapsed > request.request_class.latency_objective and not load.is_overloaded()
        if status == "ok":
            load.learn_answer(attempt, request, event.elapsed)
            if not slow:
                self._outliers.record_success(endpoint, request.request_class.name)
        if (slow or status != "ok") and status not in ("cancelled", "never_sent"):
            # What broke or failed at once did not wait: a lost zone or a bad endpoint is no
            # overload.
            waited = waited or status in ("full", "timeout")
            self._record_failure(endpoint, request, event)
        load.learn_wait(waited)

    def _record_failure(
        self, endpoint: Endpoint, request: PendingRequest, event: AttemptEnded
    ) -> None:
        """An endpoint failed; in a large fleet, peers are notified.

        What did not run, or did not answer, has nothing to do with the class. An endpoint that
        refuses connections is ejected at once in a large fleet, whose limiters see few attempts.
        """
        status, small_fleet = event.status, self._context.small_fleet
        for_every_class = status in NEVER_RAN or status == "timeout"
        class_name = EVERY_CLASS if for_every_class else request.request_class.name
        refused = status == "connect_failed" and not small_fleet
        weight = EJECTION_THRESHOLD if refused else 1.0
        self._outliers.record_failure(endpoint, class_name, weight)
        # An endpoint that is full must not be ejected by what all limiters report.
        if status != "full" and not small_fleet:
            tag = codec.name_tag(class_name) if class_name else codec.EVERY_CLASS_TAG
            self._outliers.note_for_peers(endpoint.tag, tag)
