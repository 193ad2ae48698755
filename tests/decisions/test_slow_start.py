"""Endpoints that are warming up, against a model of one that falls over."""

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
from tests.decisions.helpers import actions_of, answer, ask, endpoint_list, entry, make
from tests.net.scenario import SETTINGS

LARGE_FLEET = 40


def test_an_endpoint_that_is_warming_up_gets_less_than_its_share() -> None:
    engine = make()
    engine.handle(endpoint_list("change", entry("s0", started=99.9)), 100.0)
    counts = dict.fromkeys(("s0", "s1", "s2", "s3"), 0)
    for i in range(200):
        for send in actions_of(ask(engine, 100.0 + i * 0.01, customer=f"{i}"), api.StartAttempt):
            counts[send.endpoint] += 1
            answer(engine, send, 100.0 + i * 0.01)
    warm = (counts["s1"] + counts["s2"] + counts["s3"]) / 3
    assert counts["s0"] <= 0.8 * warm  # four times the cold share may not even be neared


def test_an_endpoint_that_is_warming_up_is_not_pushed_over_by_all_limiters_together() -> None:
    """An endpoint falls over if all limiters of a large fleet send it more than it bears."""
    many = [make(i, limiter_count=100) for i in range(100)]
    for me, engine in enumerate(many):
        engine.handle(
            endpoint_list(
                "full", *(entry(f"s{i}") for i in range(12)), entry("cold", started=99.9)
            ),
            100.0,
        )
        engine.context.random.seed(me)
    chance, counts = random.Random(1), dict.fromkeys([*(f"s{i}" for i in range(12)), "cold"], 0)
    for i in range(2400):  # 8 a second at each of 100 limiters, for three seconds
        engine, now = chance.choice(many), 100.0 + i / 800
        for send in actions_of(ask(engine, now, customer=f"{i}"), api.StartAttempt):
            counts[send.endpoint] += 1
            answer(engine, send, now)
    warm = sum(counts.values()) / 13
    assert counts["cold"] <= 2 * 0.4 * warm  # the fall multiple over the cold share: 4 x 0.2


def test_endpoints_that_are_all_warming_up_are_still_sent_work() -> None:
    engine = make(0, limiter_count=LARGE_FLEET)
    engine.handle(endpoint_list("full", *(entry(f"s{i}", started=99.9) for i in range(9))), 100.0)
    sent = sum(
        len(actions_of(ask(engine, 100.0 + i / 50, customer=f"{i}"), api.StartAttempt))
        for i in range(100)
    )
    assert 0 < sent < 100


def test_many_endpoints_that_are_warming_up_do_not_make_a_choice_dear(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Looking at all endpoints for each cold one took most of the CPU of a fleet of cold ones."""
    told = replace(
        SETTINGS,
        limiter_count=1,
        warm_up_time=14.0,
        warm_up_initial_share=0.2,
        overload_multiple=4.0,
        overload_window=2.0,
    )
    engine, looks, cold = DecisionEngine(told, seed=1), 0, Endpoint.is_warming_up
    engine.handle(
        endpoint_list("full", *(entry(f"s{n}", started=99.0 * (n % 2)) for n in range(80))), 100.0
    )

    def counted(endpoint: Endpoint, now: float, settings: api.Settings) -> bool:
        nonlocal looks
        looks += 1
        return cold(endpoint, now, settings)

    monkeypatch.setattr(Endpoint, "is_warming_up", counted)
    assert actions_of(ask(engine, 100.1, "look", set_size=1, time_left=3.0), api.StartAttempt)
    assert looks <= 3 * 80


def test_an_endpoint_that_turns_warm_counts_as_warm_from_then() -> None:
    told = replace(
        SETTINGS,
        limiter_count=1,
        warm_up_time=14.0,
        warm_up_initial_share=0.2,
        overload_multiple=4.0,
        overload_window=2.0,
    )
    engine = DecisionEngine(told, seed=1)
    engine.handle(endpoint_list("full", entry("old"), entry("new", started=99.0)), 100.0)
    ask(engine, 100.1, "look", set_size=1, time_left=3.0)
    widths = engine.table.warm_concurrency(100.1)
    engine.handle(endpoint_list("change", entry("third")), 100.1)  # in the same moment
    ask(engine, 100.1, "look", set_size=1, time_left=3.0)
    assert engine.table.warm_concurrency(100.1) == 2 * widths > 0


def test_a_window_is_the_sum_of_its_span() -> None:
    window, chance, items = SlidingWindow(2.0), random.Random(3), list[tuple[float, float]]()
    for turn in range(400):
        now, amount = turn * 0.07 + (5.0 if turn > 300 else 0.0), chance.random()
        window.add(now, amount)
        items.append((now, amount))
        assert window.sum(now + 1.0) == pytest.approx(sum(a for at, a in items if at > now - 1.0))
    assert window.sum(1000.0) == 0.0


CLASS = api.RequestClass(
    "look", latency_objective=1.0, deadline=3.0, priority_weight=1.0, effect="safe"
)
FREE = api.Plan("free", rate=1e6, burst=1e6)  # quotas are not what is asked about here
WORK = 0.1  # seconds of a mean request at a warm endpoint
SLOTS = 2  # requests that an endpoint works on at once
CAPACITY = SLOTS / WORK  # requests a second of a warm endpoint
COLD_FOR, COLD_FROM, FALL_MULTIPLE, FALL_TIME = 8.0, 0.25, 2.0, 3.0
START, JOINS, ENDS = 100.0, 106.0, 116.0  # seconds: of the load, of the cold endpoints, and the end
WARM = 8


def share(age: float) -> float:
    """Of a warm endpoint's work, that one of that age can do."""
    return min(1.0, COLD_FROM + (1.0 - COLD_FROM) * age / COLD_FOR)


def allowed(age: float) -> float:
    """Requests within FALL_TIME that an endpoint of that age is sure to bear, N.

    Plus 2 x root of N + 2 for chance.
    """
    expected = FALL_MULTIPLE * share(age) * CAPACITY * FALL_TIME
    return expected + 2.0 * math.sqrt(expected) + 2.0


@dataclass
class Host:
    """A modelled endpoint: first come, first served."""

    started: float = 0.0
    busy: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)
    got: list[float] = field(default_factory=list)  # when requests came


class Fleet:
    def __init__(self, limiters: int, seed: int) -> None:
        self.random, self.now, self.served = random.Random(seed), START, 0
        self.hosts = {f"w{number}": Host() for number in range(WARM)}
        self._serial = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self.gateways = [self._gateway(number, limiters, seed) for number in range(limiters)]

    def _gateway(self, number: int, limiters: int, seed: int) -> DecisionEngine:
        told = api.Settings(
            number,
            limiters,
            (CLASS,),
            (FREE,),
            zone="a",
            max_attempts=3,
            max_units=1.0,
            warm_up_time=COLD_FOR,
            warm_up_initial_share=COLD_FROM,
            overload_multiple=FALL_MULTIPLE,
            overload_window=FALL_TIME,
        )
        one = DecisionEngine(told, seed * 1000 + number)
        one.handle(endpoint_list("full", *(entry(name) for name in self.hosts)), START)
        return one

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._serial), call))

    def load(self, rate: float, until: float) -> None:
        """So many requests a second at all limiters together, by chance, until then."""

        def ask() -> None:
            number = self.random.randrange(len(self.gateways))
            request = api.RequestArrived(
                f"r{next(self._serial)}", "look", "free", "c", 1.0, 3.0, 0, 1
            )
            self.perform(number, self.gateways[number].handle(request, self.now))
            again = self.now + self.random.expovariate(rate)
            if again < until:
                self.at(again, ask)

        self.at(self.now + self.random.expovariate(rate), ask)

    def join(self, count: int) -> None:
        for number in range(count):
            self.hosts[f"c{number}"] = Host(self.now)
        listed = endpoint_list(
            "change", *(entry(f"c{number}", started=self.now) for number in range(count))
        )
        for one in self.gateways:
            one.handle(listed, self.now)

    def perform(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.StartAttempt):
                self._arrive(number, action)

    def _arrive(self, number: int, send: api.StartAttempt) -> None:
        host, came = self.hosts[send.endpoint], self.now
        host.got.append(came)

        def begin() -> None:
            host.busy += 1
            took = self.random.uniform(0.5, 1.5) * WORK
            took /= share(self.now - host.started) if host.started else 1.0
            self.at(self.now + took, end)

        def end() -> None:
            host.busy -= 1
            self.served += 1
            done = api.AttemptEnded(send.id, 0, send.endpoint, "ok", self.now - came, True)
            self.perform(number, self.gateways[number].handle(done, self.now))
            if host.queue:
                host.queue.popleft()()

        if host.busy < SLOTS:
            begin()
        else:
            host.queue.append(begin)

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until


def most_of_allowed(host: Host) -> float:
    """The fullest stretch of FALL_TIME, as a part of what was allowed where it began."""
    worst, first = 0.0, 0
    for last, at in enumerate(host.got):
        while host.got[first] <= at - FALL_TIME:
            first += 1
        age = max(0.0, at - FALL_TIME - host.started)
        worst = max(worst, (last + 1 - first) / allowed(age))
    return worst


def played(limiters: int, cold: int, load: float, seed: int) -> Fleet:
    """A fleet that was run until some time after so many cold endpoints joined.

    `load`: the part of what the warm endpoints can do that is asked for then; before, less.
    """
    fleet = Fleet(limiters, seed)
    fleet.load(0.7 * load * CAPACITY * WARM, JOINS)
    fleet.run(JOINS)
    fleet.join(cold)
    fleet.load(load * CAPACITY * WARM, ENDS)
    fleet.run(ENDS)
    return fleet


def cold_hosts(fleet: Fleet) -> list[Host]:
    return [host for host in fleet.hosts.values() if host.started]


@pytest.mark.parametrize("limiters", [20, 30])
@pytest.mark.parametrize("cold", [1, 4])
@pytest.mark.parametrize("load", [0.5, 0.9])
def test_what_all_limiters_send_an_endpoint_that_is_warming_up_stays_within_what_it_bears(
    limiters: int, cold: int, load: float
) -> None:
    for seed in range(3):
        for host in cold_hosts(played(limiters, cold, load, seed)):
            assert most_of_allowed(host) <= 1.0


@pytest.mark.parametrize(
    ("limiters", "cold", "load"), [(20, 1, 1.2), (30, 4, 1.2), (20, 4, 1.5), (30, 4, 1.5)]
)
def test_nor_under_a_burst_that_the_warm_endpoints_cannot_work_off(
    limiters: int, cold: int, load: float
) -> None:
    """A burst sends the warm endpoints more than they can do.

    It says nothing of what a cold one bears.
    """
    for seed in (100, 101, 103, 107):
        for host in cold_hosts(played(limiters, cold, load, seed)):
            assert most_of_allowed(host) <= 1.0


def test_an_endpoint_that_is_warming_up_is_used_all_the_same() -> None:
    fleet = played(30, 1, 0.9, 1)
    (cold,) = cold_hosts(fleet)
    warm = [
        len([at for at in host.got if at > JOINS])
        for host in fleet.hosts.values()
        if not host.started
    ]
    assert len(cold.got) >= COLD_FROM * sum(warm) / WARM


def test_the_model_falls_over_where_it_is_sent_as_much_as_a_warm_endpoint() -> None:
    """The check above can fail."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(SlowStart, "may_send", lambda slow_start, endpoint, work: True)
        fleets = [played(30, 4, load, seed) for load in (0.9, 1.5) for seed in (1, 101)]
    assert any(most_of_allowed(host) > 1.0 for fleet in fleets for host in cold_hosts(fleet))
