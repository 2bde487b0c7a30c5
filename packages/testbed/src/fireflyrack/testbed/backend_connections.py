"""Connection limit of the stand-in for a backend server."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from uvicorn.protocols.http.auto import AutoHTTPProtocol

CONTROL_PATH = "/control"


@dataclass(slots=True)
class Connections:
    """Open connections; those that carry only control calls do not count."""

    limit: int
    transports: dict[Any, asyncio.Transport] = field(default_factory=dict)
    admitted: set[Any] = field(default_factory=set)
    opened: int = 0
    peak: int = 0
    refused: int = 0

    def admit(self, client: Any) -> bool:
        """Count a connection at its first call; return False at the limit."""
        if client in self.admitted:
            return True
        if len(self.admitted) >= self.limit:
            self.refused += 1
            return False
        self.admitted.add(client)
        self.opened += 1
        self.peak = max(self.peak, len(self.admitted))
        return True

    def abort(self, client: Any) -> None:
        """Reset a connection without a response."""
        if transport := self.transports.get(client):
            transport.abort()


class ConnectionLimitMiddleware:
    """ASGI middleware that resets connections above the limit at their first call."""

    def __init__(self, app: Any, connections: Connections) -> None:
        self.app = app
        self.connections = connections

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Pass a call on, or reset its connection if it exceeds the limit."""
        if scope["type"] == "http" and scope["path"] != CONTROL_PATH:
            client = tuple(scope["client"])
            if not self.connections.admit(client):
                self.connections.abort(client)
                return
        await self.app(scope, receive, send)


def protocol_class_for(app: ConnectionLimitMiddleware) -> type[asyncio.Protocol]:
    """Return an HTTP protocol class that records the connections of the middleware."""
    connections = app.connections

    class RecordingProtocol(AutoHTTPProtocol):
        """HTTP protocol that records each connection under its client's address."""

        def connection_made(self, transport: asyncio.Transport) -> None:
            """Record the connection."""
            self.peer = tuple(transport.get_extra_info("peername")[:2])
            connections.transports[self.peer] = transport
            super().connection_made(transport)

        def connection_lost(self, error: Exception | None) -> None:
            """Remove the connection."""
            connections.transports.pop(self.peer, None)
            connections.admitted.discard(self.peer)
            super().connection_lost(error)

    return RecordingProtocol
