"""Control budgets of a role that has its limiter's budget to itself, or shares it with all."""

from __future__ import annotations

from hazelhollow.control_budget.budget import (
    BucketSettings,
    BudgetSettings,
    TrafficRole,
    settings_for,
)


def budget_for_role(bytes_per_s: float, role: TrafficRole, contended: bool) -> BudgetSettings:
    """The settings of a limiter's control budget, as one role meets it.

    Args:
        bytes_per_s: The whole budget.
        role: Whose traffic is simulated.
        contended: The other roles use all that they can get, so that this one has its guaranteed
            rate and no more.

    Returns:
        The settings.

    Raises:
        ValueError: The budget is too small.
    """
    settings = settings_for(bytes_per_s)
    if not contended:
        return settings
    own = settings.roles[role]
    return BudgetSettings(own.rate, {role: BucketSettings(own.rate, own.burst)}, 0.0)
