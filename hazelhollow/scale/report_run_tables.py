"""Tables of the capacity report with one line per event, point, latency or comparison."""

from __future__ import annotations

import math
from collections.abc import Iterable

from hazelhollow.scale.report_runs import Runs
from hazelhollow.scale.report_text import (
    AXIS_WORDS,
    NONE,
    format_number,
    format_percent,
    format_value,
    size_text,
    table,
)
from hazelhollow.scale.results import Comparison, Event, Latency, Point

TOO_SLOW = "the machine was too slow"


def _points(runs: Runs) -> Iterable[tuple[str, Point]]:
    """Yields all points, each with the version of the program that was measured."""
    for program, group in (("now", runs.now), ("before", runs.before)):
        for run in group:
            for point in run.results.points:
                yield program, point


def events_table(runs: Runs) -> str:
    """Returns a table of the events of all runs and their effects."""
    return table(
        [
            "program",
            "event",
            "size",
            "settled: median",
            "99th percentile",
            "worst",
            "reached",
            "bytes per second: worst ten seconds, mean member",
            "worst second, worst member",
            "longest turn",
            "false deaths",
            "admitted beyond quotas",
            "rejected within quotas",
        ],
        (
            [
                program,
                event.kind,
                size_text(point.size),
                *_event_cells(event, point.has_valid_times(event)),
            ]
            for program, point in _points(runs)
            if point.whole_fleet
            for event in point.events
        ),
    )


def _event_cells(event: Event, timed: bool) -> list[str]:
    spread, quotas = event.until_agreed, event.quotas
    seconds = [format_value(value, "s") for value in (spread.median, spread.p99, spread.worst)]
    return [
        *(seconds if timed else [TOO_SLOW] * len(seconds)),
        f"{spread.reached} of {spread.of}",
        format_value(event.worst_ten_seconds_bytes_mean, "B/s"),
        format_value(event.worst_second_bytes_most, "B/s"),
        NONE if event.longest_turn_s is None else format_value(event.longest_turn_s, "s"),
        str(event.false_deaths),
        format_percent(quotas.beyond / quotas.let_in) if quotas and quotas.let_in else NONE,
        format_percent(quotas.refused_with_room / quotas.asked)
        if quotas and quotas.asked
        else NONE,
    ]


def quotas_table(runs: Runs) -> str:
    """Returns a table of units admitted, compared with one token bucket that sees every request."""
    return table(
        [
            "program",
            "axis",
            "size",
            "asked",
            "units admitted",
            "beyond quotas, of units admitted",
            "rejected within quotas, of units asked",
        ],
        (
            [
                program,
                AXIS_WORDS[point.axis],
                size_text(point.size),
                format_number(point.quotas.asked),
                format_number(point.quotas.let_in),
                format_percent(
                    point.quotas.beyond / point.quotas.let_in if point.quotas.let_in else None
                ),
                format_percent(
                    point.quotas.refused_with_room / point.quotas.asked
                    if point.quotas.asked
                    else None
                ),
            ]
            for program, point in _points(runs)
            if point.quotas
        ),
    )


def latency_table(runs: Runs) -> str:
    """Returns a table of the latency that a limiter adds to a request."""
    return table(
        [
            "program",
            "size",
            "requests",
            "excluded, client late",
            "direct: median",
            "99th percentile",
            "through the limiter: median",
            "99th percentile",
            "added: median",
            "99th percentile",
        ],
        (
            [
                program,
                size_text(latency.size),
                f"{latency.requests:,}",
                format_percent(latency.left_out),
                *_latency_cells(latency),
            ]
            for program, group in (("now", runs.now), ("before", runs.before))
            for run in group
            for latency in run.results.latencies
        ),
    )


def _latency_cells(latency: Latency) -> list[str]:
    return [
        format_value(value, "s")
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
    """Returns a table that compares hollow limiters with real processes."""
    return table(
        ["program", "figure", "real", "hollow", "relative difference", "margin", "alike"],
        (
            [
                program,
                comparison.figure,
                format_value(comparison.real, comparison.unit),
                format_value(comparison.hollow, comparison.unit),
                *_difference_cells(comparison),
            ]
            for program, group in (("now", runs.now), ("before", runs.before))
            for run in group
            for comparison in run.results.comparisons
        ),
    )


def _difference_cells(comparison: Comparison) -> list[str]:
    deviation = relative_difference(comparison)
    return [
        format_percent(deviation),
        format_percent(comparison.margin),
        "yes" if deviation <= comparison.margin else "**no**",
    ]


def relative_difference(comparison: Comparison) -> float:
    """Returns how far the hollow figure is from the real one, as a fraction of the real one."""
    if comparison.real == comparison.hollow:
        return 0.0
    return (
        abs(comparison.hollow - comparison.real) / abs(comparison.real)
        if comparison.real
        else math.inf
    )
