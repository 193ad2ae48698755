"""Reduces a failing plan to a smaller one that still fails.

This module does not depend on how a plan is played.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hazelhollow.fault_injection.plan import Plan, end_of_last_fault

LOAD_AFTER_LAST_FAULT_S = 4.0
MIN_SECONDS = 5.0  # duration of the load


def shrink(plan: Plan, fails: Callable[[Plan], bool], max_trials: int) -> tuple[Plan, int]:
    """Returns the smallest failing plan found, and the number of trials made.

    It removes events first, in halves, quarters and so on down to single ones, then the time after
    the last event, and finally limiters that no event names.
    """
    trials = 0

    def still_fails(candidate: Plan) -> bool:
        nonlocal trials
        if trials >= max_trials:
            return False
        trials += 1
        return fails(candidate)

    size = max(1, len(plan.events) // 2)
    while plan.events and trials < max_trials:
        smaller = _without(plan, size, still_fails)
        if smaller is None and size == 1:
            break
        plan, size = smaller or plan, size if smaller else max(1, size // 2)
        size = min(size, max(1, len(plan.events)))
    seconds = max(MIN_SECONDS, end_of_last_fault(plan) + LOAD_AFTER_LAST_FAULT_S)
    short = msgspec.structs.replace(plan, seconds=seconds)
    if short.seconds < plan.seconds and still_fails(short):
        plan = short
    while plan.instances > 2 and not _is_named(plan, f"n{plan.instances - 1}"):
        fewer = msgspec.structs.replace(plan, instances=plan.instances - 1)
        if not still_fails(fewer):
            break
        plan = fewer
    return plan, trials


def _without(plan: Plan, size: int, still_fails: Callable[[Plan], bool]) -> Plan | None:
    for start in range(0, len(plan.events), size):
        events = plan.events[:start] + plan.events[start + size :]
        candidate = msgspec.structs.replace(plan, events=events)
        if still_fails(candidate):
            return candidate
    return None


def _is_named(plan: Plan, name: str) -> bool:
    return any(name in (*event.whom, *event.others) for event in plan.events)
