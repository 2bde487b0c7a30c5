"""Routes, their targets, services and the limits on callers."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """Send each request to one backend server of a service."""

    service: str


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Name a service and its weight in a split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class SplitTarget:
    """Distribute requests among services in the proportions of their weights."""

    parts: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class SearchTarget:
    """Search all shards, each a service, and merge the greatest records."""

    shards: tuple[str, ...]
    # Share of the shards below which there is no answer, 0 to 1.
    minimum_coverage: float
    # Number of records in an answer.
    limit: int


Target = ServiceTarget | SplitTarget | SearchTarget


@dataclass(frozen=True, slots=True)
class Route:
    """Hold how requests of one host and path prefix are handled."""

    name: str
    host: str
    prefix: str
    target: Target
    idempotent: bool
    # Longest time that a caller is kept waiting, in seconds.
    timeout_s: float
    # Latency objective in seconds.
    objective_s: float
    # Rank of the route; 0 is the most urgent.
    priority: int
    # Backend servers that one request, or one shard of a search, may be sent to.
    max_attempts: int


@dataclass(frozen=True, slots=True)
class Service:
    """Hold what the operator declares of a service."""

    name: str
    health_path: str
    # Connections that each backend server accepts from all callers together.
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 256 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@singledispatch
def services_of(target: object) -> tuple[str, ...]:
    """Return the names of all services that a target may use."""
    raise TypeError(f"not a target: {type(target).__name__}")


@services_of.register
def _(target: ServiceTarget) -> tuple[str, ...]:
    return (target.service,)


@services_of.register
def _(target: SplitTarget) -> tuple[str, ...]:
    return tuple(part.service for part in target.parts)


@services_of.register
def _(target: SearchTarget) -> tuple[str, ...]:
    return target.shards
