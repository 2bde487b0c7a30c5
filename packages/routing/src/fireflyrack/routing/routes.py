"""Routes and their targets, services, and limits on callers."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """Target that sends each request to one backend server of a service."""

    service: str


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Service of a split and its relative weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class SplitTarget:
    """Target that distributes requests among services in proportion to weights."""

    parts: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class SearchTarget:
    """Target that queries all shards, each a service, and merges their top records."""

    shards: tuple[str, ...]
    # Fraction of the shards, 0 to 1, that must respond for a merged answer.
    minimum_coverage: float
    # Maximum number of records in the merged answer.
    limit: int


Target = ServiceTarget | SplitTarget | SearchTarget


@dataclass(frozen=True, slots=True)
class Route:
    """Handling of the requests for one host and path prefix."""

    name: str
    host: str
    prefix: str
    target: Target
    idempotent: bool
    # Deadline of a request, in seconds after it was received.
    timeout_s: float
    # Latency objective (SLO) in seconds.
    objective_s: float
    # Priority of the route; 0 is the highest.
    priority: int
    # Maximum number of backend servers that one request, or one shard of a search,
    # is sent to, hedges and retries included.
    max_attempts: int


@dataclass(frozen=True, slots=True)
class Service:
    """Service as declared by the operator."""

    name: str
    health_path: str
    # Connections that each backend server accepts from all entry instances together.
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of requests from callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 256 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@singledispatch
def services_of(target: object) -> tuple[str, ...]:
    """Return the names of all services that a target may send requests to."""
    raise TypeError(f"unsupported target type: {type(target).__name__}")


@services_of.register
def _(target: ServiceTarget) -> tuple[str, ...]:
    return (target.service,)


@services_of.register
def _(target: SplitTarget) -> tuple[str, ...]:
    return tuple(part.service for part in target.parts)


@services_of.register
def _(target: SearchTarget) -> tuple[str, ...]:
    return target.shards
