"""Interface of the metadata store, as the slices use it."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from fireflyrack.core import Outcome


@dataclass(frozen=True, slots=True)
class Item:
    """Hold a key of the store with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Deletion:
    """Report that a key was deleted at a revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold all items below a prefix.

    Changes after `revision` may be missing; a watch from there gives them.
    """

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold the changes below a prefix up to a revision, in order."""

    changes: tuple[Item | Deletion, ...]
    revision: int


class StoreProblem(enum.Enum):
    """Name why a call to the store gave no result."""

    # The call had no effect.
    UNAVAILABLE = "unavailable"
    # The rate of the whole fleet is exceeded; the call had no effect.
    RATE_LIMITED = "rate limited"
    # No reply; a write may have taken effect or may still do so.
    UNKNOWN = "unknown"
    # A watch asked for changes that the store no longer keeps.
    HISTORY_LOST = "history lost"
    # A condition of a write did not hold.
    CONFLICT = "conflict"
    # The key or the lease does not exist.
    ABSENT = "absent"
    # The reply could not be read.
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class StoreError:
    """Describe a call to the store that gave no result."""

    problem: StoreProblem
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Lease:
    """Hold a lease and how long it lasts from each renewal, in seconds."""

    id: int
    ttl_s: float


class MetadataStore(Protocol):
    """Call the metadata store; each call gives an outcome and never raises."""

    async def list(
        self, prefix: str, stale: bool = False
    ) -> Outcome[Listing, StoreError]:
        """Return all items below a prefix; a stale reply may be seconds old."""

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Outcome[Changes, StoreError]:
        """Wait for changes after a revision; give none after `wait_s`."""

    async def put(self, key: str, value: bytes, lease: int) -> Outcome[int, StoreError]:
        """Write a key under a lease; give the new revision."""

    async def grant_lease(self, ttl_s: float) -> Outcome[Lease, StoreError]:
        """Create a lease."""

    async def renew_lease(self, lease: int) -> Outcome[float, StoreError]:
        """Renew a lease; give its time to live in seconds."""

    async def end_lease(self, lease: int) -> Outcome[None, StoreError]:
        """End a lease and delete its keys."""
