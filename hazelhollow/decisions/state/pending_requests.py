"""Requests without their final answer, and their attempts.

A request's states, and what leads from one to the next:

| state      | what happens                                          | next state |
| ---------- | ----------------------------------------------------- | ---------- |
| arrived    | a rule of `admission` rejects it                      | answered   |
| arrived    | admitted: it is charged, an attempt starts            | attempting |
| attempting | `AttemptEnded`, final: the client has its answer      | ended      |
| attempting | `AttemptEnded`, another attempt is in flight          | attempting |
| attempting | `AttemptEnded`, `retry` allows another attempt        | attempting |
| attempting | `AttemptEnded`, it does not: a rejection or a failure | ended      |
| attempting | an attempt hangs and is cancelled                     | attempting |
| attempting | `ClientDisconnected`                                  | ended      |
| ended      | the last attempt in flight ends                       | forgotten  |

A pending request is kept while it is attempting, and while it is ended and an attempt is still in
flight: the account counts it as open until then, and the attempt's end still teaches.
"""

from __future__ import annotations

import math

from hazelhollow.decisions.events import RequestArrived
from hazelhollow.decisions.settings import RequestClass
from hazelhollow.decisions.state.accounts import Account
from hazelhollow.decisions.state.endpoint import Endpoint
from hazelhollow.decisions.state.endpoint_table import EndpointGroup

MAX_LEARNED_SIZE = 8  # units up to which work is learned for each number of them


class Attempt:
    """One forwarding of a request to an endpoint.

    Attributes:
        endpoint: Where it went.
        started_at: When.
        work: Seconds of work that it was expected to be.
        backlog: Seconds of work in flight there when it started.
        in_flight: It has not ended.
        may_have_run: The endpoint may have acted on it.
    """

    __slots__ = ("endpoint", "started_at", "work", "backlog", "in_flight", "may_have_run")

    def __init__(self, endpoint: Endpoint, started_at: float, work: float, backlog: float) -> None:
        self.endpoint, self.started_at, self.work, self.backlog = (
            endpoint,
            started_at,
            work,
            backlog,
        )
        self.in_flight = self.may_have_run = True

    def expected_time(self) -> float:
        """Seconds from its start to its end, as expected of its endpoint."""
        endpoint = self.endpoint
        return endpoint.work_factor * (self.work + self.backlog / endpoint.concurrency)


class PendingRequest:
    """A request that is owed its final answer, or whose attempts are still in flight.

    Attributes:
        event: As it arrived.
        request_class: Its class.
        account: Who is charged.
        max_attempts: As the settings said when it arrived; they may say fewer later.
        arrived_at: The instant of its arrival.
        objective_at: The instant of its latency objective.
        deadline: The instant at which the client gives up.
        attempts: In the order of their start; an attempt's number is its place.
        size: Units in whole numbers, up to `MAX_LEARNED_SIZE`.
        within_quota: The quota has room for it, and is charged if it is admitted.
        ended: The final answer was given, or the client has gone.
        settled: The true units were charged in place of the estimated ones.
    """

    __slots__ = (
        "event",
        "request_class",
        "account",
        "max_attempts",
        "arrived_at",
        "objective_at",
        "deadline",
        "attempts",
        "size",
        "within_quota",
        "ended",
        "settled",
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
        self.attempts: list[Attempt] = []
        self.size = min(round(event.units), MAX_LEARNED_SIZE)
        self.within_quota = self.ended = self.settled = False

    def has_attempt_in_flight(self) -> bool:
        """Whether any attempt has not ended."""
        return any([a.in_flight for a in self.attempts])

    def first_that_may_have_run(self) -> Attempt | None:
        """The first attempt that the endpoint may have acted on."""
        return next((a for a in self.attempts if a.may_have_run), None)

    def attempts_at(self, endpoint: Endpoint) -> int:
        """How many attempts have gone to an endpoint."""
        return sum([a.endpoint is endpoint for a in self.attempts]) if self.attempts else 0

    def repeatable_until(self) -> float:
        """The instant from which on what may have run may not run again.

        Endpoints drop a repeat for `dedup_window` seconds, counted from the first attempt that may
        have run. Infinite where nothing has run, or repeating is safe.
        """
        ran = self.first_that_may_have_run()
        if ran is None or self.request_class.effect == "safe":
            return math.inf
        return ran.started_at + self.request_class.dedup_window

    def required_group(self) -> EndpointGroup | None:
        """The zone or cell that a further attempt has to go to, if any.

        Only its endpoints know the idempotency key of what may have run.
        """
        scope = self.request_class.dedup_scope
        if self.request_class.effect != "keyed" or scope == "all":
            return None
        ran = self.first_that_may_have_run()
        return (scope, getattr(ran.endpoint.entry, scope)) if ran else None


class PendingRequests:
    """The pending requests, by id."""

    def __init__(self) -> None:
        self.by_id: dict[str, PendingRequest] = {}

    def end(self, request_id: str) -> None:
        """Nothing more is owed: the client has gone."""
        if request_id in self.by_id:
            self.by_id[request_id].ended = True
            self.forget_if_done(request_id)

    def forget_if_done(self, request_id: str) -> None:
        """Forgets a request that has ended, once none of its attempts is in flight."""
        request = self.by_id[request_id]
        if request.ended and not request.has_attempt_in_flight():
            del self.by_id[request_id]
            request.account.open_requests -= 1

    def attempts_in_flight_since(self, start: float) -> list[Attempt]:
        """Attempts in flight that started after `start`."""
        requests = self.by_id.values()
        return [a for r in requests for a in r.attempts if a.in_flight and a.started_at > start]

    def hanging_attempts(
        self, now: float, factor: float, min_time: float
    ) -> list[tuple[PendingRequest, int]]:
        """Attempts, by request and number, that are in flight for too long.

        That is `factor` times what was expected of them, and `min_time` seconds.
        """
        return [
            (request, number)
            for request in self.by_id.values()
            if not request.ended
            for number, attempt in enumerate(request.attempts)
            if attempt.in_flight
            and now - attempt.started_at > max(factor * attempt.expected_time(), min_time)
        ]

    def work_in_flight(self, endpoints: dict[str, Endpoint]) -> dict[str, float]:
        """Seconds of work that this limiter has in flight at the given endpoints, by their tags."""
        busy = {a.endpoint for r in self.by_id.values() for a in r.attempts if a.in_flight}
        return {e.tag: sum(e.in_flight.values()) for e in busy if endpoints.get(e.entry.name) is e}
