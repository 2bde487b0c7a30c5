"""Routing table of one configuration version, and the active table."""

from __future__ import annotations

from dataclasses import dataclass, field

from .routes import CallerLimits, Route, Service


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Routes, services and limits of one configuration version."""

    version: int
    # Store revision at which the version was written.
    revision: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    by_host: dict[str, dict[str, Route]] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        """Index the routes by host and prefix."""
        for route in self.routes:
            self.by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if there is none."""
        prefixes = self.by_host.get(host.rpartition(":")[0].lower() or host.lower())
        if prefixes is None:
            prefixes = self.by_host.get(host.lower())
        if prefixes is None:
            return None
        # Prefixes begin and end with a slash, so only whole path segments match.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


@dataclass(frozen=True, slots=True)
class TableAdopted:
    """Result of an offer: the table is newer and is now active."""

    table: RoutingTable
    replaced_version: int | None


@dataclass(frozen=True, slots=True)
class TableIgnored:
    """Result of an offer: the table is not newer than the active one."""

    table: RoutingTable
    active_version: int


class ActiveRoutingTable:
    """Newest routing table offered so far; the version never decreases.

    `table` is None until the first call of `offer`.
    """

    def __init__(self) -> None:
        self.table: RoutingTable | None = None

    def offer(self, table: RoutingTable) -> TableAdopted | TableIgnored:
        """Activate a table if its version is newer than the active one."""
        current = self.table
        if current is not None and table.version <= current.version:
            return TableIgnored(table, current.version)
        self.table = table
        return TableAdopted(table, current.version if current else None)
