"""Backend servers and entry instances as the store lists them."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class ServerState(enum.Enum):
    """Name what a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Hold the register of one backend server."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: ServerState
    # Seconds that it stays slow after its start, counted from the report.
    cold_s: float = 0.0
    # Distinguishes the starts of a backend server that keeps its id.
    incarnation: int = 0
    software_version: str = ""


@dataclass(frozen=True, slots=True)
class EntryInstance:
    """Hold the register of one entry instance."""

    id: str
    incarnation: str
    failure_domain: str
    # Address that callers connect to.
    address: str
    # Whether it lacks processor time and callers should go elsewhere.
    strained: bool = False
    # Address that its peers connect to, empty if it takes no links.
    peer_address: str = ""


@dataclass(frozen=True, slots=True)
class UnreadableEntry:
    """Hold a register that names nothing to use, and why."""

    key: str
    reason: str
