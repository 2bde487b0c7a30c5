"""What callers, backend servers and the store saw during a soak."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

RECORD_BYTES = 16


@dataclass(frozen=True, slots=True)
class Run:
    """Record that a backend server began to run a request."""

    at: float
    request: str
    server: str
    service: str
    method: str
    target: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Result:
    """Record what a caller got; status 0 stands for a broken connection."""

    request: str
    kind: str
    gateway: str
    # Number of starts of the gateway when the request was sent and when it ended.
    starts: tuple[int, int]
    sent_at: float
    ended_at: float
    status: int
    body: bytes
    signatures: tuple[str, ...]
    missing: int
    retry_after: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Version:
    """Record that the store acknowledged a version, and what it routes to."""

    at: float
    number: int
    service: str


@dataclass(frozen=True, slots=True)
class Drain:
    """Record that the store acknowledged that a backend server leaves."""

    at: float
    server: str


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Record a fault on one gateway, one server or the store ("")."""

    begin: float
    end: float
    target: str
    kind: str


@dataclass(slots=True)
class Records:
    """Hold everything seen; appended to while the soak runs."""

    runs: list[Run] = field(default_factory=list)
    results: list[Result] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    # Most connections that were open at once, by backend server.
    connections: dict[str, int] = field(default_factory=dict)
    sent: dict[str, str] = field(default_factory=dict)
    # Processes that ended by themselves, and faults that they logged.
    faults: list[str] = field(default_factory=list)
    # Time after which no fault is in force any more.
    calm_at: float = 0.0


def signature_of(request: str, server: str) -> str:
    """Return the signature of a backend server's response to a request."""
    return f"{server}.{request}"


def part_of(request: str, server: str) -> bytes:
    """Return the records that a backend server gives for a search."""
    digest = hashlib.sha256(signature_of(request, server).encode()).digest()
    return digest[: 2 * RECORD_BYTES]


def body_of(request: str, server: str, target: str) -> bytes:
    """Return the body of a backend server for a request that is no search."""
    return f"{server} {request} {target}".encode()
