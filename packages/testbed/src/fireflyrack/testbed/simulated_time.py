"""Discrete-event scheduler with simulated time."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from fireflyrack.core import SequenceGenerator


class SimulatedTime:
    """Base class of simulations; `schedule` adds actions, `run_actions` runs them."""

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        # Orders actions of equal time; its numbers are unique within a simulation.
        self.order = SequenceGenerator()

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in simulated seconds."""
        heapq.heappush(self.queue, (self.now + delay_s, self.order.next(), action))

    def run_actions(self, until: float = math.inf) -> None:
        """Run all actions that are due at or before a simulated time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
