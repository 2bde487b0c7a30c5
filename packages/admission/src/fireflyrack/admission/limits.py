"""Concurrency limit of a backend server and the estimated time of a batch."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from fireflyrack.configuration import BackendServer

from .settings import AdmissionSettings

# Factor applied to the weight of older batches at each new one; the estimate covers
# about 20 batches.
BATCH_DECAY = 0.95
# Fraction of a batch's time assumed to be independent of its size until sizes differ.
PRIOR_FIXED_FRACTION = 0.5
# Standard deviation of the sizes, as a fraction of their mean, at which the observed
# slope weighs as much as the prior. Without the prior, noise on similar sizes gave a
# slope of 0 and then batches of `max_batch` that missed their deadlines.
PRIOR_SPREAD = 0.25
# Maximum time between two answers that counts towards recovery.
MAX_RECOVERY_STEP_S = 1.0


@dataclass(slots=True)
class BatchTimes:
    """Estimate of the time of a batch: a fixed part and a part for each sub-request.

    Linear least squares over exponentially weighted sums, with a prior slope.
    """

    # Exponentially weighted sums over the observed batches.
    weight: float = 0.0
    sizes: float = 0.0
    seconds: float = 0.0
    squares: float = 0.0
    products: float = 0.0

    def observe(self, size: int, seconds: float) -> None:
        """Add the size and time of one batch."""
        self.weight = self.weight * BATCH_DECAY + 1
        self.sizes = self.sizes * BATCH_DECAY + size
        self.seconds = self.seconds * BATCH_DECAY + seconds
        self.squares = self.squares * BATCH_DECAY + size * size
        self.products = self.products * BATCH_DECAY + size * seconds

    def coefficients(self) -> tuple[float, float]:
        """Return the fixed seconds and the seconds for each sub-request."""
        if not self.weight:
            return 0.0, 0.0
        size, mean_s = self.sizes / self.weight, self.seconds / self.weight
        variance = self.squares / self.weight - size * size
        covariance = self.products / self.weight - size * mean_s
        prior_per_item_s = mean_s * (1 - PRIOR_FIXED_FRACTION) / size
        prior_variance = (PRIOR_SPREAD * size) ** 2
        per_item_s = (covariance + prior_variance * prior_per_item_s) / (
            variance + prior_variance
        )
        per_item_s = min(max(per_item_s, 0.0), mean_s / size)
        return mean_s - per_item_s * size, per_item_s

    def estimate(self, size: int) -> float:
        """Return the expected seconds of a batch."""
        fixed_s, per_item_s = self.coefficients()
        return fixed_s + per_item_s * size


@dataclass(slots=True)
class ConcurrencyLimit:
    """Limit on the requests in flight, between 1 and the slots of a backend server.

    Additive increase while answers arrive, halved when the backend server sheds a
    request. Sheds at a limit of 1 pause sending, twice as long each time.
    """

    slots: int
    allowed: float
    increased_at: float = 0.0
    reduced_at: float = float("-inf")
    started_at: float = float("-inf")
    paused_until: float = float("-inf")
    pause_s: float = 0.0

    def limit(self) -> int:
        """Return the number of requests that may be in flight, at least 1."""
        return max(1, min(self.slots, int(self.allowed)))

    def resize(self, slots: int) -> None:
        """Set the number of slots; a limit that was not reduced becomes equal to it."""
        if self.allowed >= self.slots:
            self.allowed = float(slots)
        self.slots = slots
        self.allowed = min(self.allowed, float(slots))

    def on_shed(self, at: float, sent_at: float, settings: AdmissionSettings) -> None:
        """Reduce the limit after the backend server refused a request."""
        # A request sent before the last reduction did not test the reduced limit.
        if sent_at < self.reduced_at:
            return
        if self.allowed <= 1:
            doubled = min(self.pause_s * 2, settings.max_shed_pause_s)
            self.pause_s = doubled or settings.shed_pause_s
            self.paused_until = at + self.pause_s
        self.allowed = max(1.0, self.allowed / 2)
        self.reduced_at = self.increased_at = at

    def on_answered(self, at: float, settings: AdmissionSettings) -> None:
        """Increase the limit with the time since the last change; reset the pause."""
        self.pause_s = 0.0
        elapsed_s = min(max(at - self.increased_at, 0.0), MAX_RECOVERY_STEP_S)
        self.increased_at = at
        increased = self.allowed + settings.recovery_per_s * elapsed_s
        self.allowed = min(float(self.slots), increased)

    def restart(self, at: float) -> None:
        """Start from a limit of 1 after the backend server became reachable again."""
        self.allowed = 1.0
        self.started_at = self.increased_at = at

    def ramp_fraction(self, at: float, settings: AdmissionSettings) -> float:
        """Return the fraction of the full batch size to use while a server warms up."""
        if not settings.ramp_s:
            return 1.0
        return min(1.0, (at - self.started_at) / settings.ramp_s)


def merge_limits(servers: Iterable[BackendServer]) -> dict[str, BackendServer]:
    """Return the backend servers by name; a shared one keeps its lowest limits."""
    merged: dict[str, BackendServer] = {}
    for server in servers:
        other = merged.get(server.id, server)
        merged[server.id] = replace(
            server,
            slots=min(server.slots, other.slots),
            connections=min(server.connections, other.connections),
        )
    return merged
