"""Tables of the capacity report with a line for each thing that was measured."""

from __future__ import annotations

import math
from collections.abc import Iterable

from hazelhollow.scale.report_runs import Runs
from hazelhollow.scale.report_text import (
    AXIS_WORDS,
    NONE,
    digits,
    percent,
    shown,
    size_text,
    table,
)
from hazelhollow.scale.results import Comparison, Event, Latency, Point

LATE = "the machine was too slow"


def _points(runs: Runs) -> Iterable[tuple[str, Point]]:
    """All points, each with the program that it is of."""
    for state, group in (("now", runs.now), ("before", runs.before)):
        for run in group:
            for point in run.results.points:
                yield state, point


def events_table(runs: Runs) -> str:
    """Each event of each run, and its effects."""
    return table(
        [
            "program",
            "event",
            "size",
            "settled: median",
            "99 in 100",
            "worst",
            "reached",
            "bytes a second: worst ten, mean member",
            "worst one, worst member",
            "longest turn",
            "false deaths",
            "let in beyond quotas",
            "refused with room",
        ],
        (
            [
                state,
                event.kind,
                size_text(point.size),
                *_event_cells(event, point.has_valid_times(event)),
            ]
            for state, point in _points(runs)
            if point.whole_fleet
            for event in point.events
        ),
    )


def _event_cells(event: Event, timed: bool) -> list[str]:
    spread, quotas = event.until_agreed, event.quotas
    seconds = [shown(value, "s") for value in (spread.median, spread.p99, spread.worst)]
    return [
        *(seconds if timed else [LATE] * len(seconds)),
        f"{spread.reached} of {spread.of}",
        shown(event.worst_ten_seconds_bytes_mean, "B/s"),
        shown(event.worst_second_bytes_most, "B/s"),
        NONE if event.longest_turn_s is None else shown(event.longest_turn_s, "s"),
        str(event.false_deaths),
        percent(quotas.beyond / quotas.let_in) if quotas and quotas.let_in else NONE,
        percent(quotas.refused_with_room / quotas.asked) if quotas and quotas.asked else NONE,
    ]


def quotas_table(runs: Runs) -> str:
    """What each run admitted, against one token bucket that sees every request."""
    return table(
        [
            "program",
            "axis",
            "size",
            "asked",
            "let in",
            "beyond, of what was let in",
            "refused with room, of what was asked",
        ],
        (
            [
                state,
                AXIS_WORDS[point.axis],
                size_text(point.size),
                digits(point.quotas.asked),
                digits(point.quotas.let_in),
                percent(point.quotas.beyond / point.quotas.let_in if point.quotas.let_in else None),
                percent(
                    point.quotas.refused_with_room / point.quotas.asked
                    if point.quotas.asked
                    else None
                ),
            ]
            for state, point in _points(runs)
            if point.quotas
        ),
    )


def latency_table(runs: Runs) -> str:
    """The latency that a limiter adds to a request."""
    return table(
        [
            "program",
            "size",
            "requests",
            "left out, client late",
            "straight: median",
            "99 in 100",
            "through: median",
            "99 in 100",
            "added: median",
            "99 in 100",
        ],
        (
            [
                state,
                size_text(latency.size),
                f"{latency.requests:,}",
                percent(latency.left_out),
                *_latency_cells(latency),
            ]
            for state, group in (("now", runs.now), ("before", runs.before))
            for run in group
            for latency in run.results.latencies
        ),
    )


def _latency_cells(latency: Latency) -> list[str]:
    return [
        shown(value, "s")
        for value in (
            latency.direct_median_s,
            latency.direct_p99_s,
            latency.limiter_median_s,
            latency.limiter_p99_s,
            latency.limiter_median_s - latency.direct_median_s,
            latency.limiter_p99_s - latency.direct_p99_s,
        )
    ]


def comparison_table(runs: Runs) -> str:
    """Hollow limiters against real processes."""
    return table(
        ["program", "figure", "real", "hollow", "apart by", "margin", "alike"],
        (
            [
                state,
                comparison.figure,
                shown(comparison.real, comparison.unit),
                shown(comparison.hollow, comparison.unit),
                *_alike_cells(comparison),
            ]
            for state, group in (("now", runs.now), ("before", runs.before))
            for run in group
            for comparison in run.results.comparisons
        ),
    )


def _alike_cells(comparison: Comparison) -> list[str]:
    apart = distance(comparison)
    return [
        percent(apart),
        percent(comparison.margin),
        "yes" if apart <= comparison.margin else "**no**",
    ]


def distance(comparison: Comparison) -> float:
    """By how much the hollow figure differs, as a part of the real comparison."""
    if comparison.real == comparison.hollow:
        return 0.0
    return (
        abs(comparison.hollow - comparison.real) / abs(comparison.real)
        if comparison.real
        else math.inf
    )
