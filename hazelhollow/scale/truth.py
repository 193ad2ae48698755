"""How well the fleet as a whole held quotas, by all requests of a run.

The reference is one token bucket for each tenant that sees every request of the fleet at once, as a
single limiter would. `point_assembly` calls `judge` with the rows that the workers wrote.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

from hazelhollow.decisions.state.token_bucket import TokenBucket
from hazelhollow.scale.load import Population
from hazelhollow.scale.results import Quotas

FIELDS = 4  # of a row in the files, in the order of `Row`


class Row(NamedTuple):
    """One request: seconds since the run began, tenant, units, and whether it was admitted."""

    at: float
    tenant: int
    units: float
    let_in: bool


class Window(NamedTuple):
    """A part of the run, in seconds since it began; the end is not part of it."""

    begin: float
    end: float


def read_rows(paths: Iterable[Path]) -> list[Row]:
    """All requests of these files in the order of their times; raises OSError."""
    rows = list[Row]()
    for path in paths:
        values = array("d")
        values.frombytes(path.read_bytes())
        for at in range(0, len(values), FIELDS):
            when, tenant, units, let_in = values[at : at + FIELDS]
            rows.append(Row(when, int(tenant), units, bool(let_in)))
    return sorted(rows)


def judge(rows: Sequence[Row], population: Population, windows: Sequence[Window]) -> list[Quotas]:
    """The fleet's figures for each window, in their order.

    The reference buckets see the requests outside of the windows too.

    Args:
        rows: All requests, in the order of their times.
        population: The tenants and their quotas.
        windows: Which requests count for which figures; windows may overlap.
    """
    buckets = dict[int, TokenBucket]()
    figures = [[0.0, 0.0, 0.0, 0.0] for _ in windows]
    for row in rows:
        bucket = buckets.get(row.tenant)
        if bucket is None:
            quota = population.quotas[population.tenants[row.tenant].quota]
            bucket = buckets[row.tenant] = TokenBucket(quota.rate, quota.burst, quota.burst, row.at)
        room = bucket.refill(row.at) >= row.units
        if row.let_in and room:
            bucket.level -= row.units
        for window, sums in zip(windows, figures, strict=True):
            if window.begin <= row.at < window.end:
                sums[0] += row.units
                sums[1] += row.units if row.let_in else 0.0
                sums[2] += row.units if row.let_in and not room else 0.0
                sums[3] += row.units if room and not row.let_in else 0.0
    return [
        Quotas(asked=asked, let_in=admitted, beyond=beyond, refused_with_room=refused)
        for asked, admitted, beyond, refused in figures
    ]
