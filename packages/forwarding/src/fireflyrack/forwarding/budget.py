"""Retry budget of one service: this instance's share of the fleet-wide allowance."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

# Fraction of the fleet-wide allowance that is used. The rest covers extra attempts that
# arrive in a later window than the request that they belong to.
USED_FRACTION = 0.8
# Fraction of the slack that hedges must leave to retries after failures.
RETRY_RESERVE_FRACTION = 0.2
# Fraction of its slack that a new instance may use in its first window, since the
# instance that it replaces may have spent the whole slack just before.
INITIAL_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Fleet-wide allowance of extra attempts for each service in any window."""

    # Extra attempts allowed for each request.
    ratio: float
    # Extra attempts allowed beyond the ratio.
    slack: float
    window_s: float
    # Start time of this instance.
    started_at: float = -math.inf


@dataclass(slots=True)
class RetryBudget:
    """Requests and extra attempts of one service in the current sliding window.

    Extra attempts are hedges and retries.
    """

    limits: BudgetLimits
    instances: int
    requests: deque[float] = field(default_factory=deque)
    extras: deque[float] = field(default_factory=deque)

    def set_instance_count(self, instances: int) -> None:
        """Divide the allowance among a changed number of instances."""
        self.instances = instances

    def slack(self, at: float) -> float:
        """Return the share of the slack that this instance may use."""
        share = USED_FRACTION * self.limits.slack / self.instances
        in_first_window = at - self.limits.started_at < self.limits.window_s
        return INITIAL_FRACTION * share if in_first_window else share

    def remaining(self, at: float) -> float:
        """Return how many extra attempts may be sent now; may be fractional."""
        self.discard_expired(self.requests, at)
        self.discard_expired(self.extras, at)
        earned = USED_FRACTION * self.limits.ratio * len(self.requests)
        return self.slack(at) + earned - len(self.extras)

    def record_request(self, at: float) -> None:
        """Count a request, which adds to the allowance."""
        self.discard_expired(self.requests, at)
        self.requests.append(at)

    def try_spend(self, at: float, hedge: bool) -> bool:
        """Spend one extra attempt if allowed; hedges must leave the retry reserve."""
        reserve = RETRY_RESERVE_FRACTION * self.slack(at) if hedge else 0.0
        if self.remaining(at) < 1 + reserve:
            return False
        self.extras.append(at)
        return True

    def refund(self) -> None:
        """Return one extra attempt that never reached a backend server."""
        if self.extras:
            self.extras.pop()

    def discard_expired(self, times: deque[float], at: float) -> None:
        """Remove the times before the window."""
        while times and times[0] <= at - self.limits.window_s:
            times.popleft()
