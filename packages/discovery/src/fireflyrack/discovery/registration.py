"""Registration of this instance in the store under a lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from fireflyrack.core import Failed
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
    """Key and value to register."""

    key: str
    value: bytes


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
        self.withdrawn = False

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
            await self.store.end_lease(granted.value.id)
            return True
        written = await self.store.put(
            self.entry.key, self.entry.value, granted.value.id
        )
        if isinstance(written, Failed):
            # A write without a reply may still take effect; its lease expires, and the
            # next write replaces it.
            return self.failed("register", written.error)
        self.lease = granted.value.id
        self.log.record(EntryStateChanged(self.entry.key, "registered", written.value))
        return True

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
            return False
        return True

    async def replace(self, value: bytes) -> None:
        """Write a new value under the current lease."""
        self.entry = RegistrationEntry(self.entry.key, value)
        if self.lease is None or self.withdrawn:
            return
        written = await self.store.put(self.entry.key, value, self.lease)
        if isinstance(written, Failed):
            # The next registration writes the new value.
            self.lease = None
            self.failed("replace register", written.error)

    async def withdraw(self) -> None:
        """End the lease, which deletes the entry, and stop renewing."""
        self.withdrawn = True
        if self.lease is None:
            return
        outcome = await self.store.end_lease(self.lease)
        if isinstance(outcome, Failed):
            self.failed("withdraw", outcome.error)

    def failed(self, call: str, error: StoreError) -> bool:
        """Record a failed call; return False."""
        self.log.record(StoreCallFailed(call, error.problem.value, error.detail))
        self.health.failed(f"{call}: {error.problem.value}")
        return False
