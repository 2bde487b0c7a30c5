"""Coverage of an answer: the shards it includes and the missing ones by cause."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from fireflyrack.core import EMPTY, ShardSet

from .errors import Cause


@dataclass(frozen=True, slots=True)
class Coverage:
    """Covered shards of a partition, and the missing ones by cause."""

    total: ShardSet
    covered: ShardSet = EMPTY
    lacking: Mapping[Cause, ShardSet] = field(default_factory=dict)

    def share(self) -> float:
        """Return the fraction of all shards that is covered, 0 to 1."""
        return len(self.covered) / len(self.total)

    def complete(self) -> bool:
        """Return whether all shards are covered."""
        return self.covered == self.total


def coverage_of(
    total: ShardSet, covered: ShardSet, causes: Mapping[int, Cause]
) -> Coverage:
    """Return the coverage; missing shards without a cause count as NO_REPLICA."""
    lacking: dict[Cause, ShardSet] = {}
    for shard in total - covered:
        cause = causes.get(shard, Cause.NO_REPLICA)
        lacking[cause] = lacking.get(cause, EMPTY) | ShardSet(1 << shard)
    return Coverage(total, covered, lacking)
