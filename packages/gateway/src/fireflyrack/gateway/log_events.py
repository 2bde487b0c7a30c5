"""Structured log events of the gateway."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from fireflyrack.telemetry import Importance, LogEvent, Severity, severity_of


@dataclass(frozen=True, slots=True)
class ProcessStarted(LogEvent):
    """The process started and listens for requests."""

    kind: ClassVar[str] = "started"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    incarnation: str
    address: str


@dataclass(frozen=True, slots=True)
class ProcessStopping(LogEvent):
    """The shutdown entered a phase."""

    kind: ClassVar[str] = "stopping"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    phase: str
    in_flight: int


@dataclass(frozen=True, slots=True)
class AcceptFailed(LogEvent):
    """A connection of a caller could not be accepted, or got no protocol."""

    kind: ClassVar[str] = "accept_failed"
    importance: ClassVar[Importance] = Importance.NOTABLE
    reason: str


@dataclass(frozen=True, slots=True)
class AnswerUnsendable(LogEvent):
    """An answer had no valid response; its caller got a failure instead."""

    kind: ClassVar[str] = "answer_unsendable"
    importance: ClassVar[Importance] = Importance.NOTABLE
    request: str
    reason: str


@dataclass(frozen=True, slots=True)
class SettingsReloaded(LogEvent):
    """The settings file was read again, with an outcome."""

    kind: ClassVar[str] = "reloaded"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    outcome: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ReadinessChanged(LogEvent):
    """This instance became ready or stopped being ready."""

    kind: ClassVar[str] = "readiness_changed"
    ready: bool
    reason: str


@dataclass(frozen=True, slots=True)
class RoutingAdopted(LogEvent):
    """A configuration became active."""

    kind: ClassVar[str] = "configuration_adopted"
    version: int
    revision: int
    replaced: int
    routes: int
    source: str


@dataclass(frozen=True, slots=True)
class RoutingIgnored(LogEvent):
    """A configuration was ignored, because it is not newer than the active one."""

    kind: ClassVar[str] = "configuration_ignored"
    version: int
    revision: int
    # Version of the active configuration.
    in_force: int
    source: str


@dataclass(frozen=True, slots=True)
class ServerChanged(LogEvent):
    """A backend server was registered or its registration changed."""

    kind: ClassVar[str] = "backend_server_changed"
    server: str
    service: str
    state: str
    address: str
    incarnation: int
    revision: int


@dataclass(frozen=True, slots=True)
class InstancesChanged(LogEvent):
    """The set of entry instances that share the limits changed."""

    kind: ClassVar[str] = "instances_changed"
    instances: tuple[str, ...]
    counted: int


@dataclass(frozen=True, slots=True)
class ProcessPaused(LogEvent):
    """The process did not run for `missed_s` seconds."""

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
    """An unexpected exception was caught."""

    kind: ClassVar[str] = "internal_fault"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    where: str
    detail: str


@dataclass(frozen=True, slots=True)
class PeerLinksOpened(LogEvent):
    """This instance sends updates to peers from now on."""

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
    """A backend server crashed while it ran a request."""

    kind: ClassVar[str] = "request_suspected"
    importance: ClassVar[Importance] = Importance.NOTABLE
    request: str
    # Same for all attempts of the request.
    fingerprint: str
    server: str
    # Known crashes during this request, including those that peers reported.
    crashes: int
    # Whether the request is refused, and what the evidence says.
    quarantined: bool
    assessment: str


@dataclass(frozen=True, slots=True)
class RequestCleared(LogEvent):
    """A suspected request completed without a crash."""

    kind: ClassVar[str] = "request_cleared"
    importance: ClassVar[Importance] = Importance.NOTABLE
    fingerprint: str


@severity_of.register
def _(event: AcceptFailed) -> Severity:
    return Severity.ERROR


@severity_of.register
def _(event: AnswerUnsendable) -> Severity:
    return Severity.ERROR


@severity_of.register
def _(event: InternalFault) -> Severity:
    return Severity.ERROR


@severity_of.register
def _(event: RequestSuspected) -> Severity:
    return Severity.WARNING


@severity_of.register
def _(event: OverloadObserved) -> Severity:
    return Severity.WARNING if event.strained else Severity.INFO


@severity_of.register
def _(event: SettingsReloaded) -> Severity:
    return Severity.WARNING if event.outcome == "rejected" else Severity.INFO
