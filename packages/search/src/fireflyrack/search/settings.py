"""Settings of replica selection, hedging, retries and ejection."""

from __future__ import annotations

from pydantic import Field

from fireflyrack.core import SettingsModel


class SearchSettings(SettingsModel):
    """Settings of the search fan-out."""

    # Percentile of the observed latencies of a service after which a hedge is sent.
    hedge_percentile: float = Field(default=0.95, ge=0.5, lt=1)
    hedge_min_delay_s: float = Field(default=0.001, gt=0, le=60)
    # Hedges and retries that each first sub-request earns.
    budget_share: float = Field(default=0.02, ge=0, le=0.02)
    # Maximum number of tokens that an instance holds.
    budget_burst: int = Field(default=100, ge=1)
    # Tokens reserved for hedges of late sub-requests.
    budget_reserve: int = Field(default=4, ge=0)
    # Retries per service after definite failures, beyond the budget.
    failure_burst: int = Field(default=64, ge=0)
    failure_refill_per_s: float = Field(default=2.0, ge=0)
    # Maximum time for which the canary of a new search delays the other backend
    # servers. A crash caused by the search shows at once, so the time can be short.
    canary_wait_s: float = Field(default=0.1, gt=0, le=10)
    # First and longest delay between retries while coverage is below the minimum.
    wait_retry_s: float = Field(default=0.05, gt=0)
    wait_retry_max_s: float = Field(default=1.0, gt=0)
    # Time for which a refusal counts as a sign of overload.
    shed_memory_s: float = Field(default=1.0, gt=0)
    # Share of refused sub-requests from which a service counts as overloaded.
    overload_share: float = Field(default=0.1, gt=0, le=1)
    # Consecutive failures after which a backend server is ejected.
    eject_failures: int = Field(default=5, ge=1)
    # Time before the first probe; it doubles with each failed probe.
    eject_s: float = Field(default=5.0, gt=0)
    eject_max_s: float = Field(default=60.0, gt=0)
    max_ejected_share: float = Field(default=0.34, ge=0, le=1)
    # Time in which a cold backend server ramps up to its full share of the work.
    ramp_s: float = Field(default=30.0, gt=0)
    # Minimum time between two publications of this instance's budget transfers.
    budget_period_s: float = Field(default=5.0, gt=0)
