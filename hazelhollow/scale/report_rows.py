"""The rows of the capacity report: each quantity at the planned size, and how it was obtained.

`analyse` groups observations by quantity, fits a curve along each axis and derives the figure at
the planned size.

| mark | when |
| --- | --- |
| measured at size | a run had the planned size along all axes that the quantity depends on |
| extrapolated | one curve was evaluated beyond the measured sizes |
| modelled | the growth along several axes was added up |
| not known | no curve could be fitted |
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from enum import StrEnum

import msgspec

from hazelhollow.scale import budgets
from hazelhollow.scale.report_fit import Fit, Sample, fit
from hazelhollow.scale.report_observations import (
    AXES_OF_ROLE,
    Observation,
    coordinate,
    observations,
)
from hazelhollow.scale.report_quantities import (
    CONFIGURATION_EVENTS,
    Quantity,
    expected_quantities,
)
from hazelhollow.scale.results import Axis, EventKind, Results, Size

SINGLE_AXES = (Axis.LIMITERS, Axis.SERVERS, Axis.ROUTES, Axis.TENANTS)


class Mark(StrEnum):
    """How a figure at the planned size was obtained."""

    MEASURED = "measured at size"
    EXTRAPOLATED = "extrapolated"
    MODELLED = "modelled"
    UNKNOWN = "not known"


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """A figure at the planned size.

    Attributes:
        value: In the unit of its quantity; None if it is not known.
        mark: How it was obtained.
        factor: The planned size divided by the greatest measured size, but at least 1.
        unmeasured_axes: Axes that the figure depends on and along which nothing was measured.
        rate: Highest request rate per limiter in the runs, in requests a second; 0: not given.
    """

    value: float | None
    mark: Mark
    factor: float = 1.0
    unmeasured_axes: tuple[Axis, ...] = ()
    rate: float = 0.0


class Slope(msgspec.Struct, frozen=True):
    """A quantity along one axis, with all other axes constant.

    Attributes:
        axis: The axis that is varied.
        curve: Fitted to the observations.
        base_size: The constant size along this axis in the runs along the other axes.
        figure: The figure with this axis alone at the planned size.
    """

    axis: Axis
    curve: Fit
    base_size: float
    figure: Figure


class Row(msgspec.Struct, frozen=True):
    """One quantity with its observations, slopes and figure.

    Attributes:
        quantity: The quantity.
        observations: All observations of the quantity.
        slopes: One for each axis along which a curve could be fitted.
        figure: The figure at the planned size.
        unreached_from: Lowest fraction of the plan at which some members did not settle within the
            run; None if all did in every run.
    """

    quantity: Quantity
    observations: tuple[Observation, ...]
    slopes: tuple[Slope, ...]
    figure: Figure
    unreached_from: float | None = None

    def lowest_fraction_above(self, limit: float, planned: Size) -> float | None:
        """Returns the lowest fraction of the plan at which a run exceeded the limit, or None."""
        above = [
            _fraction(observed, planned) for observed in self.observations if observed.value > limit
        ]
        return min(above, default=None)

    def value_at(self, fraction: float, planned: Size) -> float | None:
        """Returns the value with every axis at that fraction of the plan; None without a slope.

        The value is the greater of two estimates: the sum of the growth along single axes, and the
        curve of the runs in which all axes grew together. From `unreached_from` on it is infinite.
        """
        if self.unreached_from is not None and fraction >= self.unreached_from:
            return math.inf
        return _value(self.slopes, fraction, planned)


class Analysis(msgspec.Struct, frozen=True):
    """The rows that follow from one set of results, one for each quantity."""

    planned: Size
    rows: tuple[Row, ...]

    def row(self, quantity: Quantity) -> Row | None:
        """Returns the row of a quantity, or None if there is none."""
        return next((row for row in self.rows if row.quantity == quantity), None)


def analyse(results: Sequence[Results], planned: Size = budgets.PLANNED) -> Analysis:
    """Returns the rows of all quantities that occur in the results or always have a row.

    The rows are in the order of roles, the process and events.
    """
    found: dict[Quantity, list[Observation]] = {quantity: [] for quantity in expected_quantities()}
    for file_results in results:
        for quantity, observation in observations(file_results, planned):
            found.setdefault(quantity, []).append(observation)
    return Analysis(
        planned, tuple(_row(quantity, observed, planned) for quantity, observed in found.items())
    )


def _row(quantity: Quantity, observed: Sequence[Observation], planned: Size) -> Row:
    reached = [each for each in observed if math.isfinite(each.value)]
    slopes = tuple(_slopes(reached, planned))
    unreached = [_fraction(each, planned) for each in observed if not math.isfinite(each.value)]
    if not unreached:
        return Row(
            quantity,
            tuple(observed),
            slopes,
            _figure(reached, slopes, needed_axes(quantity), planned),
        )
    first_unreached = min(unreached)
    mark = Mark.MEASURED if max(unreached) >= 1.0 else Mark.EXTRAPOLATED
    figure = Figure(value=math.inf, mark=mark, factor=max(1.0, 1.0 / max(unreached)))
    return Row(quantity, tuple(observed), slopes, figure, first_unreached)


def _fraction(observation: Observation, planned: Size) -> float:
    """Returns the observation's size along its axis, as a fraction of the planned size."""
    axis = observation.axis
    return coordinate(observation.size, axis, planned) / coordinate(planned, axis, planned)


def _slopes(observed: Sequence[Observation], planned: Size) -> Iterator[Slope]:
    by_axis: dict[Axis, list[Observation]] = defaultdict(list)
    for observation in observed:
        by_axis[observation.axis].append(observation)
    for axis in Axis:
        samples = [
            Sample(coordinate(each.size, axis, planned), each.value)
            for each in by_axis.get(axis, ())
        ]
        curve = fit(samples)
        if curve is not None:
            base_size = _base_size(axis, observed, curve, planned)
            yield Slope(axis, curve, base_size, _figure_along(axis, curve, samples, planned))


def _base_size(axis: Axis, observed: Iterable[Observation], curve: Fit, planned: Size) -> float:
    """Returns the most frequent size in the runs along other axes, else the smallest measured."""
    others = Counter(
        coordinate(each.size, axis, planned)
        for each in observed
        if each.axis not in (axis, Axis.ALL)
    )
    return others.most_common(1)[0][0] if others and axis is not Axis.ALL else curve.smallest_size


def _figure_along(axis: Axis, curve: Fit, samples: Sequence[Sample], planned: Size) -> Figure:
    target = coordinate(planned, axis, planned)
    at_size = [sample.value for sample in samples if sample.size == target]
    if at_size:
        return Figure(value=sum(at_size) / len(at_size), mark=Mark.MEASURED)
    if curve.greatest_size >= target:
        return Figure(value=curve.value_at(target), mark=Mark.MEASURED)
    return Figure(
        value=curve.value_at(target), mark=Mark.EXTRAPOLATED, factor=target / curve.greatest_size
    )


def needed_axes(quantity: Quantity) -> tuple[Axis, ...]:
    """Returns the axes that the figure of a quantity at the planned size depends on."""
    if quantity.part in CONFIGURATION_EVENTS:
        return Axis.LIMITERS, Axis.ROUTES
    if quantity.part in set(EventKind):
        return (Axis.LIMITERS,)
    role_axes = next(
        (axes for role, axes in AXES_OF_ROLE.items() if role == quantity.part), SINGLE_AXES
    )
    return tuple(axis for axis in SINGLE_AXES if axis in role_axes)


def _figure(
    observed: Sequence[Observation], slopes: Sequence[Slope], axes: Sequence[Axis], planned: Size
) -> Figure:
    unmeasured_axes = tuple(axis for axis in axes if not _covers(axis, observed, slopes, planned))
    rate = max((each.size.requests_per_s for each in observed), default=0.0)
    measured_axes = tuple(axis for axis in axes if axis not in unmeasured_axes)
    at_plan = [
        each.value
        for each in observed
        if measured_axes and _reaches(each.size, measured_axes, planned)
    ]
    if at_plan:
        return Figure(
            value=max(at_plan), mark=Mark.MEASURED, unmeasured_axes=unmeasured_axes, rate=rate
        )
    value = _value(slopes, 1.0, planned)
    if value is None:
        return Figure(value=None, mark=Mark.UNKNOWN, unmeasured_axes=unmeasured_axes)
    factor = max(slope.figure.factor for slope in slopes)
    mark = Mark.MODELLED if len(slopes) > 1 else slopes[0].figure.mark
    return Figure(value=value, mark=mark, factor=factor, unmeasured_axes=unmeasured_axes, rate=rate)


def _covers(
    axis: Axis, observed: Sequence[Observation], slopes: Sequence[Slope], planned: Size
) -> bool:
    """Whether there is a slope along the axis, or all runs had at least its planned size."""
    same = (axis, Axis.ALL, Axis.CONFIGURATION) if axis is Axis.ROUTES else (axis, Axis.ALL)
    return any(slope.axis in same for slope in slopes) or (
        bool(observed)
        and all(
            coordinate(each.size, axis, planned) >= coordinate(planned, axis, planned)
            for each in observed
        )
    )


def _reaches(size: Size, axes: Sequence[Axis], planned: Size) -> bool:
    return all(
        coordinate(size, axis, planned) >= coordinate(planned, axis, planned) for axis in axes
    )


def _value(slopes: Sequence[Slope], fraction: float, planned: Size) -> float | None:
    """Returns the value with every axis at that fraction of the plan.

    The base is the greatest of the axes' values at their base sizes, since runs along one axis may
    cost less than those along another. Each axis adds its growth from its base size. Runs in which
    all axes grew together give a second value; the greater of the two is returned.
    """
    values = []
    single = [slope for slope in slopes if slope.axis is not Axis.ALL]
    if single:
        base = max(slope.curve.value_at(slope.base_size) for slope in single)
        growth = sum(
            slope.curve.growth(_scaled(slope.axis, fraction, planned), slope.base_size)
            for slope in single
        )
        values.append(max(0.0, base + growth))
    values += [slope.curve.value_at(fraction) for slope in slopes if slope.axis is Axis.ALL]
    return max(values) if values else None


def _scaled(axis: Axis, fraction: float, planned: Size) -> float:
    return max(1.0, fraction * coordinate(planned, axis, planned))
