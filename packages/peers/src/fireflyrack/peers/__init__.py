"""What entry instances tell each other without the store.

Each instance tells the peers of its failure domain which backend servers are slow or
fail, and all peers which requests crash backend servers. An instance that starts
while the store gives nothing asks a peer for its beliefs.
"""

from __future__ import annotations

from .exchange import PeerExchange

__all__ = ["PeerExchange"]
