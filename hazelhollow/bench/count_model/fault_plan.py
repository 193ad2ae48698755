"""Converts a sequence of steps to a plan for a fault-injection run on real processes."""

from __future__ import annotations

from hazelhollow.bench.count_model.cluster import Bounds, Step
from hazelhollow.fault_injection.plan import Event, Plan

LEAD_IN_S = 4.0  # from the start of the run to the first step
PERIOD_S = 1.0
RESTART_S = 0.3
AFTER_LAST_STEP_S = 12.0
DUPLICATION_S = 1.0


def as_plan(bounds: Bounds, steps: tuple[Step, ...], name: str) -> Plan:
    """Returns a plan that approximates the steps, with one second per period.

    Links on which a datagram never arrived are cut, datagrams are duplicated where one arrived
    twice, and a process is killed for each crash of a member.
    """
    events, at = list[Event](), LEAD_IN_S
    in_flight = list[tuple[int, int]]()  # sender and receiver
    for step in steps:
        match step.kind, step.operands:
            case "turn", _:
                at += PERIOD_S
            case (("gossip" | "counts"), (sender, receiver)):
                in_flight.append((sender, receiver))
            case "ask", (new, source):
                in_flight.append((source, new))
            case "deliver", (position,) if position < len(in_flight):
                del in_flight[position]
            case "again", (position,):
                events.append(_duplication(at, *in_flight[position]))
            case "crash", (number,):
                events.append(Event(at=at, what="kill", whom=(f"n{number}",), lasts=RESTART_S))
    events += [_cut(sender, receiver, at) for sender, receiver in dict.fromkeys(in_flight)]
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
