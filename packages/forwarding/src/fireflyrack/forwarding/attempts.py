"""Attempts at backend servers and their outcomes."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from fireflyrack.discovery import BackendServer

from .requests import CallerRequest, Headers


@dataclass(frozen=True, slots=True)
class Load:
    """Hold the load that a backend server tells with its responses."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class Completed:
    """Hold a whole response of a backend server that ran the request."""

    status: int
    headers: Headers
    body: bytes
    # The backend server's signature of the response, empty if it gave none.
    signature: str
    load: Load | None = None

    @property
    def succeeded(self) -> bool:
        """Return whether the response is a signed success."""
        return 200 <= self.status < 300 and bool(self.signature)


class Refusal(enum.Enum):
    """Name why a backend server did not run a request."""

    # Its queue is full, or it sheds load.
    FULL = "full"
    # Another backend server has the address now.
    REPLACED = "replaced"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Refused:
    """Tell that a backend server stated that it did not run the request."""

    reason: Refusal
    status: int
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class NotConnected:
    """Tell that no connection was made; nothing was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class Interrupted:
    """Tell that a connection ended or carried bytes of no use; it may have run."""

    detail: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """Tell that there was no response in time; it may have run."""


AttemptOutcome = Completed | Refused | NotConnected | Interrupted | TimedOut


@dataclass(frozen=True, slots=True)
class Attempt:
    """Hold one attempt of a request at a backend server of one shard."""

    id: int
    # Position of the shard in the request; 0 for requests that are no searches.
    shard: int
    server: BackendServer
    deadline_at: float


class BackendTransport(Protocol):
    """Send attempts to backend servers."""

    async def send(self, request: CallerRequest, attempt: Attempt) -> AttemptOutcome:
        """Send one attempt; cancelling it ends the work at the backend server."""

    async def reachable(self, server: BackendServer) -> bool:
        """Return whether a backend server takes a connection; nothing is sent."""
