"""Customers for `engine_fleet`: plans, usage patterns and spikes, drawn from a seed.

Most customers use a part of their quota and some nearly all of it; others request several times
their quota, either in spikes of a few seconds or permanently.
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
# By plan: the price of a unit, and the share of the units used within quotas.
PRICES, PLAN_SHARES = (0.55, 0.8, 1.3, 1.8), (0.2, 0.37, 0.22, 0.21)
CLASS_SHARES = (0.47, 0.44, 0.09)  # of requests, by CLASSES
UNITS = (1, 1, 1, 2, 2, 2, 3, 3, 4, 6)  # of one request; each entry is equally likely
MEAN_UNITS = sum(UNITS) / len(UNITS)
SPIKE_FACTOR = 6.0  # multiple of its quota that a customer requests in a spike
PATTERNS = ("calm", "full", "heavy", "spiky")
PATTERN_WEIGHTS = (0.61, 0.14, 0.09, 0.16)
USE_FACTORS = {"calm": 0.28, "full": 0.97, "heavy": 3.9, "spiky": 0.28}  # multiples of the quota


@dataclass(frozen=True)
class Spikes:
    """Times in which a customer requests SPIKE_FACTOR times its quota.

    Args:
        first: Seconds from the start of the run to the first spike.
        interval: Seconds between the starts of two spikes.
        duration: Seconds that a spike lasts; 0 if there are none.
    """

    first: float = 0.0
    interval: float = 1.0
    duration: float = 0.0

    def is_active(self, seconds: float) -> bool:
        """Whether there is a spike this many seconds after the start of the run."""
        return self.duration > 0 and (seconds - self.first) % self.interval < self.duration


@dataclass
class Customer:
    """One customer.

    Args:
        name: The customer's name in requests.
        plan_index: Index of the customer's plan in PLANS.
        set_start: The first limiter of the customer's set.
        set_size: Number of limiters that the customer's requests arrive at.
        use_factor: Multiple of the quota that is requested outside of spikes.
        spikes: When more is requested.
        weights: How requests are distributed over the set of limiters.
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
        """The customer's plan."""
        return PLANS[self.plan_index]

    @property
    def price(self) -> float:
        """The price of a unit."""
        return PRICES[self.plan_index]

    def rate(self, seconds: float) -> float:
        """Returns the requests per second, this many seconds after the start of the run."""
        factor = SPIKE_FACTOR if self.spikes.is_active(seconds) else self.use_factor
        return self.plan.rate * factor / MEAN_UNITS

    def peak_rate(self) -> float:
        """Returns the maximum of `rate`."""
        base_rate = self.plan.rate * self.use_factor / MEAN_UNITS
        return max(
            base_rate, self.plan.rate * SPIKE_FACTOR / MEAN_UNITS if self.spikes.duration else 0.0
        )

    def choose_limiter(self, draw: random.Random, limiters: int) -> int:
        """Draws the limiter, of this many, that the next request arrives at."""
        offset = draw.choices(range(self.set_size), self.weights)[0]
        return (self.set_start + offset) % limiters


def draw_customers(draw: random.Random, units_per_s: float, limiters: int) -> Iterator[Customer]:
    """Draws customers until the units requested within quotas reach `units_per_s`."""
    for plan_index, share in enumerate(PLAN_SHARES):
        requested_per_s = 0.0
        while requested_per_s < share * units_per_s:
            pattern = draw.choices(PATTERNS, PATTERN_WEIGHTS)[0]
            yield _draw_customer(draw, plan_index, pattern, limiters)
            requested_per_s += PLANS[plan_index].rate * min(1.0, USE_FACTORS[pattern])


def _draw_customer(draw: random.Random, plan_index: int, pattern: str, limiters: int) -> Customer:
    spikes = Spikes()
    if pattern == "spiky":
        spikes = Spikes(draw.uniform(0, 20), draw.uniform(14, 24), draw.uniform(0.8, 4.9))
    set_size = draw.randint(limiters // 2, limiters)
    plan = PLANS[plan_index]
    # With a ceiling: so few limiters that the share of each holds two of the largest requests.
    if plan.ceiling_rate:
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
