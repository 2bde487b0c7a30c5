"""Follower of the entries of the store below one prefix."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from fireflyrack.core import StateMachine
from fireflyrack.telemetry import EventLog

from . import entries
from .entries import EntryChanged, EntryGone, EntryRetained, EntryTable
from .health import StoreHealth
from .log_events import EntryBelief, EntryRejected
from .servers import Unreadable
from .store import Deletion, Item


class PrefixFollower:
    """Keep the entries below a prefix and call listeners on changes.

    `decode` turns an item into a value or Unreadable. A StoreWatcher feeds listings
    and changes; `table.entries` holds the values by key.
    """

    def __init__(
        self,
        prefix: str,
        decode: Callable[[Item], Any],
        log: EventLog,
        health: StoreHealth,
        now: Callable[[], float],
    ) -> None:
        self.prefix = prefix
        self.decode = decode
        self.log = log
        self.health = health
        self.now = now
        # Revision of the store up to which the changes are known.
        self.revision: int | None = None
        # Steady time at which the entries were last known to be current.
        self.current_at: float | None = None
        # Steady time of the first listing, None before.
        self.first_listed_at: float | None = None
        # Items of the entries in use as they were read, for peers that have none.
        self.items: dict[str, Item] = {}
        self.on_changed: list[Callable[[EntryChanged], None]] = []
        self.on_gone: list[Callable[[EntryGone], None]] = []
        self.machine = StateMachine(EntryTable(), entries.decide, self.perform)
        health.listeners.append(self.note_store)

    @property
    def table(self) -> EntryTable:
        """Return the entries in use."""
        return self.machine.state

    def note_store(self, answers: bool) -> None:
        """Follow whether the store answers."""
        at = self.now()
        if answers:
            self.machine.feed(entries.StoreRegained(at))
        elif self.health.lost_since is not None:
            self.machine.feed(entries.StoreLost(at, self.health.lost_since))

    def pass_time(self) -> None:
        """End the wait for missing entries whose time has come."""
        if self.table.missing:
            self.machine.feed(entries.TimePassed(self.now()))

    def take_current(self, items: tuple[Item, ...], revision: int) -> None:
        """Replace the entries by a listing that is current."""
        self.revision = revision
        self.current_at = self.now()
        self.take_listing(items)

    def take_listing(self, items: tuple[Item, ...]) -> None:
        """Replace the entries by those of a listing that lie below the prefix."""
        if self.first_listed_at is None:
            self.first_listed_at = self.now()
        below = (item for item in items if item.key.startswith(self.prefix))
        decoded = tuple((item.key, self.value_of(item)) for item in below)
        self.machine.feed(entries.Listed(self.now(), decoded))

    def adopt(self, items: tuple[Item, ...]) -> bool:
        """Take what a peer believes while the store gave nothing yet.

        Return whether it was taken; the next listing of the store replaces it.
        """
        if self.first_listed_at is not None:
            return False
        self.take_listing(items)
        return True

    def take_changes(self, changes: tuple[Item | Deletion, ...], revision: int) -> None:
        """Follow the changes up to a revision that lie below the prefix."""
        self.current_at = self.now()
        for change in changes:
            if change.key.startswith(self.prefix):
                self.take_change(change)
        self.revision = revision

    @singledispatchmethod
    def take_change(self, change: object) -> None:
        """Follow one change."""
        raise TypeError(f"not a change: {type(change).__name__}")

    @take_change.register
    def _(self, change: Item) -> None:
        value = self.value_of(change)
        self.machine.feed(entries.Written(self.now(), change.key, value))

    @take_change.register
    def _(self, change: Deletion) -> None:
        self.machine.feed(entries.Deleted(self.now(), change.key))

    def value_of(self, item: Item) -> Any:
        """Return the decoded value of an item, None if it cannot be read."""
        value = self.decode(item)
        if isinstance(value, Unreadable):
            self.log.record(EntryRejected(item.key, item.revision, value.reason))
            return None
        self.items[item.key] = item
        return value

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Tell listeners of a change."""
        raise TypeError(f"not an action: {type(action).__name__}")

    @perform.register
    def _(self, action: EntryChanged) -> None:
        for listener in self.on_changed:
            listener(action)

    @perform.register
    def _(self, action: EntryGone) -> None:
        revision = self.revision or 0
        self.items.pop(action.key, None)
        self.log.record(EntryBelief(action.key, "gone", revision, action.reason))
        for listener in self.on_gone:
            listener(action)

    @perform.register
    def _(self, action: EntryRetained) -> None:
        self.log.record(EntryBelief(action.key, "retained", self.revision or 0))
