"""Interface of the metadata store, and the types of its results."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from fireflyrack.core import Outcome

from .era import StoreEra


@dataclass(frozen=True, slots=True)
class Item:
    """A key of the store with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Deletion:
    """A deletion of a key at a revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All items below a prefix.

    Changes after `revision` may be missing; a watch from that revision returns them.
    """

    items: tuple[Item, ...]
    revision: int
    # Era of the store that listed them, None if it states none.
    era: int | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes below a prefix up to a revision, in order."""

    changes: tuple[Item | Deletion, ...]
    revision: int
    # Era of the store that reported them, None if it states none.
    era: int | None = None


class StoreProblem(enum.Enum):
    """Reason why a call to the store failed."""

    # The call had no effect.
    UNAVAILABLE = "unavailable"
    # The fleet-wide rate limit is exceeded; the call had no effect.
    RATE_LIMITED = "rate limited"
    # No reply was received; a write may have taken effect or may still do so.
    UNKNOWN = "unknown"
    # A watch asked for changes that the store has compacted, or the store was restored
    # during the call.
    HISTORY_LOST = "history lost"
    # A condition of a write did not hold.
    CONFLICT = "conflict"
    # The key or the lease does not exist.
    ABSENT = "absent"
    # The reply could not be decoded.
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class StoreError:
    """Error of a failed call to the store."""

    problem: StoreProblem
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease and its time to live after each renewal, in seconds."""

    id: int
    ttl_s: float


class MetadataStore(Protocol):
    """Client of the metadata store; each call returns an outcome and never raises."""

    era: StoreEra

    async def list(
        self, prefix: str, stale: bool = False
    ) -> Outcome[Listing, StoreError]:
        """Return all items below a prefix; a stale listing may be seconds old."""

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Outcome[Changes, StoreError]:
        """Wait for changes after a revision; return none after `wait_s` seconds."""

    async def put(self, key: str, value: bytes, lease: int) -> Outcome[int, StoreError]:
        """Write a key under a lease; return the new revision."""

    async def grant_lease(self, ttl_s: float) -> Outcome[Lease, StoreError]:
        """Create a lease with a time to live in seconds."""

    async def renew_lease(self, lease: int) -> Outcome[float, StoreError]:
        """Renew a lease; return its time to live in seconds."""

    async def remove(self, key: str) -> Outcome[int, StoreError]:
        """Delete a key; return the new revision."""
