"""Requests from callers and the answers to them."""

from __future__ import annotations

import enum
from dataclasses import dataclass

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Request from a caller; times are seconds of a monotonic clock."""

    id: str
    host: str
    method: str
    # Path and query, unmodified.
    target: str
    # Headers to forward to backend servers.
    headers: Headers
    body: bytes
    received_at: float
    # Remaining time in seconds that the caller sent with the request, None if absent.
    caller_timeout_s: float | None

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


class Cause(enum.Enum):
    """Reason why a request has no result."""

    NO_CONFIGURATION = "no configuration is known yet"
    NO_SERVER = "no backend server is known"
    ALL_DRAINING = "all backend servers are leaving"
    CLOSED = "all backend servers refuse requests for a time"
    RATE_LIMITED = "all backend servers are at their rate limit"
    SATURATED = "all backend servers are at their connection limit"
    REFUSED = "backend servers refused"
    UNREACHABLE = "backend servers could not be reached"
    INTERRUPTED = "a backend server broke off"
    SERVER_FAILED = "a backend server answered with a failure"
    TIMED_OUT = "the time ran out"
    QUARANTINED = "the request crashes backend servers"
    COVERAGE = "too few shards answered"
    STOPPING = "this instance stops before the request would end"
    INTERNAL = "the system has a fault"


@dataclass(frozen=True, slots=True)
class Relayed:
    """Response of a backend server, relayed unchanged."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Merged:
    """Merged top records of the shards that responded to a search."""

    # Signatures of the responses, one for each shard that is included.
    signatures: tuple[str, ...]
    # Number of shards that are not included.
    missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not executed and will not be; the caller may retry it."""

    cause: Cause
    # Delay before a retry, in seconds.
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request has no result but may have been executed."""

    cause: Cause


@dataclass(frozen=True, slots=True)
class NoRoute:
    """No route matches the host and path."""


Answer = Relayed | Merged | NotRun | Unknown | NoRoute
