"""Notices: what the responses of a backend server state about the server itself."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Source(enum.Enum):
    """Where a statement about a backend server comes from."""

    RESPONSE = "response"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Load:
    """Load that a backend server reports with its responses.

    All counts are requests; `slots` is how many the backend server runs at once.
    """

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class Notice:
    """Statements in one response of a backend server; None where it states nothing."""

    load: Load | None = None
    # Requests per second that it takes from all entry instances together.
    rate_limit: float | None = None
    # Seconds for which it wants no further requests from this instance.
    closed_for_s: float | None = None
    # Whether it leaves and wants no further requests.
    leaving: bool = False
    # Statements that could not be decoded, with their values.
    unreadable: tuple[str, ...] = ()
    # Headers without effect on the statements: the load if it could not be decoded, and
    # those that cannot be relayed.
    unusable: tuple[str, ...] = ()

    @property
    def states_anything(self) -> bool:
        """Return whether there is a statement beside the load."""
        stated = self.rate_limit is not None or self.closed_for_s is not None
        ignored = bool(self.unreadable or self.unusable)
        return stated or self.leaving or ignored


NO_NOTICE = Notice()


@dataclass(frozen=True, slots=True)
class SharedStatement:
    """What one instance has learned of a backend server, for its peers.

    A closed time is not shared: the server asks for it from one instance only.
    """

    server: str
    incarnation: int
    leaving: bool
    rate_limit: float | None
