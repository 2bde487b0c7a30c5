"""Delay of the hedges of a service."""

from __future__ import annotations

from fireflyrack.core import LatencyEstimate

from .budgets import Budget

# Part of the burst above which hedges need not be saved.
PLENTY_PART = 0.5


def hedge_delay(estimate: LatencyEstimate, budget: Budget) -> float | None:
    """Return how long a hedge waits in seconds, or None before it can be known.

    With few tokens the wait is longer, so that they pay for the slowest replies and
    not for a chance selection of those above the usual percentile.
    """
    if estimate.high is None or estimate.low_budget_latency is None:
        return None
    settings = budget.settings
    plenty = budget.tokens >= PLENTY_PART * settings.budget_burst
    delay_s = estimate.high if plenty else estimate.low_budget_latency
    return max(delay_s, settings.hedge_min_delay_s)
