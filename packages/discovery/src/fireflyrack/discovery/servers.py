"""Backend servers and entry instances as registered in the store."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class ServerState(enum.Enum):
    """State that a backend server reports of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A registered backend server."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: ServerState
    # Remaining warm-up time in seconds, counted from the report.
    cold_s: float = 0.0
    # Distinguishes restarts of a backend server under the same id.
    incarnation: int = 0
    software_version: str = ""
    # Number of the write within the incarnation; alone it changes nothing.
    sequence: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class EntryInstance:
    """A registered entry instance."""

    id: str
    incarnation: str
    failure_domain: str
    # Address for callers, as host:port.
    address: str
    # Whether the instance is short of CPU time; callers should prefer others.
    overloaded: bool = False
    # Address for peer links; empty if it accepts none.
    peer_address: str = ""
    # Number of the registration within the incarnation; alone it changes nothing.
    registration: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class UnreadableEntry:
    """An entry that could not be decoded, and the reason."""

    key: str
    reason: str
