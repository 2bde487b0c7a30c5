"""Simulated time: actions that run in the order of their times."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from fireflyrack.core import SequenceGenerator


class SimulatedTime:
    """Base of simulations; call `after` for each action and `run_actions` once."""

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        # Breaks ties, and gives numbers that are unique within a simulation.
        self.order = SequenceGenerator()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        heapq.heappush(self.queue, (self.now + delay_s, self.order.next(), action))

    def run_actions(self, until: float = math.inf) -> None:
        """Run all actions up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
