"""Figures of hollow limiters, which are compared with those of real processes."""

from __future__ import annotations

import statistics

import msgspec

from hazelhollow.scale.comparison_plan import ROLES_WITH_DATAGRAMS, Figures, FleetPlan, Progress
from hazelhollow.scale.coordinator import Coordinator
from hazelhollow.scale.errors import MeasurementError
from hazelhollow.scale.plan import AxisPlan, Plan, PlannedEvent, PlannedPoint
from hazelhollow.scale.results import HEADER_BYTES, Axis, Event, EventKind, Point, Role
from hazelhollow.scale.worker import START_SPREAD_S

IDLE_RATE_PER_S = 0.001  # requests a second; practically none
CONTROL_ROLES = (Role.VIEW, Role.GOSSIP, Role.REPLICATION, Role.AUDIT, Role.TIMERS)


def hollow_figures(plan: FleetPlan, progress: Progress) -> Figures:
    """Plays a fleet of hollow limiters and returns its figures.

    Plays it at rest with one death, once for each planned death with its own seed, and once under
    load. Raises RunError or MeasurementError.
    """
    idle = [
        _play(plan, IDLE_RATE_PER_S, plan.seed + number, progress, death=True)
        for number in range(plan.deaths)
    ]
    loaded = _play(plan, plan.requests_per_s, plan.seed, progress, death=False)
    return {
        **figures_at_rest(idle[0]),
        **{
            name: value
            for name, value in _traffic(loaded, "under load").items()
            if name.endswith(Role.GOSSIP)
        },
        "agreed after the start, worst": agreed(idle[0], EventKind.START).until_agreed.worst
        - START_SPREAD_S,
        "agreed after one death, median": statistics.mean(
            _death(point).until_agreed.median for point in idle
        ),
        "agreed after one death, worst": statistics.mean(
            _death(point).until_agreed.worst for point in idle
        ),
    }


def figures_at_rest(point: Point) -> Figures:
    """Returns the traffic by role and the processor time of all control roles, without requests."""
    limiter_s = point.hollow * point.seconds
    control = sum(sums.cpu_s for sums in point.roles if sums.role in CONTROL_ROLES)
    return {**_traffic(point, "at rest"), "processor for control at rest": control / limiter_s}


def _traffic(point: Point, when: str) -> Figures:
    limiter_s = point.hollow * point.seconds
    figures: Figures = {}
    for sums in point.roles:
        if sums.role in ROLES_WITH_DATAGRAMS:
            figures[f"datagrams {when}, {sums.role}"] = sums.datagrams_out / limiter_s
            size = sums.bytes_out + HEADER_BYTES * sums.datagrams_out
            figures[f"bytes {when}, {sums.role}"] = size / limiter_s
    return figures


def agreed(point: Point, kind: EventKind) -> Event:
    """Returns the event of that kind; raises MeasurementError if a member did not agree."""
    event = next((event for event in point.events if event.kind is kind), None)
    if event is None or event.until_agreed.reached < event.until_agreed.of:
        raise MeasurementError(f"not all hollow limiters agreed after the event {kind}")
    return event


def _death(point: Point) -> Event:
    return agreed(point, EventKind.RACK_LOST)


def _play(plan: FleetPlan, rate: float, seed: int, progress: Progress, death: bool) -> Point:
    events = (PlannedEvent(kind=EventKind.RACK_LOST, window_s=plan.death_s),) if death else ()
    axis = AxisPlan(
        axis=Axis.LIMITERS,
        values=(plan.limiters,),
        settle_s=plan.settle_s if death else plan.settle_s + plan.rest_s,
        seconds=plan.rest_s,
        dilation=1.0,
        events=events,
    )
    size = msgspec.structs.replace(plan.size, requests_per_s=rate)
    single_point = Plan(
        name="compare",
        seed=seed,
        base=size,
        axes=(axis,),
        planned=size,
        workers=2,
        fleet=plan.terms,
    )
    progress(f"{plan.limiters} hollow limiters, {rate:g} requests/s, seed {seed}")
    return Coordinator(single_point, progress).play(
        PlannedPoint(Axis.LIMITERS, size, axis, plan.terms)
    )
