"""Canaries: the backend servers that run a search before all others."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from fireflyrack.core import rank

# The second one shows whether the first crashed under the search or by chance.
MAX_CANARIES = 2
# 17 MB when full.
MAX_COMPLETED = 100_000


def canaries_for(fingerprint: str, servers: Iterable[str]) -> tuple[str, ...]:
    """Return the backend servers of a service that try a search, best first.

    The fingerprint alone orders them, so that instances that get the same search at
    the same time try it on the same ones, also while these are away.
    """
    return rank(fingerprint, servers)[:MAX_CANARIES]


class CompletedSearches:
    """Remember the searches that ran to their end; the most recent ones stay."""

    def __init__(self, limit: int = MAX_COMPLETED) -> None:
        self.limit = limit
        self.fingerprints: OrderedDict[str, None] = OrderedDict()

    def has_completed(self, fingerprint: str) -> bool:
        """Return whether a search is known to run to its end."""
        return fingerprint in self.fingerprints

    def add(self, fingerprint: str) -> None:
        """Remember a search that ran to its end."""
        self.fingerprints[fingerprint] = None
        self.fingerprints.move_to_end(fingerprint)
        if len(self.fingerprints) > self.limit:
            self.fingerprints.popitem(last=False)
