"""Requests without a final answer, and their attempts.

The states of a request and their transitions:

| state      | event                                                 | next state |
| ---------- | ----------------------------------------------------- | ---------- |
| arrived    | a rule of `admission` rejects it                      | answered   |
| arrived    | it is admitted and charged, and an attempt starts     | attempting |
| attempting | `AttemptEnded`, final: the client has its answer      | ended      |
| attempting | `AttemptEnded`, another attempt is in flight          | attempting |
| attempting | `AttemptEnded`, `retry` allows another attempt        | attempting |
| attempting | `AttemptEnded`, it does not: a rejection or a failure | ended      |
| attempting | an attempt is cancelled for another (`supervision`)   | attempting |
| attempting | `ClientDisconnected`                                  | ended      |
| ended      | the last attempt in flight ends                       | forgotten  |

A pending request is kept while it is attempting, and while it is ended but an attempt is still in
flight: until then the account counts it as open, and the end of the attempt still updates the
statistics.
"""

from __future__ import annotations

import math

from hazelhollow.decisions.events import RequestArrived
from hazelhollow.decisions.settings import RequestClass
from hazelhollow.decisions.state.accounts import Account
from hazelhollow.decisions.state.endpoint import Endpoint
from hazelhollow.decisions.state.endpoint_table import EndpointGroup
from hazelhollow.decisions.state.executions import Execution

MAX_LEARNED_SIZE = 8  # largest size in units for which work is learned separately


class Attempt:
    """One forwarding of a request to an endpoint.

    Attributes:
        endpoint: The endpoint that it was sent to.
        started_at: The time of its start.
        work: Its expected work, in seconds.
        backlog: Seconds of work in flight at the endpoint when it started.
        in_flight: Whether it has not ended yet.
        may_have_run: Whether the endpoint may have executed it.
        is_answering: Whether its answer has begun and is being forwarded.
        progressed_at: When the last bytes of its incomplete answer arrived; 0 if none have.
        has_stalled: Whether it was cancelled since a part of a short answer stayed alone.
        is_cancelled: Whether its cancellation was requested.
        execution: Where and when it runs, by the endpoint's entry at its start.
    """

    __slots__ = (
        "endpoint",
        "started_at",
        "work",
        "backlog",
        "in_flight",
        "may_have_run",
        "is_answering",
        "progressed_at",
        "has_stalled",
        "is_cancelled",
        "execution",
    )

    def __init__(self, endpoint: Endpoint, started_at: float, work: float, backlog: float) -> None:
        self.execution = Execution.at(endpoint.entry, started_at)
        self.endpoint, self.started_at, self.work, self.backlog = (
            endpoint,
            started_at,
            work,
            backlog,
        )
        self.in_flight = self.may_have_run = True
        self.is_answering = self.has_stalled = self.is_cancelled = False
        self.progressed_at = 0.0

    def has_answer_bytes(self) -> bool:
        """Whether any byte of its answer is here."""
        return self.is_answering or self.progressed_at > 0

    def expected_time(self) -> float:
        """Returns its expected duration in seconds."""
        endpoint = self.endpoint
        return endpoint.work_factor * (self.work + self.backlog / endpoint.concurrency)


class PendingRequest:
    """A request without a final answer, or with attempts that are still in flight.

    Attributes:
        event: The request as it arrived.
        request_class: The class of the request.
        account: The account that is charged.
        max_attempts: The limit in the settings at its arrival; later settings may have a lower one.
        arrived_at: The time of its arrival.
        objective_at: The time at which its latency objective ends.
        deadline: The time at which the client stops waiting for the answer.
        retry_until: The time by which another attempt must be expected to end.
        attempts: The attempts in the order of their start; an attempt's number is its index.
        size: Its units, rounded and limited to `MAX_LEARNED_SIZE`.
        within_quota: Whether the quota has room for it and is charged if it is admitted.
        ended: Whether the final answer was sent or the client has disconnected.
        settled: Whether the true units were charged in place of the estimated ones.
        earlier: Executions of the same id from before this request arrived.
    """

    __slots__ = (
        "event",
        "request_class",
        "account",
        "max_attempts",
        "arrived_at",
        "objective_at",
        "deadline",
        "retry_until",
        "attempts",
        "size",
        "within_quota",
        "ended",
        "settled",
        "earlier",
    )

    def __init__(
        self,
        event: RequestArrived,
        request_class: RequestClass,
        account: Account,
        now: float,
        max_attempts: int,
    ) -> None:
        self.event, self.request_class, self.account = event, request_class, account
        self.max_attempts = max_attempts
        self.arrived_at = now
        self.objective_at = now + request_class.latency_objective
        self.deadline = now + event.time_left
        self.retry_until = min(self.objective_at, self.deadline)
        self.attempts: list[Attempt] = []
        self.size = min(round(event.units), MAX_LEARNED_SIZE)
        self.within_quota = self.ended = self.settled = False
        self.earlier: tuple[Execution, ...] = ()

    def is_repetition(self) -> bool:
        """Whether anything was sent for its id before."""
        return bool(self.attempts or self.earlier)

    def executions(self) -> list[Execution]:
        """Returns all attempts of its id that may have run, the first one first."""
        own = [attempt.execution for attempt in self.attempts if attempt.may_have_run]
        return [*self.earlier, *own]

    def has_attempt_in_flight(self) -> bool:
        """Whether any attempt has not ended."""
        return any([a.in_flight for a in self.attempts])

    def attempts_at(self, endpoint: Endpoint) -> int:
        """Returns the number of attempts that were sent to an endpoint."""
        return sum([a.endpoint is endpoint for a in self.attempts]) if self.attempts else 0

    def repeatable_until(self) -> float:
        """Returns the time until which the request may be repeated.

        Endpoints drop a repeated request for `dedup_window` seconds after the first attempt that
        may have run. The time is infinite if nothing has run or if repeating is safe.
        """
        if self.request_class.effect == "safe" or not self.is_repetition():
            return math.inf
        starts = [execution.started_at for execution in self.executions()]
        return min(starts) + self.request_class.dedup_window if starts else math.inf

    def required_group(self) -> EndpointGroup | None:
        """Returns the zone or cell that another attempt must be sent to, if there is one.

        Only the endpoints there know the idempotency key of the attempt that may have run.
        """
        scope = self.request_class.dedup_scope
        if self.request_class.effect != "keyed" or scope == "all":
            return None
        executions = self.executions()
        return (scope, getattr(executions[0], scope)) if executions else None


class PendingRequests:
    """The pending requests, by id."""

    def __init__(self) -> None:
        self.by_id: dict[str, PendingRequest] = {}

    def end(self, request_id: str) -> None:
        """Ends a request whose client has disconnected, so that it needs no answer."""
        if request_id in self.by_id:
            self.by_id[request_id].ended = True
            self.forget_if_done(request_id)

    def forget_if_done(self, request_id: str) -> None:
        """Removes a request that has ended if none of its attempts is in flight."""
        request = self.by_id[request_id]
        if request.ended and not request.has_attempt_in_flight():
            del self.by_id[request_id]
            request.account.open_requests -= 1

    def attempts_in_flight_since(self, start: float) -> list[Attempt]:
        """Returns the attempts in flight without an answer that started after `start`."""
        requests = self.by_id.values()
        return [
            a
            for r in requests
            for a in r.attempts
            if a.in_flight and not a.has_answer_bytes() and a.started_at > start
        ]

    def hanging_attempts(
        self, now: float, factor: float, min_time: float
    ) -> list[tuple[PendingRequest, int]]:
        """Returns the requests and numbers of attempts without an answer for too long.

        That is longer than both `factor` times the expected duration and `min_time` seconds.
        """
        return [
            (request, number)
            for request in self.by_id.values()
            if not request.ended
            for number, attempt in enumerate(request.attempts)
            if attempt.in_flight
            and not attempt.has_answer_bytes()
            and now - attempt.started_at > max(factor * attempt.expected_time(), min_time)
        ]

    def begun_attempts(self) -> list[tuple[PendingRequest, int]]:
        """Returns the requests and numbers of attempts with a part of an answer, not forwarded."""
        return [
            (request, number)
            for request in self.by_id.values()
            if not request.ended
            for number, attempt in enumerate(request.attempts)
            if attempt.in_flight and attempt.progressed_at and not attempt.is_answering
        ]

    def attempt_in_flight(self, request_id: str, number: int) -> Attempt | None:
        """Returns an attempt that has not ended; None if there is none of that number."""
        request = self.by_id.get(request_id)
        if request is None or not 0 <= number < len(request.attempts):
            return None
        attempt = request.attempts[number]
        return attempt if attempt.in_flight else None

    def work_in_flight(self, endpoints: dict[str, Endpoint]) -> dict[str, float]:
        """Returns the seconds of work in flight at the given endpoints, by their tags."""
        busy = {a.endpoint for r in self.by_id.values() for a in r.attempts if a.in_flight}
        return {e.tag: sum(e.in_flight.values()) for e in busy if endpoints.get(e.entry.name) is e}
