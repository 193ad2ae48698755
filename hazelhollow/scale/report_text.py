"""Formats values and tables of the capacity report as text."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from hazelhollow.scale import budgets
from hazelhollow.scale.report_fit import Fit, Shape
from hazelhollow.scale.report_rows import Figure, Mark
from hazelhollow.scale.results import Axis, Size

NONE = "-"
NO_RUN = "no run yet"
NEVER = "not within the run"
# A figure measured at less than this fraction of the planned request rate is shown with its rate.
MIN_RATE_SHARE = 0.9
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


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a Markdown table, or `NO_RUN` if there are no rows."""
    lines = [_line(row) for row in rows]
    if not lines:
        return NO_RUN
    return "\n".join([_line(heads), _line(["---"] * len(heads)), *lines])


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def format_value(value: float | None, unit: str) -> str:
    """Returns a value with three significant digits, prefix and unit; `NONE` if not known."""
    if value is None:
        return NONE
    if math.isinf(value):
        return NEVER if value > 0.0 else NONE
    if unit == "s":
        return _seconds(value)
    if unit == "core":
        return f"{format_number(100.0 * value)}% of a core"
    for size, prefix in PREFIXES:
        if abs(value) >= size:
            return f"{format_number(value / size)} {prefix}{unit}"
    return f"{format_number(value)} {unit}"


def format_number(value: float) -> str:
    """Returns a number with three significant digits; from 100 on it is rounded to an integer."""
    if value == 0.0:
        return "0"
    places = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:,.{min(places, 6)}f}"


def format_percent(share: float | None) -> str:
    """Returns a share as a percentage; `NONE` if not known."""
    if share is None:
        return NONE
    return "without bound" if math.isinf(share) else f"{format_number(100.0 * share)}%"


def size_text(size: Size) -> str:
    """Returns a size as the text of one table cell."""
    return (
        f"{size.limiters:,} limiters, {size.servers:,} servers, {size.routes:,} routes, "
        f"{size.tenants:,} tenants, "
        f"{size.requests_per_s:g} requests/s"
    )


def mark_text(figure: Figure) -> str:
    """Returns how a figure was obtained.

    The text includes the factor of extrapolation, the axes along which nothing was measured, and
    the request rate of the runs if it was below `MIN_RATE_SHARE` of the planned rate.
    """
    text = str(figure.mark)
    if figure.mark is Mark.EXTRAPOLATED or (figure.mark is Mark.MODELLED and figure.factor > 1.0):
        text += f" ({format_number(figure.factor)} times the measured size)"
    if figure.unmeasured_axes and figure.mark is not Mark.UNKNOWN:
        text += unmeasured_text(figure.unmeasured_axes)
    if 0.0 < figure.rate < MIN_RATE_SHARE * budgets.PLANNED.requests_per_s:
        text += f", at {figure.rate:g} requests/s"
    return text


def unmeasured_text(axes: Sequence[Axis]) -> str:
    """Returns the axes along which nothing was measured; an empty text for none."""
    return ", not measured along " + ", ".join(axes) if axes else ""


def formula(curve: Fit, unit: str) -> str:
    """Returns the fitted curve as a formula of N, the size along its axis."""
    size = "N" if curve.shape is Shape.LINEAR else "ln N"
    sign = "+" if curve.slope >= 0.0 else "-"
    return (
        f"{format_value(curve.intercept, unit)} {sign} "
        f"{format_value(abs(curve.slope), unit)} x {size} "
        f"({curve.samples} points, error at most {format_percent(curve.error)})"
    )


def _seconds(value: float) -> str:
    for size, unit in SECONDS:
        if abs(value) >= size:
            return f"{format_number(value / size)} {unit}"
    return f"{format_number(value * 1e6)} µs"
