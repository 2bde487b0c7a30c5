"""Settings of the admission package."""

from __future__ import annotations

from typing import Literal

from pydantic import Field

from fireflyrack.core import SettingsModel
from fireflyrack.http_client import ResponseLimits


class AdmissionSettings(SettingsModel):
    """Queue sizes, batch limits and timeouts towards backend servers."""

    max_waiting: int = Field(default=256, ge=1)
    max_batch: int = Field(default=64, ge=1)
    # Longest batch time, as a multiple of the time of a batch with one sub-request.
    max_batch_ratio: float = Field(default=8.0, ge=1)
    # Longest batch time, as a share of the mean time from submission to deadline.
    max_batch_budget: float = Field(default=0.3, gt=0, le=1)
    # Share of the time left until the deadline that the estimated wait may use.
    deadline_share: float = Field(default=0.8, gt=0, le=1)
    order: Literal["oldest", "newest"] = "oldest"
    # Increase of the concurrency limit after a shed or a cold start, slots per second.
    recovery_per_s: float = Field(default=0.5, gt=0)
    shed_pause_s: float = Field(default=0.02, gt=0)
    max_shed_pause_s: float = Field(default=0.5, gt=0)
    ramp_s: float = Field(default=5.0, ge=0)
    # Time after a draining report in which a status of "serving" is ignored.
    drain_hold_s: float = Field(default=5.0, ge=0)
    max_drain_hold_s: float = Field(default=60.0, ge=0)
    status_period_s: float = Field(default=0.5, gt=0, le=60)
    status_timeout_s: float = Field(default=0.4, gt=0, le=60)
    connect_timeout_s: float = Field(default=0.5, gt=0, le=60)
    # Time after the last deadline of a request until its connection is closed.
    reply_grace_s: float = Field(default=0.25, ge=0)
    # Connections reserved for status and cancel calls.
    control_connections: int = Field(default=2, ge=1)
    warm_connections: int = Field(default=3, ge=0)
    # Below the usual 5 s of HTTP servers: a request sent while the backend server
    # closes the idle connection is lost.
    idle_connection_s: float = Field(default=4.0, gt=0)
    response_limits: ResponseLimits = ResponseLimits()
