"""Renders the tables of the capacity page as Markdown."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from hazelhollow.scale import budgets
from hazelhollow.scale.report_claims import CLAIMS, verdict
from hazelhollow.scale.report_documents import RouteKind, documents, max_routes, server_lists
from hazelhollow.scale.report_order import (
    SUMMED_BUDGETS,
    BudgetSum,
    Passing,
    document_passings,
    order,
    sums,
)
from hazelhollow.scale.report_rows import Analysis, Mark, analyse
from hazelhollow.scale.report_run_tables import (
    comparison_table,
    events_table,
    latency_table,
    quotas_table,
)
from hazelhollow.scale.report_runs import Run, Runs
from hazelhollow.scale.report_text import (
    AXIS_WORDS,
    format_number,
    format_percent,
    format_value,
    formula,
    mark_text,
    table,
    unmeasured_text,
)
from hazelhollow.scale.results import EventKind

ONE_SIZE = "measured at that size alone"
EVENTS = frozenset(EventKind)


def tables(runs: Runs) -> dict[str, str]:
    """Returns each table by the name of its block on the page."""
    planned = runs.without_first_look()
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


def runs_table(runs: Iterable[Run]) -> str:
    """Returns a table of the results files with the commit and machine of each."""
    return table(
        [
            "file",
            "commit",
            "began",
            "machine",
            "load at the start",
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
                    f"{format_value(run.results.machine.memory_bytes, 'B')}, Python "
                    f"{run.results.machine.python}"
                ),
                format_number(run.results.machine.load),
                str(len(run.results.points)),
                str(len(run.results.latencies)),
                str(len(run.results.comparisons)),
            ]
            for run in runs
        ),
    )


def figures_table(now: Analysis, before: Analysis) -> str:
    """Returns a table of each quantity at the planned size."""
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
                format_value(value, row.quantity.unit),
                mark_text(row.figure),
                format_percent(value / budget.limit if budget and value is not None else None),
                format_value(earlier.figure.value if earlier else None, row.quantity.unit),
            ]
        )
    return table(
        ["part", "quantity", "at planned size", "how obtained", "share of budget", "before"], rows
    )


def slopes_table(analysis: Analysis) -> str:
    """Returns a table of the fitted curves with the range of sizes measured."""
    return table(
        [
            "part",
            "quantity",
            "axis",
            "formula",
            "measured from",
            "to",
            "at planned size",
            "how obtained",
        ],
        (
            [
                row.quantity.part,
                row.quantity.resource,
                AXIS_WORDS[slope.axis],
                formula(slope.curve, row.quantity.unit),
                format_number(slope.curve.smallest_size),
                format_number(slope.curve.greatest_size),
                format_value(slope.figure.value, row.quantity.unit),
                mark_text(slope.figure),
            ]
            for row in analysis.rows
            for slope in row.slopes
        ),
    )


def sums_table(now: Sequence[BudgetSum], before: Sequence[BudgetSum]) -> str:
    """Returns a table of the budgets with what is left of each."""
    rows = []
    for total, earlier in zip(now, before, strict=True):
        unit = total.budget.unit
        rows.append(
            [
                total.budget.name + (" (derived)" if total.budget.derived else ""),
                format_value(total.budget.limit, unit),
                "sum" if total.budget in SUMMED_BUDGETS else "dearest",
                _sum_text(total),
                _left_text(total),
                ", ".join(row.quantity.part for row in total.rows_without_figure) or "none",
                format_value(earlier.value, unit),
            ]
        )
    return table(["budget", "limit", "by", "at planned size", "left", "not known", "before"], rows)


def _sum_text(total: BudgetSum) -> str:
    if total.value is None:
        return str(Mark.UNKNOWN)
    bound = "at least " if total.rows_without_figure else ""
    return bound + format_value(total.value, total.budget.unit)


def _left_text(total: BudgetSum) -> str:
    """Returns what is left of a budget, as an upper bound if some rows have no figure."""
    if total.left is None:
        return str(Mark.UNKNOWN)
    bound = "at most " if total.rows_without_figure else ""
    return bound + format_value(total.left, total.budget.unit)


def order_table(passings: Sequence[Passing]) -> str:
    """Returns a table of the order in which budgets are passed, and a list of unknown passings."""
    ranked = [passing for passing in passings if passing.mark is not Mark.UNKNOWN]
    unranked = [passing.name for passing in passings if passing.mark is Mark.UNKNOWN]
    text = table(
        ["", "what", "budget", "passed at", "share of budget at planned size", "how obtained"],
        (
            [
                str(place),
                passing.name,
                f"{passing.budget.name}, {format_value(passing.budget.limit, passing.budget.unit)}",
                _passed(passing),
                format_percent(passing.share),
                passing.mark + unmeasured_text(passing.unmeasured_axes)
                if passing.fitted
                else ONE_SIZE,
            ]
            for place, passing in enumerate(ranked, 1)
        ),
    )
    return f"{text}\n\nNot known: {'; '.join(unranked)}." if unranked else text


def _passed(passing: Passing) -> str:
    if passing.fraction is None:
        return "not up to ten times the plan" if passing.fitted else "not at planned size; no slope"
    if passing.fraction == 0.0:
        return "any size"
    if not passing.fitted:
        return f"{format_percent(passing.fraction)} of the plan or below; no slope"
    return f"{format_percent(passing.fraction)} of the plan"


def claims_table(runs: Runs) -> str:
    """Returns a table of the claims beside the figures of the earlier and the current runs."""
    before, now = ([run.results for run in group] for group in (runs.before, runs.now))
    rows = []
    for claim in CLAIMS:
        earlier, later = claim.measure(before), claim.measure(now)
        rows.append(
            [
                claim.text,
                format_value(claim.claimed, claim.unit),
                format_value(earlier, claim.unit),
                verdict(claim.claimed, earlier),
                format_value(later, claim.unit),
            ]
        )
    return table(["figure", "first look", "measured before", "", "now"], rows)


def documents_table() -> str:
    """Returns a table of the settings document by number of routes."""
    text = table(
        ["routes", "", "bytes", "characters compressed", "pieces", "members can distribute it"],
        (
            [
                f"{document.routes:,}",
                document.kind,
                f"{document.size:,}",
                f"{document.characters:,}",
                f"{document.pieces:,}",
                "yes" if document.distributable else "**no**",
            ]
            for document in documents()
        ),
    )
    limits = "; ".join(
        (
            f"{kind} routes: up to {max_routes(kind):,}, "
            f"{format_percent(max_routes(kind) / budgets.PLANNED.routes)} of the plan"
        )
        for kind in RouteKind
    )
    return f"{text}\n\nComputed, not run. Largest document that members can distribute, {limits}."


def lists_table() -> str:
    """Returns a table of the complete server list by number of servers."""
    return table(
        ["servers", "bytes of the complete list", "accepted by a limiter"],
        (
            [f"{each.servers:,}", f"{each.size:,}", "yes" if each.accepted else "**no**"]
            for each in server_lists()
        ),
    )
