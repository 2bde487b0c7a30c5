"""Settings of the search package."""

from __future__ import annotations

from pydantic import Field

from fireflyrack.core import SettingsModel


class SearchSettings(SettingsModel):
    """Declare how searches choose replicas, hedge and retry."""

    # Share of a service's observed latencies that a hedge waits for.
    hedge_percentile: float = Field(default=0.95, ge=0.5, lt=1)
    hedge_min_delay_s: float = Field(default=0.001, gt=0, le=60)
    # Hedges and retries per first sub-request.
    budget_share: float = Field(default=0.02, ge=0, le=0.02)
    # Earned tokens that an instance keeps at most.
    budget_burst: int = Field(default=100, ge=1)
    # Tokens kept for sub-requests that are far later than others.
    budget_reserve: int = Field(default=4, ge=0)
    # Retries after definite failures beyond the budget, for each service.
    failure_burst: int = Field(default=64, ge=0)
    failure_refill_per_s: float = Field(default=2.0, ge=0)
    # Time for which the first backend server that runs an unknown search delays the
    # others. A server that a search crashes goes at once.
    canary_wait_s: float = Field(default=0.1, gt=0, le=10)
    # First and longest delay between retries while coverage is below the minimum.
    wait_retry_s: float = Field(default=0.05, gt=0)
    wait_retry_max_s: float = Field(default=1.0, gt=0)
    # Time for which a refusal counts as overload.
    shed_memory_s: float = Field(default=1.0, gt=0)
    # Share of refused sub-requests above which a service counts as overloaded.
    overload_share: float = Field(default=0.1, gt=0, le=1)
    # Consecutive failures after which a backend server is ejected.
    eject_failures: int = Field(default=5, ge=1)
    # Time before the first probe; it doubles with each failed probe.
    eject_s: float = Field(default=5.0, gt=0)
    eject_max_s: float = Field(default=60.0, gt=0)
    max_ejected_share: float = Field(default=0.34, ge=0, le=1)
    # Time in which a cold backend server reaches its full share of the work.
    ramp_s: float = Field(default=30.0, gt=0)
    # Time between two publications of this instance's budget share, at least.
    budget_period_s: float = Field(default=5.0, gt=0)
