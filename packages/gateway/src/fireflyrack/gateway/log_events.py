"""Log events of the gateway slice."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from fireflyrack.telemetry import Importance, LogEvent


@dataclass(frozen=True, slots=True)
class ProcessStarted(LogEvent):
    """Tell that the process started."""

    kind: ClassVar[str] = "started"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    incarnation: str
    address: str


@dataclass(frozen=True, slots=True)
class ProcessStopping(LogEvent):
    """Tell a phase of the shutdown."""

    kind: ClassVar[str] = "stopping"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    phase: str
    in_flight: int


@dataclass(frozen=True, slots=True)
class SettingsReloaded(LogEvent):
    """Tell that the settings file was read again."""

    kind: ClassVar[str] = "reloaded"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    outcome: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ReadinessChanged(LogEvent):
    """Tell that this instance became ready or stopped being so."""

    kind: ClassVar[str] = "readiness_changed"
    ready: bool
    reason: str


@dataclass(frozen=True, slots=True)
class RoutingAdopted(LogEvent):
    """Tell that a configuration came into force."""

    kind: ClassVar[str] = "configuration_adopted"
    version: int
    revision: int
    replaced: int
    routes: int
    source: str


@dataclass(frozen=True, slots=True)
class RoutingIgnored(LogEvent):
    """Tell that a configuration was not newer than the one in force."""

    kind: ClassVar[str] = "configuration_ignored"
    version: int
    revision: int
    in_force: int
    source: str


@dataclass(frozen=True, slots=True)
class ServerChanged(LogEvent):
    """Tell that a backend server is new or says something else of itself."""

    kind: ClassVar[str] = "backend_server_changed"
    server: str
    service: str
    state: str
    address: str
    incarnation: int
    revision: int


@dataclass(frozen=True, slots=True)
class InstancesChanged(LogEvent):
    """Tell that the entry instances that share the limits changed."""

    kind: ClassVar[str] = "instances_changed"
    instances: tuple[str, ...]
    counted: int


@dataclass(frozen=True, slots=True)
class TimeSkipped(LogEvent):
    """Tell that the process did not run for a while."""

    kind: ClassVar[str] = "process_paused"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    missed_s: float


@dataclass(frozen=True, slots=True)
class OverloadObserved(LogEvent):
    """This instance became overloaded (`strained`) or recovered."""

    kind: ClassVar[str] = "strain_changed"
    strained: bool
    lag_s: float


@dataclass(frozen=True, slots=True)
class InternalFault(LogEvent):
    """Tell of an exception that no decision expects."""

    kind: ClassVar[str] = "internal_fault"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    where: str
    detail: str


@dataclass(frozen=True, slots=True)
class PeerLinksOpened(LogEvent):
    """This instance listens for links and sends updates to peers from now on."""

    kind: ClassVar[str] = "peer_links_opened"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    address: str


@dataclass(frozen=True, slots=True)
class PeerItemsAdopted(LogEvent):
    """Cached items of a peer were adopted while the store was unavailable."""

    kind: ClassVar[str] = "peer_beliefs_adopted"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    peer: str
    items: int


@dataclass(frozen=True, slots=True)
class ServerReportsReceived(LogEvent):
    """A peer reported slow or failing backend servers."""

    kind: ClassVar[str] = "peer_reports_taken"
    importance: ClassVar[Importance] = Importance.ROUTINE
    peer: str
    servers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CrashReportsReceived(LogEvent):
    """A peer reported requests that crash backend servers."""

    kind: ClassVar[str] = "peer_crash_reports_taken"
    peer: str
    reports: int


@dataclass(frozen=True, slots=True)
class RequestSuspected(LogEvent):
    """Tell that a backend server crashed while it ran a request."""

    kind: ClassVar[str] = "request_suspected"
    importance: ClassVar[Importance] = Importance.NOTABLE
    request: str
    # What all sendings of the request have in common.
    fingerprint: str
    server: str
    # Crashes known of this request, those that peers told included.
    crashes: int
    quarantined: bool


@dataclass(frozen=True, slots=True)
class RequestCleared(LogEvent):
    """Tell that a suspected request ran well."""

    kind: ClassVar[str] = "request_cleared"
    importance: ClassVar[Importance] = Importance.NOTABLE
    fingerprint: str
