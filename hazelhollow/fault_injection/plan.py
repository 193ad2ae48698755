"""Fault-injection plans as data: reading from JSON, validation and expansion. No I/O.

A plan names processes as `n0`, `n1`, ... (limiters), `h0`, ... (endpoints) and `d` (discovery); `*`
means all limiters and `z0`, `z1`, ... all limiters and endpoints of a zone.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from hazelhollow.fault_injection.errors import PlanError

EventKind = Literal[
    "cut",
    "stall",
    "delay",
    "lose",
    "double",
    "reorder",
    "reset",
    "thin",
    "kill",
    "pause",
    "restart",
    "discovery_down",
    "settings",
    "old",
]
# Kinds that affect links; the other kinds affect processes.
LINK_FAULTS = (
    "cut",
    "stall",
    "delay",
    "lose",
    "double",
    "reorder",
    "reset",
    "thin",
)
FIRST_PLAN_REVISION = 100  # settings from this revision on also change a customer plan
DEFAULT_SECONDS = 24.0  # duration of the load
DISCOVERY, ALL_LIMITERS = "d", "*"  # names in `Event.whom` and `Event.others`


class PlanRecord(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """Base class of a plan's parts: immutable, and stored as JSON without default values."""


class Event(PlanRecord, frozen=True):
    """A fault or a change of settings, and the processes that it affects.

    Attributes:
        at: seconds from the start of the load.
        what: the kind. `settings` gives the processes in `whom` the settings of revision `amount`
            and sends them SIGHUP; revisions from FIRST_PLAN_REVISION on change a customer plan,
            which a running limiter cannot apply. `old` kills a limiter and restarts it after
            `lasts` seconds with its first settings.
        whom: names of the affected processes; `z0`, `z1`, ... mean all limiters and hosts of a
            zone.
        others: for link faults, the processes at the other end of each affected link, named like
            those in `whom`; empty: every limiter that is not in `whom`.
        lasts: duration in seconds. A killed process starts again afterwards, or never if this is 0.
        one_way: a link fault affects only the direction from `whom` to `others`, not both.
        amount: the share of datagrams that are lost, duplicated or reordered; the delay in seconds;
            the datagrams per second that a `thin` link lets pass; or the revision of the settings.
        repeat: interval in seconds at which the event repeats; 0: it does not.
        until: seconds after which it no longer repeats; 0: the end of the load.
    """

    at: float
    what: EventKind
    whom: tuple[str, ...]
    others: tuple[str, ...] = ()
    lasts: float = 0.0
    one_way: bool = False
    amount: float = 0.0
    repeat: float = 0.0
    until: float = 0.0


class Load(PlanRecord, frozen=True):
    """One customer's requests.

    Attributes:
        customer: the customer's key.
        plan: `gold` or `iron`.
        kind: class of the requests, `look` or `buy`.
        rate: requests per second at each limiter, evenly spaced.
        units: quota units that each request consumes.
        first: number of the first limiter in the customer's set.
    """

    customer: str
    plan: str = "gold"
    kind: str = "look"
    rate: float = 20.0
    units: int = 1
    first: int = 0


class Plan(PlanRecord, frozen=True):
    """A complete run: the cluster, its load and its faults.

    Attributes:
        name: shown in progress messages.
        instances: number of limiters.
        hosts: number of endpoints.
        seconds: duration of the load.
        seed: seed of all random draws.
        zones: number of zones, over which limiters and endpoints are distributed.
        per_second: rate of the customer plan `gold`, in units per second.
        burst: burst of the customer plan `gold`, in units.
        load: one entry for each customer.
        events: the faults and the changes of settings.
    """

    name: str
    instances: int = 5
    hosts: int = 2
    seconds: float = DEFAULT_SECONDS
    seed: int = 1
    zones: int = 1
    per_second: float = 20.0
    burst: float = 40.0
    load: tuple[Load, ...] = (Load(customer="00000000b4d65521"),)
    events: tuple[Event, ...] = ()


def read(data: bytes | str) -> Plan:
    """Parses and validates a plan from JSON.

    Raises:
        PlanError: the plan is malformed or cannot be played.
    """
    try:
        plan: Plan = msgspec.json.decode(data, type=Plan)
    except msgspec.DecodeError as error:
        raise PlanError(str(error)) from None
    check(plan)
    return plan


def write(plan: Plan) -> bytes:
    """Returns the plan as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(plan), indent=1)


def check(plan: Plan) -> None:
    """Checks that a plan can be played.

    Raises:
        PlanError: the plan cannot be played; the message names the invalid event or load.
    """
    if not 1 <= plan.instances <= 64 or not 1 <= plan.hosts <= 32 or not 1 <= plan.seconds <= 3600:
        raise PlanError(
            f"{plan.instances} instances, {plan.hosts} hosts and {plan.seconds:g} seconds: a plan "
            "has 1 to 64 instances, 1 to 32 hosts and 1 to 3600 seconds"
        )
    valid_names = _valid_names(plan)
    for number, event in enumerate(plan.events):
        problem = _find_problem(event, plan, valid_names)
        if problem:
            raise PlanError(f"event {number} ({event.what}): {problem}")
    for load in plan.load:
        has_valid_names = load.kind in ("look", "buy") and load.plan in ("gold", "iron")
        if not has_valid_names or load.rate <= 0 or load.units < 1:
            raise PlanError(
                f"load of {load.customer}: kind '{load.kind}', plan '{load.plan}', rate "
                f"{load.rate:g}, units {load.units}: classes are look and buy, plans gold and "
                "iron, the rate is more than 0 and units at least 1"
            )


def _valid_names(plan: Plan) -> set[str]:
    endpoints = [f"h{n}" for n in range(plan.hosts)]
    zones = [f"z{n}" for n in range(plan.zones)]
    return {*limiters(plan), *endpoints, *zones, DISCOVERY, ALL_LIMITERS}


def _find_problem(event: Event, plan: Plan, valid_names: set[str]) -> str:
    """Returns what is wrong with an event; empty if it is valid."""
    invalid_names = sorted({*event.whom, *event.others} - valid_names)
    if invalid_names:
        return f"no process {', '.join(invalid_names)}"
    is_within_drill = event.at >= 0 and event.lasts >= 0 and event.at + event.lasts <= plan.seconds
    if not event.whom or not is_within_drill:
        return (
            f"affects '{', '.join(event.whom)}' from {event.at:g} to {event.at + event.lasts:g} s: "
            f"it must name a process and lie within the drill's {plan.seconds:g} s"
        )
    if event.what in ("lose", "double", "reorder") and not 0 < event.amount <= 1:
        return f"amount is {event.amount:g}: it must be a share, more than 0 and at most 1"
    if event.what == "settings" and (event.amount != int(event.amount) or event.amount < 1):
        return f"amount is {event.amount:g}: it must be a settings revision, an integer from 1 on"
    if event.what in ("delay", "thin") and event.amount <= 0:
        return f"amount is {event.amount:g}: it must be more than 0"
    if event.repeat and event.repeat <= event.lasts:
        return f"repeats every {event.repeat:g} s but lasts {event.lasts:g} s, which would overlap"
    return ""


def limiters(plan: Plan) -> list[str]:
    """Returns the names of all limiters."""
    return [f"n{n}" for n in range(plan.instances)]


def expanded_events(plan: Plan) -> list[Event]:
    """Returns the events in order of time, with repetitions and names of groups expanded."""
    expanded = list[Event]()
    for planned in plan.events:
        event = msgspec.structs.replace(
            planned,
            whom=_expand_names(plan, planned.whom),
            others=_expand_names(plan, planned.others),
        )
        at = event.at
        expanded.append(event)
        while event.repeat and (at := at + event.repeat) + event.lasts <= (
            event.until or plan.seconds
        ):
            expanded.append(msgspec.structs.replace(event, at=at))
    return sorted(expanded, key=lambda event: event.at)


def _expand_names(plan: Plan, names: tuple[str, ...]) -> tuple[str, ...]:
    if names == (ALL_LIMITERS,):
        return tuple(limiters(plan))
    return tuple(
        dict.fromkeys(
            process
            for name in names
            for process in (zone(plan, int(name[1:])) if name[0] == "z" else [name])
        )
    )


def zone_of(plan: Plan, number: int) -> int:
    """Returns the zone of limiter `number`: consecutive limiters form zones of equal size."""
    return number * plan.zones // plan.instances


def zone(plan: Plan, number: int) -> list[str]:
    """Returns the limiters and endpoints of a zone; endpoints are assigned round-robin."""
    hosts = [f"h{n}" for n in range(plan.hosts) if n % plan.zones == number]
    return [f"n{n}" for n in range(plan.instances) if zone_of(plan, n) == number] + hosts


def newest_revision(plan: Plan) -> int:
    """Returns the highest settings revision in the plan's events; 0 if there is none."""
    return max((int(event.amount) for event in plan.events if event.what == "settings"), default=0)


def pairs(plan: Plan, event: Event) -> list[tuple[str, str]]:
    """Returns the directions that a link fault affects, as pairs of sender and receiver."""
    hosts = (
        [f"h{n}" for n in range(plan.hosts)] if any(name[0] == "h" for name in event.whom) else []
    )
    others = event.others or tuple(n for n in [*limiters(plan), *hosts] if n not in event.whom)
    outgoing = [(a, b) for a in event.whom for b in others if a != b]
    return list(
        dict.fromkeys(outgoing if event.one_way else [*outgoing, *((b, a) for a, b in outgoing)])
    )


def end_of_last_fault(plan: Plan) -> float:
    """Returns the time at which the last fault ends, in seconds from the start of the load.

    For a process that stays killed this is the time of the kill.
    """
    return max((event.at + event.lasts for event in expanded_events(plan)), default=0.0)
