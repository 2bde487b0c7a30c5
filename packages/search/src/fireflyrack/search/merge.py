"""Merging of the best hits of several shards."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hit:
    """One document that matches a query."""

    document: str
    score: float
    shard: int


def sort_key(hit: Hit) -> tuple[float, str]:
    """Return the key that sorts by descending score, then by document."""
    return (-hit.score, hit.document)


def best_hits(hits: Iterable[Hit], limit: int) -> tuple[Hit, ...]:
    """Return the best hits in order; the result does not depend on merge order."""
    return tuple(heapq.nsmallest(limit, hits, key=sort_key))
