"""Delay of the hedges of a service."""

from __future__ import annotations

from fireflyrack.core import LatencyEstimate

from .budgets import RetryBudget

# Part of the burst above which hedges need not be saved.
AMPLE_BUDGET_FRACTION = 0.5


def hedge_delay(estimate: LatencyEstimate, budget: RetryBudget) -> float | None:
    """Return how long a hedge waits in seconds, or None before it can be known.

    With few tokens the wait is longer, so that they pay for the slowest replies and
    not for a chance selection of those above the usual percentile.
    """
    if estimate.high is None or estimate.scarce is None:
        return None
    settings = budget.settings
    ample = budget.tokens >= AMPLE_BUDGET_FRACTION * settings.budget_burst
    delay_s = estimate.high if ample else estimate.scarce
    return max(delay_s, settings.hedge_min_delay_s)
