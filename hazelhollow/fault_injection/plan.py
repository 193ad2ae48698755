"""What a drill does, as data: written by hand, drawn from a seed, printed, read again. No I/O.

A plan names processes as `n0`, `n1`, ... (limiters), `h0`, ... (hosts), `d` (discovery); `*` stands
for all limiters.
"""

from __future__ import annotations

import random
from typing import Any, Literal

import msgspec

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
LINK_FAULTS = (
    "cut",
    "stall",
    "delay",
    "lose",
    "double",
    "reorder",
    "reset",
    "thin",
)  # faults of links; the others hit processes
ONCE = ("reset", "restart", "settings")  # over at once: `lasts` says nothing
FIRST_PLAN_REVISION = 100  # orders of settings that change a plan too
SETTLE = 8.0  # seconds that a drawn plan leaves after its last fault


class Record(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """All of them are so."""


class Event(Record, frozen=True):
    """At `at` seconds something happens to `whom` that lasts for `lasts` seconds.

    A fault of links is between each of `whom` and each of `others` (none: every limiter that is not
    in `whom`), both ways unless `one_way`, which is from `whom` to `others`. `amount`: the share
    that is lost, doubled or overtaken, seconds of delay, datagrams a second that pass a thinned
    link. A killed process starts again when `lasts` is over, or never if that is 0. `settings`:
    `whom` get the settings whose order is `amount`, and SIGHUP; from PLANS_FROM on they change a
    plan, which a running limiter cannot take. `old`: killed, and back after `lasts` with the
    settings that it had first. `z0`, `z1`, ... among `whom` and `others` stand for all limiters and
    hosts of a zone. `repeat`: it comes again after so many seconds until `until`.
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


class Load(Record, frozen=True):
    """One customer.

    `rate` requests a second at each limiter, evenly spaced, from the first second to
    `Plan.seconds`. `first`: the first limiter of its set.
    """

    customer: str
    plan: str = "gold"
    kind: str = "look"
    rate: float = 20.0
    units: int = 1
    first: int = 0


class Plan(Record, frozen=True):
    name: str
    instances: int = 5
    hosts: int = 2
    seconds: float = 24.0
    seed: int = 1
    zones: int = 1
    per_second: float = 20.0  # of the plan `gold`
    burst: float = 40.0
    load: tuple[Load, ...] = (Load(customer="00000000b4d65521"),)
    events: tuple[Event, ...] = ()


class PlanError(Exception):
    """What is wrong with a plan; names the event."""


def read(data: bytes | str) -> Plan:
    """Raises PlanError for what is not a plan or cannot be played."""
    try:
        plan: Plan = msgspec.json.decode(data, type=Plan)
    except msgspec.DecodeError as error:
        raise PlanError(str(error)) from None
    check(plan)
    return plan


def write(plan: Plan) -> bytes:
    return msgspec.json.format(msgspec.json.encode(plan), indent=1)


def check(plan: Plan) -> None:
    known = {
        *limiters(plan),
        *(f"h{n}" for n in range(plan.hosts)),
        *(f"z{n}" for n in range(plan.zones)),
        "d",
        "*",
    }
    if not 1 <= plan.instances <= 64 or not 1 <= plan.hosts <= 32 or not 1 <= plan.seconds <= 3600:
        raise PlanError("1 to 64 instances, 1 to 32 hosts, 1 to 3600 seconds")
    for number, event in enumerate(plan.events):
        strange = sorted({*event.whom, *event.others} - known)
        if strange:
            raise PlanError(f"event {number} ({event.what}): no process {', '.join(strange)}")
        if (
            not event.whom
            or event.at < 0
            or event.lasts < 0
            or event.at + event.lasts > plan.seconds
        ):
            raise PlanError(
                f"event {number} ({event.what}): needs somebody, and a time within the drill"
            )
        if event.what in ("lose", "double", "reorder") and not 0 < event.amount <= 1:
            raise PlanError(
                f"event {number} ({event.what}): amount is a share, more than 0 and at most 1"
            )
        if event.what == "settings" and (event.amount != int(event.amount) or event.amount < 1):
            raise PlanError(
                f"event {number} (settings): amount is the settings' order, a whole "
                "number from 1 on"
            )
        if event.what in ("delay", "thin") and event.amount <= 0:
            raise PlanError(f"event {number} ({event.what}): amount must be more than 0")
        if event.repeat and event.repeat <= event.lasts:
            raise PlanError(f"event {number} ({event.what}): it would come again before it is over")
    for load in plan.load:
        if (
            load.kind not in ("look", "buy")
            or load.plan not in ("gold", "iron")
            or load.rate <= 0
            or load.units < 1
        ):
            raise PlanError(
                f"load of {load.customer}: classes are look and buy, plans gold and iron, "
                "more than nothing"
            )


def limiters(plan: Plan) -> list[str]:
    return [f"n{n}" for n in range(plan.instances)]


def expanded_events(plan: Plan) -> list[Event]:
    """The events in the order of their times, with those that repeat written out and `*` replaced
    by all limiters.
    """
    found = list[Event]()
    for event in plan.events:
        event = msgspec.structs.replace(
            event, whom=_all(plan, event.whom), others=_all(plan, event.others)
        )
        at = event.at
        found.append(event)
        while event.repeat and (at := at + event.repeat) + event.lasts <= (
            event.until or plan.seconds
        ):
            found.append(msgspec.structs.replace(event, at=at))
    return sorted(found, key=lambda event: event.at)


def _all(plan: Plan, names: tuple[str, ...]) -> tuple[str, ...]:
    if names == ("*",):
        return tuple(limiters(plan))
    return tuple(
        dict.fromkeys(
            one
            for name in names
            for one in (zone(plan, int(name[1:])) if name[0] == "z" else [name])
        )
    )


def zone_of(plan: Plan, number: int) -> int:
    """Of a limiter."""
    return number * plan.zones // plan.instances


def zone(plan: Plan, number: int) -> list[str]:
    """Limiters and hosts of one zone; hosts go round."""
    hosts = [f"h{n}" for n in range(plan.hosts) if n % plan.zones == number]
    return [f"n{n}" for n in range(plan.instances) if zone_of(plan, n) == number] + hosts


def newest_revision(plan: Plan) -> int:
    return max((int(event.amount) for event in plan.events if event.what == "settings"), default=0)


def pairs(plan: Plan, event: Event) -> list[tuple[str, str]]:
    """The directions that a fault of links hits."""
    hosts = (
        [f"h{n}" for n in range(plan.hosts)] if any(name[0] == "h" for name in event.whom) else []
    )
    others = event.others or tuple(n for n in [*limiters(plan), *hosts] if n not in event.whom)
    found = [(a, b) for a in event.whom for b in others if a != b]
    return list(dict.fromkeys(found if event.one_way else [*found, *((b, a) for a, b in found)]))


def end_of_last_fault(plan: Plan) -> float:
    """When the last fault is over: a process that stays killed counts from its death."""
    return max((event.at + event.lasts for event in expanded_events(plan)), default=0.0)


# Plans of one kind each; the starting point of what is built on the harness

_HALF = 2  # parts


def named_plan(name: str, instances: int = 5, seconds: float = 24.0, seed: int = 1) -> Plan:
    """One of `NAMED`. Raises PlanError for another."""
    if name not in NAMED:
        raise PlanError(f"no plan '{name}'; there are {', '.join(sorted(NAMED))}")
    names = [f"n{n}" for n in range(instances)]
    half = tuple(names[: instances // _HALF])
    first, rest = (names[0],), tuple(names[1:])
    every: dict[str, tuple[Event, ...]] = {
        "calm": (),
        "kill": (Event(at=6, what="kill", whom=first, lasts=0.5, repeat=4, until=16),),
        "kill_most": (Event(at=6, what="kill", whom=rest, lasts=0.5, repeat=4, until=16),),
        "kill_all": (Event(at=6, what="kill", whom=tuple(names), lasts=0.5, repeat=4, until=16),),
        "roll": tuple(
            Event(at=5 + 2 * n * 5 / instances, what="restart", whom=(names[n],))
            for n in range(instances)
        ),
        "pause": (Event(at=8, what="pause", whom=first, lasts=3),),
        "one_way": (Event(at=8, what="cut", whom=first, lasts=6, one_way=True),),
        "two_parts": (Event(at=8, what="cut", whom=half, lasts=6),),
        "one_off": (Event(at=8, what="cut", whom=first, lasts=6),),
        "all_off": (Event(at=8, what="cut", whom=tuple(names), others=tuple(names), lasts=6),),
        "flap": (Event(at=8, what="cut", whom=half, lasts=0.5, repeat=1, until=14),),
        "lossy": (
            Event(at=4, what="lose", whom=tuple(names), others=tuple(names), lasts=12, amount=0.1),
        ),
        "crash_half": (Event(at=8, what="kill", whom=half),),
        "gone": (Event(at=8, what="kill", whom=first),),
        "host_gone": (Event(at=8, what="kill", whom=("h0",), lasts=4),),
        "discovery": (Event(at=6, what="discovery_down", whom=("d",), lasts=6),),
        "zone_off": (Event(at=8, what="cut", whom=("z0",), lasts=6),),
        "roll_settings": tuple(
            Event(at=5 + 3 * n / instances, what="settings", whom=(names[n],), amount=1)
            for n in range(instances)
        ),
        "one_changed": (Event(at=5, what="settings", whom=first, amount=1),),
        "roll_lossy": (
            Event(at=4, what="lose", whom=tuple(names), others=tuple(names), lasts=10, amount=0.2),
            Event(at=5, what="settings", whom=first, amount=1),
        ),
        "back_on_old": (
            Event(at=4, what="settings", whom=tuple(names), amount=1),
            Event(at=8, what="old", whom=first, lasts=1),
        ),
        "paused_on_old": (
            Event(at=5, what="pause", whom=first, lasts=5),
            Event(at=6, what="settings", whom=rest, amount=1),
        ),
        "new_plan": (
            Event(at=4, what="settings", whom=rest, amount=FIRST_PLAN_REVISION),
            *(
                Event(at=5 + 8 * n / instances, what="restart", whom=(name,))
                for n, name in enumerate(rest)
            ),
        ),
        "split_orders": (
            Event(at=5, what="cut", whom=half, lasts=6),
            Event(at=7, what="settings", whom=half, amount=1),
            Event(at=7, what="settings", whom=tuple(n for n in names if n not in half), amount=2),
        ),
    }
    zones = 2 if name == "zone_off" else 1
    return Plan(
        zones=zones, name=name, instances=instances, seconds=seconds, seed=seed, events=every[name]
    )


NAMED = (
    "calm",
    "kill",
    "kill_most",
    "kill_all",
    "roll",
    "pause",
    "one_way",
    "two_parts",
    "one_off",
    "all_off",
    "flap",
    "lossy",
    "crash_half",
    "gone",
    "host_gone",
    "discovery",
    "zone_off",
    "roll_settings",
    "one_changed",
    "roll_lossy",
    "back_on_old",
    "paused_on_old",
    "new_plan",
    "split_orders",
)


def drawn_plan(
    seed: int, instances: int = 8, seconds: float = 60.0, hosts: int = 2, changes: bool = False
) -> Plan:
    """Faults that overlap, the same for the same seed.

    The last `SETTLE` seconds are without a new one. `changes`: settings of three orders are given
    to one limiter or several meanwhile, and somebody comes back on the first.
    """
    chance, quiet = random.Random(seed), max(seconds - SETTLE, seconds / 2)
    names, events = [f"n{n}" for n in range(instances)], list[Event]()
    at = 3.0 + chance.random()
    while at < quiet - 1.0:
        events.append(_drawn_event(chance, names, hosts, at, quiet))
        at += chance.expovariate(1 / 2.5)
    if changes:
        events += _drawn_changes(random.Random(seed + 1), names, quiet)
    load = (
        Load(customer="00000000b4d65521", rate=10.0),
        Load(customer="00000000a1b2c3d4", kind="buy", rate=2.0),
        Load(customer="0000000012345678", plan="iron", rate=4.0),
    )
    return Plan(
        name=f"seed {seed}",
        instances=instances,
        hosts=hosts,
        seconds=seconds,
        seed=seed,
        load=load,
        events=tuple(events),
    )


def _drawn_changes(chance: random.Random, names: list[str], quiet: float) -> list[Event]:
    found = [
        Event(
            at=round(chance.uniform(0.5, 0.95) * quiet, 2),
            what="old",
            whom=(chance.choice(names),),
            lasts=0.5,
        )
    ]
    for order in (1, 2, 3):
        some = chance.sample(names, chance.choice((1, 1, max(1, len(names) // 2))))
        found.append(
            Event(
                at=round(quiet * (order - chance.random()) / 3.3 + 1.0, 2),
                what="settings",
                whom=tuple(sorted(some)),
                amount=order,
            )
        )
    return found


def _drawn_event(
    chance: random.Random, names: list[str], hosts: int, at: float, quiet: float
) -> Event:
    what: Any = chance.choices(
        (
            "cut",
            "stall",
            "lose",
            "delay",
            "double",
            "reorder",
            "kill",
            "pause",
            "restart",
            "thin",
            "host",
            "discovery_down",
        ),
        (6, 2, 3, 2, 1, 1, 5, 4, 2, 1, 1, 1),
    )[0]
    lasts = round(min(chance.uniform(0.3, 6.0), quiet - at), 2)
    at = round(at, 2)
    some = tuple(sorted(chance.sample(names, chance.randint(1, max(1, len(names) // 2)))))
    if what == "host":
        return Event(at=at, what="kill", whom=(f"h{chance.randrange(hosts)}",), lasts=lasts)
    if what == "discovery_down":
        return Event(at=at, what="discovery_down", whom=("d",), lasts=lasts)
    if what == "kill":
        whole = chance.random() < 0.1
        return Event(
            at=at, what="kill", whom=tuple(names) if whole else some[:2], lasts=max(lasts, 0.3)
        )
    if what in ("pause", "restart"):
        return Event(at=at, what=what, whom=some[:1], lasts=lasts if what == "pause" else 0.0)
    amount = {
        "lose": 0.1 + 0.3 * chance.random(),
        "delay": 0.02 + 0.2 * chance.random(),
        "double": 0.3,
        "reorder": 0.3,
        "thin": 20.0,
    }
    return Event(
        at=at,
        what=what,
        whom=some,
        lasts=lasts,
        one_way=what == "cut" and chance.random() < 0.4,
        amount=round(amount.get(what, 0.0), 3),
    )
