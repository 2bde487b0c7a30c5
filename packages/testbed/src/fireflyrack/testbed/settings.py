"""Settings of the stand-ins for the platform and for backend servers."""

from __future__ import annotations

from typing import Literal

from pydantic import Field

from fireflyrack.core import LogSettings, SettingsModel

from .corpus import DEFAULT_MODULES

Address = Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")


class StoreStandInSettings(SettingsModel):
    """Settings of the stand-in for the platform's store."""

    address: str = Address
    delay_s: float = Field(default=0.002, ge=0)
    max_value_bytes: int = Field(default=1024 * 1024, ge=1)
    logs: LogSettings = LogSettings()


class InstanceListSettings(SettingsModel):
    """Settings of the stand-in for the platform's list of instances."""

    address: str = Address
    lag_s: float = Field(default=0.5, ge=0)
    logs: LogSettings = LogSettings()


class IndexSettings(SettingsModel):
    """Index of a service and the shards of it that a backend server holds."""

    service: str
    modules: int = Field(default=DEFAULT_MODULES, ge=1)
    shards: int = Field(default=240, ge=1)
    held: str
    snapshots: tuple[str, ...] = ("1.1",)


class BackendFaults(SettingsModel):
    """Injected faults of a backend server; `POST /control` changes them."""

    draining: bool = False
    # Responses and the status do not report that the backend server is draining.
    hide_draining: bool = False
    extra_delay_s: float = Field(default=0.0, ge=0)
    straggler_factor: float = Field(default=1.0, gt=0)
    # Every request is refused with 503.
    shed: bool = False
    # The process exits when a body or a query contains this text; empty for never.
    crash_text: str = ""
    # Runs are executed, then the connection is reset instead of a reply.
    drop_run_replies: bool = False
    ignore_cancel: bool = False
    ignore_deadlines: bool = False
    status_delay_s: float = Field(default=0.0, ge=0)
    # The status reports the state as it was this many seconds ago.
    status_lag_s: float = Field(default=0.0, ge=0)
    # Reported instead of the actual values if set.
    status_state: Literal["serving", "draining"] | None = None
    status_slots_in_use: int | None = None
    snapshots: tuple[str, ...] | None = None


class BackendSettings(SettingsModel):
    """Settings of the stand-in for a backend server."""

    id: str
    address: str = Address
    slots: int = Field(default=2, ge=1)
    connections: int = Field(default=25, ge=1)
    # Limit of requests that wait for a slot; further ones are refused with 503.
    max_waiting: int = Field(default=16, ge=0)
    # Time of a sub-request for all shards held, or of a run. With sigma > 0, times are
    # log-normal and this is their median.
    service_time_s: float = Field(default=0.002, ge=0)
    service_time_sigma: float = Field(default=0.0, ge=0)
    seed: int = 1
    # Fraction of its own time that each further sub-request adds to a batch.
    batch_share: float = Field(default=0.25, gt=0, lt=1)
    # For this time after the first call, service times are multiplied by cold_factor.
    cold_s: float = Field(default=0.0, ge=0)
    cold_factor: float = Field(default=4.0, ge=1)
    # File of the ids of executed runs, one per line; kept when the process crashes.
    executions_file: str = ""
    faults: BackendFaults = BackendFaults()
    index: IndexSettings
    logs: LogSettings = LogSettings()
