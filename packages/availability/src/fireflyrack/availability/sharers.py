"""Number of entry instances that divide the limits of backend servers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Time for which an instance that is no longer registered counts as a sender. It covers
# the grace period of one that stops and the restart of one that failed.
DEPARTED_RETENTION_S = 10.0


@dataclass(slots=True)
class SharerCount:
    """Largest number of instances within the retention time; mutable.

    An instance that has lost its registration may still send requests, and its share
    must not be given to others meanwhile. Shares therefore shrink at once when an
    instance joins, and grow late when one leaves.
    """

    current: int
    # Position of this instance among the current ones, from 0.
    rank: int = 0
    # Larger numbers of before, in falling order, with the time until which each holds.
    departed: deque[tuple[float, int]] = field(default_factory=deque)

    def set(self, instances: int, rank: int, at: float) -> None:
        """Record a changed number of instances, and the rank of this one."""
        self.rank = rank
        if instances < self.current:
            self.departed.append((at + DEPARTED_RETENTION_S, self.current))
        while self.departed and self.departed[-1][1] <= instances:
            self.departed.pop()
        self.current = instances

    def at(self, at: float) -> int:
        """Return the number of instances to divide limits among."""
        while self.departed and at >= self.departed[0][0]:
            self.departed.popleft()
        return self.departed[0][1] if self.departed else self.current
