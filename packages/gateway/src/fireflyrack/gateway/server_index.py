"""Index of the registered backend servers by service."""

from __future__ import annotations

from fireflyrack.discovery import BackendServer, EntryChanged, EntryRemoved


class ServerIndex:
    """Index backend servers by service from registration changes and removals."""

    def __init__(self) -> None:
        self.by_service: dict[str, dict[str, BackendServer]] = {}
        self.server_tuples: dict[str, tuple[BackendServer, ...]] = {}

    def servers_of(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a service."""
        return self.server_tuples.get(service, ())

    def apply_change(self, change: EntryChanged) -> None:
        """Add or update a backend server, which may have moved to another service."""
        server: BackendServer = change.value
        previous: BackendServer | None = change.previous
        if previous is not None and previous.service != server.service:
            self.remove(previous)
        self.by_service.setdefault(server.service, {})[server.id] = server
        self.refresh(server.service)

    def apply_removal(self, removal: EntryRemoved) -> None:
        """Remove the backend server of a removed registration."""
        self.remove(removal.value)

    def remove(self, server: BackendServer) -> None:
        """Remove a backend server from its service."""
        servers = self.by_service.get(server.service, {})
        servers.pop(server.id, None)
        if not servers:
            self.by_service.pop(server.service, None)
        self.refresh(server.service)

    def refresh(self, service: str) -> None:
        """Rebuild the tuple that `servers_of` returns for a service."""
        servers = self.by_service.get(service)
        if servers:
            self.server_tuples[service] = tuple(servers.values())
        else:
            self.server_tuples.pop(service, None)
