"""Latency percentiles of a stream of requests, from a decaying histogram."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Bucket bounds grow by 5%, which bounds the error of a percentile. The buckets
# cover 0.1 ms to about 75 s.
BUCKET_GROWTH = 1.05
MIN_LATENCY_S = 0.0001
BUCKET_COUNT = 278
# Counts are halved at this total, so that old observations lose weight.
HALVE_AT_COUNT = 4096
# Percentiles are recomputed after this many observations.
REFRESH_OBSERVATIONS = 32
# Percentiles of fewer observations are dominated by noise.
MIN_OBSERVATIONS = 32

LOG_GROWTH = math.log(BUCKET_GROWTH)


@dataclass(slots=True)
class LatencyEstimate:
    """Latency percentiles of a stream of requests; updated in place.

    Call `record` for each latency in seconds.
    """

    percentile: float
    # Hedging percentile while the retry budget is low: the fraction of sub-requests
    # above it is as large as the budget allows.
    low_budget_percentile: float = 0.98
    counts: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)
    total: int = 0
    # Observations since the percentiles were last computed.
    unrefreshed: int = 0
    # In seconds; None until there are MIN_OBSERVATIONS. `high` is at `percentile`.
    high: float | None = None
    low_budget_latency: float | None = None
    median: float | None = None

    def record(self, latency_s: float) -> None:
        """Add one latency and refresh the percentiles if they are due."""
        ratio = max(latency_s, MIN_LATENCY_S) / MIN_LATENCY_S
        self.counts[min(int(math.log(ratio) / LOG_GROWTH), BUCKET_COUNT - 1)] += 1
        self.total += 1
        self.unrefreshed += 1
        if self.total >= HALVE_AT_COUNT:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)
        if self.unrefreshed >= REFRESH_OBSERVATIONS and self.total >= MIN_OBSERVATIONS:
            self.unrefreshed = 0
            self.high = self.quantile(self.percentile)
            self.low_budget_latency = self.quantile(
                max(self.percentile, self.low_budget_percentile)
            )
            self.median = self.quantile(0.5)

    def quantile(self, fraction: float) -> float:
        """Return the upper bound in seconds of the bucket that holds a quantile."""
        target_count = fraction * self.total
        cumulative_count = 0
        for index, count in enumerate(self.counts):
            cumulative_count += count
            if cumulative_count >= target_count:
                return MIN_LATENCY_S * BUCKET_GROWTH ** (index + 1)
        return MIN_LATENCY_S * BUCKET_GROWTH**BUCKET_COUNT
