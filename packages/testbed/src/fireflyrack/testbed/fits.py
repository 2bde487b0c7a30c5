"""Linear fits of measured costs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Linear fit of a cost over sizes: cost = fixed + per_unit * size."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    costs: tuple[float, ...]
    fixed: float
    per_unit: float
    # Largest deviation of a median from the fit, relative to the median.
    max_deviation: float
