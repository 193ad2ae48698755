"""Turns a sequence of steps into a plan for a fault-injection run on real processes."""

from __future__ import annotations

from hazelhollow.bench.count_model.cluster import Bounds, Step
from hazelhollow.fault_injection.plan import Event, Plan

LEAD_IN_S = 4.0  # before the first step
PERIOD_S = 1.0
RESTART_S = 0.3
AFTER_LAST_STEP_S = 12.0
DUPLICATION_S = 1.0


def as_plan(bounds: Bounds, steps: tuple[Step, ...], name: str) -> Plan:
    """A run in which about the same happens, a second for each period.

    Links are cut where a datagram never arrived, datagrams doubled where one came again, and
    processes killed where a member crashed.
    """
    events, at = list[Event](), LEAD_IN_S
    under_way = list[tuple[int, int]]()  # sender and receiver
    for step in steps:
        match step.kind, step.operands:
            case "turn", _:
                at += PERIOD_S
            case (("gossip" | "counts"), (sender, receiver)):
                under_way.append((sender, receiver))
            case "ask", (new, source):
                under_way.append((source, new))
            case "deliver", (place,) if place < len(under_way):
                del under_way[place]
            case "again", (place,):
                events.append(_duplication(at, *under_way[place]))
            case "crash", (number,):
                events.append(Event(at=at, what="kill", whom=(f"n{number}",), lasts=RESTART_S))
    events += [_cut(sender, receiver, at) for sender, receiver in dict.fromkeys(under_way)]
    return Plan(
        name=name,
        instances=max(2, bounds.members),
        seconds=at + AFTER_LAST_STEP_S,
        events=tuple(events),
    )


def _duplication(at: float, sender: int, receiver: int) -> Event:
    return Event(
        at=at,
        what="double",
        whom=(f"n{sender}",),
        others=(f"n{receiver}",),
        lasts=DUPLICATION_S,
        amount=1.0,
        one_way=True,
    )


def _cut(sender: int, receiver: int, until: float) -> Event:
    return Event(
        at=LEAD_IN_S,
        what="cut",
        whom=(f"n{sender}",),
        others=(f"n{receiver}",),
        lasts=max(1.0, until - (LEAD_IN_S - 1.0)),
        one_way=True,
    )
