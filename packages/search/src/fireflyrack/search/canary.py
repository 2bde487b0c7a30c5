"""Canary selection: the backend servers that run a search before all others."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from fireflyrack.core import rank

# The second canary shows whether the search itself crashed the first one.
MAX_CANARIES = 2
# Uses 17 MB when full.
MAX_COMPLETED = 100_000


def canaries_for(fingerprint: str, servers: Iterable[str]) -> tuple[str, ...]:
    """Return the canaries of a search in order of preference.

    The order depends only on the fingerprint and the names, so that instances that
    receive the same search at the same time use the same canaries, even while these
    are unreachable.
    """
    return rank(fingerprint, servers)[:MAX_CANARIES]


class CompletedSearches:
    """LRU set of the fingerprints of searches that completed without a crash."""

    def __init__(self, limit: int = MAX_COMPLETED) -> None:
        self.limit = limit
        self.fingerprints: OrderedDict[str, None] = OrderedDict()

    def has_completed(self, fingerprint: str) -> bool:
        """Return whether a search has completed recently."""
        return fingerprint in self.fingerprints

    def add(self, fingerprint: str) -> None:
        """Record a completed search; evict the least recent one beyond the limit."""
        self.fingerprints[fingerprint] = None
        self.fingerprints.move_to_end(fingerprint)
        if len(self.fingerprints) > self.limit:
            self.fingerprints.popitem(last=False)
