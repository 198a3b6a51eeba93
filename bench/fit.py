"""Linear regression of measurements with standard errors."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import nan, sqrt
import statistics


@dataclass(frozen=True, slots=True, kw_only=True)
class LinearFit:
    """A line that is fitted by least squares.

    Attributes
    ----------
    slope_error
        Standard error of the slope; NaN with fewer than three points.
    deviation
        Standard deviation of the points from the line; NaN with fewer than three.
    mean_x, sum_squares
        Mean of the x values, and the sum of their squared deviations from it.
    """

    intercept: float
    slope: float
    slope_error: float
    deviation: float
    mean_x: float
    sum_squares: float
    points: int

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """Return the standard error of the line's value, also for extrapolation."""
        spread = 1 / self.points + (x - self.mean_x) ** 2 / self.sum_squares
        return self.deviation * sqrt(spread)


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> LinearFit:
    """Fit a line to points with at least two different ``xs``."""
    slope, intercept = statistics.linear_regression(xs, ys)
    mean_x = statistics.fmean(xs)
    sum_squares = sum((x - mean_x) ** 2 for x in xs)
    residuals = (y - intercept - slope * x for x, y in zip(xs, ys, strict=True))
    degrees_of_freedom = len(xs) - 2
    residual_sum_squares = sum(residual**2 for residual in residuals)
    deviation = (
        sqrt(residual_sum_squares / degrees_of_freedom)
        if degrees_of_freedom > 0
        else nan
    )
    return LinearFit(
        intercept=intercept,
        slope=slope,
        slope_error=deviation / sqrt(sum_squares),
        deviation=deviation,
        mean_x=mean_x,
        sum_squares=sum_squares,
        points=len(xs),
    )
