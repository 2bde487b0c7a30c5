"""Model of the platform's metadata store in one process, with restorations."""

from __future__ import annotations

import asyncio
import copy
import random
from dataclasses import dataclass, field

from fireflyrack.core import Failed, Ok
from fireflyrack.discovery import (
    Changes,
    Deletion,
    Item,
    Lease,
    Listing,
    StoreEra,
    StoreError,
    StoreProblem,
)

SNAPSHOT_INTERVAL_S = 0.25
POLL_INTERVAL_S = 0.01
MAX_LATENCY_S = 0.006


@dataclass(slots=True)
class StoreState:
    """Everything that a backup holds."""

    revision: int = 1
    compacted_revision: int = 0
    next_lease: int = 1
    items: dict[str, Item] = field(default_factory=dict)
    lease_of: dict[str, int] = field(default_factory=dict)
    history: list[Item | Deletion] = field(default_factory=list)
    # Times to live of the leases, and the times at which they end.
    leases: dict[int, float] = field(default_factory=dict)
    ends: dict[int, float] = field(default_factory=dict)


class ModelStore:
    """State of the store, shared by its clients; run `run` as a task."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.state = StoreState()
        self.era = 1
        self.available = True
        # Time since which the store has been available.
        self.available_since = 0.0
        self.snapshots: list[tuple[float, StoreState]] = []

    async def run(self) -> None:
        """Take snapshots and end leases; never returns."""
        while True:
            now = asyncio.get_running_loop().time()
            self.snapshots.append((now, copy.deepcopy(self.state)))
            del self.snapshots[:-100]
            if self.available:
                for lease, end in tuple(self.state.ends.items()):
                    if now >= end:
                        self.end_lease(lease)
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)

    def go_away(self) -> None:
        """Stop answering."""
        self.available = False

    def come_back(self, backup_age_s: float | None = None) -> None:
        """Answer again, from a backup of a given age if it is not None."""
        now = asyncio.get_running_loop().time()
        if backup_age_s is not None:
            wanted = now - backup_age_s
            older = [state for at, state in self.snapshots if at <= wanted]
            self.state = copy.deepcopy(older[-1] if older else StoreState())
            self.era += 1
        for lease, ttl_s in self.state.leases.items():
            self.state.ends[lease] = now + ttl_s
        self.available, self.available_since = True, now

    def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision."""
        state = self.state
        state.revision += 1
        item = Item(key, value, state.revision)
        state.items[key] = item
        state.lease_of[key] = lease
        state.history.append(item)
        return state.revision

    def remove(self, key: str) -> None:
        """Delete a key."""
        state = self.state
        if state.items.pop(key, None) is not None:
            state.revision += 1
            state.lease_of.pop(key, None)
            state.history.append(Deletion(key, state.revision))

    def grant(self, ttl_s: float) -> int:
        """Create a lease; a restored store gives its id out again."""
        state = self.state
        lease, state.next_lease = state.next_lease, state.next_lease + 1
        state.leases[lease] = ttl_s
        state.ends[lease] = asyncio.get_running_loop().time() + ttl_s
        return lease

    def renew(self, lease: int) -> bool:
        """Renew a lease; return whether it exists."""
        if lease not in self.state.leases:
            return False
        now = asyncio.get_running_loop().time()
        self.state.ends[lease] = now + self.state.leases[lease]
        return True

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.state.leases.pop(lease, None)
        self.state.ends.pop(lease, None)
        keys = [key for key, other in self.state.lease_of.items() if other == lease]
        for key in keys:
            self.remove(key)

    def compact(self) -> None:
        """Drop the history."""
        self.state.history.clear()
        self.state.compacted_revision = self.state.revision


class ModelClient:
    """MetadataStore of one process."""

    def __init__(self, store: ModelStore) -> None:
        self.store = store
        self.era = StoreEra()

    async def reach(self) -> Failed | None:
        """Take the way to the store; return the failure if it does not answer."""
        await asyncio.sleep(self.store.rng.uniform(0.001, MAX_LATENCY_S))
        if self.store.available:
            return None
        return Failed(StoreError(StoreProblem.UNAVAILABLE))

    async def reply(self, outcome):
        """Take the way back with the era of the store at the time of the reply."""
        era = self.store.era
        await asyncio.sleep(self.store.rng.uniform(0.001, MAX_LATENCY_S))
        self.era.observe(era)
        return outcome

    async def list(self, prefix: str, stale: bool = False):
        if failure := await self.reach():
            return failure
        state = self.store.state
        items = tuple(i for key, i in state.items.items() if key.startswith(prefix))
        return await self.reply(Ok(Listing(items, state.revision, self.store.era)))

    async def watch(self, prefix: str, after: int, wait_s: float):
        if failure := await self.reach():
            return failure
        until = asyncio.get_running_loop().time() + wait_s
        while self.store.available:
            state = self.store.state
            if after < state.compacted_revision or after > state.revision:
                error = StoreError(StoreProblem.HISTORY_LOST)
                return await self.reply(Failed(error))
            changes = tuple(c for c in state.history if c.revision > after)
            if changes or asyncio.get_running_loop().time() >= until:
                reply = Changes(changes, state.revision, self.store.era)
                return await self.reply(Ok(reply))
            await asyncio.sleep(POLL_INTERVAL_S)
        return Failed(StoreError(StoreProblem.UNKNOWN))

    async def put(self, key: str, value: bytes, lease: int):
        if failure := await self.reach():
            return failure
        if lease and lease not in self.store.state.leases:
            return await self.reply(Failed(StoreError(StoreProblem.ABSENT)))
        return await self.reply(Ok(self.store.write(key, value, lease)))

    async def remove(self, key: str):
        if failure := await self.reach():
            return failure
        self.store.remove(key)
        return await self.reply(Ok(self.store.state.revision))

    async def grant_lease(self, ttl_s: float):
        if failure := await self.reach():
            return failure
        return await self.reply(Ok(Lease(self.store.grant(ttl_s), ttl_s)))

    async def renew_lease(self, lease: int):
        if failure := await self.reach():
            return failure
        if not self.store.renew(lease):
            return await self.reply(Failed(StoreError(StoreProblem.ABSENT)))
        return await self.reply(Ok(self.store.state.leases[lease]))
