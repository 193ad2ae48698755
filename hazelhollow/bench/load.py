"""Month-end load: customers, their usage patterns, and arrivals drawn from a seed.

The ranges are those that the operators give for their site: shares of use by plan, rates and
bursts, how many customers are calm, near their quota, heavy or spiky, and how their requests shift
between their limiters. All draws come, in a fixed order, from generators that the caller passes.
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
CLASS_SHARES = (0.47, 0.44, 0.09)  # of requests, by CLASSES
UNITS = (1.0, 2.0, 3.0, 4.0, 5.0, 6.0)  # of one request
UNIT_WEIGHTS = (8, 5, 3, 2, 1, 1)  # relative frequencies of UNITS
MEAN_UNITS = sum(u * w for u, w in zip(UNITS, UNIT_WEIGHTS, strict=True)) / sum(UNIT_WEIGHTS)
REQUESTS_WITHIN_QUOTAS_PER_S = 220.0  # of all customers, with up to BASE_LIMITERS limiters
BASE_LIMITERS = 3
CALM_SHARE = 0.3  # maximum share of its quota that a customer uses before the load peak
RETRIES = 2  # of a request that is rejected
RETRY_AFTER_S = (0.0, 0.2)  # wait of a client before a retry; one of the two is drawn


@dataclass(frozen=True)
class PlanRange:
    """The ranges from which a plan's settings are drawn.

    Args:
        name: The plan's name.
        use_share: The plan's share of the units used within quotas.
        rate: Range of the rate, in units per second.
        burst_s: Range of the burst, in seconds of the rate.
        ceiling_factor: Range of the hard ceiling as a multiple of rate and burst; 0 for none.
    """

    name: str
    use_share: float
    rate: tuple[float, float]
    burst_s: tuple[float, float]
    ceiling_factor: tuple[float, float] = (0.0, 0.0)


PLAN_RANGES = (
    PlanRange("pieni", 0.20, (1.6, 2.8), (3.3, 5.0)),
    PlanRange("perus", 0.37, (5.3, 9.2), (3.3, 4.9)),
    PlanRange("laaja", 0.22, (16.0, 28.0), (1.5, 2.7), (1.6, 2.1)),
    PlanRange("kumppani", 0.21, (41.0, 71.0), (1.3, 2.3)),
)


def draw_plans(draw: random.Random) -> tuple[api.Plan, ...]:
    """Draws one plan for each of PLAN_RANGES."""
    plans = []
    for plan_range in PLAN_RANGES:
        rate = draw.uniform(*plan_range.rate)
        burst = rate * draw.uniform(*plan_range.burst_s)
        ceiling_factor = draw.uniform(*plan_range.ceiling_factor)
        plans.append(
            api.Plan(
                plan_range.name,
                rate,
                burst,
                excess_cost=1.2,
                ceiling_rate=ceiling_factor * rate,
                ceiling_burst=ceiling_factor * burst,
            )
        )
    return tuple(plans)


@dataclass(frozen=True)
class LoadSettings:
    """The amount of load to draw.

    Args:
        limiters: Number of limiters; above BASE_LIMITERS, the number of customers grows with it.
        start: Start of the run, in seconds.
        seconds: Duration of the load.
    """

    limiters: int
    start: float
    seconds: float


@dataclass(frozen=True)
class Spike:
    """A period in which a customer requests a multiple of its quota.

    Args:
        begin: Start of the period in seconds, inclusive.
        end: End of the period in seconds, exclusive.
        factor: Multiple of the plan's rate.
    """

    begin: float
    end: float
    factor: float


@dataclass
class Customer:
    """One customer: its set of limiters and its usage pattern.

    Args:
        id: The customer's name in requests.
        plan: The customer's plan.
        set_start: The first limiter of the customer's set.
        set_size: Number of limiters that the customer's requests arrive at.
        use_factor: Multiple of the quota that is requested on average outside of spikes.
        spikes: Periods in which more is requested.
        weights: How requests are currently distributed over the set of limiters.
        shift_interval_s: Seconds between changes of `weights`.
        shifted_at: Time of the last change of `weights`, in seconds.
        calm_until: Time in seconds until which the customer stays calm, as before a load peak.
    """

    id: str
    plan: api.Plan
    set_start: int
    set_size: int
    use_factor: float
    spikes: list[Spike]
    weights: list[float]
    shift_interval_s: float
    shifted_at: float
    calm_until: float = 0.0

    def rate(self, now: float) -> float:
        """Returns the units requested per second."""
        if now < self.calm_until:
            return self.plan.rate * min(self.use_factor, CALM_SHARE)
        active = [spike.factor for spike in self.spikes if spike.begin <= now < spike.end]
        return self.plan.rate * max(self.use_factor, max(active, default=0.0))

    def choose_limiter(self, draw: random.Random, now: float, limiters: int) -> int:
        """Draws the limiter, of this many, that the next request arrives at."""
        if now - self.shifted_at >= self.shift_interval_s:
            self.shifted_at = now
            draw.shuffle(self.weights)
        return (self.set_start + draw.choices(range(self.set_size), self.weights)[0]) % limiters


def draw_customers(
    draw: random.Random, plans: tuple[api.Plan, ...], settings: LoadSettings
) -> list[Customer]:
    """Draws customers of each plan until their use reaches the plan's share."""
    customers = list[Customer]()
    scale = max(settings.limiters / BASE_LIMITERS, 1.0)
    for plan, plan_range in zip(plans, PLAN_RANGES, strict=True):
        units_left = REQUESTS_WITHIN_QUOTAS_PER_S * MEAN_UNITS * plan_range.use_share * scale
        while units_left > 0:
            customer = _draw_customer(draw, plan, settings, len(customers))
            units_left -= plan.rate * min(customer.use_factor, 1.0)
            customers.append(customer)
    return customers


def _draw_customer(
    draw: random.Random, plan: api.Plan, settings: LoadSettings, number: int
) -> Customer:
    pattern = draw.choices(("calm", "full", "heavy", "spiky"), (0.62, 0.13, 0.09, 0.16))[0]
    use_factor = {  # all four are drawn, so that the later draws do not depend on the pattern
        "calm": draw.uniform(0.18, 0.39),
        "full": draw.uniform(0.9, 1.05),
        "heavy": draw.uniform(3.1, 4.7),
        "spiky": draw.uniform(0.18, 0.39),
    }[pattern]
    spikes = []
    at = settings.start + draw.uniform(0.0, 14.0)
    while pattern == "spiky" and at < settings.start + settings.seconds:
        spikes.append(Spike(at, at + draw.uniform(0.8, 4.9), draw.uniform(4.8, 7.9)))
        at += draw.uniform(14.0, 24.0)
    set_size = min(draw.randint(2, 4), settings.limiters)
    skew = draw.uniform(0.21, 1.2)
    weights = [1.0 / (n + 1) ** skew for n in range(set_size)]
    draw.shuffle(weights)
    return Customer(
        id=f"{number:016x}",
        plan=plan,
        set_start=draw.randrange(settings.limiters),
        set_size=set_size,
        use_factor=use_factor,
        spikes=spikes,
        weights=weights,
        shift_interval_s=draw.uniform(8.4, 18.0),
        shifted_at=settings.start + draw.uniform(-8.0, 0.0),
    )


@dataclass(frozen=True)
class Arrival:
    """A request that a client makes.

    Args:
        at: Time of the request, in seconds.
        customer: The customer that makes the request.
        class_name: Name of one of CLASSES.
        units: Units that the request uses.
    """

    at: float
    customer: Customer
    class_name: str
    units: float


def arrivals(
    draw: random.Random, customer: Customer, start: float, seconds: float
) -> Iterator[Arrival]:
    """Yields a customer's requests: a Poisson process at its current rate, by thinning."""
    peak_factor = max([customer.use_factor, *[spike.factor for spike in customer.spikes]])
    peak_requests_per_s = peak_factor * customer.plan.rate / MEAN_UNITS
    at = start
    while True:
        at += draw.expovariate(peak_requests_per_s)
        if at >= start + seconds:
            return
        if draw.random() * peak_requests_per_s * MEAN_UNITS < customer.rate(at):
            class_name = draw.choices(CLASSES, CLASS_SHARES)[0].name
            yield Arrival(at, customer, class_name, draw.choices(UNITS, UNIT_WEIGHTS)[0])
