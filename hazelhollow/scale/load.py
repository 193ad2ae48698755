"""The modelled load: tenants by usage pattern, and the requests of each limiter, from a seed.

A tenant's requests are split over its limiters by uneven weights. A Poisson stream that is split at
random is a Poisson stream at each limiter. Each limiter's requests are therefore drawn
independently and do not depend on the process that runs the limiter.
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

# Units of a request; each entry is equally likely.
UNITS = (1, 1, 1, 2, 2, 2, 3, 3, 4, 6)
MEAN_UNITS = sum(UNITS) / len(UNITS)
MAX_UNITS = max(UNITS)
SPIKE_MULTIPLE = 6.0  # a spiky tenant's rate during a spike, as a multiple of its plan's rate
MIN_BURST_UNITS = 2.0 * MAX_UNITS  # so that the largest request always fits into the burst


class UsagePattern(NamedTuple):
    """A usage pattern.

    Attributes:
        name: Name of the pattern, as in `Tenant.usage`.
        share: Share of the tenants with this pattern.
        use: Mean use as a fraction of the plan's rate.
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
    """A plan of tenants before it is scaled to the size.

    Attributes:
        name: Name of the plan, as in the settings.
        rate: Units a second.
        burst_s: Burst in seconds of the rate.
        share: Share of the tenants with this plan.
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
    """A plan as in the settings: `rate` in units a second, `burst` in units."""

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
        spike: Start of the first spike, period and duration in seconds; a duration of 0 means no
            spikes.
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
        """Returns the tenant's name in requests."""
        return f"tenant-{self.number:06d}"

    def rate(self, at: float) -> float:
        """Returns the requests a second at a time, given in seconds since the run began."""
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
    """All tenants of a run and their quotas."""

    tenants: Sequence[Tenant]
    quotas: Sequence[Quota]


def populate(size: Size, terms: FleetTerms, seed: int) -> Population:
    """Draws the tenants; scales rates and quotas to the size's requests a second."""
    rng = random.Random(f"tenants {seed}")
    drawn = [_tenant(rng, number, size.limiters, terms) for number in range(size.tenants)]
    unscaled = sum(_mean_rate(tenant) for tenant in drawn)
    scale = size.requests_per_s * size.limiters / unscaled
    quota_scale = scale or 1.0  # a load of 0 requests a second leaves the quotas unscaled
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
    skew = round(rng.uniform(0.21, 1.2), 1)  # few distinct values, so that weight sums are cached
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
    """Returns the mean requests a second, including spikes."""
    _, period, duration = tenant.spike
    return tenant.base_rate + (tenant.peak_rate - tenant.base_rate) * duration / period


@lru_cache(100_000)
def _total_weight(spread: int, skew: float) -> float:
    return float(sum((rank + 1) ** -skew for rank in range(spread)))


def weight(tenant: Tenant, limiter: int, limiters: int) -> float:
    """Returns the fraction of a tenant's requests that goes to a limiter; 0 outside of its set."""
    offset = (limiter - tenant.first) % limiters
    if offset >= tenant.spread:
        return 0.0
    rank = (offset + tenant.number) % tenant.spread
    return float((rank + 1) ** -tenant.skew / _total_weight(tenant.spread, tenant.skew))


def split(
    population: Population, numbers: Sequence[int], limiters: int
) -> dict[int, list[tuple[Tenant, float]]]:
    """Returns, for each limiter in `numbers`, its tenants and its fraction of their requests."""
    parts_by_limiter: dict[int, list[tuple[Tenant, float]]] = {number: [] for number in numbers}
    for tenant in population.tenants:
        serving = [(tenant.first + offset) % limiters for offset in range(tenant.spread)]
        for number in serving if len(serving) < len(numbers) else numbers:
            part = weight(tenant, number, limiters) if number in parts_by_limiter else 0.0
            if part:
                parts_by_limiter[number].append((tenant, part))
    return parts_by_limiter


class Requests:
    """The requests of one limiter in the order of their times, drawn as they are iterated.

    Args:
        parts: The limiter's tenants, and the fraction of their requests that goes to it.
        routes: Number of routes.
        limiter: The limiter's number.
        seed: Seed of the run.
    """

    def __init__(
        self, parts: Sequence[tuple[Tenant, float]], routes: int, limiter: int, seed: int
    ) -> None:
        self._rng = random.Random(f"requests {seed} {limiter}")
        self._routes = routes
        self.tenants = [tenant for tenant, _ in parts]
        self._cumulative_rates = list(accumulate(tenant.peak_rate * part for tenant, part in parts))

    def __iter__(self) -> Iterator[DrawnRequest]:
        """Draws arrivals by thinning: at the tenants' peak rates, accepted by their current rates.

        Ends at once if no tenant sends requests.
        """
        rng, sums, at = self._rng, self._cumulative_rates, 0.0
        while sums and sums[-1] > 0.0:
            at += rng.expovariate(sums[-1])
            tenant = self.tenants[min(bisect(sums, rng.random() * sums[-1]), len(sums) - 1)]
            accepted = rng.random() * tenant.peak_rate < tenant.rate(at)
            route = (
                int(self._routes ** rng.random()) - 1
            )  # about Zipf's law: proportional to 1 / (number + 1)
            units = rng.choice(UNITS)
            if accepted:
                yield DrawnRequest(at, tenant.number, min(max(route, 0), self._routes - 1), units)


def service_time(rng: random.Random, mean: float) -> float:
    """Draws a modelled server's service time, which is exponential with that mean in seconds."""
    return -mean * math.log(1.0 - rng.random())
