"""Totals by budget, what is left of each, and the order in which budgets are passed.

`report_tables` renders the totals and the order. A budget is passed at the lowest fraction of the
planned size at which a row or a total exceeds it, with all axes at the same fraction.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import msgspec

from hazelhollow.scale import budgets
from hazelhollow.scale.budgets import Budget
from hazelhollow.scale.report_documents import RouteKind, max_routes
from hazelhollow.scale.report_observations import coordinate
from hazelhollow.scale.report_rows import Analysis, Mark, Row
from hazelhollow.scale.results import Axis, Size

# Budgets whose rows are added up; for every other budget only the greatest row counts.
SUMMED_BUDGETS = (budgets.CONTROL_CPU, budgets.CONTROL_BYTES)
MIN_FRACTION = 0.001  # fraction of the plan at which the search starts
MAX_FRACTION = 10.0  # fraction of the plan at which the search ends
SEARCH_STEPS = 400  # evenly spaced on a logarithmic scale
BISECTIONS = 40  # of the search step within which a budget is passed


class BudgetSum(msgspec.Struct, frozen=True, kw_only=True):
    """The use of one budget by its rows at the planned size.

    Attributes:
        budget: The budget.
        rows_with_figure: Rows whose figure is known.
        rows_without_figure: All other rows.
        value: The sum of the known figures, or the greatest of them; None if none is known.
    """

    budget: Budget
    rows_with_figure: tuple[Row, ...]
    rows_without_figure: tuple[Row, ...]
    value: float | None

    @property
    def left(self) -> float | None:
        """What is left of the budget; negative if it is passed, None if its use is not known."""
        return None if self.value is None else self.budget.limit - self.value


class Passing(msgspec.Struct, frozen=True, kw_only=True):
    """The fraction of the plan at which a row or a total passes its budget.

    Attributes:
        name: Of the row or total.
        budget: The budget.
        fraction: Fraction of the plan; 0: at any size; None: not known, or not passed up to
            `MAX_FRACTION`.
        share: Fraction of the budget used at the planned size; None: not known.
        mark: How the fraction was obtained.
        fitted: Whether the fraction follows from a slope. If not, it follows from runs at single
            sizes, and the budget may already be passed at a smaller size.
        unmeasured_axes: Axes along which nothing was measured.
    """

    name: str
    budget: Budget
    fraction: float | None
    share: float | None
    mark: Mark
    fitted: bool
    unmeasured_axes: tuple[Axis, ...] = ()


def sums(analysis: Analysis) -> tuple[BudgetSum, ...]:
    """Returns the total of each budget, in the order of `BUDGETS`."""
    return tuple(_sum(budget, analysis) for budget in budgets.BUDGETS)


def order(analysis: Analysis, additional: Sequence[Passing] = ()) -> tuple[Passing, ...]:
    """Returns the passings of all rows and totals with a budget, the lowest fraction first.

    Rows and totals that do not pass their budget follow, and unknown ones come last.

    Args:
        analysis: The rows.
        additional: Passings that are known without runs.
    """
    passings = [_row_passing(row, analysis) for row in analysis.rows if row.quantity.budget]
    passings += [
        _sum_passing(total, analysis) for total in sums(analysis) if total.budget in SUMMED_BUDGETS
    ]
    return tuple(sorted([*passings, *additional], key=_rank))


def document_passings(planned: Size) -> tuple[Passing, ...]:
    """Returns when a settings document becomes too large to distribute, so never takes effect."""
    return tuple(
        Passing(
            name=f"settings document of {kind} routes: distributable at all",
            budget=budgets.CHANGE_WORST,
            fraction=max_routes(kind) / planned.routes,
            share=math.inf if max_routes(kind) < planned.routes else 0.0,
            mark=Mark.MODELLED,
            fitted=True,
        )
        for kind in RouteKind
    )


def passing_fraction(value: Callable[[float], float | None], limit: float) -> float | None:
    """Returns the lowest fraction of the plan at which a value is above a limit.

    Args:
        value: Returns the value at a fraction of the plan; None: not known.
        limit: The limit.

    Returns:
        0 if the value is already above the limit at `MIN_FRACTION`; None if it stays within the
        limit up to `MAX_FRACTION`.
    """
    before = MIN_FRACTION
    if _above(value(MIN_FRACTION), limit):
        return 0.0
    for step in range(1, SEARCH_STEPS + 1):
        fraction = MIN_FRACTION * (MAX_FRACTION / MIN_FRACTION) ** (step / SEARCH_STEPS)
        if _above(value(fraction), limit):
            return _bisect(value, limit, before, fraction)
        before = fraction
    return None


def _above(value: float | None, limit: float) -> bool:
    return value is not None and value > limit


def _bisect(value: Callable[[float], float | None], limit: float, low: float, high: float) -> float:
    for _ in range(BISECTIONS):
        middle = (low + high) / 2.0
        if _above(value(middle), limit):
            high = middle
        else:
            low = middle
    return high


def _sum(budget: Budget, analysis: Analysis) -> BudgetSum:
    rows = [row for row in analysis.rows if row.quantity.budget == budget]
    with_figure = tuple(row for row in rows if row.figure.value is not None)
    values = [row.figure.value for row in with_figure if row.figure.value is not None]
    combined = sum(values) if budget in SUMMED_BUDGETS else max(values, default=0.0)
    return BudgetSum(
        budget=budget,
        rows_with_figure=with_figure,
        rows_without_figure=tuple(row for row in rows if row.figure.value is None),
        value=combined if values else None,
    )


def _row_passing(row: Row, analysis: Analysis) -> Passing:
    budget = row.quantity.budget
    assert budget is not None
    figure, fitted = row.figure, bool(row.slopes) or row.unreached_from is not None
    fraction = passing_fraction(
        lambda fraction: row.value_at(fraction, analysis.planned), budget.limit
    )
    if not fitted:
        fraction = row.lowest_fraction_above(budget.limit, analysis.planned)
    return Passing(
        name=row.quantity.name,
        budget=budget,
        fraction=fraction,
        share=None if figure.value is None else figure.value / budget.limit,
        mark=Mark.MEASURED if fraction is not None and not fitted else figure.mark,
        fitted=fitted,
        unmeasured_axes=figure.unmeasured_axes,
    )


def _sum_passing(total: BudgetSum, analysis: Analysis) -> Passing:
    """Returns the passing of a total, from the lower of two fractions.

    One follows from the slopes, the other from the smallest run whose rows together exceed the
    budget.
    """
    limit = total.budget.limit
    by_slopes = passing_fraction(
        lambda fraction: _sum_at(total.rows_with_figure, fraction, analysis), limit
    )
    lowest_run = _lowest_fraction_above(
        (*total.rows_with_figure, *total.rows_without_figure), limit, analysis.planned
    )
    run_is_lower = lowest_run is not None and (by_slopes is None or lowest_run < by_slopes)
    return Passing(
        name=f"sum: {total.budget.name}",
        budget=total.budget,
        fraction=lowest_run if run_is_lower else by_slopes,
        share=None if run_is_lower or total.value is None else total.value / limit,
        mark=Mark.MEASURED
        if run_is_lower
        else Mark.UNKNOWN
        if total.value is None
        else Mark.MODELLED,
        fitted=not run_is_lower and any(row.slopes for row in total.rows_with_figure),
    )


def _lowest_fraction_above(rows: Sequence[Row], limit: float, planned: Size) -> float | None:
    """Returns the lowest fraction of the plan at which a run's rows exceed the limit in total."""
    totals: dict[tuple[Axis, Size], dict[str, float]] = {}
    for row in rows:
        for observation in row.observations:
            by_row = totals.setdefault((observation.axis, observation.size), {})
            by_row[row.quantity.name] = max(observation.value, by_row.get(row.quantity.name, 0.0))
    above = [
        coordinate(size, axis, planned) / coordinate(planned, axis, planned)
        for (axis, size), by_row in totals.items()
        if sum(by_row.values()) > limit
    ]
    return min(above, default=None)


def _sum_at(rows: Sequence[Row], fraction: float, analysis: Analysis) -> float | None:
    values = [
        value for row in rows if (value := row.value_at(fraction, analysis.planned)) is not None
    ]
    return sum(values) if values else None


def _rank(passing: Passing) -> tuple[int, float, float]:
    """Returns the sort key: passed, not passed, not known; then the fraction, then the share."""
    share = -(passing.share or 0.0)
    if passing.mark is Mark.UNKNOWN:
        return 2, 0.0, share
    return (1, 0.0, share) if passing.fraction is None else (0, passing.fraction, share)
