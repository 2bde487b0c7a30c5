"""Attempts to run a request on a backend server, and their outcomes."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from fireflyrack.availability import NO_NOTICE, Notice
from fireflyrack.discovery import BackendServer

from .requests import CallerRequest, Headers


@dataclass(frozen=True, slots=True)
class Completed:
    """Complete response of a backend server that executed the request."""

    status: int
    headers: Headers
    body: bytes
    # Signature of the response by the backend server, empty if absent.
    signature: str
    notice: Notice = NO_NOTICE

    @property
    def succeeded(self) -> bool:
        """Return whether the status is 2xx and the response is signed."""
        return 200 <= self.status < 300 and bool(self.signature)


class Refusal(enum.Enum):
    """Reason why a backend server refused a request without executing it."""

    # The queue is full or the backend server sheds load.
    FULL = "full"
    # A different backend server now uses the address.
    REPLACED = "replaced"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Refused:
    """The backend server reported that it did not execute the request."""

    reason: Refusal
    status: int
    notice: Notice = NO_NOTICE


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection could be established, so nothing was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class Interrupted:
    """Connection closed or invalid response; the request may have been executed."""

    detail: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No response before the deadline; the request may have been executed."""


AttemptOutcome = Completed | Refused | NotConnected | Interrupted | TimedOut


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a request on a backend server of one shard."""

    id: int
    # Index of the shard in the request; 0 if the request is not a search.
    shard: int
    server: BackendServer
    deadline_at: float


class BackendTransport(Protocol):
    """Transport of attempts to backend servers."""

    async def send(self, request: CallerRequest, attempt: Attempt) -> AttemptOutcome:
        """Send one attempt; cancellation also stops the work on the backend server."""

    async def reachable(self, server: BackendServer) -> bool:
        """Return whether a backend server accepts a connection, without a request."""
