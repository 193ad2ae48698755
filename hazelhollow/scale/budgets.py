"""The planned size of the fleet, and the budgets of one limiter at that size.

The operators' figures are used as given. If a unit has two definitions, the smaller one applies: a
kilobyte is 1,000 bytes. Two limits are derived: `REQUEST_CPU`, since a limiter is one process on
one core, and `TURN`, since a turn of its loop delays every request that arrives meanwhile.
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
    """A limit on what one limiter may use.

    Attributes:
        name: Name of the budget in tables.
        unit: Unit of the limit.
        limit: The highest value that is allowed.
        derived: Whether the limit follows from other figures and was not given by the operators.
    """

    name: str
    unit: str
    limit: float
    derived: bool = False


ADDED_LATENCY = Budget(name="added to a request, 99th percentile", unit="s", limit=0.0014)
CONTROL_CPU = Budget(name="processor for control", unit="core", limit=0.025)
CONTROL_MEMORY = Budget(name="memory", unit="B", limit=256e6)
CONTROL_BYTES = Budget(name="bytes sent for control", unit="B/s", limit=4_000.0)
WORST_BYTES = Budget(
    name="bytes sent for control, worst ten seconds", unit="B/s", limit=CONTROL_BYTES.limit
)
CHANGE_P99 = Budget(name="a change in force, 99th percentile", unit="s", limit=6.0)
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
