"""The quantities of the capacity report, each with its unit and the budget that limits it."""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum

import msgspec

from hazelhollow.scale import budgets
from hazelhollow.scale.budgets import Budget
from hazelhollow.scale.results import EventKind, Role

CONTROL_ROLES = (Role.LIST, Role.VIEW, Role.GOSSIP, Role.REPLICATION, Role.AUDIT, Role.TIMERS)
# Roles that send datagrams to other limiters.
ROLES_WITH_DATAGRAMS = (Role.VIEW, Role.GOSSIP, Role.REPLICATION, Role.AUDIT)
CONFIGURATION_EVENTS = (EventKind.CONFIGURATION_WHOLE, EventKind.CONFIGURATION_ONE_ROUTE)
PROCESS = "process"  # the `part` of quantities that are measured for a complete limiter process


class Resource(StrEnum):
    """What is measured of a role, an event or the process."""

    PROCESSOR = "processor"
    BYTES_SENT = "bytes sent"
    BYTES_RECEIVED = "bytes received"
    MEMORY = "memory"
    LONGEST_TURN = "longest turn"
    TURN_P99 = "turn, 99th percentile"
    ADDED_MEDIAN = "added to a request, median"
    ADDED_P99 = "added to a request, 99th percentile"
    SETTLED_P99 = "seconds until settled, 99th percentile"
    SETTLED_WORST = "seconds until settled, worst"
    WORST_TEN_SECONDS = "bytes in the worst ten seconds, mean member"
    WORST_SECOND = "bytes in the worst second, worst member"


class Quantity(msgspec.Struct, frozen=True):
    """A measured resource of one part of a limiter, the subject of one row of the report.

    Attributes:
        part: A role, an event, or PROCESS.
        resource: What is measured of it.
        unit: Of its values.
        budget: The budget that limits it, if any.
    """

    part: str
    resource: Resource
    unit: str
    budget: Budget | None = None

    @property
    def name(self) -> str:
        """The name that tables and plots show."""
        return f"{self.part}: {self.resource}"


def role_quantity(role: Role, resource: Resource) -> Quantity:
    """Returns the quantity of a role, with the budget that limits it."""
    control = role in CONTROL_ROLES
    if resource is Resource.PROCESSOR:
        return Quantity(
            role, resource, "core", budgets.CONTROL_CPU if control else budgets.REQUEST_CPU
        )
    if resource in (Resource.BYTES_SENT, Resource.BYTES_RECEIVED):
        sent = resource is Resource.BYTES_SENT and control
        return Quantity(role, resource, "B/s", budgets.CONTROL_BYTES if sent else None)
    # For control roles the budget limits the longest turn; the 99th percentile only shows how
    # often turns are long.
    is_informational = resource is Resource.TURN_P99 and control
    return Quantity(role, resource, "s", None if is_informational else budgets.TURN)


def event_quantity(kind: EventKind, resource: Resource) -> Quantity:
    """Returns the quantity of an event; only bytes and configuration changes have a budget."""
    if resource is Resource.WORST_SECOND:
        return Quantity(kind, resource, "B/s")
    if resource is Resource.WORST_TEN_SECONDS:
        return Quantity(kind, resource, "B/s", budgets.WORST_BYTES)
    limits = {
        Resource.SETTLED_P99: budgets.CHANGE_P99,
        Resource.SETTLED_WORST: budgets.CHANGE_WORST,
    }
    return Quantity(kind, resource, "s", limits[resource] if kind in CONFIGURATION_EVENTS else None)


MEMORY = Quantity(PROCESS, Resource.MEMORY, "B", budgets.CONTROL_MEMORY)
ADDED_MEDIAN = Quantity(PROCESS, Resource.ADDED_MEDIAN, "s")
ADDED_P99 = Quantity(PROCESS, Resource.ADDED_P99, "s", budgets.ADDED_LATENCY)


def expected_quantities() -> Iterator[Quantity]:
    """Returns the quantities that have a row even if nothing was measured."""
    for role in Role:
        if role is Role.TIMERS:
            continue  # the time of a role's timers is counted for that role
        yield role_quantity(role, Resource.PROCESSOR)
        if role in ROLES_WITH_DATAGRAMS:
            yield role_quantity(role, Resource.BYTES_SENT)
        yield role_quantity(role, Resource.LONGEST_TURN)
        yield role_quantity(role, Resource.TURN_P99)
    yield MEMORY
    yield ADDED_MEDIAN
    yield ADDED_P99
    for kind in EventKind:
        yield event_quantity(kind, Resource.SETTLED_P99)
        yield event_quantity(kind, Resource.SETTLED_WORST)
        yield event_quantity(kind, Resource.WORST_TEN_SECONDS)
        yield event_quantity(kind, Resource.WORST_SECOND)
