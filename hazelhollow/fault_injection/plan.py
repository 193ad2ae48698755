"""A fault-injection plan as data: read from JSON, checked, expanded. No I/O.

A plan names processes as `n0`, `n1`, ... (limiters), `h0`, ... (endpoints) and `d` (discovery); `*`
stands for all limiters and `z0`, `z1`, ... for all processes of a zone.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from hazelhollow.fault_injection.errors import PlanError

What = Literal[
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
# The other kinds hit processes.
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
FIRST_PLAN_REVISION = 100  # from here on revisions of the settings change a plan too
DEFAULT_SECONDS = 24.0  # of load
DISCOVERY, ALL_LIMITERS = "d", "*"  # names


class PlanRecord(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """Base of a plan's parts: frozen, stored as JSON without its defaults."""


class Event(PlanRecord, frozen=True):
    """At `at` seconds something happens to `whom` that lasts for `lasts` seconds.

    A fault of links is between each of `whom` and each of `others` (none: every limiter that is not
    in `whom`), both ways unless `one_way`, which is from `whom` to `others`. `amount`: the share
    that is lost, doubled or overtaken, seconds of delay, datagrams a second that pass a thinned
    link. A killed process starts again when `lasts` is over, or never if that is 0. `settings`:
    `whom` get the settings whose order is `amount`, and SIGHUP; from FIRST_PLAN_REVISION on they
    change a plan, which a running limiter cannot take. `old`: killed, and back after `lasts` with
    the settings that it had first. `z0`, `z1`, ... among `whom` and `others` stand for all limiters
    and hosts of a zone. `repeat`: it comes again after so many seconds until `until`.
    """

    at: float
    what: What
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
        customer: its key.
        plan: `gold` or `iron`.
        kind: class of the requests, `look` or `buy`.
        rate: requests a second at each limiter, evenly spaced.
        units: drawn from the quota by each.
        first: the first limiter of the customer's set.
    """

    customer: str
    plan: str = "gold"
    kind: str = "look"
    rate: float = 20.0
    units: int = 1
    first: int = 0


class Plan(PlanRecord, frozen=True):
    """A whole run: the cluster, its load and its faults.

    Attributes:
        name: for messages.
        instances: limiters.
        hosts: endpoints.
        seconds: of load.
        seed: of all that is drawn.
        zones: of limiters and endpoints.
        per_second: rate of the plan `gold`, units a second.
        burst: of the plan `gold`, units.
        load: one entry for each customer.
        events: the faults.
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
    """Parses a plan from JSON.

    Raises:
        PlanError: it is malformed or cannot be played.
    """
    try:
        plan: Plan = msgspec.json.decode(data, type=Plan)
    except msgspec.DecodeError as error:
        raise PlanError(str(error)) from None
    check(plan)
    return plan


def write(plan: Plan) -> bytes:
    """A plan as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(plan), indent=1)


def check(plan: Plan) -> None:
    """Checks that a plan can be played.

    Raises:
        PlanError: names the event or the load that is wrong.
    """
    if not 1 <= plan.instances <= 64 or not 1 <= plan.hosts <= 32 or not 1 <= plan.seconds <= 3600:
        raise PlanError("1 to 64 instances, 1 to 32 hosts, 1 to 3600 seconds")
    known = _known_names(plan)
    for number, event in enumerate(plan.events):
        problem = _problem_of(event, plan, known)
        if problem:
            raise PlanError(f"event {number} ({event.what}): {problem}")
    for load in plan.load:
        classes_and_plans = load.kind in ("look", "buy") and load.plan in ("gold", "iron")
        if not classes_and_plans or load.rate <= 0 or load.units < 1:
            raise PlanError(
                f"load of {load.customer}: classes are look and buy, plans gold and iron, "
                "more than nothing"
            )


def _known_names(plan: Plan) -> set[str]:
    endpoints = [f"h{n}" for n in range(plan.hosts)]
    zones = [f"z{n}" for n in range(plan.zones)]
    return {*limiters(plan), *endpoints, *zones, DISCOVERY, ALL_LIMITERS}


def _problem_of(event: Event, plan: Plan, known: set[str]) -> str:
    """What is wrong with an event; empty if nothing."""
    unknown = sorted({*event.whom, *event.others} - known)
    if unknown:
        return f"no process {', '.join(unknown)}"
    in_time = event.at >= 0 and event.lasts >= 0 and event.at + event.lasts <= plan.seconds
    if not event.whom or not in_time:
        return "needs somebody, and a time within the drill"
    if event.what in ("lose", "double", "reorder") and not 0 < event.amount <= 1:
        return "amount is a share, more than 0 and at most 1"
    if event.what == "settings" and (event.amount != int(event.amount) or event.amount < 1):
        return "amount is the settings' order, a whole number from 1 on"
    if event.what in ("delay", "thin") and event.amount <= 0:
        return "amount must be more than 0"
    if event.repeat and event.repeat <= event.lasts:
        return "it would come again before it is over"
    return ""


def limiters(plan: Plan) -> list[str]:
    """Names of all limiters."""
    return [f"n{n}" for n in range(plan.instances)]


def expanded_events(plan: Plan) -> list[Event]:
    """The events by time, repetitions written out and groups replaced by their processes."""
    found = list[Event]()
    for planned in plan.events:
        event = msgspec.structs.replace(
            planned,
            whom=_expand_names(plan, planned.whom),
            others=_expand_names(plan, planned.others),
        )
        at = event.at
        found.append(event)
        while event.repeat and (at := at + event.repeat) + event.lasts <= (
            event.until or plan.seconds
        ):
            found.append(msgspec.structs.replace(event, at=at))
    return sorted(found, key=lambda event: event.at)


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
    """The zone of limiter `number`; zones are of equal size, in order."""
    return number * plan.zones // plan.instances


def zone(plan: Plan, number: int) -> list[str]:
    """Limiters and endpoints of one zone; endpoints are dealt out in turn."""
    hosts = [f"h{n}" for n in range(plan.hosts) if n % plan.zones == number]
    return [f"n{n}" for n in range(plan.instances) if zone_of(plan, n) == number] + hosts


def newest_revision(plan: Plan) -> int:
    """The greatest revision of settings that the plan gives to anybody; 0: none."""
    return max((int(event.amount) for event in plan.events if event.what == "settings"), default=0)


def pairs(plan: Plan, event: Event) -> list[tuple[str, str]]:
    """The directions, sender and receiver, that a link fault hits."""
    hosts = (
        [f"h{n}" for n in range(plan.hosts)] if any(name[0] == "h" for name in event.whom) else []
    )
    others = event.others or tuple(n for n in [*limiters(plan), *hosts] if n not in event.whom)
    found = [(a, b) for a in event.whom for b in others if a != b]
    return list(dict.fromkeys(found if event.one_way else [*found, *((b, a) for a, b in found)]))


def end_of_last_fault(plan: Plan) -> float:
    """Seconds until the last fault is over; a process that stays killed counts from its death."""
    return max((event.at + event.lasts for event in expanded_events(plan)), default=0.0)
