"""From a plan that fails to a smaller one that still does.

Knows nothing of how a plan is played.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hazelhollow.fault_injection.plan import Plan, end_of_last_fault

TAIL = 4.0  # seconds of load that are kept after the last event


def shrink(plan: Plan, fails: Callable[[Plan], bool], most: int) -> tuple[Plan, int]:
    """The smallest plan found with at most so many trials, and how many were made.

    First events go, in halves, then quarters, then one by one; then the time after the last; then
    limiters that no event names.
    """
    trials = 0

    def still(one: Plan) -> bool:
        nonlocal trials
        if trials >= most:
            return False
        trials += 1
        return fails(one)

    size = max(1, len(plan.events) // 2)
    while plan.events and trials < most:
        kept = _without(plan, size, still)
        if kept is None and size == 1:
            break
        plan, size = kept or plan, size if kept else max(1, size // 2)
        size = min(size, max(1, len(plan.events)))
    short = msgspec.structs.replace(plan, seconds=max(5.0, end_of_last_fault(plan) + TAIL))
    if short.seconds < plan.seconds and still(short):
        plan = short
    while plan.instances > 2 and not _named(plan, f"n{plan.instances - 1}"):
        fewer = msgspec.structs.replace(plan, instances=plan.instances - 1)
        if not still(fewer):
            break
        plan = fewer
    return plan, trials


def _without(plan: Plan, size: int, still: Callable[[Plan], bool]) -> Plan | None:
    for start in range(0, len(plan.events), size):
        left = plan.events[:start] + plan.events[start + size :]
        one = msgspec.structs.replace(plan, events=left)
        if still(one):
            return one
    return None


def _named(plan: Plan, name: str) -> bool:
    return any(name in (*event.whom, *event.others) for event in plan.events)
