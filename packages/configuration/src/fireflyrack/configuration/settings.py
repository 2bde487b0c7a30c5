"""Settings of the store client and of configuration replication."""

from __future__ import annotations

import random

from pydantic import Field

from fireflyrack.core import SettingsModel
from fireflyrack.http_client import ResponseLimits


class StoreSettings(SettingsModel):
    """Address, time limits and size limits of the platform's store."""

    url: str = Field(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
    timeout_s: float = Field(default=1.0, gt=0, le=60)
    watch_s: float = Field(default=20.0, gt=0, le=300)
    # First and longest delay between attempts; the delay doubles each time.
    retry_delay_s: float = Field(default=0.5, gt=0, le=60)
    max_retry_delay_s: float = Field(default=8.0, gt=0, le=300)
    prefix: str = Field(default="fireflyrack", pattern=r"^[a-z0-9-]+$")
    # The platform's store accepts values of up to 1 MB.
    max_value_bytes: int = Field(default=1_000_000, ge=1024)
    # A plan of 1,200 backend servers contains the declaration and each change of it.
    max_plan_bytes: int = Field(default=4 * 1024 * 1024, ge=1024)
    # Live instances that watch the head; the others learn of changes from peers.
    watchers: int = Field(default=3, ge=1, le=64)
    # Time limit of one request to a peer.
    peer_timeout_s: float = Field(default=1.0, gt=0, le=60)
    response_limits: ResponseLimits = ResponseLimits()

    def backoff_s(self, attempt: int, rng: random.Random) -> float:
        """Return the delay before an attempt, counted from 1, with jitter.

        The jitter prevents synchronized retries of all instances after an outage.
        """
        # Bounds the exponent, so that the power cannot overflow after many attempts.
        longest = self.retry_delay_s * 2 ** min(attempt - 1, 16)
        return min(longest, self.max_retry_delay_s) * rng.uniform(0.5, 1.0)
