"""Random plans with overlapping faults; the same seed gives the same plan."""

from __future__ import annotations

import random
from typing import Any

from hazelhollow.fault_injection.plan import Event, Load, Plan

QUIET_END_S = 8.0  # time at the end of the load in which no fault begins
# Relative frequency of each kind of fault; `host` kills an endpoint.
WEIGHTS = {
    "cut": 6,
    "stall": 2,
    "lose": 3,
    "delay": 2,
    "double": 1,
    "reorder": 1,
    "kill": 5,
    "pause": 4,
    "restart": 2,
    "thin": 1,
    "host": 1,
    "discovery_down": 1,
}


def drawn_plan(
    seed: int, instances: int = 8, seconds: float = 60.0, hosts: int = 2, changes: bool = False
) -> Plan:
    """Draws a plan.

    Args:
        seed: seed of all draws.
        instances: number of limiters.
        seconds: duration of the load; no fault begins in the last QUIET_END_S.
        hosts: number of endpoints.
        changes: also gives three revisions of the settings to one or more limiters during the run,
            and restarts one limiter with its first settings.
    """
    draw, last_fault_at = random.Random(seed), max(seconds - QUIET_END_S, seconds / 2)
    names, events = [f"n{n}" for n in range(instances)], list[Event]()
    at = 3.0 + draw.random()
    while at < last_fault_at - 1.0:
        events.append(_draw_event(draw, names, hosts, at, last_fault_at))
        at += draw.expovariate(1 / 2.5)
    if changes:
        events += _draw_changes(random.Random(seed + 1), names, last_fault_at)
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


def _draw_changes(draw: random.Random, names: list[str], last_fault_at: float) -> list[Event]:
    settings_events = [
        Event(
            at=round(draw.uniform(0.5, 0.95) * last_fault_at, 2),
            what="old",
            whom=(draw.choice(names),),
            lasts=0.5,
        )
    ]
    for revision in (1, 2, 3):
        limiters = draw.sample(names, draw.choice((1, 1, max(1, len(names) // 2))))
        settings_events.append(
            Event(
                at=round(last_fault_at * (revision - draw.random()) / 3.3 + 1.0, 2),
                what="settings",
                whom=tuple(sorted(limiters)),
                amount=revision,
            )
        )
    return settings_events


def _draw_event(
    draw: random.Random, names: list[str], hosts: int, at: float, last_fault_at: float
) -> Event:
    what: Any = draw.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
    lasts = round(min(draw.uniform(0.3, 6.0), last_fault_at - at), 2)
    at = round(at, 2)
    limiters = tuple(sorted(draw.sample(names, draw.randint(1, max(1, len(names) // 2)))))
    if what == "host":
        return Event(at=at, what="kill", whom=(f"h{draw.randrange(hosts)}",), lasts=lasts)
    if what == "discovery_down":
        return Event(at=at, what="discovery_down", whom=("d",), lasts=lasts)
    if what == "kill":
        kills_all = draw.random() < 0.1
        return Event(
            at=at,
            what="kill",
            whom=tuple(names) if kills_all else limiters[:2],
            lasts=max(lasts, 0.3),
        )
    if what == "pause":
        return Event(at=at, what=what, whom=limiters[:1], lasts=lasts)
    if what == "restart":
        return Event(at=at, what=what, whom=limiters[:1])
    amount = {
        "lose": 0.1 + 0.3 * draw.random(),
        "delay": 0.02 + 0.2 * draw.random(),
        "double": 0.3,
        "reorder": 0.3,
        "thin": 20.0,
    }
    return Event(
        at=at,
        what=what,
        whom=limiters,
        lasts=lasts,
        one_way=what == "cut" and draw.random() < 0.4,
        amount=round(amount.get(what, 0.0), 3),
    )
