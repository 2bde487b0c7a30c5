"""Log events of the forwarding slice; all times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from fireflyrack.telemetry import Importance, LogEvent, Severity, severity_of


@dataclass(frozen=True, slots=True)
class AttemptSent(LogEvent):
    """An attempt was sent; holds the values that its selection is based on."""

    kind: ClassVar[str] = "attempt_sent"
    importance: ClassVar[Importance] = Importance.ROUTINE
    request: str
    attempt: int
    purpose: str
    service: str
    server: str
    after_s: float
    cost: float
    in_flight: int
    # Latency ratio, failure rate and late rate of the backend server.
    slowness: float
    failing: float
    late: float
    candidates: int
    budget: float


@dataclass(frozen=True, slots=True)
class AttemptFinished(LogEvent):
    """An attempt ended."""

    kind: ClassVar[str] = "attempt_ended"
    importance: ClassVar[Importance] = Importance.ROUTINE
    request: str
    attempt: int
    server: str
    outcome: str
    detail: str
    latency_s: float


@dataclass(frozen=True, slots=True)
class ExtraAttemptWithheld(LogEvent):
    """A hedge or retry was not sent."""

    kind: ClassVar[str] = "attempt_withheld"
    importance: ClassVar[Importance] = Importance.ROUTINE
    request: str
    purpose: str
    service: str
    reason: str
    budget: float


@dataclass(frozen=True, slots=True)
class RequestFinished(LogEvent):
    """A request was answered; holds its outcome and the state it was based on."""

    kind: ClassVar[str] = "request_finished"
    importance: ClassVar[Importance] = Importance.ROUTINE
    request: str
    route: str
    host: str
    target: str
    outcome: str
    cause: str
    latency_s: float
    objective_s: float
    # Remaining time that the caller sent with the request, -1 if absent.
    patience_s: float
    shards: int
    missing: tuple[str, ...]
    configuration: int
    configuration_age_s: float
    # Age of the cached registrations of backend servers, -1 if unknown.
    registers_age_s: float
    instances: int


@dataclass(frozen=True, slots=True)
class RequestRejected(LogEvent):
    """A request was rejected without an attempt."""

    kind: ClassVar[str] = "request_rejected"
    importance: ClassVar[Importance] = Importance.NOTABLE
    request: str
    host: str
    target: str
    outcome: str
    cause: str
    configuration: int
    configuration_age_s: float


@dataclass(frozen=True, slots=True)
class RequestTried(LogEvent):
    """A request is sent that may crash its backend server, to find out."""

    kind: ClassVar[str] = "request_tried"
    importance: ClassVar[Importance] = Importance.NOTABLE
    request: str
    # Same for all attempts of the request.
    fingerprint: str


@severity_of.register
def _(event: RequestTried) -> Severity:
    return Severity.WARNING


@severity_of.register
def _(event: RequestRejected) -> Severity:
    return Severity.WARNING


@severity_of.register
def _(event: RequestFinished) -> Severity:
    refused_or_failed = event.outcome in ("NotRun", "Unknown")
    return Severity.WARNING if refused_or_failed else Severity.INFO
