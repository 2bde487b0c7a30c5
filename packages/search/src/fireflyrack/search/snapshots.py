"""Snapshots of an index, and reports of the backend servers that hold them."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fireflyrack.core import EMPTY, ShardSet

from .errors import SnapshotFormatError

# A new snapshot is used once it has this fraction of the replicas of the best
# replicated one; with fewer, all load would go to a few backend servers.
MIN_REPLICATION_FRACTION = 0.5


class ServingState(enum.Enum):
    """Serving state that a backend server reports."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, order=True)
class Snapshot:
    """Version of an index: a partition generation and a sequence number."""

    generation: int
    sequence: int

    @classmethod
    def parse(cls, text: str) -> Snapshot:
        """Parse the form `1.17`; raise SnapshotFormatError for any other."""
        generation, _, sequence = text.partition(".")
        if not (generation.isdecimal() and sequence.isdecimal()):
            raise SnapshotFormatError(
                f"snapshot must have the form 1.17, not {text[:40]!r}"
            )
        return cls(int(generation), int(sequence))

    def __str__(self) -> str:
        return f"{self.generation}.{self.sequence}"


@dataclass(frozen=True, slots=True)
class Report:
    """State that a backend server last reported."""

    backend_server: str
    state: ServingState
    snapshots: Mapping[Snapshot, ShardSet]
    # The owner's queue for the backend server is full; may be out of date.
    queue_full: bool = False


def choose_snapshot(
    reports: Iterable[Report], shards_of: Mapping[int, int]
) -> Snapshot | None:
    """Return the newest well-replicated snapshot among those with the best coverage.

    `shards_of` maps each declared generation to its number of shards. Returns None if
    no report names a declared generation.
    """
    held: dict[Snapshot, ShardSet] = {}
    copies: dict[Snapshot, int] = {}
    for report in reports:
        if report.state is not ServingState.SERVING:
            continue
        for snapshot, shards in report.snapshots.items():
            if snapshot.generation in shards_of:
                held[snapshot] = held.get(snapshot, EMPTY) | shards
                copies[snapshot] = copies.get(snapshot, 0) + len(shards)
    if not held:
        return None
    covered = {s: len(held[s]) / shards_of[s.generation] for s in held}
    best = max(covered.values())
    replication = {
        s: copies[s] / shards_of[s.generation] for s in held if covered[s] == best
    }
    enough = MIN_REPLICATION_FRACTION * max(replication.values())
    return max(s for s, factor in replication.items() if factor >= enough)
