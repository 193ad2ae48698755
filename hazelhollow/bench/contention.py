"""The control budget of one traffic role, alone or in contention with all other roles."""

from __future__ import annotations

from hazelhollow.control_budget.budget import (
    BucketSettings,
    BudgetSettings,
    TrafficRole,
    settings_for,
)


def budget_for_role(bytes_per_s: float, role: TrafficRole, contended: bool) -> BudgetSettings:
    """Returns the settings of the part of a limiter's control budget that one role can use.

    Args:
        bytes_per_s: The limiter's total budget.
        role: The role whose traffic is simulated.
        contended: Whether the other roles use all of the budget that they can get, which leaves
            this role only its guaranteed rate.

    Raises:
        ValueError: The budget is too small.
    """
    settings = settings_for(bytes_per_s)
    if not contended:
        return settings
    own = settings.roles[role]
    return BudgetSettings(own.rate, {role: BucketSettings(own.rate, own.burst)}, 0.0)
