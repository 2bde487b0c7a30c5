"""Latency estimate of a stream of requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Buckets grow by 5%, so a percentile is off by at most that; they reach from
# 0.1 ms to about 75 s.
BUCKET_GROWTH = 1.05
SMALLEST_S = 0.0001
BUCKETS = 278
# Counts are halved at this total, so that old latencies lose their weight.
HALVE_AT = 4096
# Percentiles are computed again after this many observations.
REFRESH_EVERY = 32
# A percentile of fewer observations than this is mostly chance.
MIN_OBSERVATIONS = 32

LOG_GROWTH = math.log(BUCKET_GROWTH)


@dataclass(slots=True)
class LatencyEstimate:
    """Estimate percentiles of a stream of latencies; updated in place.

    Call `record` for each latency in seconds.
    """

    percentile: float
    # Percentile that is passed by as many sub-requests as the budget pays for.
    low_budget_percentile: float = 0.98
    counts: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    total: int = 0
    stale: int = 0
    # Seconds; None while there are too few observations.
    high: float | None = None
    low_budget_latency: float | None = None
    median: float | None = None

    def record(self, latency_s: float) -> None:
        """Add one latency."""
        ratio = max(latency_s, SMALLEST_S) / SMALLEST_S
        self.counts[min(int(math.log(ratio) / LOG_GROWTH), BUCKETS - 1)] += 1
        self.total += 1
        self.stale += 1
        if self.total >= HALVE_AT:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)
        if self.stale >= REFRESH_EVERY and self.total >= MIN_OBSERVATIONS:
            self.stale = 0
            self.high = self.quantile(self.percentile)
            self.low_budget_latency = self.quantile(
                max(self.percentile, self.low_budget_percentile)
            )
            self.median = self.quantile(0.5)

    def quantile(self, share: float) -> float:
        """Return the upper bound of the bucket that holds a quantile."""
        wanted = share * self.total
        seen = 0
        for number, count in enumerate(self.counts):
            seen += count
            if seen >= wanted:
                return SMALLEST_S * BUCKET_GROWTH ** (number + 1)
        return SMALLEST_S * BUCKET_GROWTH**BUCKETS
