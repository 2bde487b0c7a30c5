"""Log events of the discovery slice."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from fireflyrack.telemetry import LogEvent


@dataclass(frozen=True, slots=True)
class EntryBelief(LogEvent):
    """Tell that what is believed of one entry changed."""

    kind: ClassVar[str] = "entry_changed"
    key: str
    change: str
    # Revision of the store that the change was read at; 0 if it was not a read.
    revision: int
    detail: str = ""


@dataclass(frozen=True, slots=True)
class EntryRejected(LogEvent):
    """Tell that an entry could not be read and names nothing to use."""

    kind: ClassVar[str] = "entry_unreadable"
    key: str
    revision: int
    reason: str


@dataclass(frozen=True, slots=True)
class HistoryLost(LogEvent):
    """Tell that the store dropped changes that were not read yet."""

    kind: ClassVar[str] = "store_history_lost"
    prefix: str
    after_revision: int


@dataclass(frozen=True, slots=True)
class StoreCallFailed(LogEvent):
    """Tell that a call to the store gave no result."""

    kind: ClassVar[str] = "store_call_failed"
    call: str
    problem: str
    detail: str
