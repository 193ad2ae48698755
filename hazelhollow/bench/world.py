"""A limiter site in virtual time: limiters, their shared store, and clients with month-end load.

`store` builds one site per run, injects faults into it and reads its request log.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from hazelhollow.bench import load
from hazelhollow.bench.simulated_limiter import SimulatedLimiter, Site
from hazelhollow.bench.simulated_store import SimulatedStore
from hazelhollow.bench.virtual_time import Timeline
from hazelhollow.decisions import interface as api
from hazelhollow.operator.settings import StoreSettings
from hazelhollow.standins.redis.node import Node

START = 1_800_000_000.0  # seconds; the initial time of each run
WARM_UP_S = 8.0  # customers stay calm while limiters and the store first see them
LOAD_AFTER_S = 1.0  # so that all limiters are up before the first request
START_INTERVAL_S = 0.05  # between the start times of limiters
START_SLOTS = 10  # distinct start times; further limiters use them again
RETRY_DELAY_S = 0.002  # network delay of a retry, in addition to the client's wait
# With uneven load: the share of a customer's requests through one limiter, and through all others.
DOMINANT_SHARE, OTHERS_SHARE = 0.9, 0.1


@dataclass
class RequestLog:
    """The requests of a run, as clients see them.

    Args:
        requests: Number of requests and retries that reached a limiter.
        on_request: Called with each arrival and whether the limiter admitted it.
    """

    requests: int = 0
    on_request: Callable[[load.Arrival, bool], None] | None = None


@dataclass(frozen=True)
class SiteOptions:
    """The parameters of a run.

    Args:
        seed: Seed of all draws; the load does not depend on the store's behaviour.
        limiters: Number of limiters.
        seconds: Duration of the load.
        store_settings: The operator's settings of the store; None if there is no store.
        make_node: Creates the stand-in for the store, given a clock.
        uneven: Whether most requests of a customer arrive at one limiter.
    """

    seed: int
    limiters: int
    seconds: float
    store_settings: StoreSettings | None
    make_node: Callable[[Callable[[], float]], Node]
    uneven: bool = False


@dataclass
class _Client:
    """The random generator and the remaining arrivals of one customer."""

    draw: random.Random
    arrivals: Iterator[load.Arrival] = field(repr=False)


class LimiterSite:
    """All limiters, the store and the clients of one run."""

    def __init__(self, options: SiteOptions) -> None:
        self.options, self.log = options, RequestLog()
        self.timeline = timeline = Timeline(START)
        # A generator of its own, so that the load does not depend on the store's behaviour.
        draw = random.Random(f"load {options.seed}")
        self.plans = load.draw_plans(draw)
        store = None
        if options.store_settings:
            store = SimulatedStore(timeline, options.make_node(lambda: timeline.now))
        self.limiters: list[SimulatedLimiter] = []
        site = Site(
            timeline, random.Random(options.seed), store, options.store_settings, self.limiters
        )
        for number in range(options.limiters):
            limiter = SimulatedLimiter(site, self._settings(number))
            self.limiters.append(limiter)
            timeline.at(START + START_INTERVAL_S * (number % START_SLOTS), limiter.start)
        self.customers = load.draw_customers(
            draw, self.plans, load.LoadSettings(options.limiters, START, options.seconds)
        )
        for customer in self.customers:
            customer.calm_until = START + WARM_UP_S
        for customer in self.customers if options.uneven else ():
            others = customer.set_size - 1
            small_share = OTHERS_SHARE / max(others, 1)
            customer.weights = [DOMINANT_SHARE] + [small_share] * others
            draw.shuffle(customer.weights)
        self._draw = draw
        self._request_ids = 0

    def _settings(self, number: int) -> api.Settings:
        return api.Settings(
            number,
            self.options.limiters,
            load.CLASSES,
            self.plans,
            zone="a",
            max_units=max(load.UNITS),
            max_attempts=3,
            peers=True,
            max_retry_after=1.0,
        )

    def run(self) -> RequestLog:
        """Runs the load from start to end and returns the request log."""
        begin, seconds = START + LOAD_AFTER_S, self.options.seconds
        for customer in self.customers:
            draw = random.Random(f"{customer.id} {self._draw.random()}")
            arrivals = load.arrivals(draw, customer, begin, seconds)
            self._schedule_next(_Client(draw, arrivals))
        self.timeline.run_until(begin + seconds)
        return self.log

    def _schedule_next(self, client: _Client) -> None:
        arrival = next(client.arrivals, None)
        if arrival:
            self.timeline.at(arrival.at, self._arrive, client, arrival)

    def _arrive(self, client: _Client, arrival: load.Arrival) -> None:
        self._schedule_next(client)
        self._attempt(client, arrival, 0)

    def _attempt(self, client: _Client, arrival: load.Arrival, retries: int) -> None:
        customer, draw = arrival.customer, client.draw
        limiter = self.limiters[
            customer.choose_limiter(draw, self.timeline.now, self.options.limiters)
        ]
        is_reachable = not (limiter.is_down or limiter.is_paused)
        admitted = is_reachable and self._request(limiter, arrival)
        if not admitted and retries < load.RETRIES:
            retry_at = self.timeline.now + draw.choice(load.RETRY_AFTER_S) + RETRY_DELAY_S
            self.timeline.at(retry_at, self._attempt, client, arrival, retries + 1)

    def _request(self, limiter: SimulatedLimiter, arrival: load.Arrival) -> bool:
        self._request_ids += 1
        customer = arrival.customer
        request_class = next(c for c in load.CLASSES if c.name == arrival.class_name)
        request = api.RequestArrived(
            f"r{self._request_ids}",
            request_class.name,
            customer.plan.name,
            customer.id,
            arrival.units,
            request_class.deadline,
            customer.set_start,
            customer.set_size,
        )
        self.log.requests += 1
        actions = limiter.handle(request)
        admitted = any(isinstance(a, api.StartAttempt) and a.id == request.id for a in actions)
        if self.log.on_request:
            self.log.on_request(arrival, admitted)
        return admitted

    def store_calls(self) -> float:
        """Returns the number of calls to the store, over all incarnations of all limiters."""
        return sum(limiter.store_calls() for limiter in self.limiters)
