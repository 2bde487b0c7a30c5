"""Data classes of the configuration that the other packages use."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from fireflyrack.core import EMPTY, ShardSet


class BelowMinimum(enum.Enum):
    """What a search does while its coverage is below the minimum."""

    WAIT = "wait"
    ANSWER = "answer"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server and its concurrency limits."""

    id: str
    address: str
    failure_domain: str
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Placement:
    """Backend servers that hold replicas of a set of shards."""

    shards: ShardSet
    replicas: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Partition:
    """Division of an index into shards, identified by its generation."""

    generation: int
    shards: int
    placement: tuple[Placement, ...]

    def all_shards(self) -> ShardSet:
        """Return the set of all shards of the partition."""
        return ShardSet.span(0, self.shards)

    def placed_on(self, backend_server: str) -> ShardSet:
        """Return the shards that a backend server holds."""
        held = EMPTY
        for placement in self.placement:
            if backend_server in placement.replicas:
                held |= placement.shards
        return held


@dataclass(frozen=True, slots=True)
class Policy:
    """Search policy of a service: coverage, default deadline and hedging."""

    minimum_coverage: float = 1.0
    below_minimum: BelowMinimum = BelowMinimum.ANSWER
    default_deadline_ms: int = 1000
    hedge: bool = True


@dataclass(frozen=True, slots=True)
class Service:
    """A service with its backend servers, partitions and policy."""

    name: str
    backend_servers: Mapping[str, BackendServer]
    partitions: tuple[Partition, ...] = ()
    policy: Policy = Policy()

    def partition(self, generation: int) -> Partition | None:
        """Return the partition of a generation, or None if it is not declared."""
        for partition in self.partitions:
            if partition.generation == generation:
                return partition
        return None


@dataclass(frozen=True, slots=True)
class Configuration:
    """All services of one configuration version."""

    version: int = 0
    digest: str = ""
    services: Mapping[str, Service] = field(
        default_factory=lambda: MappingProxyType({})
    )

    def backend_server(self, backend_server: str) -> BackendServer | None:
        """Return a backend server of any service, or None."""
        for service in self.services.values():
            if found := service.backend_servers.get(backend_server):
                return found
        return None
