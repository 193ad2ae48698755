"""Assembles one point of the results from the reports of all workers.

The coordinator calls `assemble_point` after all workers have reported. It adds up the totals,
merges each event into one record, compares all requests with their quotas, and writes the notes
that a reader of the figures needs.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

from hazelhollow.scale import measure, truth
from hazelhollow.scale.load import populate
from hazelhollow.scale.messages import Lag, ObservedEvent, Report
from hazelhollow.scale.network import DatagramLedger
from hazelhollow.scale.plan import Plan, PlannedPoint
from hazelhollow.scale.results import NO_TIMES, Event, Point, Quotas, Spread
from hazelhollow.scale.worker import fell_behind


def assemble_point(
    plan: Plan,
    planned: PlannedPoint,
    dilation: float,
    reports: Sequence[Report],
    rows: Sequence[truth.Row],
) -> Point:
    """Returns the point that the workers measured together.

    Args:
        plan: The plan that the point belongs to.
        planned: The point.
        dilation: Real seconds for one second of the run's clock.
        reports: The reports of all workers.
        rows: All requests in the order of their times.
    """
    limiters = sum(report.limiters for report in reports)
    seconds = sum(report.limiters * report.seconds for report in reports) / limiters
    events = _by_event(reports)
    total_quotas, *quotas_by_event = truth.measure_quotas(
        rows, populate(planned.size, planned.fleet, plan.seed), _windows(reports, events)
    )
    totals = measure.zero_totals()
    for report in reports:
        for role, worker_totals in report.roles.items():
            totals[role].add(worker_totals)
    growth = sum(report.memory_after - report.memory_before for report in reports)
    return Point(
        axis=planned.axis,
        size=planned.size,
        seed=plan.seed,
        seconds=seconds,
        dilation=dilation,
        hollow=limiters,
        real=0,
        roles=measure.to_records(totals),
        loop_s=sum(report.loop_s for report in reports) / len(reports),
        memory_bytes=max(0.0, growth / limiters),
        quotas=total_quotas,
        events=tuple(
            _event(observations, quotas)
            for observations, quotas in zip(events, quotas_by_event, strict=True)
        ),
        notes=tuple(_notes(plan, planned, reports)),
    )


def _windows(
    reports: Sequence[Report], events: Sequence[Sequence[ObservedEvent]]
) -> list[truth.Window]:
    """Returns the window of the measurement, then that of each event."""
    shortest = min(report.seconds for report in reports)
    measured_at = max(report.measured_at_s for report in reports)
    windows = [truth.Window(measured_at, measured_at + shortest)]
    windows += [
        truth.Window(observations[0].at_s, observations[0].at_s + observations[0].window_s)
        for observations in events
    ]
    return windows


def _by_event(reports: Sequence[Report]) -> list[list[ObservedEvent]]:
    """Groups the workers' observations by event; drops events that a worker did not complete."""
    return [
        list(observations)
        for observations in zip(*(report.events for report in reports), strict=False)
    ]


def _event(observations: Sequence[ObservedEvent], quotas: Quotas) -> Event:
    traffic, members = measure.Traffic(), sum(observation.members for observation in observations)
    for observation in observations:
        traffic.add(observation.traffic)
    return Event(
        kind=observations[0].kind,
        at_s=observations[0].at_s,
        until_agreed=spread([value for observation in observations for value in observation.until]),
        worst_second_bytes_mean=traffic.worst_mean_rate(1, members, observations[0].window_s),
        worst_second_bytes_most=float(max(traffic.most.values(), default=0)),
        worst_ten_seconds_bytes_mean=traffic.worst_mean_rate(10, members, observations[0].window_s),
        false_deaths=len(
            {number for observation in observations for number in observation.falsely_dead}
        ),
        quotas=quotas,
        longest_turn_s=max(observation.longest_turn_s for observation in observations),
    )


def spread(values: Sequence[float | None]) -> Spread:
    """Returns median, 99th percentile and worst of the members that agreed, and their number.

    Args:
        values: Seconds of each member; None for a member that did not agree.
    """
    reached = sorted(value for value in values if value is not None)
    if not reached:
        return Spread(median=0.0, p99=0.0, worst=0.0, reached=0, of=len(values))
    return Spread(
        median=_quantile(reached, 0.5),
        p99=_quantile(reached, 0.99),
        worst=reached[-1],
        reached=len(reached),
        of=len(values),
    )


def _quantile(ordered: Sequence[float], share: float) -> float:
    """Returns the least of the sorted values that at least this share of them does not exceed."""
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


# Notes, in their order in the results


def _notes(plan: Plan, planned: PlannedPoint, reports: Sequence[Report]) -> list[str]:
    """Returns the notes that a reader of the figures needs."""
    notes = _ledger_notes(reports)
    notes += [f"worker {n}: {report.missing}" for n, report in enumerate(reports) if report.missing]
    notes += _lag_notes(reports)
    if planned.size.requests_per_s < plan.planned.requests_per_s:
        rate = planned.size.requests_per_s
        notes.append(
            f"{rate:g} requests a second a limiter, {plan.planned.requests_per_s:g} are planned"
        )
    return notes + _refusal_notes(reports) + _memory_notes(reports) + _processor_notes(reports)


def _ledger_notes(reports: Sequence[Report]) -> list[str]:
    ledger = DatagramLedger()
    for report in reports:
        ledger.add(report.ledger)
    notes = [
        f"datagrams of the whole run: out {ledger.out}, in {ledger.came}, cut "
        f"{ledger.cut}, to limiters that are down or"
        f" not played {ledger.to_dead}, dropped by the system {ledger.dropped}"
    ]
    if ledger.out != ledger.came + ledger.lost():
        notes.append(f"{ledger.out - ledger.came - ledger.lost()} datagrams are not accounted for")
    return notes


def _refusal_notes(reports: Sequence[Report]) -> list[str]:
    refusals = Counter[str]()
    for report in reports:
        refusals.update(report.refusals)
    if not refusals:
        return []
    by_reason = ", ".join(f"{reason} {count}" for reason, count in refusals.most_common())
    return [f"refused from the start to the end of measuring, by reason: {by_reason}"]


def _memory_notes(reports: Sequence[Report]) -> list[str]:
    before = max(report.memory_before for report in reports)
    notes = [f"a worker has {before / 2**20:.0f} MB before its limiters, which memory leaves out"]
    if any(report.shared_settings for report in reports):
        notes.append(
            "the limiters of a process share one settings object, so that memory tells "
            "less than a real one's"
        )
    return notes


def _processor_notes(reports: Sequence[Report]) -> list[str]:
    role_cpu_s = sum(totals.cpu_ns for report in reports for totals in report.roles.values()) / 1e9
    process_cpu_s = sum(report.processor_s for report in reports)
    if not process_cpu_s:
        return []
    waited = sum(report.waited_s for report in reports)
    return [
        f"the workers ran for {process_cpu_s:.1f} s while measuring, and waited {waited:.1f} "
        "s for a processor",
        f"{1 - role_cpu_s / process_cpu_s:.0%} of the workers' processor time is of no role: the "
        "load, the loop, the collector",
    ]


def _lag_notes(reports: Sequence[Report]) -> list[str]:
    """Returns a note for each stage whose times are invalid because workers were too slow."""
    measuring = Lag()
    for report in reports:
        measuring.add(report.lag)
    notes = [_lag_note("measuring", measuring)] if fell_behind(measuring) else []
    for observations in _by_event(reports):
        lag = Lag()
        for observation in observations:
            lag.add(observation.lag)
        if fell_behind(lag):
            notes.append(_lag_note(observations[0].kind.value, lag))
    return notes


def _lag_note(stage: str, lag: Lag) -> str:
    return (
        f"{stage}: workers fell behind the clock, by {lag.worst_s:.2f} s at the worst, in "
        f"{lag.late} of {lag.looks} looks:"
        f" {NO_TIMES}"
    )
