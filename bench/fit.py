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
    residual_std_error
        Standard error of the residuals; NaN with fewer than three.
    mean_x, sum_squared_x_deviations
        Mean of the x values, and the sum of their squared deviations from it.
    """

    intercept: float
    slope: float
    slope_error: float
    residual_std_error: float
    mean_x: float
    sum_squared_x_deviations: float
    points: int

    def value_at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """Return the standard error of the line's value, also for extrapolation."""
        spread = (
            1 / self.points + (x - self.mean_x) ** 2 / self.sum_squared_x_deviations
        )
        return self.residual_std_error * sqrt(spread)


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> LinearFit:
    """Fit a line to points with at least two different ``xs``."""
    slope, intercept = statistics.linear_regression(xs, ys)
    mean_x = statistics.fmean(xs)
    sum_squared_x_deviations = sum((x - mean_x) ** 2 for x in xs)
    residuals = (y - intercept - slope * x for x, y in zip(xs, ys, strict=True))
    degrees_of_freedom = len(xs) - 2
    residual_sum_squares = sum(residual**2 for residual in residuals)
    residual_std_error = (
        sqrt(residual_sum_squares / degrees_of_freedom)
        if degrees_of_freedom > 0
        else nan
    )
    return LinearFit(
        intercept=intercept,
        slope=slope,
        slope_error=residual_std_error / sqrt(sum_squared_x_deviations),
        residual_std_error=residual_std_error,
        mean_x=mean_x,
        sum_squared_x_deviations=sum_squared_x_deviations,
        points=len(xs),
    )
