"""Log events of the discovery slice."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from fireflyrack.telemetry import Importance, LogEvent, Severity, severity_of


@dataclass(frozen=True, slots=True)
class EntryStateChanged(LogEvent):
    """The state of one entry changed."""

    kind: ClassVar[str] = "entry_changed"
    key: str
    change: str
    # Store revision at which the change was read; 0 if it was not read.
    revision: int
    detail: str = ""


@dataclass(frozen=True, slots=True)
class EntryRejected(LogEvent):
    """An entry could not be decoded and is ignored."""

    kind: ClassVar[str] = "entry_unreadable"
    key: str
    revision: int
    reason: str


@dataclass(frozen=True, slots=True)
class HistoryLost(LogEvent):
    """The store compacted changes that had not been read yet."""

    kind: ClassVar[str] = "store_history_lost"
    prefix: str
    after_revision: int


@dataclass(frozen=True, slots=True)
class StoreRestored(LogEvent):
    """The store was restored from a backup and lacks its last writes."""

    kind: ClassVar[str] = "store_restored"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    era: int
    # Revision up to which changes had been applied; 0 if none was known.
    after_revision: int


@dataclass(frozen=True, slots=True)
class EntryOutdated(LogEvent):
    """The store holds a state of an entry that its owner has since replaced."""

    kind: ClassVar[str] = "entry_outdated"
    key: str
    # Whether the entry was removed before, so that nothing is used in its place.
    departed: bool


@dataclass(frozen=True, slots=True)
class StoreCallFailed(LogEvent):
    """A call to the store failed."""

    kind: ClassVar[str] = "store_call_failed"
    call: str
    problem: str
    detail: str


@severity_of.register
def _(event: EntryRejected | HistoryLost | StoreCallFailed | StoreRestored) -> Severity:
    return Severity.WARNING
