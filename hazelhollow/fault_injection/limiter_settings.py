"""The settings document of a run's limiters, in the platform's format."""

from __future__ import annotations

from typing import Any

from hazelhollow.fault_injection.plan import FIRST_PLAN_REVISION, Plan, zone_of

WARM_UP_S = 4.0  # time in which an endpoint reaches its full speed
INITIAL_SPEED = 0.25  # share of the full speed that an endpoint has when it starts
ZONE_NAMES = "abcdefgh"
READ_CLASS = {
    "name": "look",
    "objective": 0.5,
    "deadline": 1.5,
    "effect": "pure",
    "credit": 1.0,
}
WRITE_CLASS = {
    "name": "buy",
    "objective": 0.5,
    "deadline": 1.0,
    "effect": "side_effect",
    "credit": 3.0,
}
IRON_PLAN = {
    "name": "iron",
    "per_second": 10.0,
    "most_at_once": 20.0,
    "ceiling_rate": 12.0,
    "hard_burst": 24.0,
    "excess_cost": 1.0,
}


def settings(plan: Plan, number: int, revision: int = 0) -> dict[str, Any]:
    """Returns the settings of limiter `number`; only position and zone differ between limiters.

    Each revision after the first has a request class named after it (`o1`), so that a probe can
    observe from outside whether the revision is in force.
    """
    classes = [READ_CLASS, WRITE_CLASS]
    if revision:
        classes.append(READ_CLASS | {"name": f"o{revision}"})
    return {
        "position": number,
        "balancers": plan.instances,
        "zone": ZONE_NAMES[zone_of(plan, number)],
        "step": 0.001,
        "grades": classes,
        "tariffs": [_gold_plan(plan, revision), IRON_PLAN],
        "family_info": {"max_units": 4, "inbox_per_s": 100.0},
        "policy_limits": {
            "max_attempts": 3,
            "peers": True,
            "retry_after": True,
            "max_retry_after": 1.0,
            "cancelling": True,
        },
        "safety": {
            "cold": WARM_UP_S,
            "cold_from": INITIAL_SPEED,
            "drain_grace": 0.25,
            "tip_after": 2.0,
            "tip_multiple": 4.0,
        },
    }


def _gold_plan(plan: Plan, revision: int) -> dict[str, Any]:
    """Returns the customer plan `gold`.

    From FIRST_PLAN_REVISION on its rate is changed, which a running limiter cannot apply.
    """
    changed_rate = 1.0 if revision >= FIRST_PLAN_REVISION else 0.0
    return {
        "name": "gold",
        "per_second": plan.per_second + changed_rate,
        "most_at_once": plan.burst,
        "excess_cost": 1.0,
    }
