"""Month-end load: customers, their ways of asking, and the arrivals drawn ahead from a seed.

The ranges are those that the operators state for their site: shares of use by plan, rates and
bursts, how many customers are calm, near their quota, heavy or spiky, and how their requests shift
between their limiters.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from hazelhollow.decisions import interface as api

CLASSES = (
    api.RequestClass(
        "schedule-read", latency_objective=1.0, deadline=3.0, priority_weight=2.0, effect="safe"
    ),
    api.RequestClass(
        "stock-check", latency_objective=0.6, deadline=1.5, priority_weight=1.0, effect="safe"
    ),
    api.RequestClass(
        "order-place",
        latency_objective=0.75,
        deadline=3.0,
        priority_weight=2.0,
        effect="keyed",
        dedup_scope="cell",
        dedup_window=6.0,
    ),
)
SHARES = (0.47, 0.44, 0.09)
UNITS = (1.0, 2.0, 3.0, 4.0, 5.0, 6.0)
UNIT_WEIGHTS = (8, 5, 3, 2, 1, 1)
MEAN_UNITS = sum(u * w for u, w in zip(UNITS, UNIT_WEIGHTS, strict=True)) / sum(UNIT_WEIGHTS)
INSIDE_PER_S = 220.0  # requests inside the quotas, all customers
CALM = 0.3  # of its quota, before the rush
RETRIES = 2
RETRY_AFTER = (0.0, 0.2)  # seconds: clients ask again at once or after a short fixed wait


@dataclass(frozen=True)
class PlanRange:
    name: str
    use: float  # share of what is used inside quotas
    rate: tuple[float, float]
    burst_s: tuple[float, float]
    ceiling: tuple[float, float] = (0.0, 0.0)


RANGES = (
    PlanRange("pieni", 0.20, (1.6, 2.8), (3.3, 5.0)),
    PlanRange("perus", 0.37, (5.3, 9.2), (3.3, 4.9)),
    PlanRange("laaja", 0.22, (16.0, 28.0), (1.5, 2.7), (1.6, 2.1)),
    PlanRange("kumppani", 0.21, (41.0, 71.0), (1.3, 2.3)),
)


def draw_plans(chance: random.Random) -> tuple[api.Plan, ...]:
    plans = []
    for span in RANGES:
        rate = chance.uniform(*span.rate)
        burst, times = rate * chance.uniform(*span.burst_s), chance.uniform(*span.ceiling)
        plans.append(
            api.Plan(
                span.name,
                rate,
                burst,
                excess_cost=1.2,
                ceiling_rate=times * rate,
                ceiling_burst=times * burst,
            )
        )
    return tuple(plans)


@dataclass
class Customer:
    """One partner: its set of limiters, its way of asking and the weights of its limiters now."""

    id: str
    plan: api.Plan
    first: int
    spread: int
    way: str
    times: float  # its quota that it asks for, on the mean
    spikes: list[tuple[float, float, float]]  # from, to, times its quota
    weights: list[float]
    shift_every: float
    skew: float
    shifted_at: float = 0.0
    calm_until: float = 0.0

    def rate(self, now: float) -> float:
        """Units a second.

        Until `calm_until` every customer is calm: the fleet has been serving before the rush.
        """
        if now < self.calm_until:
            return self.plan.rate * min(self.times, CALM)
        spike = max([times for begin, end, times in self.spikes if begin <= now < end], default=0.0)
        return self.plan.rate * max(self.times, spike)

    def limiter(self, chance: random.Random, now: float, gateways: int) -> int:
        if now - self.shifted_at >= self.shift_every:
            self.shifted_at = now
            chance.shuffle(self.weights)
        return (self.first + chance.choices(range(self.spread), self.weights)[0]) % gateways


def draw_customers(
    chance: random.Random, plans: tuple[api.Plan, ...], gateways: int, seconds: float, start: float
) -> list[Customer]:
    """As many of each plan as make up its share of the use.

    With more limiters than three, as many more customers.
    """
    found = list[Customer]()
    for plan, span in zip(plans, RANGES, strict=True):
        left = INSIDE_PER_S * MEAN_UNITS * span.use * max(gateways / 3, 1.0)
        while left > 0:
            customer = _draw_customer(chance, plan, gateways, seconds, start, len(found))
            left -= plan.rate * min(customer.times, 1.0)
            found.append(customer)
    return found


def _draw_customer(
    chance: random.Random, plan: api.Plan, gateways: int, seconds: float, start: float, number: int
) -> Customer:
    way = chance.choices(("calm", "full", "heavy", "spiky"), (0.62, 0.13, 0.09, 0.16))[0]
    times = {
        "calm": chance.uniform(0.18, 0.39),
        "full": chance.uniform(0.9, 1.05),
        "heavy": chance.uniform(3.1, 4.7),
        "spiky": chance.uniform(0.18, 0.39),
    }[way]
    spikes = []
    at = start + chance.uniform(0.0, 14.0)
    while way == "spiky" and at < start + seconds:
        spikes.append((at, at + chance.uniform(0.8, 4.9), chance.uniform(4.8, 7.9)))
        at += chance.uniform(14.0, 24.0)
    spread = min(chance.randint(2, 4), gateways)
    skew = chance.uniform(0.21, 1.2)
    weights = [1.0 / (n + 1) ** skew for n in range(spread)]
    chance.shuffle(weights)
    return Customer(
        f"{number:016x}",
        plan,
        chance.randrange(gateways),
        spread,
        way,
        times,
        spikes,
        weights,
        chance.uniform(8.4, 18.0),
        skew,
        start + chance.uniform(-8.0, 0.0),
    )


@dataclass(frozen=True)
class Arrival:
    at: float
    customer: Customer
    kind: str
    units: float


def arrivals(
    chance: random.Random, customer: Customer, start: float, seconds: float
) -> Iterator[Arrival]:
    """Poisson at the customer's rate of the moment, by thinning."""
    most = (
        max([customer.times, *[times for *_, times in customer.spikes]])
        * customer.plan.rate
        / MEAN_UNITS
    )
    at = start
    while True:
        at += chance.expovariate(most)
        if at >= start + seconds:
            return
        if chance.random() * most * MEAN_UNITS < customer.rate(at):
            kind = chance.choices(CLASSES, SHARES)[0].name
            yield Arrival(at, customer, kind, chance.choices(UNITS, UNIT_WEIGHTS)[0])
