"""Interface for running requests on owned backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .results import AttemptResult


@dataclass(frozen=True, slots=True)
class OwnedRun:
    """Request that the owner of its backend server may send now."""

    # Ticket identifier without its secret parts, and the attempt.
    id: str
    service: str
    body: str
    # Seconds on this process's monotonic clock.
    deadline_at: float
    fingerprint: str


class RequestRunner(Protocol):
    """Runner of requests on the backend servers that an instance owns."""

    async def run(self, backend_server: str, run: OwnedRun) -> AttemptResult:
        """Send a request at most once, not after its deadline; return the result."""
