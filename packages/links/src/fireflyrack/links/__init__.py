"""Long-lived bidirectional gRPC streams between entry instances."""

from __future__ import annotations

from .errors import LinkFailure, LinkFailureKind
from .frames import IncomingMessage
from .pool import LinkPool
from .server import Handler, LinkServer, Respond
from .settings import LinkSettings

__all__ = [
    "Handler",
    "IncomingMessage",
    "LinkFailure",
    "LinkFailureKind",
    "LinkPool",
    "LinkServer",
    "LinkSettings",
    "Respond",
]
