"""The tables of the capacity page as Markdown, from results alone."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from hazelhollow.scale import budgets, report_claims
from hazelhollow.scale.report_claims import CLAIMS, verdict
from hazelhollow.scale.report_documents import Routes, documents, most, server_lists
from hazelhollow.scale.report_fit import Fit, Shape
from hazelhollow.scale.report_order import (
    ADDED_UP,
    BudgetSum,
    Passing,
    document_passings,
    order,
    sums,
)
from hazelhollow.scale.report_rows import Figure, Known, Mark, analyse
from hazelhollow.scale.results import (
    Axis,
    Comparison,
    Event,
    EventKind,
    Latency,
    Point,
    Results,
    Size,
)

NONE = "-"
NO_RUN = "no run yet"
NEVER = "not within the run"
ONE_SIZE = "measured at that size alone"
LATE = "the machine was too slow"
LEAST_RATE = 0.9  # of the planned requests, below which a figure says at how many it was measured
EVENTS = frozenset(EventKind)
PREFIXES = ((1e6, "M"), (1e3, "k"), (1.0, ""))
SECONDS = ((1.0, "s"), (1e-3, "ms"), (1e-6, "µs"))
AXIS_WORDS = {
    Axis.LIMITERS: "limiters",
    Axis.SERVERS: "servers",
    Axis.ROUTES: "routes",
    Axis.TENANTS: "tenants",
    Axis.CONFIGURATION: "routes changed",
    Axis.ALL: "fraction of the plan",
}


class Run(msgspec.Struct, frozen=True):
    """Results with the name of the file that they came from."""

    name: str
    results: Results


class Runs(msgspec.Struct, frozen=True):
    """`now`: what the figures are made of. `before`: of an earlier program, shown beside them."""

    now: tuple[Run, ...]
    before: tuple[Run, ...] = ()

    def of_the_plan(self) -> Runs:
        """Without those that were made for the figures of the first look alone, whose base is
        another.
        """
        return Runs(
            *(
                tuple(run for run in group if run.results.plan != report_claims.PLAN)
                for group in (self.now, self.before)
            )
        )


def tables(runs: Runs) -> dict[str, str]:
    """Each table by the name that its block of the page has."""
    planned = runs.of_the_plan()
    now = analyse([run.results for run in planned.now])
    before = analyse([run.results for run in planned.before])
    return {
        "runs": runs_table((*runs.now, *runs.before)),
        "figures": figures_table(now, before),
        "slopes": slopes_table(now),
        "sums": sums_table(sums(now), sums(before)),
        "order": order_table(order(now, document_passings(now.planned))),
        "order-before": order_table(order(before)),
        "events": events_table(planned),
        "latency": latency_table(planned),
        "comparison": comparison_table(planned),
        "quotas": quotas_table(planned),
        "claims": claims_table(runs),
        "documents": documents_table(),
        "lists": lists_table(),
    }


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A Markdown table; a line that says so where there are no rows."""
    lines = [_line(row) for row in rows]
    if not lines:
        return NO_RUN
    return "\n".join([_line(heads), _line(["---"] * len(heads)), *lines])


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


# Figures as text


def shown(value: float | None, unit: str) -> str:
    """Three digits with the unit, in the size that reads best."""
    if value is None:
        return NONE
    if math.isinf(value):
        return NEVER if value > 0.0 else NONE
    if unit == "s":
        return _seconds(value)
    if unit == "core":
        return f"{digits(100.0 * value)}% of a core"
    for size, prefix in PREFIXES:
        if abs(value) >= size:
            return f"{digits(value / size)} {prefix}{unit}"
    return f"{digits(value)} {unit}"


def digits(value: float) -> str:
    """Three significant digits, whole numbers from a hundred on."""
    if value == 0.0:
        return "0"
    places = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:,.{min(places, 6)}f}"


def percent(share: float | None) -> str:
    """A share of a budget."""
    if share is None:
        return NONE
    return "without bound" if math.isinf(share) else f"{digits(100.0 * share)}%"


def size_text(size: Size) -> str:
    """A size in one cell."""
    return (
        f"{size.limiters:,} limiters, {size.servers:,} servers, {size.routes:,} routes, "
        f"{size.tenants:,} tenants, "
        f"{size.requests_per_s:g} requests/s"
    )


def mark_text(figure: Figure) -> str:
    """The mark, with how far the figure was carried, along which axes nothing is known and at how
    many requests it was run.
    """
    words = str(figure.mark)
    if figure.mark is Mark.EXTRAPOLATED or (figure.mark is Mark.MODELLED and figure.factor > 1.0):
        words += f" ({digits(figure.factor)} times the measured size)"
    if figure.without and figure.mark is not Mark.UNKNOWN:
        words += _without(figure.without)
    if 0.0 < figure.rate < LEAST_RATE * budgets.PLANNED.requests_per_s:
        words += f", at {figure.rate:g} requests/s"
    return words


def _without(axes: Sequence[Axis]) -> str:
    return ", without " + ", ".join(axes) if axes else ""


def formula(curve: Fit, axis: Axis, unit: str) -> str:
    """The fitted curve in words of its axis."""
    size = "N" if curve.shape is Shape.LINEAR else "ln N"
    sign = "+" if curve.slope >= 0.0 else "-"
    return (
        f"{shown(curve.intercept, unit)} {sign} {shown(abs(curve.slope), unit)} x {size} "
        f"({curve.samples} points, off by {percent(curve.error)} at most)"
    )


def _seconds(value: float) -> str:
    for size, unit in SECONDS:
        if abs(value) >= size:
            return f"{digits(value / size)} {unit}"
    return f"{digits(value * 1e6)} µs"


# Tables


def runs_table(runs: Iterable[Run]) -> str:
    """Which file was measured where, on which commit."""
    return table(
        [
            "file",
            "commit",
            "began",
            "machine",
            "load at the begin",
            "points",
            "latencies",
            "comparisons",
        ],
        (
            [
                run.name,
                run.results.commit[:12],
                run.results.began,
                (
                    f"{run.results.machine.cores} cores, "
                    f"{shown(run.results.machine.memory_bytes, 'B')}, Python "
                    f"{run.results.machine.python}"
                ),
                digits(run.results.machine.load),
                str(len(run.results.points)),
                str(len(run.results.latencies)),
                str(len(run.results.comparisons)),
            ]
            for run in runs
        ),
    )


def figures_table(now: Known, before: Known) -> str:
    """Each quantity at the planned size."""
    rows = []
    for row in now.rows:
        if row.quantity.part in EVENTS and not row.observations:
            continue  # events have a table of their own
        budget = row.quantity.budget
        value = row.figure.value
        earlier = before.row(row.quantity)
        rows.append(
            [
                row.quantity.part,
                row.quantity.resource,
                shown(value, row.quantity.unit),
                mark_text(row.figure),
                percent(value / budget.limit if budget and value is not None else None),
                shown(earlier.figure.value if earlier else None, row.quantity.unit),
            ]
        )
    return table(["part", "quantity", "at the plan", "how known", "of its budget", "before"], rows)


def slopes_table(known: Known) -> str:
    """Each fitted curve with the range measured."""
    return table(
        ["part", "quantity", "axis", "formula", "measured from", "to", "at the plan", "how known"],
        (
            [
                row.quantity.part,
                row.quantity.resource,
                AXIS_WORDS[slope.axis],
                formula(slope.curve, slope.axis, row.quantity.unit),
                digits(slope.curve.least),
                digits(slope.curve.most),
                shown(slope.figure.value, row.quantity.unit),
                mark_text(slope.figure),
            ]
            for row in known.rows
            for slope in row.slopes
        ),
    )


def sums_table(now: Sequence[BudgetSum], before: Sequence[BudgetSum]) -> str:
    """Each budget with what is left of it."""
    rows = []
    for one, earlier in zip(now, before, strict=True):
        unit = one.budget.unit
        rows.append(
            [
                one.budget.name + (" (derived)" if one.budget.derived else ""),
                shown(one.budget.limit, unit),
                "sum" if one.budget in ADDED_UP else "dearest",
                _sum_text(one),
                _left_text(one),
                ", ".join(row.quantity.part for row in one.unknown) or "none",
                shown(earlier.value, unit),
            ]
        )
    return table(["budget", "limit", "by", "at the plan", "left", "not known", "before"], rows)


def _sum_text(one: BudgetSum) -> str:
    if one.value is None:
        return str(Mark.UNKNOWN)
    least = "at least " if one.unknown else ""
    return least + shown(one.value, one.budget.unit)


def _left_text(one: BudgetSum) -> str:
    """What is left, at most so much where parts are not known."""
    if one.left is None:
        return str(Mark.UNKNOWN)
    most = "at most " if one.unknown else ""
    return most + shown(one.left, one.budget.unit)


def order_table(passings: Sequence[Passing]) -> str:
    """The order in which budgets are passed, and below it what is not known."""
    known = [one for one in passings if one.mark is not Mark.UNKNOWN]
    unknown = [one.name for one in passings if one.mark is Mark.UNKNOWN]
    text = table(
        ["", "what", "budget", "passed at", "of its budget at the plan", "how known"],
        (
            [
                str(place),
                one.name,
                f"{one.budget.name}, {shown(one.budget.limit, one.budget.unit)}",
                _passed(one),
                percent(one.share),
                one.mark + _without(one.without) if one.fitted else ONE_SIZE,
            ]
            for place, one in enumerate(known, 1)
        ),
    )
    return f"{text}\n\nNot known: {'; '.join(unknown)}." if unknown else text


def _passed(one: Passing) -> str:
    if one.fraction is None:
        return "not up to ten times the plan" if one.fitted else "not at the plan; no slope"
    if one.fraction == 0.0:
        return "any size"
    if not one.fitted:
        return f"{percent(one.fraction)} of the plan or before; no slope"
    return f"{percent(one.fraction)} of the plan"


def _points(runs: Runs) -> Iterable[tuple[str, Point]]:
    for state, group in (("now", runs.now), ("before", runs.before)):
        for run in group:
            for point in run.results.points:
                yield state, point


def events_table(runs: Runs) -> str:
    """What each event did."""
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
            [state, event.kind, size_text(point.size), *_event_cells(event, point.timed(event))]
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
    """What each run let in, against one store that sees every request at once."""
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
    """What a limiter adds to a request."""
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
                size_text(one.size),
                f"{one.requests:,}",
                percent(one.left_out),
                *_latency_cells(one),
            ]
            for state, group in (("now", runs.now), ("before", runs.before))
            for run in group
            for one in run.results.latencies
        ),
    )


def _latency_cells(one: Latency) -> list[str]:
    return [
        shown(value, "s")
        for value in (
            one.direct_median_s,
            one.direct_p99_s,
            one.limiter_median_s,
            one.limiter_p99_s,
            one.limiter_median_s - one.direct_median_s,
            one.limiter_p99_s - one.direct_p99_s,
        )
    ]


def comparison_table(runs: Runs) -> str:
    """Hollow limiters against real processes."""
    return table(
        ["program", "figure", "real", "hollow", "apart by", "margin", "alike"],
        (
            [
                state,
                one.figure,
                shown(one.real, one.unit),
                shown(one.hollow, one.unit),
                *_alike_cells(one),
            ]
            for state, group in (("now", runs.now), ("before", runs.before))
            for run in group
            for one in run.results.comparisons
        ),
    )


def _alike_cells(one: Comparison) -> list[str]:
    apart = distance(one)
    return [percent(apart), percent(one.margin), "yes" if apart <= one.margin else "**no**"]


def distance(one: Comparison) -> float:
    """By how much the hollow figure differs, as a part of the real one."""
    if one.real == one.hollow:
        return 0.0
    return abs(one.hollow - one.real) / abs(one.real) if one.real else math.inf


def claims_table(runs: Runs) -> str:
    """Figures from a first look against what the program that they were of gave here.

    And what it gives now.
    """
    before, now = ([run.results for run in group] for group in (runs.before, runs.now))
    rows = []
    for claim in CLAIMS:
        earlier, later = claim.measure(before), claim.measure(now)
        rows.append(
            [
                claim.text,
                shown(claim.first, claim.unit),
                shown(earlier, claim.unit),
                verdict(claim.first, earlier),
                shown(later, claim.unit),
            ]
        )
    return table(["figure", "first look", "measured before", "", "now"], rows)


def documents_table() -> str:
    """The settings document by its routes."""
    text = table(
        ["routes", "", "bytes", "characters compressed", "pieces", "members can hand it on"],
        (
            [
                f"{one.routes:,}",
                one.kind,
                f"{one.size:,}",
                f"{one.characters:,}",
                f"{one.pieces:,}",
                "yes" if one.travels else "**no**",
            ]
            for one in documents()
        ),
    )
    reach = "; ".join(
        (
            f"{kind} routes: up to {most(kind):,}, "
            f"{percent(most(kind) / budgets.PLANNED.routes)} of the plan"
        )
        for kind in Routes
    )
    return f"{text}\n\nWorked out from the code, not run. The most that can be handed on, {reach}."


def lists_table() -> str:
    """The whole list of servers by its length."""
    return table(
        ["servers", "bytes of a whole list", "taken by a limiter"],
        (
            [f"{one.servers:,}", f"{one.size:,}", "yes" if one.taken else "**no**"]
            for one in server_lists()
        ),
    )
