"""Budget of extra attempts of one service, an instance's share of the fleet's."""

from __future__ import annotations

from dataclasses import dataclass

# Part of the fleet's allowance that is used. The rest covers arrivals that are
# counted in another window than their request.
USED_PART = 0.8
# Part of the burst that hedges leave to retries after failures.
RETRY_RESERVE_PART = 0.2
# Part of the burst that a new instance starts with. The instance that it replaces may
# just have spent the whole burst.
INITIAL_PART = 0.25


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Hold the allowance of the whole fleet for each service."""

    # Extra attempts for each request.
    ratio: float
    # Extra attempts beyond the ratio within the window.
    burst: float


@dataclass(slots=True)
class RetryBudget:
    """Hold the tokens of one service; one token pays one extra attempt."""

    limits: BudgetLimits
    instances: int
    tokens: float = 0.0

    def __post_init__(self) -> None:
        """Start with a part of the burst."""
        self.tokens = INITIAL_PART * self.burst

    @property
    def burst(self) -> float:
        """Return the most tokens that this instance may hold."""
        return USED_PART * self.limits.burst / self.instances

    def share_among(self, instances: int) -> None:
        """Follow a change of the number of instances."""
        self.instances = instances
        self.tokens = min(self.tokens, self.burst)

    def earn(self) -> None:
        """Add the tokens of one request."""
        income = USED_PART * self.limits.ratio
        self.tokens = min(self.tokens + income, self.burst)

    def take(self, hedge: bool) -> bool:
        """Take a token; hedges leave a reserve for retries."""
        reserve = RETRY_RESERVE_PART * self.burst if hedge else 0.0
        if self.tokens < 1 + reserve:
            return False
        self.tokens -= 1
        return True

    def refund(self) -> None:
        """Give a token back whose attempt never reached a backend server."""
        self.tokens = min(self.tokens + 1, self.burst)
