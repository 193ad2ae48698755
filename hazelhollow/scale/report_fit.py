"""Least-squares fit of a figure over one size: linear or logarithmic, whichever fits better."""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import StrEnum

import msgspec

# The logarithmic curve is chosen only if it lowers the sum of squared errors by more than this
# fraction of the sum of the squared values.
SAME_FIT_TOLERANCE = 1e-9


class Shape(StrEnum):
    """How the figure grows."""

    LINEAR = "linear"
    LOGARITHMIC = "logarithmic"


class Sample(msgspec.Struct, frozen=True):
    """The value of a figure, measured at one size."""

    size: float
    value: float


class Fit(msgspec.Struct, frozen=True, kw_only=True):
    """The curve `intercept + slope * size`, or `intercept + slope * ln(size)`.

    Attributes:
        shape: Whether the curve is over the size or its natural logarithm.
        intercept: In the figure's unit.
        slope: In the figure's unit.
        smallest_size: Smallest size measured.
        greatest_size: Greatest size measured.
        samples: Number of samples.
        error: Greatest absolute residual, as a fraction of the greatest absolute value.
    """

    shape: Shape
    intercept: float
    slope: float
    smallest_size: float
    greatest_size: float
    samples: int
    error: float

    def value_at(self, size: float) -> float:
        """Returns the figure at a size, at least 0; flat above `greatest_size` if it falls."""
        if self.slope < 0.0:
            size = min(size, self.greatest_size)
        return max(0.0, self.intercept + self.slope * _scaled(self.shape, size))

    def growth(self, size: float, start: float) -> float:
        """Returns the figure at `size` minus the figure at `start`; it may be negative."""
        return self.value_at(size) - self.value_at(start)


def fit(samples: Sequence[Sample]) -> Fit | None:
    """Returns the better of both fits, or None for samples at fewer than two different sizes.

    The curve is linear if there are only two sizes, which both shapes fit, or if a size is not
    positive and has no logarithm.
    """
    sizes = {sample.size for sample in samples}
    if len(sizes) < 2:
        return None
    linear = _least_squares(Shape.LINEAR, samples)
    if len(sizes) == 2 or min(sizes) <= 0.0:
        return linear
    logarithmic = _least_squares(Shape.LOGARITHMIC, samples)
    noise = SAME_FIT_TOLERANCE * sum(sample.value**2 for sample in samples)
    better = _squared_error(logarithmic, samples) + noise < _squared_error(linear, samples)
    return logarithmic if better else linear


def _scaled(shape: Shape, size: float) -> float:
    return size if shape is Shape.LINEAR else math.log(size)


def _least_squares(shape: Shape, samples: Sequence[Sample]) -> Fit:
    scaled = [_scaled(shape, sample.size) for sample in samples]
    mean_x = sum(scaled) / len(samples)
    mean_y = sum(sample.value for sample in samples) / len(samples)
    variation = sum((x - mean_x) ** 2 for x in scaled)
    covariation = sum(
        (x - mean_x) * (sample.value - mean_y) for x, sample in zip(scaled, samples, strict=True)
    )
    slope = covariation / variation
    intercept = mean_y - slope * mean_x
    greatest = max(abs(sample.value) for sample in samples) or 1.0
    distances = [
        abs(intercept + slope * x - sample.value) for x, sample in zip(scaled, samples, strict=True)
    ]
    return Fit(
        shape=shape,
        intercept=intercept,
        slope=slope,
        smallest_size=min(sample.size for sample in samples),
        greatest_size=max(sample.size for sample in samples),
        samples=len(samples),
        error=max(distances) / greatest,
    )


def _squared_error(curve: Fit, samples: Sequence[Sample]) -> float:
    return sum(
        (curve.intercept + curve.slope * _scaled(curve.shape, sample.size) - sample.value) ** 2
        for sample in samples
    )
