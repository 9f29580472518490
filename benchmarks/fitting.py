"""Straight lines through measured points."""

import math
from collections.abc import Sequence

from mangotrail._struct import FrozenStruct


class Line(FrozenStruct, frozen=True, kw_only=True):
    """A least-squares line.

    :param error: root mean square distance of the points from the line, in
        the unit of the values.
    """

    slope: float
    intercept: float
    error: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line to points of (size, value).

    :raises ValueError: if the points have fewer than two different sizes.
    """
    if len({size for size, _ in points}) < 2:
        raise ValueError('a line needs points at two different sizes')
    count = len(points)
    mean_size = math.fsum(size for size, _ in points) / count
    mean_value = math.fsum(value for _, value in points) / count
    slope = math.fsum(
        (size - mean_size) * (value - mean_value) for size, value in points
    ) / math.fsum((size - mean_size) ** 2 for size, _ in points)
    intercept = mean_value - slope * mean_size
    squares = math.fsum(
        (value - intercept - slope * size) ** 2 for size, value in points
    )
    return Line(
        slope=slope, intercept=intercept, error=math.sqrt(squares / count)
    )
