"""Budget of extra attempts of one service, an instance's share of the fleet's."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

# Part of the fleet's allowance that is used. The rest covers arrivals that are
# counted in another window than their request.
USED_FRACTION = 0.8
# Part of the slack that hedges leave to retries after failures.
RETRY_RESERVE_FRACTION = 0.2
# Part of the slack that a new instance has in its first window. The instance that it
# replaces may just have spent the whole.
INITIAL_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Hold the allowance of the whole fleet for each service in any window."""

    # Extra attempts for each request.
    ratio: float
    # Extra attempts beyond the ratio.
    slack: float
    window_s: float
    # Time at which this instance started.
    started_at: float = -math.inf


@dataclass(slots=True)
class RetryBudget:
    """Hold the requests and the extra attempts of one service in the last window."""

    limits: BudgetLimits
    instances: int
    requests: deque[float] = field(default_factory=deque)
    extras: deque[float] = field(default_factory=deque)

    def set_instance_count(self, instances: int) -> None:
        """Follow a change of the number of instances."""
        self.instances = instances

    def slack(self, at: float) -> float:
        """Return the own share of the slack."""
        share = USED_FRACTION * self.limits.slack / self.instances
        started = at - self.limits.started_at < self.limits.window_s
        return INITIAL_FRACTION * share if started else share

    def remaining(self, at: float) -> float:
        """Return how many extra attempts may be sent now."""
        self.discard_expired(self.requests, at)
        self.discard_expired(self.extras, at)
        earned = USED_FRACTION * self.limits.ratio * len(self.requests)
        return self.slack(at) + earned - len(self.extras)

    def record_request(self, at: float) -> None:
        """Count a request."""
        self.discard_expired(self.requests, at)
        self.requests.append(at)

    def try_spend(self, at: float, hedge: bool) -> bool:
        """Count an extra attempt if allowed; hedges leave a reserve to retries."""
        reserve = RETRY_RESERVE_FRACTION * self.slack(at) if hedge else 0.0
        if self.remaining(at) < 1 + reserve:
            return False
        self.extras.append(at)
        return True

    def refund(self) -> None:
        """Take back an extra attempt that never reached a backend server."""
        if self.extras:
            self.extras.pop()

    def discard_expired(self, times: deque[float], at: float) -> None:
        """Drop what lies before the window."""
        while times and times[0] <= at - self.limits.window_s:
            times.popleft()
