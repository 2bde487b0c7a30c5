"""Observations of callers, backend servers and the store during a soak test."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

RECORD_BYTES = 16


@dataclass(frozen=True, slots=True)
class Run:
    """Start of the execution of a request on a backend server."""

    at: float
    request: str
    server: str
    service: str
    method: str
    target: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a request at its caller; status 0 means a broken connection."""

    request: str
    kind: str
    gateway: str
    # Start count of the gateway when the request was sent and when it ended.
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
class ConfigurationVersion:
    """A version that the store acknowledged, and the service that it routes to."""

    at: float
    number: int
    service: str


@dataclass(frozen=True, slots=True)
class Drain:
    """A draining state of a backend server that the store acknowledged."""

    at: float
    server: str


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """An injected fault on a gateway, a backend server or the store ("")."""

    begin: float
    end: float
    target: str
    kind: str


@dataclass(slots=True)
class Records:
    """All observations of a soak test; appended to while it runs."""

    runs: list[Run] = field(default_factory=list)
    results: list[Result] = field(default_factory=list)
    versions: list[ConfigurationVersion] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    injected_faults: list[InjectedFault] = field(default_factory=list)
    # Peak number of open connections by backend server.
    connections: dict[str, int] = field(default_factory=dict)
    sent: dict[str, str] = field(default_factory=dict)
    # Unexpected exits of processes, and internal faults in their logs.
    faults: list[str] = field(default_factory=list)
    # Time after which no injected fault is active.
    faults_ended_at: float = 0.0


def signature_of(request: str, server: str) -> str:
    """Return the signature of a backend server's response to a request."""
    return f"{server}.{request}"


def search_body(request: str, server: str) -> bytes:
    """Return the two records that a backend server returns for a search."""
    digest = hashlib.sha256(signature_of(request, server).encode()).digest()
    return digest[: 2 * RECORD_BYTES]


def plain_body(request: str, server: str, target: str) -> bytes:
    """Return the body that a backend server returns for a non-search request."""
    return f"{server} {request} {target}".encode()
