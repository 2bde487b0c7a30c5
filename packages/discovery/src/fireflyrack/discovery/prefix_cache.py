"""Local cache of the store's entries below one prefix."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from fireflyrack.core import StateMachine
from fireflyrack.telemetry import EventLog

from . import entries, log_events
from .entries import (
    EntryChanged,
    EntryOutdated,
    EntryRemoved,
    EntryRetained,
    EntryTable,
)
from .health import StoreHealth
from .log_events import EntryRejected, EntryStateChanged
from .order import is_earlier
from .servers import UnreadableEntry
from .store import Deletion, Item

# Longest reason for the rejection of an entry in a log line.
MAX_REASON_LENGTH = 200


class PrefixCache:
    """Cache the entries below a prefix and call listeners on changes.

    `decode` turns an item into a value or an UnreadableEntry. A StoreWatcher applies
    listings and changes; `table.entries` holds the values by key. Entries that are not
    `leased` stay in use when the store lacks them.
    """

    def __init__(
        self,
        prefix: str,
        decode: Callable[[Item], Any],
        log: EventLog,
        health: StoreHealth,
        now: Callable[[], float],
        leased: bool = True,
    ) -> None:
        self.prefix = prefix
        self.decode = decode
        self.log = log
        self.health = health
        self.now = now
        # Store revision up to which changes have been applied.
        self.revision: int | None = None
        # Monotonic time at which the entries last matched the store.
        self.last_synced_at: float | None = None
        # Monotonic time of the first listing, None before.
        self.first_listed_at: float | None = None
        # Undecoded items of the entries in use, sent to peers that have no listing yet.
        self.items: dict[str, Item] = {}
        self.on_changed: list[Callable[[EntryChanged], None]] = []
        self.on_removed: list[Callable[[EntryRemoved], None]] = []
        self.machine = StateMachine(EntryTable(leased), entries.decide, self.perform)
        health.listeners.append(self.on_store_health)

    @property
    def table(self) -> EntryTable:
        """Return the entry table of the state machine."""
        return self.machine.state

    def on_store_health(self, available: bool) -> None:
        """Feed the outcome of a store call to the state machine."""
        at = self.now()
        if available:
            self.machine.feed(entries.StoreRecovered(at))
        elif self.health.lost_since is not None:
            self.machine.feed(entries.StoreLost(at, self.health.lost_since))

    def on_store_restored(self) -> None:
        """Keep the entries that the restored store may lack until they are renewed."""
        self.machine.feed(entries.StoreRestored(self.now()))

    def lists(self, key: str) -> bool:
        """Return whether the store contained an entry when it was last read."""
        return key in self.table.entries and key not in self.table.missing_until

    def expire_missing(self) -> None:
        """Remove retained entries whose retention has ended."""
        if self.table.missing_until:
            self.machine.feed(entries.ExpiryTimerFired(self.now()))

    def apply_current_listing(self, items: tuple[Item, ...], revision: int) -> None:
        """Replace the entries with a current listing at a store revision."""
        self.revision = revision
        self.last_synced_at = self.now()
        self.apply_listing(items)

    def apply_listing(self, items: tuple[Item, ...]) -> None:
        """Replace the entries with the listed items below the prefix."""
        if self.first_listed_at is None:
            self.first_listed_at = self.now()
        below = [item for item in items if item.key.startswith(self.prefix)]
        decoded = tuple((item.key, self.decode_value(item)) for item in below)
        self.machine.feed(entries.ListingReceived(self.now(), decoded))
        for item, (_, value) in zip(below, decoded, strict=True):
            self.keep_item(item, value)

    def seed(self, items: tuple[Item, ...]) -> bool:
        """Load entries from a peer if the store has not been listed yet.

        Return whether they were loaded; the next listing of the store replaces them.
        """
        if self.first_listed_at is not None:
            return False
        self.apply_listing(items)
        return True

    def adopt_newer(self, items: tuple[Item, ...]) -> None:
        """Apply the items of a peer that are later states of entries in use."""
        for item in items:
            known = self.table.entries.get(item.key)
            value = self.decode_value(item)
            if value is not None and known is not None and is_earlier(known, value):
                self.machine.feed(entries.EntryWritten(self.now(), item.key, value))
                self.keep_item(item, value)

    def apply_changes(
        self, changes: tuple[Item | Deletion, ...], revision: int
    ) -> None:
        """Apply the changes below the prefix, up to a store revision."""
        self.last_synced_at = self.now()
        for change in changes:
            if change.key.startswith(self.prefix):
                self.apply_change(change)
        self.revision = revision

    @singledispatchmethod
    def apply_change(self, change: object) -> None:
        """Apply a write or a deletion."""
        raise TypeError(f"unsupported change type: {type(change).__name__}")

    @apply_change.register
    def _(self, change: Item) -> None:
        value = self.decode_value(change)
        self.machine.feed(entries.EntryWritten(self.now(), change.key, value))
        self.keep_item(change, value)

    @apply_change.register
    def _(self, change: Deletion) -> None:
        self.machine.feed(entries.EntryDeleted(self.now(), change.key))

    def decode_value(self, item: Item) -> Any:
        """Decode an item; log it and return None if it is unreadable."""
        try:
            value = self.decode(item)
        except Exception as error:  # noqa: BLE001
            # One entry must not keep the others from being followed.
            value = UnreadableEntry(item.key, repr(error)[:MAX_REASON_LENGTH])
        if isinstance(value, UnreadableEntry):
            self.log.record(EntryRejected(item.key, item.revision, value.reason))
            return None
        return value

    def keep_item(self, item: Item, value: Any) -> None:
        """Keep an item for peers if its value is the one in use."""
        if value is not None and self.table.entries.get(item.key) is value:
            self.items[item.key] = item

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action: call the listeners, write a log event, or both."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: EntryChanged) -> None:
        for listener in self.on_changed:
            listener(action)

    @perform.register
    def _(self, action: EntryRemoved) -> None:
        revision = self.revision or 0
        self.items.pop(action.key, None)
        self.log.record(EntryStateChanged(action.key, "gone", revision, action.reason))
        for listener in self.on_removed:
            listener(action)

    @perform.register
    def _(self, action: EntryOutdated) -> None:
        self.log.record(log_events.EntryOutdated(action.key, action.departed))

    @perform.register
    def _(self, action: EntryRetained) -> None:
        self.log.record(EntryStateChanged(action.key, "retained", self.revision or 0))
