"""Totals by budget, what is left of each, and the order in which budgets are passed.

`report_tables` shows both. A budget is passed at the least fraction of the planned size at which a
row or a total exceeds it, all axes growing alike.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import msgspec

from hazelhollow.scale import budgets
from hazelhollow.scale.budgets import Budget
from hazelhollow.scale.report_documents import Routes, most
from hazelhollow.scale.report_observations import coordinate
from hazelhollow.scale.report_rows import Known, Mark, Row
from hazelhollow.scale.results import Axis, Size

# Budgets whose rows are added up; of all others the greatest row counts.
ADDED_UP = (budgets.CONTROL_CPU, budgets.CONTROL_BYTES)
LEAST = 0.001  # fraction of the plan from which the search goes on
MOST = 10.0  # fraction of the plan at which the search ends
STEPS = 400  # of the search, evenly spaced on a logarithmic scale
HALVINGS = 40  # of the step in which a budget is passed


class BudgetSum(msgspec.Struct, frozen=True, kw_only=True):
    """What the rows of one budget use of it at the planned size.

    Attributes:
        budget: The budget.
        known: Rows whose figure is known.
        unknown: All other rows.
        value: Their sum, or the greatest; None where no row is known.
    """

    budget: Budget
    known: tuple[Row, ...]
    unknown: tuple[Row, ...]
    value: float | None

    @property
    def left(self) -> float | None:
        """What is left of the budget; negative where it is passed."""
        return None if self.value is None else self.budget.limit - self.value


class Passing(msgspec.Struct, frozen=True, kw_only=True):
    """When a row or a total passes its budget.

    Attributes:
        name: Of the row or total.
        budget: The budget.
        fraction: Of the plan; 0: at any size; None: not up to `MOST`, or not known.
        share: Of its budget at the planned size; None: not known.
        mark: How it is known.
        fitted: Whether it follows from a slope; else from runs at single sizes, so that it may be
            passed earlier.
        without: Axes along which nothing was measured.
    """

    name: str
    budget: Budget
    fraction: float | None
    share: float | None
    mark: Mark
    fitted: bool
    without: tuple[Axis, ...] = ()


def sums(known: Known) -> tuple[BudgetSum, ...]:
    """The total of each budget, in the order of `BUDGETS`."""
    return tuple(_sum(budget, known) for budget in budgets.BUDGETS)


def order(known: Known, more: Sequence[Passing] = ()) -> tuple[Passing, ...]:
    """When each row and total with a budget passes it, the first to pass first.

    Those that do not pass follow, and those that are not known come last.

    Args:
        known: The rows.
        more: What is known without runs.
    """
    passings = [_row_passing(row, known) for row in known.rows if row.quantity.budget]
    passings += [_sum_passing(total, known) for total in sums(known) if total.budget in ADDED_UP]
    return tuple(sorted([*passings, *more], key=_rank))


def document_passings(planned: Size) -> tuple[Passing, ...]:
    """When a settings document grows too large to be distributed, and so never takes effect."""
    return tuple(
        Passing(
            name=f"settings document of {kind} routes: handed on at all",
            budget=budgets.CHANGE_WORST,
            fraction=most(kind) / planned.routes,
            share=math.inf if most(kind) < planned.routes else 0.0,
            mark=Mark.MODELLED,
            fitted=True,
        )
        for kind in Routes
    )


def passes_at(value: Callable[[float], float | None], limit: float) -> float | None:
    """The least fraction of the plan at which a value is above a limit.

    Args:
        value: The value by fraction of the plan; None: not known.
        limit: The limit.

    Returns:
        0 if it is above already at `LEAST`, None if it is not above up to `MOST`.
    """
    before = LEAST
    if _above(value(LEAST), limit):
        return 0.0
    for step in range(1, STEPS + 1):
        fraction = LEAST * (MOST / LEAST) ** (step / STEPS)
        if _above(value(fraction), limit):
            return _bisect(value, limit, before, fraction)
        before = fraction
    return None


def _above(value: float | None, limit: float) -> bool:
    return value is not None and value > limit


def _bisect(value: Callable[[float], float | None], limit: float, low: float, high: float) -> float:
    for _ in range(HALVINGS):
        middle = (low + high) / 2.0
        if _above(value(middle), limit):
            high = middle
        else:
            low = middle
    return high


def _sum(budget: Budget, known: Known) -> BudgetSum:
    rows = [row for row in known.rows if row.quantity.budget == budget]
    with_figure = tuple(row for row in rows if row.figure.value is not None)
    values = [row.figure.value for row in with_figure if row.figure.value is not None]
    together = sum(values) if budget in ADDED_UP else max(values, default=0.0)
    return BudgetSum(
        budget=budget,
        known=with_figure,
        unknown=tuple(row for row in rows if row.figure.value is None),
        value=together if values else None,
    )


def _row_passing(row: Row, known: Known) -> Passing:
    budget = row.quantity.budget
    assert budget is not None
    figure, fitted = row.figure, bool(row.slopes) or row.never_from is not None
    fraction = passes_at(lambda fraction: row.at(fraction, known.planned), budget.limit)
    if not fitted:
        fraction = row.seen_above(budget.limit, known.planned)
    return Passing(
        name=row.quantity.name,
        budget=budget,
        fraction=fraction,
        share=None if figure.value is None else figure.value / budget.limit,
        mark=Mark.MEASURED if fraction is not None and not fitted else figure.mark,
        fitted=fitted,
        without=figure.without,
    )


def _sum_passing(total: BudgetSum, known: Known) -> Passing:
    """By the slopes, or by the least run whose rows together exceed the budget, if that is less."""
    limit = total.budget.limit
    by_slopes = passes_at(lambda fraction: _sum_at(total.known, fraction, known), limit)
    seen = _seen_above((*total.known, *total.unknown), limit, known.planned)
    by_run = seen is not None and (by_slopes is None or seen < by_slopes)
    return Passing(
        name=f"sum: {total.budget.name}",
        budget=total.budget,
        fraction=seen if by_run else by_slopes,
        share=None if by_run or total.value is None else total.value / limit,
        mark=Mark.MEASURED if by_run else Mark.UNKNOWN if total.value is None else Mark.MODELLED,
        fitted=not by_run and any(row.slopes for row in total.known),
    )


def _seen_above(rows: Sequence[Row], limit: float, planned: Size) -> float | None:
    """The least fraction of the plan at which the rows of one run exceeded the limit together."""
    totals: dict[tuple[Axis, Size], dict[str, float]] = {}
    for row in rows:
        for seen in row.observations:
            by_row = totals.setdefault((seen.axis, seen.size), {})
            by_row[row.quantity.name] = max(seen.value, by_row.get(row.quantity.name, 0.0))
    above = [
        coordinate(size, axis, planned) / coordinate(planned, axis, planned)
        for (axis, size), by_row in totals.items()
        if sum(by_row.values()) > limit
    ]
    return min(above, default=None)


def _sum_at(rows: Sequence[Row], fraction: float, known: Known) -> float | None:
    values = [value for row in rows if (value := row.at(fraction, known.planned)) is not None]
    return sum(values) if values else None


def _rank(passing: Passing) -> tuple[int, float, float]:
    """Key of the order: passed, not passed, not known; then the fraction, then the share."""
    share = -(passing.share or 0.0)
    if passing.mark is Mark.UNKNOWN:
        return 2, 0.0, share
    return (1, 0.0, share) if passing.fraction is None else (0, passing.fraction, share)
