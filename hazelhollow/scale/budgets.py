"""The planned size of the fleet and each budget that holds at that size.

As typed constants with their units.

The operators' figures are taken as they were given. Where a unit can be read in two ways the
smaller one is taken: a kilobyte is 1,000 bytes. Two limits are derived: a limiter is one process on
one core, and a turn of its loop delays every request that comes meanwhile.
"""

from __future__ import annotations

import msgspec

from hazelhollow.scale.results import Size

PLANNED = Size(limiters=930, servers=14_000, routes=11_000, tenants=73_000, requests_per_s=204.0)
SERVICES = 370
REQUESTS_PER_S = 190_000.0  # of the whole fleet at the peak
REGIONS = 3
ZONES = 6  # in all regions together
CHANGES_PER_DAY = 480
CONTROL_MACHINES = 8
FAILED_MACHINES_PER_DAY = 23
REPLACED_MACHINES_PER_DAY = 1_400


class Budget(msgspec.Struct, frozen=True, kw_only=True):
    """`limit`: in `unit`, for one limiter. `derived`: it follows from others and was not given."""

    name: str
    unit: str
    limit: float
    derived: bool = False


ADDED_LATENCY = Budget(name="added to a request, 99 in 100", unit="s", limit=0.0014)
CONTROL_CPU = Budget(name="processor for control", unit="core", limit=0.025)
CONTROL_MEMORY = Budget(name="memory", unit="B", limit=256e6)
CONTROL_BYTES = Budget(name="bytes sent for control", unit="B/s", limit=4_000.0)
WORST_BYTES = Budget(
    name="bytes sent for control, worst ten seconds", unit="B/s", limit=CONTROL_BYTES.limit
)
CHANGE_P99 = Budget(name="a change in force, 99 in 100", unit="s", limit=6.0)
CHANGE_WORST = Budget(name="a change in force, worst", unit="s", limit=10.0)
REQUEST_CPU = Budget(name="processor for requests", unit="core", limit=1.0, derived=True)
TURN = Budget(name="one turn of the loop", unit="s", limit=ADDED_LATENCY.limit, derived=True)

BUDGETS = (
    ADDED_LATENCY,
    CONTROL_CPU,
    CONTROL_MEMORY,
    CONTROL_BYTES,
    WORST_BYTES,
    CHANGE_P99,
    CHANGE_WORST,
    REQUEST_CPU,
    TURN,
)
