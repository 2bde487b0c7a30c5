"""Settings of a gateway: identity, listen addresses and operator limits."""

from __future__ import annotations

from pydantic import Field

from fireflyrack.core import SettingsModel
from fireflyrack.http_client import ResponseLimits
from fireflyrack.telemetry import EventLogSettings

Address = Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")


class GatewaySettings(SettingsModel):
    """Settings that a gateway reads at startup."""

    id: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    # Listen address for requests of callers.
    caller_address: str = Address
    # Listen address of the address directory for callers.
    directory_address: str = Address
    # Listen address of the platform's readiness check.
    readiness_address: str = Address
    metrics_address: str | None = None
    # Listen address for peers; None disables the links between instances.
    peer_address: str | None = None
    # Peers to fetch state from at startup while the store is unavailable. Some of them
    # may no longer exist.
    known_peers: tuple[str, ...] = ()
    # Time to live of directory responses at callers, in seconds.
    address_ttl_s: float = Field(default=1.0, gt=0)
    # Time from the stop request until the process is killed, in seconds.
    grace_s: float = Field(default=6.0, gt=1)
    # Time within which a new configuration is active on all instances, and time after
    # which a draining backend server receives no more requests, in seconds.
    configuration_bound_s: float = Field(default=3.0, gt=0)
    drain_bound_s: float = Field(default=3.0, gt=0)
    # Fleet-wide retry budget of any window: extra attempts per request, plus a fixed
    # number.
    retry_ratio: float = Field(default=0.1, ge=0)
    retry_slack: float = Field(default=20.0, ge=0)
    retry_window_s: float = Field(default=10.0, gt=0)
    # Longest time for which a backend server may ask for no requests, in seconds; a
    # longer one is taken for malformed.
    max_closure_s: float = Field(default=300.0, gt=0)
    # Limits of the responses of backend servers.
    response_limits: ResponseLimits = ResponseLimits()
    log: EventLogSettings = EventLogSettings()
