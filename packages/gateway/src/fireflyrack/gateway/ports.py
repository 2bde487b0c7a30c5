"""What a gateway needs from the adapter of a platform."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fireflyrack.discovery import BackendServer, Item, MetadataStore, UnreadableEntry
from fireflyrack.forwarding import BackendTransport
from fireflyrack.routing import RoutingTable


@dataclass(frozen=True, slots=True)
class Ports:
    """Hold the platform's store and transport and the decoders of its documents."""

    store: MetadataStore
    transport: BackendTransport
    # Prefixes of the store below which the platform lists its documents.
    configuration_prefix: str
    servers_prefix: str
    decode_configuration: Callable[[Item], RoutingTable | UnreadableEntry]
    decode_server: Callable[[Item], BackendServer | UnreadableEntry]
