"""What the fleet as a whole did with quotas, against one store for each tenant that sees every
request at once.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

from hazelhollow.decisions.state.token_bucket import TokenBucket
from hazelhollow.scale.load import Population
from hazelhollow.scale.results import Quotas

FIELDS = 4  # of a row, as `scale.fleet.HollowFleet.rows` has them


class Row(NamedTuple):
    """One request: seconds into the run, tenant, units, and whether a limiter let it in."""

    at: float
    tenant: int
    units: float
    let_in: bool


class Window(NamedTuple):
    """A stretch of the run, in seconds."""

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
    """For each of the windows. The stores see what comes outside of them too."""
    stores = dict[int, TokenBucket]()
    sums = [[0.0, 0.0, 0.0, 0.0] for _ in windows]
    for row in rows:
        store = stores.get(row.tenant)
        if store is None:
            quota = population.quotas[population.tenants[row.tenant].quota]
            store = stores[row.tenant] = TokenBucket(quota.rate, quota.burst, quota.burst, row.at)
        room = store.refill(row.at) >= row.units
        if row.let_in and room:
            store.level -= row.units
        for window, found in zip(windows, sums, strict=True):
            if window.begin <= row.at < window.end:
                found[0] += row.units
                found[1] += row.units if row.let_in else 0.0
                found[2] += row.units if row.let_in and not room else 0.0
                found[3] += row.units if room and not row.let_in else 0.0
    return [Quotas(asked=a, let_in=b, beyond=c, refused_with_room=d) for a, b, c, d in sums]
