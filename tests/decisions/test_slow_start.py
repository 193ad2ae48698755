"""Slow start, tested against a model of an endpoint that fails when overloaded."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from hazelhollow.decisions import interface as api
from hazelhollow.decisions.engine import DecisionEngine
from hazelhollow.decisions.slow_start import SlowStart
from hazelhollow.decisions.state.endpoint import Endpoint
from hazelhollow.decisions.state.sliding_window import SlidingWindow
from tests.decisions.helpers import actions_of, answer, ask, endpoint_list, entry, make_engine
from tests.net.scenario import SETTINGS

LARGE_FLEET = 40


def test_warming_endpoint_gets_less_work_than_a_warm_one() -> None:
    engine = make_engine()
    engine.handle(endpoint_list("change", entry("s0", started=99.9)), 100.0)
    counts = dict.fromkeys(("s0", "s1", "s2", "s3"), 0)
    for i in range(200):
        for send in actions_of(ask(engine, 100.0 + i * 0.01, customer=f"{i}"), api.StartAttempt):
            counts[send.endpoint] += 1
            answer(engine, send, 100.0 + i * 0.01)
    warm = (counts["s1"] + counts["s2"] + counts["s3"]) / 3
    # 0.8 is the overload multiple (4) times the initial share (0.2), which must not even be reached
    assert counts["s0"] <= 0.8 * warm


def test_large_fleet_together_does_not_overload_a_warming_endpoint() -> None:
    """An endpoint fails if all limiters of a large fleet together send it too much work."""
    engines = [make_engine(i, limiter_count=100) for i in range(100)]
    for engine_number, engine in enumerate(engines):
        engine.handle(
            endpoint_list(
                "full", *(entry(f"s{i}") for i in range(12)), entry("cold", started=99.9)
            ),
            100.0,
        )
        engine.context.random.seed(engine_number)
    rng, counts = random.Random(1), dict.fromkeys([*(f"s{i}" for i in range(12)), "cold"], 0)
    for i in range(2400):  # 8 per second at each of 100 limiters, for three seconds
        engine, now = rng.choice(engines), 100.0 + i / 800
        for send in actions_of(ask(engine, now, customer=f"{i}"), api.StartAttempt):
            counts[send.endpoint] += 1
            answer(engine, send, now)
    warm = sum(counts.values()) / 13
    # the overload multiple times the initial share is 4 x 0.2
    assert counts["cold"] <= 2 * 0.4 * warm


def test_endpoints_get_work_if_all_are_warming_up() -> None:
    engine = make_engine(0, limiter_count=LARGE_FLEET)
    engine.handle(endpoint_list("full", *(entry(f"s{i}", started=99.9) for i in range(9))), 100.0)
    sent = sum(
        len(actions_of(ask(engine, 100.0 + i / 50, customer=f"{i}"), api.StartAttempt))
        for i in range(100)
    )
    assert 0 < sent < 100


def test_many_warming_endpoints_do_not_make_selection_expensive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Iterating over all endpoints for each cold one used most of the CPU if many were cold."""
    engine_settings = replace(
        SETTINGS,
        limiter_count=1,
        warm_up_time=14.0,
        warm_up_initial_share=0.2,
        overload_multiple=4.0,
        overload_window=2.0,
    )
    engine, calls, original = DecisionEngine(engine_settings, seed=1), 0, Endpoint.is_warming_up
    engine.handle(
        endpoint_list("full", *(entry(f"s{n}", started=99.0 * (n % 2)) for n in range(80))), 100.0
    )

    def counted(endpoint: Endpoint, now: float, settings: api.Settings) -> bool:
        nonlocal calls
        calls += 1
        return original(endpoint, now, settings)

    monkeypatch.setattr(Endpoint, "is_warming_up", counted)
    assert actions_of(ask(engine, 100.1, "look", set_size=1, time_left=3.0), api.StartAttempt)
    assert calls <= 3 * 80


def test_newly_listed_warm_endpoint_counts_as_warm_at_once() -> None:
    engine_settings = replace(
        SETTINGS,
        limiter_count=1,
        warm_up_time=14.0,
        warm_up_initial_share=0.2,
        overload_multiple=4.0,
        overload_window=2.0,
    )
    engine = DecisionEngine(engine_settings, seed=1)
    engine.handle(endpoint_list("full", entry("old"), entry("new", started=99.0)), 100.0)
    ask(engine, 100.1, "look", set_size=1, time_left=3.0)
    concurrency = engine.table.warm_concurrency(100.1)
    engine.handle(endpoint_list("change", entry("third")), 100.1)  # at the same time
    ask(engine, 100.1, "look", set_size=1, time_left=3.0)
    assert engine.table.warm_concurrency(100.1) == 2 * concurrency > 0


def test_sliding_window_sums_the_amounts_within_its_span() -> None:
    window, rng, items = SlidingWindow(2.0), random.Random(3), list[tuple[float, float]]()
    for turn in range(400):
        now, amount = turn * 0.07 + (5.0 if turn > 300 else 0.0), rng.random()
        window.add(now, amount)
        items.append((now, amount))
        assert window.sum(now + 1.0) == pytest.approx(sum(a for at, a in items if at > now - 1.0))
    assert window.sum(1000.0) == 0.0


CLASS = api.RequestClass(
    "look", latency_objective=1.0, deadline=3.0, priority_weight=1.0, effect="safe"
)
FREE = api.Plan("free", rate=1e6, burst=1e6)  # quotas must not limit these tests
WORK = 0.1  # seconds that a mean request takes at a warm endpoint
SLOTS = 2  # requests that an endpoint executes concurrently
CAPACITY = SLOTS / WORK  # requests per second of a warm endpoint
WARM_UP_TIME, INITIAL_SHARE, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW = 8.0, 0.25, 2.0, 3.0
# Times in seconds: the start of the load, the addition of cold endpoints, and the end.
START, JOIN, END = 100.0, 106.0, 116.0
WARM_COUNT = 8


def share(age: float) -> float:
    """Returns the share of a warm endpoint's work that an endpoint of that age can do."""
    return min(1.0, INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age / WARM_UP_TIME)


def request_limit(age: float) -> float:
    """Returns the requests within OVERLOAD_WINDOW that an endpoint of that age must tolerate.

    This is the expected number N, plus 2 * sqrt(N) + 2 for random variation.
    """
    expected = OVERLOAD_MULTIPLE * share(age) * CAPACITY * OVERLOAD_WINDOW
    return expected + 2.0 * math.sqrt(expected) + 2.0


@dataclass
class ModelEndpoint:
    """A model of an endpoint that executes requests in order of arrival."""

    started: float = 0.0
    busy: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)
    arrivals: list[float] = field(default_factory=list)  # times of arrival of requests


class Fleet:
    def __init__(self, limiters: int, seed: int) -> None:
        self.random, self.now, self.served = random.Random(seed), START, 0
        self.model_endpoints = {f"w{number}": ModelEndpoint() for number in range(WARM_COUNT)}
        self._serial = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self.fleet_engines = [
            self._create_engine(number, limiters, seed) for number in range(limiters)
        ]

    def _create_engine(self, number: int, limiters: int, seed: int) -> DecisionEngine:
        engine_settings = api.Settings(
            number,
            limiters,
            (CLASS,),
            (FREE,),
            zone="a",
            max_attempts=3,
            max_units=1.0,
            warm_up_time=WARM_UP_TIME,
            warm_up_initial_share=INITIAL_SHARE,
            overload_multiple=OVERLOAD_MULTIPLE,
            overload_window=OVERLOAD_WINDOW,
        )
        fleet_engine = DecisionEngine(engine_settings, seed * 1000 + number)
        fleet_engine.handle(
            endpoint_list("full", *(entry(name) for name in self.model_endpoints)), START
        )
        return fleet_engine

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._serial), call))

    def load(self, rate: float, until: float) -> None:
        """Sends `rate` requests per second to random limiters at random times until `until`."""

        def ask() -> None:
            number = self.random.randrange(len(self.fleet_engines))
            request = api.RequestArrived(
                f"r{next(self._serial)}", "look", "free", "c", 1.0, 3.0, 0, 1
            )
            self.perform(number, self.fleet_engines[number].handle(request, self.now))
            again = self.now + self.random.expovariate(rate)
            if again < until:
                self.at(again, ask)

        self.at(self.now + self.random.expovariate(rate), ask)

    def join(self, count: int) -> None:
        for number in range(count):
            self.model_endpoints[f"c{number}"] = ModelEndpoint(self.now)
        list_change = endpoint_list(
            "change", *(entry(f"c{number}", started=self.now) for number in range(count))
        )
        for fleet_engine in self.fleet_engines:
            fleet_engine.handle(list_change, self.now)

    def perform(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.StartAttempt):
                self._arrive(number, action)

    def _arrive(self, number: int, send: api.StartAttempt) -> None:
        model_endpoint, arrived_at = self.model_endpoints[send.endpoint], self.now
        model_endpoint.arrivals.append(arrived_at)

        def begin() -> None:
            model_endpoint.busy += 1
            duration = self.random.uniform(0.5, 1.5) * WORK
            duration /= share(self.now - model_endpoint.started) if model_endpoint.started else 1.0
            self.at(self.now + duration, end)

        def end() -> None:
            model_endpoint.busy -= 1
            self.served += 1
            event = api.AttemptEnded(send.id, 0, send.endpoint, "ok", self.now - arrived_at, True)
            self.perform(number, self.fleet_engines[number].handle(event, self.now))
            if model_endpoint.queue:
                model_endpoint.queue.popleft()()

        if model_endpoint.busy < SLOTS:
            begin()
        else:
            model_endpoint.queue.append(begin)

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until


def highest_relative_load(model_endpoint: ModelEndpoint) -> float:
    """Returns the highest load in any OVERLOAD_WINDOW, relative to the limit at its start."""
    worst, first = 0.0, 0
    for last, at in enumerate(model_endpoint.arrivals):
        while model_endpoint.arrivals[first] <= at - OVERLOAD_WINDOW:
            first += 1
        age = max(0.0, at - OVERLOAD_WINDOW - model_endpoint.started)
        worst = max(worst, (last + 1 - first) / request_limit(age))
    return worst


def run_fleet(limiters: int, cold: int, load: float, seed: int) -> Fleet:
    """Runs a fleet until END, with `cold` cold endpoints added at JOIN.

    `load` is the load after JOIN, relative to the capacity of the warm endpoints; before JOIN the
    load is 0.7 times as high.
    """
    fleet = Fleet(limiters, seed)
    fleet.load(0.7 * load * CAPACITY * WARM_COUNT, JOIN)
    fleet.run(JOIN)
    fleet.join(cold)
    fleet.load(load * CAPACITY * WARM_COUNT, END)
    fleet.run(END)
    return fleet


def cold_endpoints(fleet: Fleet) -> list[ModelEndpoint]:
    return [
        model_endpoint
        for model_endpoint in fleet.model_endpoints.values()
        if model_endpoint.started
    ]


@pytest.mark.parametrize("limiters", [20, 30])
@pytest.mark.parametrize("cold", [1, 4])
@pytest.mark.parametrize("load", [0.5, 0.9])
def test_load_on_a_warming_endpoint_stays_within_its_limit(
    limiters: int, cold: int, load: float
) -> None:
    for seed in range(3):
        for model_endpoint in cold_endpoints(run_fleet(limiters, cold, load, seed)):
            assert highest_relative_load(model_endpoint) <= 1.0


@pytest.mark.parametrize(
    ("limiters", "cold", "load"), [(20, 1, 1.2), (30, 4, 1.2), (20, 4, 1.5), (30, 4, 1.5)]
)
def test_load_on_a_warming_endpoint_stays_within_its_limit_in_a_burst(
    limiters: int, cold: int, load: float
) -> None:
    """A burst exceeds the capacity of the warm endpoints.

    The load sent to them must not raise what is sent to a cold one above its limit.
    """
    for seed in (100, 101, 103, 107):
        for model_endpoint in cold_endpoints(run_fleet(limiters, cold, load, seed)):
            assert highest_relative_load(model_endpoint) <= 1.0


def test_warming_endpoint_gets_at_least_its_initial_share() -> None:
    fleet = run_fleet(30, 1, 0.9, 1)
    (cold,) = cold_endpoints(fleet)
    warm = [
        len([at for at in model_endpoint.arrivals if at > JOIN])
        for model_endpoint in fleet.model_endpoints.values()
        if not model_endpoint.started
    ]
    assert len(cold.arrivals) >= INITIAL_SHARE * sum(warm) / WARM_COUNT


def test_without_slow_start_the_load_limit_is_exceeded() -> None:
    """This shows that the load checks above can fail."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(SlowStart, "may_send", lambda slow_start, endpoint, work: True)
        fleets = [run_fleet(30, 4, load, seed) for load in (0.9, 1.5) for seed in (1, 101)]
    assert any(
        highest_relative_load(model_endpoint) > 1.0
        for fleet in fleets
        for model_endpoint in cold_endpoints(fleet)
    )
