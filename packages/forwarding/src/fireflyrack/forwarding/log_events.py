"""Log events of the forwarding slice; all times in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from fireflyrack.telemetry import Importance, LogEvent


@dataclass(frozen=True, slots=True)
class AttemptSent(LogEvent):
    """Tell that an attempt was sent, and what decided on its backend server."""

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
    slowness: float
    failing: float
    late: float
    candidates: int
    budget: float


@dataclass(frozen=True, slots=True)
class AttemptFinished(LogEvent):
    """Tell the outcome of an attempt."""

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
    """Tell that a hedge or retry was not sent, and why."""

    kind: ClassVar[str] = "attempt_withheld"
    importance: ClassVar[Importance] = Importance.ROUTINE
    request: str
    purpose: str
    service: str
    reason: str
    budget: float


@dataclass(frozen=True, slots=True)
class RequestFinished(LogEvent):
    """Tell the outcome of a request and what it was decided with."""

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
    # How long the caller said that it waits, -1 if it did not say.
    patience_s: float
    shards: int
    missing: tuple[str, ...]
    configuration: int
    configuration_age_s: float
    registers_age_s: float
    instances: int


@dataclass(frozen=True, slots=True)
class RequestRejected(LogEvent):
    """Tell that a request was answered without being run, and why."""

    kind: ClassVar[str] = "request_rejected"
    importance: ClassVar[Importance] = Importance.NOTABLE
    request: str
    host: str
    target: str
    outcome: str
    cause: str
    configuration: int
    configuration_age_s: float
