"""Settings of the membership package."""

from __future__ import annotations

from pydantic import Field

from fireflyrack.core import SettingsModel


class MembershipSettings(SettingsModel):
    """Address of the platform's list of instances, and timing of membership."""

    list_url: str = Field(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
    list_period_s: float = Field(default=1.0, gt=0, le=60)
    list_timeout_s: float = Field(default=1.0, gt=0, le=60)
    # How long a caller may use an address that it received.
    address_ttl_s: float = Field(default=5.0, gt=0, le=3600)
    heartbeat_period_s: float = Field(default=0.5, gt=0, le=1)
    # Measured from the sending of an acknowledged heartbeat.
    lease_s: float = Field(default=2.0, gt=0, le=60)
    # Silence after which a voter declares a member expired. Must exceed the lease by
    # more than clock drift and scheduling delays.
    takeover_s: float = Field(default=3.0, gt=0, le=60)
    # Silence after which a voter suspects a member.
    suspicion_s: float = Field(default=1.2, gt=0, le=60)
    # Time from the loss of its quorum to the removal of a member from the roster.
    removal_s: float = Field(default=10.0, gt=0, le=3600)
    # Time without a lease after which an instance rejoins with a new entry.
    rejoin_s: float = Field(default=4.0, gt=0, le=60)
    # Number of instances that watch the roster in the store.
    watchers: int = Field(default=3, ge=1, le=16)
    # How long a graceful shutdown waits for requests in flight.
    drain_s: float = Field(default=30.0, gt=0, le=3600)
