"""The modelled load: tenants by way of use, and the requests of one limiter, drawn from a seed.

What a tenant asks is split over its limiters by uneven weights. A Poisson stream that is split so
is one Poisson stream at each limiter, so that each limiter's requests are drawn by themselves: the
same whichever process plays it.
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

UNITS = (1, 1, 1, 2, 2, 2, 3, 3, 4, 6)
MEAN_UNITS = sum(UNITS) / len(UNITS)
MAX_UNITS = max(UNITS)
SPIKE_MULTIPLE = 6.0  # times its rate that a spiky tenant asks for while it spikes
MIN_BURST_UNITS = 2.0 * MAX_UNITS


class UsagePattern(NamedTuple):
    """A way of use: its share of the tenants, and what it asks for as a part of the plan's rate."""

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

    Units a second, seconds of them at once, share of the tenants.
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
    """A plan as it is in the settings."""

    name: str
    rate: float
    burst: float


class Tenant(NamedTuple):
    """`asks`.

    Requests a second on the mean; `spike`: first, every and for how many seconds, of a spiky one.
    """

    number: int
    quota: int
    first: int
    spread: int
    usage: str
    asks: float
    top: float
    skew: float
    spike: tuple[float, float, float]

    @property
    def name(self) -> str:
        return f"tenant-{self.number:06d}"

    def rate(self, at: float) -> float:
        """Requests a second, so many seconds into the run."""
        first, every, span = self.spike
        return self.top if span and (at - first) % every < span else self.asks


class DrawnRequest(NamedTuple):
    """One request: seconds into the run, tenant, route and units."""

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
    """The tenants, with quotas scaled so that together they ask for what the size says."""
    chance = random.Random(f"tenants {seed}")
    drawn = [_tenant(chance, number, size.limiters, terms) for number in range(size.tenants)]
    whole = sum(_mean(one) for one in drawn)
    asked = size.requests_per_s * size.limiters / whole
    scale = asked or 1.0  # quotas stay as they are where nobody asks
    tenants = tuple(one._replace(asks=one.asks * asked, top=one.top * asked) for one in drawn)
    quotas = tuple(
        Quota(one.name, one.rate * scale, max(one.rate * scale * one.burst_s, MIN_BURST_UNITS))
        for one in TARIFFS
    )
    return Population(tenants, quotas)


def _tenant(chance: random.Random, number: int, limiters: int, terms: FleetTerms) -> Tenant:
    quota = chance.choices(range(len(TARIFFS)), [one.share for one in TARIFFS])[0]
    way = chance.choices(USAGE_PATTERNS, [one.share for one in USAGE_PATTERNS])[0]
    rate = TARIFFS[quota].rate / MEAN_UNITS
    spiky = way.name == "spiky"
    spike = (
        (chance.uniform(0, 20), chance.uniform(14, 24), chance.uniform(0.8, 4.9))
        if spiky
        else (0.0, 1.0, 0.0)
    )
    least = min(terms.spread_least or limiters // 2 or 1, limiters)
    spread = chance.randint(least, min(terms.spread_most or limiters, limiters))
    asks = rate * way.use * chance.uniform(0.85, 1.15)
    skew = round(chance.uniform(0.21, 1.2), 1)  # few values, so that sums of weights are kept
    top = rate * SPIKE_MULTIPLE if spiky else asks
    return Tenant(
        number, quota, chance.randrange(limiters), spread, way.name, asks, top, skew, spike
    )


def _mean(one: Tenant) -> float:
    _, every, span = one.spike
    return one.asks + (one.top - one.asks) * span / every


@lru_cache(100_000)
def _total_weight(spread: int, skew: float) -> float:
    return float(sum((rank + 1) ** -skew for rank in range(spread)))


def weight(tenant: Tenant, limiter: int, limiters: int) -> float:
    """The part of a tenant's requests that comes to a limiter; nothing outside its set."""
    place = (limiter - tenant.first) % limiters
    if place >= tenant.spread:
        return 0.0
    rank = (place + tenant.number) % tenant.spread
    return float((rank + 1) ** -tenant.skew / _total_weight(tenant.spread, tenant.skew))


def split(
    population: Population, here: Sequence[int], limiters: int
) -> dict[int, list[tuple[Tenant, float]]]:
    """By limiter of those here: the tenants that it serves, and which part of their requests."""
    found: dict[int, list[tuple[Tenant, float]]] = {number: [] for number in here}
    for tenant in population.tenants:
        places = [(tenant.first + place) % limiters for place in range(tenant.spread)]
        for number in places if len(places) < len(here) else here:
            part = weight(tenant, number, limiters) if number in found else 0.0
            if part:
                found[number].append((tenant, part))
    return found


class Requests:
    """The requests of one limiter, in the order of their times; drawn as they are asked for."""

    def __init__(
        self, parts: Sequence[tuple[Tenant, float]], routes: int, limiter: int, seed: int
    ) -> None:
        self._chance = random.Random(f"requests {seed} {limiter}")
        self._routes = routes
        self.tenants = [one for one, _ in parts]
        self._sums = list(accumulate(one.top * part for one, part in parts))

    def __iter__(self) -> Iterator[DrawnRequest]:
        """Thinned arrivals: the highest rate draws, the present one keeps.

        Ends at once where nobody asks.
        """
        chance, sums, at = self._chance, self._sums, 0.0
        while sums and sums[-1] > 0.0:
            at += chance.expovariate(sums[-1])
            tenant = self.tenants[min(bisect(sums, chance.random() * sums[-1]), len(sums) - 1)]
            kept = chance.random() * tenant.top < tenant.rate(at)
            route = int(self._routes ** chance.random()) - 1  # about as often as one over its place
            units = chance.choice(UNITS)
            if kept:
                yield DrawnRequest(at, tenant.number, min(max(route, 0), self._routes - 1), units)


def service_time(chance: random.Random, mean: float) -> float:
    """Seconds that a modelled server takes."""
    return -mean * math.log(1.0 - chance.random())
