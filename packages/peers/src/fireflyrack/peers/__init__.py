"""Messages that entry instances exchange directly, without the metadata store.

Each instance reports slow and failing backend servers to the peers in its failure
domain, and requests that crash backend servers to all peers. An instance that starts
while the store is unavailable fetches the cached store items of a peer.
"""

from __future__ import annotations

from .exchange import PeerExchange

__all__ = ["PeerExchange"]
