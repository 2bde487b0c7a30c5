"""Plots of the scenario results and of the capacity fits."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import matplotlib

if TYPE_CHECKING:
    from .capacity import LinearFit
    from .scenarios import ScenarioRun

# The machines have no display.
matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

PERCENTILES = (50, 75, 90, 95, 99, 99.5, 99.9)


def plot_percentiles(runs: Iterable[ScenarioRun], path: Path) -> None:
    """Plot the latency percentiles of each scenario in a panel of its own."""
    runs = list(runs)
    names = list(dict.fromkeys(run.scenario.name for run in runs))
    columns = min(3, len(names))
    rows = -(-len(names) // columns)
    figure, axes = pyplot.subplots(
        rows, columns, figsize=(5 * columns, 3.2 * rows), squeeze=False
    )
    for name, panel in zip(names, axes.flat, strict=False):
        for run in (run for run in runs if run.scenario.name == name):
            latencies = [run.result.percentile_ms(p) for p in PERCENTILES]
            colour = "tab:red" if run.variant == "naive" else "tab:blue"
            panel.plot(
                range(len(PERCENTILES)),
                latencies,
                colour,
                marker=".",
                label=run.variant,
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
