"""Customers of the runs of `engine_fleet`: plans, patterns of use and spikes, drawn from a seed.

Most use a part of their quota, some nearly all of it, and some ask for several times as much, for
seconds or all the time.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from hazelhollow.decisions import interface as api

CLASSES = (
    api.RequestClass(
        "read", latency_objective=5.0, deadline=15.0, priority_weight=2.0, effect="safe"
    ),
    api.RequestClass(
        "check", latency_objective=3.0, deadline=8.0, priority_weight=1.0, effect="safe"
    ),
    api.RequestClass(
        "order",
        latency_objective=4.0,
        deadline=15.0,
        priority_weight=2.0,
        effect="keyed",
        dedup_scope="cell",
        dedup_window=30.0,
    ),
)
PLANS = (
    api.Plan("small", rate=1.0, burst=12.0, excess_cost=0.6),
    api.Plan("middle", rate=3.0, burst=14.0, excess_cost=1.2),
    api.Plan(
        "wide",
        rate=9.0,
        burst=24.0,
        excess_cost=1.2,
        open_limit=8,
        ceiling_rate=18.0,
        ceiling_burst=50.0,
    ),
    api.Plan("partner", rate=18.0, burst=36.0, excess_cost=1.0),
)
# By plan: the price of a unit, and the share of what is used within quotas.
PRICES, PLAN_SHARES = (0.55, 0.8, 1.3, 1.8), (0.2, 0.37, 0.22, 0.21)
CLASS_SHARES = (0.47, 0.44, 0.09)  # of requests, by CLASSES
UNITS = (1, 1, 1, 2, 2, 2, 3, 3, 4, 6)  # of one request; each is drawn as often
MEAN_UNITS = sum(UNITS) / len(UNITS)
SPIKE_FACTOR = 6.0  # of its quota that a customer asks for in a spike
PATTERNS = ("calm", "full", "heavy", "spiky")
PATTERN_WEIGHTS = (0.61, 0.14, 0.09, 0.16)
USE_FACTORS = {"calm": 0.28, "full": 0.97, "heavy": 3.9, "spiky": 0.28}  # of the quota


@dataclass(frozen=True)
class Spikes:
    """Times in which a customer asks for SPIKE_FACTOR of its quota.

    Args:
        first: Seconds from the start of the run.
        interval: Seconds between the begins of two.
        duration: Seconds; 0: there are none.
    """

    first: float = 0.0
    interval: float = 1.0
    duration: float = 0.0

    def is_active(self, seconds: float) -> bool:
        """Whether there is one so many seconds after the start of the run."""
        return self.duration > 0 and (seconds - self.first) % self.interval < self.duration


@dataclass
class Customer:
    """One customer.

    Args:
        name: Its name in requests.
        plan_index: Its plan, of PLANS.
        set_start: The first limiter that its requests come through.
        set_size: How many these are.
        use_factor: Multiple of its quota that it asks for, outside of spikes.
        spikes: When it asks for more.
        weights: How its requests spread over its limiters.
    """

    name: str
    plan_index: int
    set_start: int
    set_size: int
    use_factor: float
    spikes: Spikes
    weights: list[float] = field(default_factory=list)

    @property
    def plan(self) -> api.Plan:
        """Its plan."""
        return PLANS[self.plan_index]

    @property
    def price(self) -> float:
        """What a unit is worth."""
        return PRICES[self.plan_index]

    def rate(self, seconds: float) -> float:
        """Requests a second, so many seconds after the start of the run."""
        factor = SPIKE_FACTOR if self.spikes.is_active(seconds) else self.use_factor
        return self.plan.rate * factor / MEAN_UNITS

    def peak_rate(self) -> float:
        """The highest `rate`."""
        usual = self.plan.rate * self.use_factor / MEAN_UNITS
        return max(
            usual, self.plan.rate * SPIKE_FACTOR / MEAN_UNITS if self.spikes.duration else 0.0
        )

    def choose_limiter(self, draw: random.Random, limiters: int) -> int:
        """The limiter that its next request comes to, of so many."""
        offset = draw.choices(range(self.set_size), self.weights)[0]
        return (self.set_start + offset) % limiters


def draw_customers(draw: random.Random, units_per_s: float, limiters: int) -> Iterator[Customer]:
    """Customers until the units asked for within quotas come to so many a second."""
    for plan_index, share in enumerate(PLAN_SHARES):
        asked = 0.0
        while asked < share * units_per_s:
            pattern = draw.choices(PATTERNS, PATTERN_WEIGHTS)[0]
            yield _draw_customer(draw, plan_index, pattern, limiters)
            asked += PLANS[plan_index].rate * min(1.0, USE_FACTORS[pattern])


def _draw_customer(draw: random.Random, plan_index: int, pattern: str, limiters: int) -> Customer:
    spikes = Spikes()
    if pattern == "spiky":
        spikes = Spikes(draw.uniform(0, 20), draw.uniform(14, 24), draw.uniform(0.8, 4.9))
    set_size = draw.randint(limiters // 2, limiters)
    plan = PLANS[plan_index]
    if plan.ceiling_rate:  # so few limiters that each one's share holds two of the largest requests
        set_size = min(set_size, int(plan.ceiling_burst / (2 * max(UNITS))))
    customer = Customer(
        name=f"{draw.getrandbits(33):016x}",
        plan_index=plan_index,
        set_start=draw.randrange(limiters),
        set_size=set_size,
        use_factor=USE_FACTORS[pattern] * draw.uniform(0.85, 1.15),
        spikes=spikes,
    )
    skew = draw.uniform(0.21, 1.2)
    customer.weights = [(n + 1) ** -skew for n in range(set_size)]
    draw.shuffle(customer.weights)
    return customer
