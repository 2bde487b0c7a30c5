"""Time for which a backend server takes no requests from this instance."""

from __future__ import annotations

import random
from dataclasses import dataclass

# Instances return to a server spread over this fraction of the time that it closed for.
REOPENING_SPREAD_FRACTION = 0.25
# Longest time by which an instance returns late.
MAX_REOPENING_SPREAD_S = 1.0
# After this time without a response, another request may be tried.
TRIAL_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Closure:
    """Closed time of a server, then trials with one request; mutable.

    The first request that the server accepts after the closed time ends the closure.
    """

    since: float
    # End of the time that the server asked for.
    until: float
    # Time from which this instance tries it again.
    reopens_at: float
    trial_at: float | None = None

    def available(self, at: float) -> bool:
        """Return whether a request may be sent now."""
        return at >= self.available_at(at)

    def available_at(self, at: float) -> float:
        """Return when a request may be sent."""
        if self.trial_at is None:
            return max(at, self.reopens_at)
        return max(at, self.trial_at + TRIAL_TIMEOUT_S)

    def record_sent(self, at: float) -> None:
        """Count a request that is sent as a trial."""
        self.trial_at = at

    def record_not_sent(self) -> None:
        """Allow another trial, since this one did not reach the server."""
        self.trial_at = None

    def ends(self, accepted: bool, at: float) -> bool:
        """Return whether a response ends the closure; a refusal allows a new trial."""
        if at < self.reopens_at:
            # The request was sent before the server closed.
            return False
        self.trial_at = None
        return accepted

    def extend(self, closed_for_s: float, at: float, rng: random.Random) -> None:
        """Apply another statement; the later end counts."""
        other = close(closed_for_s, at, rng)
        self.trial_at = None
        if other.until > self.until:
            self.until, self.reopens_at = other.until, other.reopens_at


def close(closed_for_s: float, at: float, rng: random.Random) -> Closure:
    """Return the closure of a server that has just asked for it."""
    spread_s = min(MAX_REOPENING_SPREAD_S, REOPENING_SPREAD_FRACTION * closed_for_s)
    until = at + closed_for_s
    return Closure(at, until, until + rng.random() * spread_s)
