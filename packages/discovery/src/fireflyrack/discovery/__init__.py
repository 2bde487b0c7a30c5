"""What the metadata store lists: backend servers, instances, the configuration."""

from __future__ import annotations

from .entries import REREGISTRATION_S, EntryChanged, EntryGone, EntryTable
from .follower import PrefixFollower
from .health import StoreHealth
from .registration import Registration, RegistrationEntry
from .servers import BackendServer, EntryInstance, ServerState, Unreadable
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
    "REREGISTRATION_S",
    "BackendServer",
    "Changes",
    "Deletion",
    "EntryChanged",
    "EntryGone",
    "EntryInstance",
    "EntryTable",
    "Item",
    "Lease",
    "Listing",
    "MetadataStore",
    "PrefixFollower",
    "Registration",
    "RegistrationEntry",
    "ServerState",
    "StoreError",
    "StoreHealth",
    "StoreProblem",
    "StoreWatcher",
    "Unreadable",
]
