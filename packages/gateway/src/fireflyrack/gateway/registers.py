"""Backend servers by service, kept from the followed registers."""

from __future__ import annotations

from fireflyrack.discovery import BackendServer, EntryChanged, EntryRemoved


class ServersByService:
    """Index backend servers by service; call `changed` and `gone` for each change."""

    def __init__(self) -> None:
        self.by_service: dict[str, dict[str, BackendServer]] = {}
        self.cached: dict[str, tuple[BackendServer, ...]] = {}

    def servers_of(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a service."""
        return self.cached.get(service, ())

    def changed(self, change: EntryChanged) -> None:
        """Follow a new or changed register."""
        server: BackendServer = change.value
        previous: BackendServer | None = change.previous
        if previous is not None and previous.service != server.service:
            self.remove(previous)
        self.by_service.setdefault(server.service, {})[server.id] = server
        self.refresh(server.service)

    def gone(self, gone: EntryRemoved) -> None:
        """Follow the end of a register."""
        self.remove(gone.value)

    def remove(self, server: BackendServer) -> None:
        """Remove a backend server."""
        servers = self.by_service.get(server.service, {})
        servers.pop(server.id, None)
        if not servers:
            self.by_service.pop(server.service, None)
        self.refresh(server.service)

    def refresh(self, service: str) -> None:
        """Rebuild the tuple of one service."""
        servers = self.by_service.get(service)
        if servers:
            self.cached[service] = tuple(servers.values())
        else:
            self.cached.pop(service, None)
