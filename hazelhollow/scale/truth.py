"""How accurately the fleet enforced the quotas, computed from all requests of a run.

The reference is one token bucket for each tenant that receives every request of the fleet without
delay, as in a single limiter. `point_assembly` calls `measure_quotas` with the rows that the
workers wrote.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

from hazelhollow.decisions.state.token_bucket import TokenBucket
from hazelhollow.scale.load import Population
from hazelhollow.scale.results import Quotas

FIELDS_PER_ROW = 4  # number of fields of a row in the files, which are those of `Row` in its order


class Row(NamedTuple):
    """One request: seconds since the run began, tenant, units, and whether it was admitted."""

    at: float
    tenant: int
    units: float
    let_in: bool


class Window(NamedTuple):
    """A part of the run in seconds since its start: `begin` inclusive, `end` exclusive."""

    begin: float
    end: float


def read_rows(paths: Iterable[Path]) -> list[Row]:
    """Returns all requests of these files in the order of their times; raises OSError."""
    rows = list[Row]()
    for path in paths:
        values = array("d")
        values.frombytes(path.read_bytes())
        for at in range(0, len(values), FIELDS_PER_ROW):
            when, tenant, units, let_in = values[at : at + FIELDS_PER_ROW]
            rows.append(Row(when, int(tenant), units, bool(let_in)))
    return sorted(rows)


def measure_quotas(
    rows: Sequence[Row], population: Population, windows: Sequence[Window]
) -> list[Quotas]:
    """Returns the fleet's figures for each window, in the order of the windows.

    The reference buckets receive the requests outside of the windows too.

    Args:
        rows: All requests, in the order of their times.
        population: The tenants and their quotas.
        windows: Times whose requests count for each result; windows may overlap.
    """
    buckets = dict[int, TokenBucket]()
    figures = [[0.0, 0.0, 0.0, 0.0] for _ in windows]
    for row in rows:
        bucket = buckets.get(row.tenant)
        if bucket is None:
            quota = population.quotas[population.tenants[row.tenant].quota]
            bucket = buckets[row.tenant] = TokenBucket(quota.rate, quota.burst, quota.burst, row.at)
        has_capacity = bucket.refill(row.at) >= row.units
        if row.let_in and has_capacity:
            bucket.level -= row.units
        for window, sums in zip(windows, figures, strict=True):
            if window.begin <= row.at < window.end:
                sums[0] += row.units
                sums[1] += row.units if row.let_in else 0.0
                sums[2] += row.units if row.let_in and not has_capacity else 0.0
                sums[3] += row.units if has_capacity and not row.let_in else 0.0
    return [
        Quotas(asked=asked, let_in=admitted, beyond=beyond, refused_with_room=refused)
        for asked, admitted, beyond, refused in figures
    ]
