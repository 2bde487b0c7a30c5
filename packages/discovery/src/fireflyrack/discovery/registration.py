"""Registration of this instance in the store under a lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from fireflyrack.core import Failed, Outcome
from fireflyrack.telemetry import EventLog

from .health import StoreHealth
from .log_events import EntryStateChanged, StoreCallFailed
from .store import MetadataStore, StoreError, StoreProblem

# The entry of an instance that has crashed expires after this time.
LEASE_S = 2.0
# Allows for two lost renewals in a row within one lease.
RENEW_INTERVAL_S = 0.6
RETRY_DELAY_S = 0.2


@dataclass(frozen=True, slots=True)
class RegistrationEntry:
    """Key to register, and the encoding of its value.

    `encode` gets the number of the write, which rises with each one.
    """

    key: str
    encode: Callable[[int], bytes]


class Registration:
    """Maintain a leased entry: run `keep_registered`, at the end call `withdraw`."""

    def __init__(
        self,
        entry: RegistrationEntry,
        store: MetadataStore,
        log: EventLog,
        health: StoreHealth,
        is_listed: Callable[[], bool],
    ) -> None:
        self.entry = entry
        self.store = store
        self.log = log
        self.health = health
        # Returns whether the latest known state of the store contains the entry.
        self.is_listed = is_listed
        self.lease: int | None = None
        self.writes = 0
        self.withdrawn = False
        store.era.listeners.append(self.on_store_restored)

    def on_store_restored(self) -> None:
        """Register anew: the id of the lease may belong to another owner now."""
        self.lease = None

    async def keep_registered(self) -> None:
        """Register the entry and renew its lease until `withdraw` is called."""
        while not self.withdrawn:
            if self.lease is None:
                succeeded = await self.register()
            else:
                succeeded = await self.renew()
            await asyncio.sleep(RENEW_INTERVAL_S if succeeded else RETRY_DELAY_S)

    async def register(self) -> bool:
        """Write the entry under a new lease; return whether it succeeded."""
        granted = await self.store.grant_lease(LEASE_S)
        if isinstance(granted, Failed):
            return self.failed("grant lease", granted.error)
        self.health.succeeded()
        if self.withdrawn:
            return True
        era = self.store.era.current
        written = await self.write(granted.value.id)
        if isinstance(written, Failed):
            # A write without a reply may still take effect; its lease expires, and the
            # next write replaces it.
            return self.failed("register", written.error)
        if self.store.era.current != era:
            return False
        self.lease = granted.value.id
        self.log.record(EntryStateChanged(self.entry.key, "registered", written.value))
        return True

    async def write(self, lease: int) -> Outcome[int, StoreError]:
        """Write the entry under a lease; return the revision."""
        self.writes += 1
        value = self.entry.encode(self.writes)
        return await self.store.put(self.entry.key, value, lease)

    async def renew(self) -> bool:
        """Renew the lease; return whether the entry is still registered."""
        outcome = await self.store.renew_lease(self.lease)
        if isinstance(outcome, Failed):
            if outcome.error.problem is StoreProblem.ABSENT:
                self.health.succeeded()
                self.log.record(EntryStateChanged(self.entry.key, "lease ended", 0))
                self.lease = None
                return False
            return self.failed("renew lease", outcome.error)
        self.health.succeeded()
        if not self.is_listed():
            # The entry was deleted although its lease is valid.
            self.lease = None
        return self.lease is not None

    async def rewrite(self) -> None:
        """Write the entry again under the current lease, after its value changed."""
        if self.lease is None or self.withdrawn:
            return
        written = await self.write(self.lease)
        if isinstance(written, Failed):
            # The next registration writes the new value.
            self.lease = None
            self.failed("replace register", written.error)

    async def withdraw(self) -> None:
        """Delete the entry and let its lease expire.

        The lease is not ended by its id, which a restored store may have given to
        another owner.
        """
        self.withdrawn = True
        if self.lease is None:
            return
        outcome = await self.store.remove(self.entry.key)
        if isinstance(outcome, Failed):
            self.failed("withdraw", outcome.error)

    def failed(self, call: str, error: StoreError) -> bool:
        """Record a failed call; return False."""
        self.log.record(StoreCallFailed(call, error.problem.value, error.detail))
        self.health.failed(f"{call}: {error.problem.value}")
        return False
