"""A figure as a function of one size: least squares, linear or logarithmic by the better fit."""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import StrEnum

import msgspec

# Difference of two sums of squares, as a part of the squared values, below which linear is chosen.
SAME_FIT_TOLERANCE = 1e-9


class Shape(StrEnum):
    """How the figure grows."""

    LINEAR = "linear"
    LOGARITHMIC = "logarithmic"


class Sample(msgspec.Struct, frozen=True):
    """A figure that was measured at a size."""

    size: float
    value: float


class Fit(msgspec.Struct, frozen=True, kw_only=True):
    """The curve `intercept + slope * size`, or with the natural logarithm of the size.

    Attributes:
        shape: Whether the size or its logarithm counts.
        intercept: In the figure's unit.
        slope: In the figure's unit.
        least: Least size measured.
        most: Greatest size measured.
        samples: Number of samples.
        error: Greatest distance of a sample from the curve, as a part of the greatest value.
    """

    shape: Shape
    intercept: float
    slope: float
    smallest_size: float
    greatest_size: float
    samples: int
    error: float

    def at(self, size: float) -> float:
        """The figure at a size, at least 0; a falling curve stays constant beyond the range."""
        if self.slope < 0.0:
            size = min(size, self.greatest_size)
        return max(0.0, self.intercept + self.slope * _scaled(self.shape, size))

    def growth(self, size: float, start: float) -> float:
        """By how much the figure at `size` exceeds the one at `start`; may be negative."""
        return self.at(size) - self.at(start)


def fit(samples: Sequence[Sample]) -> Fit | None:
    """The curve that fits better, or None for fewer than two sizes.

    With two sizes, or one that has no logarithm, the curve is linear.
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
