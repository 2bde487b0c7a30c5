"""Log events of the availability slice; all times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from fireflyrack.telemetry import LogEvent, Severity, severity_of


@dataclass(frozen=True, slots=True)
class RateLimitChanged(LogEvent):
    """A backend server named, changed or lifted its rate limit."""

    kind: ClassVar[str] = "server_rate_limit_changed"
    server: str
    # Empty if a peer reported it.
    service: str
    # Requests per second from all instances together; None without a limit.
    rate_per_s: float | None
    previous_per_s: float | None
    source: str
    # How long the previous limit was in force.
    held_s: float
    # Instances that divide the limit.
    sharers: int


@dataclass(frozen=True, slots=True)
class LeavingStated(LogEvent):
    """A backend server stated that it leaves; its incarnation gets nothing more."""

    kind: ClassVar[str] = "server_leaving"
    server: str
    # Empty if a peer reported it.
    service: str
    incarnation: int
    source: str


@dataclass(frozen=True, slots=True)
class ServerClosed(LogEvent):
    """A backend server refused a request and wants none for a time."""

    kind: ClassVar[str] = "server_closed"
    server: str
    service: str
    closed_for_s: float
    # Time from now until this instance tries it again, at least that of `closed_for_s`.
    reopens_in_s: float
    source: str


@dataclass(frozen=True, slots=True)
class ServerReopened(LogEvent):
    """A backend server that had closed accepted a request again."""

    kind: ClassVar[str] = "server_reopened"
    server: str
    service: str
    closed_s: float


@dataclass(frozen=True, slots=True)
class StatementIgnored(LogEvent):
    """A header of a backend server could not be decoded or relayed."""

    kind: ClassVar[str] = "server_statement_ignored"
    server: str
    statement: str


@severity_of.register
def _(event: RateLimitChanged) -> Severity:
    return Severity.INFO if event.rate_per_s is None else Severity.WARNING


@severity_of.register
def _(event: StatementIgnored | ServerClosed) -> Severity:
    return Severity.WARNING
