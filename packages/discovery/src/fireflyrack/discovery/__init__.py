"""Service discovery: cached entries and registration in the metadata store."""

from __future__ import annotations

from .entries import REREGISTRATION_GRACE_S, EntryChanged, EntryRemoved, EntryTable
from .era import StoreEra
from .health import StoreHealth
from .order import WriteOrder, write_order
from .prefix_cache import PrefixCache
from .registration import Registration, RegistrationEntry
from .servers import BackendServer, EntryInstance, ServerState, UnreadableEntry
from .store import (
    Changes,
    Deletion,
    Item,
    Lease,
    Listing,
    MetadataStore,
    StoreError,
    StoreProblem,
)
from .watcher import StoreWatcher

__all__ = [
    "REREGISTRATION_GRACE_S",
    "BackendServer",
    "Changes",
    "Deletion",
    "EntryChanged",
    "EntryRemoved",
    "EntryInstance",
    "EntryTable",
    "Item",
    "Lease",
    "Listing",
    "MetadataStore",
    "PrefixCache",
    "Registration",
    "RegistrationEntry",
    "ServerState",
    "StoreEra",
    "StoreError",
    "StoreHealth",
    "StoreProblem",
    "StoreWatcher",
    "UnreadableEntry",
    "WriteOrder",
    "write_order",
]
