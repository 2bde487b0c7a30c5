"""Share of one entry instance in a rate limit that all instances divide."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

# Time after which an unused permit lapses. All instances together can have saved up
# no more than the permits of this time when their demand rises at the same moment.
PERMIT_LIFETIME_S = 0.5
# Fraction of a limit that is used. The rest covers permits of several instances that
# happen to be used in the same moment.
USED_FRACTION = 0.9
# Rate at which all instances together try a backend server that takes nothing, so
# that they notice when it takes requests again.
MIN_RATE_PER_S = 0.25


@dataclass(slots=True)
class PacedQuota:
    """Permits for requests at even intervals; mutable, times are monotonic seconds.

    Instances start at different points of the interval, so that the permits of many
    instances with small shares are spread over time.
    """

    interval_s: float
    # Time of the next permit, in the past while permits are unused.
    next_at: float
    # Time of the last request that found no permit for a server that it needed.
    unmet_at: float = -math.inf

    def available(self, at: float) -> bool:
        """Return whether a request may be sent now."""
        self.discard_lapsed(at)
        return at >= self.next_at

    def available_at(self, at: float) -> float:
        """Return the time of the next permit, `at` if there is one now."""
        self.discard_lapsed(at)
        return max(at, self.next_at)

    def take(self) -> None:
        """Use one permit."""
        self.next_at += self.interval_s

    def refund(self) -> None:
        """Return the permit of a request that did not reach the server."""
        self.next_at -= self.interval_s

    def record_unmet_demand(self, at: float) -> None:
        """Record that a request needed a permit; one is then kept for the next."""
        self.unmet_at = at

    def set_interval(self, interval_s: float, at: float) -> None:
        """Change the interval and scale the time until the next permit with it."""
        remaining_s = max(0.0, self.next_at - at)
        if remaining_s:
            self.next_at = at + remaining_s * interval_s / self.interval_s
        self.interval_s = interval_s

    def discard_lapsed(self, at: float) -> None:
        """Drop the permits that have been unused for too long.

        While requests are refused for lack of permits, one permit is kept: a search
        needs permits of many servers at once, which few moments would offer.
        """
        lifetime_s = PERMIT_LIFETIME_S
        if at - self.unmet_at <= self.interval_s:
            lifetime_s = max(lifetime_s, self.interval_s)
        excess_s = at - lifetime_s - self.next_at
        if excess_s > 0:
            self.next_at += math.ceil(excess_s / self.interval_s) * self.interval_s


def interval_of(rate_limit: float, instances: int) -> float:
    """Return the seconds between two requests of one instance under a shared limit."""
    return instances / max(USED_FRACTION * rate_limit, MIN_RATE_PER_S)


def open_quota(
    rate_limit: float, instances: int, rank: int, at: float, rng: random.Random
) -> PacedQuota:
    """Return the quota of an instance that has just learned of a limit.

    `rank` is the position of the instance among all, from 0.
    """
    interval_s = interval_of(rate_limit, instances)
    phase = (rank + rng.random()) / instances
    return PacedQuota(interval_s, at + phase * interval_s)
