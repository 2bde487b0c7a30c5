"""Entries of the store below one prefix, and how long to trust them in an outage.

Entries under a lease may lapse while the store is away although their owners live.
They are used until the owners had time to write them again after its return.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from fireflyrack.core import Decision

# Owners that live are listed again within this time after the store's return.
REREGISTRATION_GRACE_S = 2.2
# Silences of the store below this are too short for an entry to lapse.
OUTAGE_S = 1.0


@dataclass(frozen=True, slots=True)
class Listed:
    """Report a complete listing."""

    at: float
    entries: tuple[tuple[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Written:
    """Report that an entry was written."""

    at: float
    key: str
    value: Any


@dataclass(frozen=True, slots=True)
class Deleted:
    """Report that an entry was deleted."""

    at: float
    key: str


@dataclass(frozen=True, slots=True)
class StoreLost:
    """Report that the store has not answered since a time."""

    at: float
    since: float


@dataclass(frozen=True, slots=True)
class StoreRegained:
    """Report that the store answers again."""

    at: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Report that time has passed, for entries whose wait has ended."""

    at: float


@dataclass(frozen=True, slots=True)
class EntryChanged:
    """Tell that an entry is new or has another value."""

    key: str
    value: Any
    previous: Any


@dataclass(frozen=True, slots=True)
class EntryRemoved:
    """Tell that an entry is no longer used."""

    key: str
    value: Any
    reason: str


@dataclass(frozen=True, slots=True)
class EntryRetained:
    """Tell that a missing entry stays in use until a time."""

    key: str
    until: float


@dataclass(slots=True)
class EntryTable:
    """Hold the entries in use; updated in place."""

    entries: dict[str, Any] = field(default_factory=dict)
    # Entries that the store no longer lists, with the time at which they end.
    missing: dict[str, float] = field(default_factory=dict)
    store_away: bool = False
    # Time until which deletions may be lapses of living owners.
    unsettled_until: float = 0.0


@singledispatch
def decide(event: object, table: EntryTable) -> Decision[EntryTable]:
    """Return the table and what changed by one event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@decide.register
def _(event: Listed, table: EntryTable) -> Decision[EntryTable]:
    actions: list[Any] = []
    listed = dict(event.entries)
    for key, value in listed.items():
        actions += write(table, key, value)
    for key in [key for key in table.entries if key not in listed]:
        actions += miss(table, key, event.at)
    return Decision(table, tuple(actions))


@decide.register
def _(event: Written, table: EntryTable) -> Decision[EntryTable]:
    return Decision(table, tuple(write(table, event.key, event.value)))


@decide.register
def _(event: Deleted, table: EntryTable) -> Decision[EntryTable]:
    return Decision(table, tuple(miss(table, event.key, event.at)))


@decide.register
def _(event: StoreLost, table: EntryTable) -> Decision[EntryTable]:
    if event.at - event.since >= OUTAGE_S:
        table.store_away = True
    return Decision(table)


@decide.register
def _(event: StoreRegained, table: EntryTable) -> Decision[EntryTable]:
    if table.store_away:
        table.store_away = False
        table.unsettled_until = event.at + REREGISTRATION_GRACE_S
        for key in table.missing:
            table.missing[key] = table.unsettled_until
    return Decision(table)


@decide.register
def _(event: TimePassed, table: EntryTable) -> Decision[EntryTable]:
    if table.store_away or not table.missing:
        return Decision(table)
    ended = [key for key, until in table.missing.items() if event.at >= until]
    actions: list[Any] = []
    for key in ended:
        actions += remove(table, key, "not listed again after the store's return")
    return Decision(table, tuple(actions))


def write(table: EntryTable, key: str, value: Any) -> list[Any]:
    """Keep the value of an entry; None stands for one that cannot be used."""
    table.missing.pop(key, None)
    if value is None:
        return remove(table, key, "unreadable")
    previous = table.entries.get(key)
    table.entries[key] = value
    return [] if value == previous else [EntryChanged(key, value, previous)]


def miss(table: EntryTable, key: str, at: float) -> list[Any]:
    """Remove an entry that the store no longer lists, at once or after a wait."""
    if key not in table.entries or key in table.missing:
        return []
    if not table.store_away and at >= table.unsettled_until:
        return remove(table, key, "deleted")
    table.missing[key] = max(at, table.unsettled_until)
    return [EntryRetained(key, table.missing[key])]


def remove(table: EntryTable, key: str, reason: str) -> list[Any]:
    """Remove an entry."""
    table.missing.pop(key, None)
    value = table.entries.pop(key, None)
    return [] if value is None else [EntryRemoved(key, value, reason)]
