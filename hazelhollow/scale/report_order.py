"""Sums by budget, what is left of each.

And the order in which the budgets are passed as the fleet grows.
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

# of the other budgets the dearest row counts
ADDED_UP = (budgets.CONTROL_CPU, budgets.CONTROL_BYTES)
LEAST, MOST = 0.001, 10.0  # fractions of the plan between which a passing is looked for
STEPS = 400  # from the least to the most, evenly on a logarithmic scale
HALVINGS = 40


class BudgetSum(msgspec.Struct, frozen=True, kw_only=True):
    """What the rows of one budget take of it at the planned size.

    `value`: None where no row is known.
    """

    budget: Budget
    known: tuple[Row, ...]
    unknown: tuple[Row, ...]
    value: float | None

    @property
    def left(self) -> float | None:
        """Below nothing where the budget is passed."""
        return None if self.value is None else self.budget.limit - self.value


class Passing(msgspec.Struct, frozen=True, kw_only=True):
    """`fraction`.

    Of the plan at which a row or a sum passes its budget; 0: at any size; None: not up to MOST, or
    not known. `share`: of its budget at the planned size. `fitted`: a slope says so, and not runs
    at one size, which passed it there or before.
    """

    name: str
    budget: Budget
    fraction: float | None
    share: float | None
    mark: Mark
    fitted: bool
    without: tuple[Axis, ...] = ()  # axes along which nothing was measured


def sums(known: Known) -> tuple[BudgetSum, ...]:
    """One for each budget, in the order in which the budgets stand."""
    return tuple(_sum(budget, known) for budget in budgets.BUDGETS)


def order(known: Known, more: Sequence[Passing] = ()) -> tuple[Passing, ...]:
    """Rows and sums with a budget, and `more` that is known without runs.

    The first to pass first; those that do not pass next, what is not known last.
    """
    passings = [_row_passing(row, known) for row in known.rows if row.quantity.budget]
    passings += [_sum_passing(one, known) for one in sums(known) if one.budget in ADDED_UP]
    return tuple(sorted([*passings, *more], key=_rank))


def document_passings(planned: Size) -> tuple[Passing, ...]:
    """A settings document that members cannot hand on is never in force everywhere."""
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
    """The least fraction of the plan at which the value is above the limit.

    0 if it is so from the least on, None if it is not up to the greatest that is looked at.
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


def _sum_passing(one: BudgetSum, known: Known) -> Passing:
    """By the slopes.

    Or by the least size at which the rows of one run came to more, whichever is passed first.
    """
    limit = one.budget.limit
    by_slopes = passes_at(lambda fraction: _sum_at(one.known, fraction, known), limit)
    seen = _seen_above((*one.known, *one.unknown), limit, known.planned)
    by_run = seen is not None and (by_slopes is None or seen < by_slopes)
    return Passing(
        name=f"sum: {one.budget.name}",
        budget=one.budget,
        fraction=seen if by_run else by_slopes,
        share=None if by_run or one.value is None else one.value / limit,
        mark=Mark.MEASURED if by_run else Mark.UNKNOWN if one.value is None else Mark.MODELLED,
        fitted=not by_run and any(row.slopes for row in one.known),
    )


def _seen_above(rows: Sequence[Row], limit: float, planned: Size) -> float | None:
    """The least fraction of the plan at which the rows came to more than the limit in one run."""
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
    share = -(passing.share or 0.0)
    if passing.mark is Mark.UNKNOWN:
        return 2, 0.0, share
    return (1, 0.0, share) if passing.fraction is None else (0, passing.fraction, share)
