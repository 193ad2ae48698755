"""Plots of fitted curves. Only this module imports matplotlib, an optional dependency."""

from __future__ import annotations

from pathlib import Path

import matplotlib
from matplotlib import pyplot

from hazelhollow.scale.report_observations import coordinate
from hazelhollow.scale.report_rows import Analysis, Row, Slope
from hazelhollow.scale.report_text import AXIS_WORDS

matplotlib.use("agg")  # a backend that needs no display

STEPS = 60  # line segments of a plotted curve
FIGURE_SIZE_INCHES = (6.0, 4.0)  # width and height


def slopes(analysis: Analysis, folder: Path) -> list[Path]:
    """Plots each slope into a folder, which is created if missing; raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    return [_draw(row, slope, analysis, folder) for row in analysis.rows for slope in row.slopes]


def _draw(row: Row, slope: Slope, analysis: Analysis, folder: Path) -> Path:
    target = coordinate(analysis.planned, slope.axis, analysis.planned)
    measured = [
        (coordinate(observation.size, slope.axis, analysis.planned), observation.value)
        for observation in row.observations
        if observation.axis is slope.axis
    ]
    start, end = slope.curve.smallest_size, max(target, slope.curve.greatest_size)
    sizes = [start + (end - start) * step / STEPS for step in range(STEPS + 1)]
    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_INCHES)
    axes.plot(
        sizes, [slope.curve.value_at(size) for size in sizes], label=f"fitted, {slope.curve.shape}"
    )
    axes.plot(
        [size for size, _ in measured], [value for _, value in measured], "o", label="measured"
    )
    axes.axvline(target, linestyle=":", label="the plan")
    if row.quantity.budget:
        axes.axhline(row.quantity.budget.limit, linestyle="--", label="budget")
    axes.set(
        xlabel=AXIS_WORDS[slope.axis],
        ylabel=row.quantity.unit,
        title=row.quantity.name,
        ylim=(0, None),
    )
    axes.legend(fontsize=8)
    figure.tight_layout()
    file = folder / f"{row.quantity.part}-{row.quantity.resource}-{slope.axis}.png".replace(
        " ", "_"
    )
    figure.savefig(file, dpi=90)
    pyplot.close(figure)
    return file
