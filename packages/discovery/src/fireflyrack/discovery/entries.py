"""Cached entries below one prefix of the store, and their retention in an outage.

Leased entries may expire while the store is unavailable although their owners are
alive, and a store that is restored from a backup lacks the last ones. They stay in use
until the owners have had time to register again.

A state that is earlier in the order of its owner never replaces a later one, whichever
way it comes. The store may execute a write seconds late, and a restored store lists
earlier states: a backend server that has since drained would be ready again, and one
that has left would be back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from fireflyrack.core import Decision

from .order import is_earlier, is_not_later

# Live owners register again within this time after the store has recovered.
REREGISTRATION_GRACE_S = 2.2
# Time for which removed entries are remembered, longer than the age of any backup.
DEPARTED_RETENTION_S = 120.0
# An outage shorter than this is too short for a lease to expire.
MIN_OUTAGE_S = 1.0


@dataclass(frozen=True, slots=True)
class ListingReceived:
    """A complete listing of the prefix was read."""

    at: float
    entries: tuple[tuple[str, Any], ...]


@dataclass(frozen=True, slots=True)
class EntryWritten:
    """The store reported a write to an entry."""

    at: float
    key: str
    value: Any


@dataclass(frozen=True, slots=True)
class EntryDeleted:
    """The store reported the deletion of an entry."""

    at: float
    key: str


@dataclass(frozen=True, slots=True)
class StoreLost:
    """The store has not answered since the time `since`."""

    at: float
    since: float


@dataclass(frozen=True, slots=True)
class StoreRecovered:
    """The store answers again after a failure."""

    at: float


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store was restored from a backup."""

    at: float


@dataclass(frozen=True, slots=True)
class ExpiryTimerFired:
    """The periodic timer fired; the retention of entries may have ended."""

    at: float


@dataclass(frozen=True, slots=True)
class EntryChanged:
    """Action: report that an entry was added or that its value changed."""

    key: str
    value: Any
    previous: Any


@dataclass(frozen=True, slots=True)
class EntryRemoved:
    """Action: report that an entry was removed from the cache."""

    key: str
    value: Any
    reason: str


@dataclass(frozen=True, slots=True)
class EntryRetained:
    """Action: log that an entry missing from the store stays in use until a time."""

    key: str
    until: float


@dataclass(frozen=True, slots=True)
class EntryOutdated:
    """Action: log that a state was ignored, since a later one is known."""

    key: str
    departed: bool


@dataclass(frozen=True, slots=True)
class DepartedEntry:
    """Last state of a removed entry."""

    value: Any
    at: float


@dataclass(slots=True)
class EntryTable:
    """Entries in use and their retention state; updated in place."""

    # Whether entries have a lease, so that a missing one is gone.
    leased: bool = True
    entries: dict[str, Any] = field(default_factory=dict)
    # Time at which each entry that the store no longer lists will be removed.
    missing_until: dict[str, float] = field(default_factory=dict)
    store_unavailable: bool = False
    # Until this time a deleted entry may belong to an owner that is still alive.
    grace_until: float = 0.0
    # Removed entries in the order of their removal.
    departed: dict[str, DepartedEntry] = field(default_factory=dict)


@singledispatch
def decide(event: object, table: EntryTable) -> Decision[EntryTable]:
    """Apply one event to the table; return the resulting actions."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: ListingReceived, table: EntryTable) -> Decision[EntryTable]:
    actions: list[Any] = []
    listed = dict(event.entries)
    for key, value in listed.items():
        actions += apply_state(table, key, value, event.at)
    for key in [key for key in table.entries if key not in listed]:
        actions += mark_missing(table, key, event.at)
    return Decision(table, tuple(actions))


@decide.register
def _(event: EntryWritten, table: EntryTable) -> Decision[EntryTable]:
    return Decision(table, tuple(apply_state(table, event.key, event.value, event.at)))


@decide.register
def _(event: EntryDeleted, table: EntryTable) -> Decision[EntryTable]:
    return Decision(table, tuple(mark_missing(table, event.key, event.at)))


@decide.register
def _(event: StoreLost, table: EntryTable) -> Decision[EntryTable]:
    if event.at - event.since >= MIN_OUTAGE_S:
        table.store_unavailable = True
    return Decision(table)


@decide.register
def _(event: StoreRecovered, table: EntryTable) -> Decision[EntryTable]:
    if table.store_unavailable:
        table.store_unavailable = False
        table.grace_until = event.at + REREGISTRATION_GRACE_S
        for key in table.missing_until:
            table.missing_until[key] = table.grace_until
    return Decision(table)


@decide.register
def _(event: StoreRestored, table: EntryTable) -> Decision[EntryTable]:
    table.grace_until = event.at + REREGISTRATION_GRACE_S
    for key in table.missing_until:
        table.missing_until[key] = table.grace_until
    return Decision(table)


@decide.register
def _(event: ExpiryTimerFired, table: EntryTable) -> Decision[EntryTable]:
    if table.store_unavailable or not table.missing_until:
        return Decision(table)
    ended = [key for key, until in table.missing_until.items() if event.at >= until]
    actions: list[Any] = []
    for key in ended:
        reason = "not registered again after the store recovered"
        actions += remove(table, key, reason, event.at)
    return Decision(table, tuple(actions))


def apply_state(table: EntryTable, key: str, value: Any, at: float) -> list[Any]:
    """Store a state of an entry unless a later one is known."""
    if not is_outdated(table, key, value):
        return upsert(table, key, value, at)
    # The store holds the entry, so it is not missing.
    table.missing_until.pop(key, None)
    return [EntryOutdated(key, key not in table.entries)]


def is_outdated(table: EntryTable, key: str, value: Any) -> bool:
    """Return whether a value is an earlier state than the one known."""
    known = table.entries.get(key)
    if known is not None:
        return is_earlier(value, known)
    departed = table.departed.get(key)
    return departed is not None and is_not_later(value, departed.value)


def upsert(table: EntryTable, key: str, value: Any, at: float) -> list[Any]:
    """Store the value of an entry, or remove the entry if the value is None."""
    table.missing_until.pop(key, None)
    if value is None:
        return remove(table, key, "unreadable", at)
    table.departed.pop(key, None)
    previous = table.entries.get(key)
    table.entries[key] = value
    return [] if value == previous else [EntryChanged(key, value, previous)]


def mark_missing(table: EntryTable, key: str, at: float) -> list[Any]:
    """Remove an entry that the store no longer lists, or retain it in an outage."""
    if not table.leased or key not in table.entries or key in table.missing_until:
        return []
    if not table.store_unavailable and at >= table.grace_until:
        return remove(table, key, "deleted", at)
    table.missing_until[key] = max(at, table.grace_until)
    return [EntryRetained(key, table.missing_until[key])]


def remove(table: EntryTable, key: str, reason: str, at: float) -> list[Any]:
    """Remove an entry; return no action if it is not in use."""
    table.missing_until.pop(key, None)
    value = table.entries.pop(key, None)
    if value is None:
        return []
    forget_departed(table, at)
    table.departed[key] = DepartedEntry(value, at)
    return [EntryRemoved(key, value, reason)]


def forget_departed(table: EntryTable, at: float) -> None:
    """Drop removed entries that no backup can hold any more."""
    for key, departed in tuple(table.departed.items()):
        if at < departed.at + DEPARTED_RETENTION_S:
            return
        del table.departed[key]
