"""Settings of a gateway: who it is, where it listens, what the operator allows."""

from __future__ import annotations

from pydantic import Field

from fireflyrack.core import SettingsModel
from fireflyrack.telemetry import EventLogSettings

Address = Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")


class GatewaySettings(SettingsModel):
    """Declare everything that a gateway needs to start."""

    id: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    # Where callers send requests.
    caller_address: str = Address
    # Where callers ask for addresses.
    directory_address: str = Address
    # Where the platform asks whether this instance is ready.
    readiness_address: str = Address
    metrics_address: str | None = None
    # Where peers connect; None turns the links between instances off.
    peer_address: str | None = None
    # Peers to ask at the start while the store gives nothing; they may be gone.
    known_peers: tuple[str, ...] = ()
    # Longest time that callers keep the answer of the directory, in seconds.
    address_ttl_s: float = Field(default=1.0, gt=0)
    # Time from the request to stop until the process is killed, in seconds.
    grace_s: float = Field(default=6.0, gt=1)
    # Time within which a new configuration is in force everywhere, and after which a
    # backend server that leaves gets no more requests, in seconds.
    configuration_bound_s: float = Field(default=3.0, gt=0)
    drain_bound_s: float = Field(default=3.0, gt=0)
    # Extra attempts of the whole fleet in any window: for each request, and beyond.
    retry_ratio: float = Field(default=0.1, ge=0)
    retry_slack: float = Field(default=20.0, ge=0)
    retry_window_s: float = Field(default=10.0, gt=0)
    log: EventLogSettings = EventLogSettings()
