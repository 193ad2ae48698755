"""One point of the results from the reports of all workers.

The coordinator calls `assemble_point` once all workers have reported. Totals are added up, each
event becomes one record, quotas are judged over all requests, and notes say what a reader of the
figures must know.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

from hazelhollow.scale import measure, truth
from hazelhollow.scale.load import populate
from hazelhollow.scale.messages import Lag, Report, SeenEvent
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
    """What the workers measured together.

    Args:
        plan: The plan that the point belongs to.
        planned: The point.
        dilation: Real seconds for one second of the run's clock.
        reports: Of all workers.
        rows: All requests in the order of their times.
    """
    limiters = sum(report.limiters for report in reports)
    seconds = sum(report.limiters * report.seconds for report in reports) / limiters
    events = _by_event(reports)
    total_quotas, *quotas_by_event = truth.judge(
        rows, populate(planned.size, planned.fleet, plan.seed), _windows(reports, events)
    )
    totals = measure.zero_totals()
    for report in reports:
        for role, of_worker in report.roles.items():
            totals[role].add(of_worker)
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
            _event(seen, quotas) for seen, quotas in zip(events, quotas_by_event, strict=True)
        ),
        notes=tuple(_notes(plan, planned, reports)),
    )


def _windows(
    reports: Sequence[Report], events: Sequence[Sequence[SeenEvent]]
) -> list[truth.Window]:
    """The time of measuring, then the window of each event."""
    shortest = min(report.seconds for report in reports)
    measured_at = max(report.measured_at_s for report in reports)
    windows = [truth.Window(measured_at, measured_at + shortest)]
    windows += [truth.Window(seen[0].at_s, seen[0].at_s + seen[0].window_s) for seen in events]
    return windows


def _by_event(reports: Sequence[Report]) -> list[list[SeenEvent]]:
    """Events that all workers have seen to their end, each with what every worker saw."""
    return [list(same) for same in zip(*(report.events for report in reports), strict=False)]


def _event(seen: Sequence[SeenEvent], quotas: Quotas) -> Event:
    traffic, members = measure.Traffic(), sum(by_worker.members for by_worker in seen)
    for by_worker in seen:
        traffic.add(by_worker.traffic)
    return Event(
        kind=seen[0].kind,
        at_s=seen[0].at_s,
        until_agreed=spread([value for by_worker in seen for value in by_worker.until]),
        worst_second_bytes_mean=traffic.worst_mean_rate(1, members, seen[0].window_s),
        worst_second_bytes_most=float(max(traffic.most.values(), default=0)),
        worst_ten_seconds_bytes_mean=traffic.worst_mean_rate(10, members, seen[0].window_s),
        false_deaths=len({number for by_worker in seen for number in by_worker.falsely_dead}),
        quotas=quotas,
        longest_turn_s=max(by_worker.longest_turn_s for by_worker in seen),
    )


def spread(values: Sequence[float | None]) -> Spread:
    """Median, 99th percentile and worst of the members that agreed, and how many did not (None)."""
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
    """The least value that at least this share of the sorted values does not exceed."""
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


# Notes, in the order in which results have them


def _notes(plan: Plan, planned: PlannedPoint, reports: Sequence[Report]) -> list[str]:
    """What a reader of the figures must know."""
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
    of_roles = sum(totals.cpu_ns for report in reports for totals in report.roles.values()) / 1e9
    whole = sum(report.processor_s for report in reports)
    if not whole:
        return []
    waited = sum(report.waited_s for report in reports)
    return [
        f"the workers ran for {whole:.1f} s while measuring, and waited {waited:.1f} "
        "s for a processor",
        f"{1 - of_roles / whole:.0%} of the workers' processor time is of no role: the "
        "load, the loop, the collector",
    ]


def _lag_notes(reports: Sequence[Report]) -> list[str]:
    """Where the figures of time are not valid because workers were too slow."""
    measuring = Lag()
    for report in reports:
        measuring.add(report.lag)
    notes = [_lag_note("measuring", measuring)] if fell_behind(measuring) else []
    for seen in _by_event(reports):
        lag = Lag()
        for by_worker in seen:
            lag.add(by_worker.lag)
        if fell_behind(lag):
            notes.append(_lag_note(seen[0].kind.value, lag))
    return notes


def _lag_note(stage: str, lag: Lag) -> str:
    return (
        f"{stage}: workers fell behind the clock, by {lag.worst_s:.2f} s at the worst, in "
        f"{lag.late} of {lag.looks} looks:"
        f" {NO_TIMES}"
    )
