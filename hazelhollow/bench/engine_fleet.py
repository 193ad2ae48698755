"""A fleet of real decision engines in one process and in virtual time.

Customers are drawn by `engine_load`; gossip is delayed or lost; endpoints answer after a random
time. One exact token bucket per limit of a customer, which sees every attempt of all limiters
without delay, measures how well the limit holds.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from hazelhollow.bench.engine_load import (
    CLASS_SHARES,
    CLASSES,
    MEAN_UNITS,
    PLANS,
    UNITS,
    Customer,
    draw_customers,
)
from hazelhollow.bench.virtual_time import Timeline
from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.state.token_bucket import TokenBucket

START = 1_000_000.0  # seconds; a run starts within the second after this time
FIRST_LIST_S = 0.1  # within which limiters receive the endpoint list
GOSSIP_DELAY_S = (0.0019, 0.03)  # one way, drawn uniformly
LEAST_ANSWER_S = 0.005
RETRY_AFTER_S = (0.03, 0.24)  # wait of a client after a rejection, drawn uniformly
RETRIES = 2  # of a request that is rejected
ZONES = "abc"
ENDPOINTS_PER_GROUP = 4


@dataclass(frozen=True)
class FleetOptions:
    """The parameters of a simulation.

    Args:
        limiters: Number of engines.
        units_per_s: Units per second that customers request within their quotas.
        endpoints: Number of endpoints.
        answer_time_s: Mean time in which an endpoint answers a request of mean size.
        gossip_loss: Share of gossip datagrams that are lost.
        gossip_intake_per_s: Datagrams that a limiter accepts per second; further ones are dropped.
        make_engine: Creates an engine from settings and a seed.
        settings: Overrides of the engines' settings, by field.
    """

    limiters: int = 40
    units_per_s: float = 450.0
    endpoints: int = 60
    answer_time_s: float = 0.5
    gossip_loss: float = 0.05
    gossip_intake_per_s: int = 60
    make_engine: Callable[..., DecisionEngine] = DecisionEngine
    settings: Mapping[str, Any] = field(default_factory=dict)


@dataclass
class Figures:
    """The figures of the entire fleet. A value is units times the plan's price.

    Args:
        offered_value: Value of requests within the quotas.
        served_value: Value of attempts within the quotas that were answered.
        excess_value: Excess cost of attempts beyond the quotas.
        attempts: Number of attempts started.
        rejected: Number of rejected requests by reason.
        rejected_with_room: Number of those for which the quota had room, by reason.
        gossip_datagrams: Number of gossip datagrams sent.
        gossip_bytes: Bytes of gossip sent, without headers.
        dropped_datagrams: Gossip datagrams dropped because they exceeded a limiter's intake.
        lowest_ceiling: The lowest level of any hard ceiling's bucket; negative after an overshoot.
    """

    offered_value: float = 0.0
    served_value: float = 0.0
    excess_value: float = 0.0
    attempts: int = 0
    rejected: Counter[str] = field(default_factory=Counter)
    rejected_with_room: Counter[str] = field(default_factory=Counter)
    gossip_datagrams: int = 0
    gossip_bytes: int = 0
    dropped_datagrams: int = 0
    lowest_ceiling: float = 0.0


@dataclass(frozen=True)
class _Request:
    customer: Customer
    units: int
    retries_left: int


@dataclass(frozen=True)
class _Attempt:
    limiter: int
    engine: DecisionEngine
    action: api.StartAttempt
    request: _Request
    status: api.Status
    elapsed: float
    is_within_quota: bool


class EngineFleet:
    """Engines, their customers and endpoints. The same seed gives the same run.

    Args:
        seed: Seed of all draws.
        options: The parameters of the simulation.
    """

    def __init__(self, seed: int, options: FleetOptions | None = None) -> None:
        self.options = options = options or FleetOptions()
        self.random = random.Random(seed)
        self.figures = Figures()
        self._start = START + self.random.random()
        self.timeline = Timeline(self._start)
        self.endpoints = [
            api.EndpointEntry(f"s{n}", "up", ZONES[n % len(ZONES)], n // ENDPOINTS_PER_GROUP, 1.0)
            for n in range(options.endpoints)
        ]
        self.engines = [self._make_engine(number) for number in range(options.limiters)]
        self._received_at: list[list[float]] = [[] for _ in range(options.limiters)]
        self._customers = list(draw_customers(self.random, options.units_per_s, options.limiters))
        # `_quotas` counts the attempts sent to endpoints, `_offered` the requests clients make.
        self._quotas = {customer.name: self._quota(customer) for customer in self._customers}
        self._offered = {customer.name: self._quota(customer) for customer in self._customers}
        self._ceilings = {customer.name: self._ceiling(customer) for customer in self._customers}
        self._open_attempts: Counter[str] = Counter()  # by customer
        self._requests: dict[str, _Request] = {}

    def _quota(self, customer: Customer) -> TokenBucket:
        plan = customer.plan
        return TokenBucket(plan.rate, plan.burst, plan.burst, self._start)

    def _ceiling(self, customer: Customer) -> TokenBucket:
        plan = customer.plan
        return TokenBucket(plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_burst, self._start)

    def _make_engine(self, number: int) -> DecisionEngine:
        values: dict[str, Any] = dict(
            limiter_id=number,
            limiter_count=self.options.limiters,
            classes=CLASSES,
            plans=PLANS,
            zone=ZONES[number % len(ZONES)],
            max_units=6.0,
            max_attempts=6,
            peers=True,
            gossip_messages_per_s=float(self.options.gossip_intake_per_s),
            max_retry_after=1.0,
            warm_up_time=10.0,
            warm_up_initial_share=0.35,
            overload_multiple=2.0,
            overload_window=3.0,
            cancellation=True,
            hedging=True,
        )
        settings = api.Settings(**{**values, **self.options.settings})
        engine = self.options.make_engine(settings, seed=self.random.randrange(1 << 30))
        list_at = self._start + self.random.uniform(0.0, FIRST_LIST_S)
        self.timeline.at(list_at, self.send_endpoint_list, number)
        return engine

    def send_endpoint_list(self, number: int) -> None:
        """Sends the endpoint list to an engine."""
        self.handle(number, api.EndpointsUpdated("cached", tuple(self.endpoints)))

    def simulate(self, seconds: float) -> Figures:
        """Runs for this many seconds, excluding events due exactly at the end."""
        timeline = self.timeline
        end = timeline.now + seconds
        for customer in self._customers:
            self._schedule_request(customer)
        while timeline.next_at() < end:
            timeline.run_next()
        timeline.now = end
        return self.figures

    # Clients

    def _schedule_request(self, customer: Customer) -> None:
        interval = self.random.expovariate(customer.peak_rate())
        self.timeline.at(self.timeline.now + interval, self._arrive, customer)

    def _arrive(self, customer: Customer) -> None:
        """Handles a Poisson arrival: drawn at the peak rate and thinned to the current rate."""
        now, rate = self.timeline.now, customer.rate(self.timeline.now - self._start)
        if self.random.random() * customer.peak_rate() < rate:
            units = self.random.choice(UNITS)
            offered = self._offered[customer.name]
            if offered.refill(now) >= units:
                offered.level -= units
                self.figures.offered_value += units * customer.price
            self._request(_Request(customer, units, RETRIES))
        self._schedule_request(customer)

    def _request(self, request: _Request) -> None:
        customer = request.customer
        limiter = customer.choose_limiter(self.random, self.options.limiters)
        request_id = f"r{self.timeline.next_serial()}"
        request_class = self.random.choices(CLASSES, CLASS_SHARES)[0]
        self._requests[request_id] = request
        event = api.RequestArrived(
            request_id,
            request_class.name,
            customer.plan.name,
            customer.name,
            float(request.units),
            request_class.deadline,
            customer.set_start,
            customer.set_size,
        )
        self.handle(limiter, event)

    # Engines

    def handle(self, number: int, event: api.Event) -> None:
        """Passes an event to an engine and performs the resulting actions."""
        for action in self.engines[number].handle(event, self.timeline.now):
            if isinstance(action, api.SendGossip):
                self._send_gossip(number, action)
            elif isinstance(action, api.SetTimer):
                timer_at = self.timeline.now + action.delay
                self.timeline.at(timer_at, self._fire, number, self.engines[number], action.name)
            elif isinstance(action, api.StartAttempt):
                self._start_attempt(number, action)
            elif isinstance(action, api.RejectRequest):
                self._reject(action)

    def _fire(self, number: int, engine: DecisionEngine, name: str) -> None:
        if self.engines[number] is engine:
            self.handle(number, api.TimerFired(name))

    def _send_gossip(self, sender: int, action: api.SendGossip) -> None:
        self.figures.gossip_datagrams += 1
        self.figures.gossip_bytes += len(action.text)
        if self.random.random() < self.options.gossip_loss:
            return
        arrives_at = self.timeline.now + self.random.uniform(*GOSSIP_DELAY_S)
        self.timeline.at(arrives_at, self._receive_gossip, sender, action)

    def _receive_gossip(self, sender: int, action: api.SendGossip) -> None:
        now, receiver = self.timeline.now, action.limiter_id
        recent = [at for at in self._received_at[receiver] if at > now - 1.0]
        self._received_at[receiver] = recent
        if len(recent) >= self.options.gossip_intake_per_s:
            self.figures.dropped_datagrams += 1
            return
        recent.append(now)
        self.handle(receiver, api.GossipReceived(sender, action.text))

    # Endpoints

    def _start_attempt(self, number: int, action: api.StartAttempt) -> None:
        request = self._requests.get(action.id)
        if request is None:
            return
        customer, units = request.customer, request.units
        self.figures.attempts += 1
        is_within_quota = self._has_room(request)
        if is_within_quota:
            self._quotas[customer.name].level -= units
        else:
            self.figures.excess_value += units * customer.price * customer.plan.excess_cost
        if customer.plan.ceiling_rate:
            ceiling = self._ceilings[customer.name]
            ceiling.refill(self.timeline.now)
            ceiling.level -= units
            self.figures.lowest_ceiling = min(self.figures.lowest_ceiling, ceiling.level)
        self._open_attempts[customer.name] += 1
        status, elapsed = self.answer(action.endpoint, units)
        attempt = _Attempt(
            number, self.engines[number], action, request, status, elapsed, is_within_quota
        )
        self.timeline.at(self.timeline.now + elapsed, self._end_attempt, attempt)

    def _has_room(self, request: _Request) -> bool:
        """Whether a single limiter with all traffic would charge this request within the quota."""
        customer = request.customer
        open_limit = customer.plan.open_limit
        return self._quotas[customer.name].refill(self.timeline.now) >= request.units and not (
            open_limit and self._open_attempts[customer.name] >= open_limit
        )

    def answer(self, _endpoint: str, units: int) -> tuple[api.Status, float]:
        """Returns the result of an attempt and the seconds until it ends."""
        mean = self.options.answer_time_s * units / MEAN_UNITS
        return "ok", self.random.expovariate(1 / mean) + LEAST_ANSWER_S

    def _end_attempt(self, attempt: _Attempt) -> None:
        customer, action = attempt.request.customer, attempt.action
        self._open_attempts[customer.name] -= 1
        self._requests.pop(action.id, None)
        if attempt.is_within_quota and attempt.status == "ok":
            self.figures.served_value += attempt.request.units * customer.price
        if self.engines[attempt.limiter] is attempt.engine:
            self.handle(
                attempt.limiter,
                api.AttemptEnded(
                    action.id,
                    0,
                    action.endpoint,
                    attempt.status,
                    attempt.elapsed,
                    final=attempt.status == "ok",
                ),
            )

    def _reject(self, action: api.RejectRequest) -> None:
        request = self._requests.pop(action.id, None)
        if request is None:
            return
        self.figures.rejected[action.reason] += 1
        if self._has_room(request):
            self.figures.rejected_with_room[action.reason] += 1
        if request.retries_left:
            retry_at = self.timeline.now + self.random.uniform(*RETRY_AFTER_S)
            retry = _Request(request.customer, request.units, request.retries_left - 1)
            self.timeline.at(retry_at, self._request, retry)
