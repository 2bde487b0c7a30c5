"""Plots of the scenario results and of the capacity fits."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

import matplotlib

from .fits import LinearFit

# The machines have no display.
matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

PERCENTILES = (50, 75, 90, 95, 99, 99.5, 99.9)


@dataclass(frozen=True, slots=True)
class LatencyCurve:
    """Latencies of one run in milliseconds, by percentile."""

    scenario: str
    variant: str
    percentile_ms: Callable[[float], float]


def plot_percentiles(curves: Iterable[LatencyCurve], path: Path) -> None:
    """Plot the latency percentiles of each scenario in a panel of its own."""
    curves = list(curves)
    names = list(dict.fromkeys(curve.scenario for curve in curves))
    columns = min(3, len(names))
    rows = -(-len(names) // columns)
    figure, axes = pyplot.subplots(
        rows, columns, figsize=(5 * columns, 3.2 * rows), squeeze=False
    )
    for name, panel in zip(names, axes.flat, strict=False):
        for curve in (curve for curve in curves if curve.scenario == name):
            latencies = [curve.percentile_ms(p) for p in PERCENTILES]
            colour = "tab:red" if curve.variant == "naive" else "tab:blue"
            panel.plot(
                range(len(PERCENTILES)),
                latencies,
                colour,
                marker=".",
                label=curve.variant,
            )
        panel.set_xticks(range(len(PERCENTILES)), [f"{p:g}" for p in PERCENTILES])
        panel.set_yscale("log")
        panel.set_title(name)
        panel.set_ylabel("latency, ms")
        panel.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def plot_fits(fits: Iterable[LinearFit], path: Path) -> None:
    """Plot each measured cost with its fit in a panel of its own."""
    fits = list(fits)
    columns = 4
    rows = -(-len(fits) // columns)
    figure, axes = pyplot.subplots(
        rows, columns, figsize=(4 * columns, 3 * rows), squeeze=False
    )
    for fit, panel in zip(fits, axes.flat, strict=False):
        panel.plot(fit.sizes, fit.costs, "o", label="median")
        fitted = [fit.fixed + fit.per_unit * size for size in fit.sizes]
        panel.plot(fit.sizes, fitted, label="fit")
        panel.set_xscale("log")
        panel.set_yscale("log")
        panel.set_title(f"{fit.name}, {fit.unit}", fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
