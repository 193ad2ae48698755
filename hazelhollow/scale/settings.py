"""The settings of the limiters of a scale run, and their list of servers.

The documents have the format of operators' documents, which `simulator.settings_document` reads.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from hazelhollow.decisions import interface as api
from hazelhollow.scale.load import MAX_UNITS, Quota
from hazelhollow.scale.plan import FleetTerms
from hazelhollow.scale.results import Size
from hazelhollow.scale.topology import Topology

DEADLINE_S = 2.0  # of each route; an answer after its deadline has no value
LATENCY_OBJECTIVE_S = 0.5  # of each route
CELLS = 32  # over which the servers are distributed


def route_name(number: int) -> str:
    """Returns the name of a route."""
    return f"route-{number:05d}"


def document(size: Size, quotas: Sequence[Quota], terms: FleetTerms) -> dict[str, Any]:
    """Returns the settings that all limiters share."""
    return {
        "balancers": size.limiters,
        "step": 0.001,
        "grades": [_route(number, DEADLINE_S) for number in range(size.routes)],
        "tariffs": [
            {
                "name": quota.name,
                "per_second": quota.rate,
                "most_at_once": quota.burst,
                "excess_cost": 1.0,
            }
            for quota in quotas
        ],
        "family_info": {"max_units": MAX_UNITS, "inbox_per_s": terms.inbox_per_s},
        "policy_limits": {
            "max_attempts": 3,
            "peers": True,
            "retry_after": True,
            "max_retry_after": 1.0,
            "cancelling": True,
        },
        "safety": {"cold": 10.0, "cold_from": 0.35, "tip_after": 3.0, "tip_multiple": 2.0},
    }


def _route(number: int, deadline: float) -> dict[str, Any]:
    name = route_name(number)
    return {
        "name": name,
        "objective": LATENCY_OBJECTIVE_S,
        "deadline": deadline,
        "effect": "pure",
        "credit": 1.0 + number % 3,
    }


def changed(before: dict[str, Any], routes: Sequence[int], revision: int) -> dict[str, Any]:
    """Returns the next revision of a document, in which some routes have another deadline.

    Args:
        before: The document to start from, which is not modified.
        routes: Numbers of the routes to change.
        revision: The new revision; the deadlines exceed `DEADLINE_S` by as many milliseconds.
    """
    grades = list(before["grades"])
    for number in routes:
        grades[number] = _route(number, DEADLINE_S + revision / 1000)
    return {**before, "grades": grades}


def own_document(shared: dict[str, Any], number: int, topology: Topology) -> dict[str, Any]:
    """Returns the shared settings with one limiter's position and zone."""
    return {**shared, "position": number, "zone": zone_name(topology.zone(number))}


def zone_name(zone: int) -> str:
    """Returns the name of a zone."""
    return f"zone-{zone}"


def servers(size: Size, terms: FleetTerms) -> tuple[api.EndpointEntry, ...]:
    """Returns the list of servers, which are assigned to the zones in turn."""
    return tuple(
        api.EndpointEntry(
            f"server-{n:05d}", "up", zone_name(n % terms.zones), n % CELLS, 1.0 + n % 2
        )
        for n in range(size.servers)
    )
