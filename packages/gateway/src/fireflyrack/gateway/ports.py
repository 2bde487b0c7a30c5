"""Interfaces that a platform adapter provides to a gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fireflyrack.discovery import BackendServer, Item, MetadataStore, UnreadableEntry
from fireflyrack.forwarding import BackendTransport
from fireflyrack.routing import RoutingTable


@dataclass(frozen=True, slots=True)
class Ports:
    """Metadata store, backend transport and document decoders of a platform."""

    store: MetadataStore
    transport: BackendTransport
    # Store prefixes of the platform's documents.
    configuration_prefix: str
    servers_prefix: str
    decode_configuration: Callable[[Item], RoutingTable | UnreadableEntry]
    decode_server: Callable[[Item], BackendServer | UnreadableEntry]
