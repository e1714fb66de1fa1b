"""Least-squares lines through measured points."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bench.report import print_figure


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line ``y = intercept + slope * x``.

    ``error`` is the largest vertical distance of a measured point from the line,
    divided by the largest measured value.
    """

    slope: float
    intercept: float
    error: float

    def value_at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fit a line by least squares.

    Raises ``ValueError`` unless ``xs`` has at least two different values.
    """
    n = len(xs)
    mean_x, mean_y = sum(xs) / n, sum(ys) / n
    spread = sum((x - mean_x) ** 2 for x in xs)
    if spread == 0:
        raise ValueError(f"xs={list(xs)}: expected at least two different values")
    pairs = list(zip(xs, ys, strict=True))
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    intercept = mean_y - slope * mean_x
    largest = max(abs(y) for y in ys) or 1.0
    error = max(abs(y - intercept - slope * x) for x, y in pairs) / largest
    return Line(slope, intercept, error)


def measure_line(
    name: str,
    unit: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
    target_size: int,
    target: str = "none",
) -> Line:
    """Measure a figure at several sizes and fit a line through the points.

    The measured points, the slope, the fit error and the value of the line at the
    target size are printed.

    Parameters
    ----------
    name, unit : str
        Name of the figure and its unit.
    sizes : sequence of int
        At least four sizes.
    measure : callable
        Function that returns the measured value at a size.
    target_size : int
        Size that the deployment is planned to have in two years.
    target : str
        Target for the value at ``target_size``, with its direction.
    """
    values = [measure(size) for size in sizes]
    for size, value in zip(sizes, values, strict=True):
        print_figure(f"{name}.at{size}", value, unit)
    line = fit_line(sizes, values)
    print_figure(f"{name}.slope", line.slope, f"{unit}_per_unit")
    print_figure(f"{name}.fit_error", 100 * line.error, "%")
    print_figure(
        f"{name}.fit_at{target_size}", line.value_at(target_size), unit, target
    )
    return line
