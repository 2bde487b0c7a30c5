"""Layouts of the two users' deployments at their current sizes."""

from __future__ import annotations

from typing import Any

from .site import ServiceLayout, SiteLayout

# Modules in the corpus: enough for hits on every query, few enough for a fast start.
MODULES = 12
SHARDS_PER_SERVER = 8
SEARCH_TIMES = {"service_time_sigma": 0.5, "cold_s": 5.0, "cold_factor": 3.0}


def create_service(
    name: str, servers: int, slots: int, connections: int, **policy: Any
) -> ServiceLayout:
    """Return a service with two replicas of each shard and log-normal times."""
    return ServiceLayout(
        name=name,
        backend_servers=servers,
        shards=servers * SHARDS_PER_SERVER,
        slots=slots,
        connections=connections,
        service_time_s=0.04,
        backend=SEARCH_TIMES,
        policy=policy,
    )


def ljubljana(searches: int = 10, desks: int = 15) -> SiteLayout:
    """Return Seminarnik's layout; searches below the minimum coverage wait."""
    policy = {"below_minimum": "wait"}
    return SiteLayout(
        services=(
            *(
                create_service(f"search-{n}", 3, 2, 25, **policy)
                for n in range(searches)
            ),
            *(create_service(f"desk-{n}", 3, 2, 25, **policy) for n in range(desks)),
            create_service("announcements", 4, 3, 100, **policy),
            create_service("digests", 3, 3, 100, **policy),
        ),
        failure_domains=("lj-a", "lj-b", "lj-c"),
        modules=MODULES,
    )


def bucharest(portals: int = 10, syncs: int = 15) -> SiteLayout:
    """Return Lumara's layout; searches below the minimum coverage are answered."""
    policy = {"below_minimum": "answer"}
    return SiteLayout(
        services=(
            *(
                create_service(f"portal-{n}", 3, 3, 30, **policy)
                for n in range(portals)
            ),
            *(create_service(f"stock-{n}", 3, 3, 30, **policy) for n in range(syncs)),
            create_service("courier", 8, 3, 40, **policy),
            create_service("calls", 4, 3, 40, **policy),
        ),
        failure_domains=("bu-a", "bu-b", "bu-c"),
        modules=MODULES,
    )
