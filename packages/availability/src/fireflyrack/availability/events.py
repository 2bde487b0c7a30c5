"""Events that change what is known of backend servers."""

from __future__ import annotations

from dataclasses import dataclass

from fireflyrack.discovery import BackendServer

from .notices import Notice, SharedStatement


@dataclass(frozen=True, slots=True)
class NoticeReceived:
    """Event: a response of a backend server stated something about it."""

    at: float
    server: BackendServer
    notice: Notice
    # Whether the server accepted the request, even if it failed.
    accepted: bool = True


@dataclass(frozen=True, slots=True)
class StatementShared:
    """Event: a peer has learned something of a backend server."""

    at: float
    statement: SharedStatement


@dataclass(frozen=True, slots=True)
class InstancesCounted:
    """Event: the number of registered entry instances changed."""

    at: float
    instances: int
    # Position of this instance among them, from 0.
    rank: int


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """Event: a backend server is no longer registered."""

    at: float
    server: BackendServer
