"""Delay before hedged sub-requests."""

from __future__ import annotations

from fireflyrack.core import LatencyEstimate

from .budgets import RetryBudget

# Fraction of the burst above which hedges use the shorter delay.
AMPLE_BUDGET_FRACTION = 0.5


def hedge_delay(estimate: LatencyEstimate, budget: RetryBudget) -> float | None:
    """Return the delay of a hedge in seconds, or None without enough latency samples.

    With few tokens the delay is longer, so that they are spent on the slowest replies
    and not on an arbitrary selection of those above the hedge percentile.
    """
    if estimate.high is None or estimate.low_budget_latency is None:
        return None
    settings = budget.settings
    ample = budget.tokens >= AMPLE_BUDGET_FRACTION * settings.budget_burst
    delay_s = estimate.high if ample else estimate.low_budget_latency
    return max(delay_s, settings.hedge_min_delay_s)
