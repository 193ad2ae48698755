"""The modelled load: tenants by usage pattern, and the requests of one limiter, from a seed.

A tenant's requests are split over its limiters by uneven weights. A Poisson stream that is split at
random is a Poisson stream at each limiter. Each limiter's requests are therefore drawn
independently, and are the same whichever process runs the limiter.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from functools import lru_cache
from itertools import accumulate
from typing import NamedTuple

from hazelhollow.scale.plan import FleetTerms
from hazelhollow.scale.results import Size

# Units of a request; each is drawn equally often.
UNITS = (1, 1, 1, 2, 2, 2, 3, 3, 4, 6)
MEAN_UNITS = sum(UNITS) / len(UNITS)
MAX_UNITS = max(UNITS)
SPIKE_MULTIPLE = 6.0  # of its plan's rate, that a spiky tenant requests during a spike
MIN_BURST_UNITS = 2.0 * MAX_UNITS  # so that the largest request always fits


class UsagePattern(NamedTuple):
    """A usage pattern.

    Attributes:
        name: As it stands in `Tenant.usage`.
        share: Share of the tenants that have it.
        use: Mean use as a part of the plan's rate.
    """

    name: str
    share: float
    use: float


USAGE_PATTERNS = (
    UsagePattern("calm", 0.61, 0.28),
    UsagePattern("full", 0.14, 0.97),
    UsagePattern("heavy", 0.09, 3.9),
    UsagePattern("spiky", 0.16, 0.28),
)


class Tariff(NamedTuple):
    """A tenants' plan before it is scaled to the size.

    Attributes:
        name: As it stands in the settings.
        rate: Units a second.
        burst_s: Burst, in seconds of the rate.
        share: Share of the tenants that have it.
    """

    name: str
    rate: float
    burst_s: float
    share: float


TARIFFS = (
    Tariff("small", 1.0, 12.0, 0.5),
    Tariff("middle", 3.0, 4.7, 0.3),
    Tariff("wide", 9.0, 2.7, 0.15),
    Tariff("partner", 18.0, 2.0, 0.05),
)


class Quota(NamedTuple):
    """A plan as it stands in the settings: `rate` in units a second, `burst` in units."""

    name: str
    rate: float
    burst: float


class Tenant(NamedTuple):
    """A tenant, and how it sends requests.

    Attributes:
        number: The tenant's number.
        quota: Index of its quota in `Population.quotas`.
        first: First limiter of the set that serves it.
        spread: Number of limiters in that set.
        usage: Name of its usage pattern.
        base_rate: Requests a second outside of spikes.
        peak_rate: Requests a second during a spike; the base rate for a tenant without spikes.
        skew: Exponent of the weights by which its requests are split over its limiters.
        spike: Start of the first spike, period and duration, in seconds; no duration: no spikes.
    """

    number: int
    quota: int
    first: int
    spread: int
    usage: str
    base_rate: float
    peak_rate: float
    skew: float
    spike: tuple[float, float, float]

    @property
    def name(self) -> str:
        """The tenant's name in requests."""
        return f"tenant-{self.number:06d}"

    def rate(self, at: float) -> float:
        """Requests a second at a time, in seconds since the run began."""
        first, period, duration = self.spike
        in_spike = duration and (at - first) % period < duration
        return self.peak_rate if in_spike else self.base_rate


class DrawnRequest(NamedTuple):
    """One request: seconds since the run began, tenant, route and units."""

    at: float
    tenant: int
    route: int
    units: int


@dataclass(frozen=True)
class Population:
    """All tenants of a run and the quotas that they have."""

    tenants: Sequence[Tenant]
    quotas: Sequence[Quota]


def populate(size: Size, terms: FleetTerms, seed: int) -> Population:
    """The tenants, with rates and quotas scaled to the requests a second of the size."""
    rng = random.Random(f"tenants {seed}")
    drawn = [_tenant(rng, number, size.limiters, terms) for number in range(size.tenants)]
    unscaled = sum(_mean_rate(tenant) for tenant in drawn)
    scale = size.requests_per_s * size.limiters / unscaled
    quota_scale = scale or 1.0  # without any requests the quotas stay unscaled
    tenants = tuple(
        tenant._replace(base_rate=tenant.base_rate * scale, peak_rate=tenant.peak_rate * scale)
        for tenant in drawn
    )
    quotas = tuple(
        Quota(
            tariff.name,
            tariff.rate * quota_scale,
            max(tariff.rate * quota_scale * tariff.burst_s, MIN_BURST_UNITS),
        )
        for tariff in TARIFFS
    )
    return Population(tenants, quotas)


def _tenant(rng: random.Random, number: int, limiters: int, terms: FleetTerms) -> Tenant:
    quota = rng.choices(range(len(TARIFFS)), [tariff.share for tariff in TARIFFS])[0]
    pattern = rng.choices(USAGE_PATTERNS, [each.share for each in USAGE_PATTERNS])[0]
    rate = TARIFFS[quota].rate / MEAN_UNITS
    spiky = pattern.name == "spiky"
    spike = (
        (rng.uniform(0, 20), rng.uniform(14, 24), rng.uniform(0.8, 4.9))
        if spiky
        else (0.0, 1.0, 0.0)
    )
    least = min(terms.spread_least or limiters // 2 or 1, limiters)
    spread = rng.randint(least, min(terms.spread_most or limiters, limiters))
    base_rate = rate * pattern.use * rng.uniform(0.85, 1.15)
    skew = round(rng.uniform(0.21, 1.2), 1)  # few values, so that sums of weights are kept
    peak_rate = rate * SPIKE_MULTIPLE if spiky else base_rate
    return Tenant(
        number,
        quota,
        rng.randrange(limiters),
        spread,
        pattern.name,
        base_rate,
        peak_rate,
        skew,
        spike,
    )


def _mean_rate(tenant: Tenant) -> float:
    """Requests a second, spikes included."""
    _, period, duration = tenant.spike
    return tenant.base_rate + (tenant.peak_rate - tenant.base_rate) * duration / period


@lru_cache(100_000)
def _total_weight(spread: int, skew: float) -> float:
    return float(sum((rank + 1) ** -skew for rank in range(spread)))


def weight(tenant: Tenant, limiter: int, limiters: int) -> float:
    """The part of a tenant's requests that goes to a limiter; 0 outside of its set."""
    place = (limiter - tenant.first) % limiters
    if place >= tenant.spread:
        return 0.0
    rank = (place + tenant.number) % tenant.spread
    return float((rank + 1) ** -tenant.skew / _total_weight(tenant.spread, tenant.skew))


def split(
    population: Population, here: Sequence[int], limiters: int
) -> dict[int, list[tuple[Tenant, float]]]:
    """For each limiter `here`: the tenants that it serves, and which part of their requests."""
    parts_by_limiter: dict[int, list[tuple[Tenant, float]]] = {number: [] for number in here}
    for tenant in population.tenants:
        places = [(tenant.first + place) % limiters for place in range(tenant.spread)]
        for number in places if len(places) < len(here) else here:
            part = weight(tenant, number, limiters) if number in parts_by_limiter else 0.0
            if part:
                parts_by_limiter[number].append((tenant, part))
    return parts_by_limiter


class Requests:
    """The requests of one limiter in the order of their times, drawn as they are iterated.

    Args:
        parts: The limiter's tenants, and which part of their requests goes to it.
        routes: Number of routes.
        limiter: The limiter's number.
        seed: Of the run.
    """

    def __init__(
        self, parts: Sequence[tuple[Tenant, float]], routes: int, limiter: int, seed: int
    ) -> None:
        self._rng = random.Random(f"requests {seed} {limiter}")
        self._routes = routes
        self.tenants = [tenant for tenant, _ in parts]
        self._cumulative_rates = list(accumulate(tenant.peak_rate * part for tenant, part in parts))

    def __iter__(self) -> Iterator[DrawnRequest]:
        """Arrivals by thinning: drawn at the tenants' highest rates, accepted by the present ones.

        Ends at once where no tenant sends requests.
        """
        rng, sums, at = self._rng, self._cumulative_rates, 0.0
        while sums and sums[-1] > 0.0:
            at += rng.expovariate(sums[-1])
            tenant = self.tenants[min(bisect(sums, rng.random() * sums[-1]), len(sums) - 1)]
            accepted = rng.random() * tenant.peak_rate < tenant.rate(at)
            route = (
                int(self._routes ** rng.random()) - 1
            )  # about Zipf: as often as 1 / (number + 1)
            units = rng.choice(UNITS)
            if accepted:
                yield DrawnRequest(at, tenant.number, min(max(route, 0), self._routes - 1), units)


def service_time(rng: random.Random, mean: float) -> float:
    """Draws the seconds that a modelled server takes, exponential with that mean."""
    return -mean * math.log(1.0 - rng.random())
