"""Token budget of hedges and retries, and the allowance after failures."""

from __future__ import annotations

from dataclasses import dataclass

from .settings import SearchSettings


@dataclass(slots=True)
class RetryBudget:
    """Hold the tokens of one process; one token pays one hedge or retry.

    Tokens are earned by first sub-requests before they are spent, so no restart
    and no idle instance adds to the share of the fleet.
    """

    settings: SearchSettings
    tokens: float = 0.0
    earned: float = 0.0
    spent: int = 0
    # Denied hedges and retries since the last publication, as a sign of need.
    denied: int = 0

    def earn(self, sub_requests: int) -> None:
        """Add the tokens of first sub-requests."""
        income = sub_requests * self.settings.budget_share
        self.earned += income
        self.tokens = min(self.tokens + income, self.settings.budget_burst)

    def try_spend(self, reserve: int = 0) -> bool:
        """Spend one token unless that cuts into a reserve; return whether it did."""
        if self.tokens < 1 + reserve:
            self.denied += 1
            return False
        self.tokens -= 1
        self.spent += 1
        return True


@dataclass(slots=True)
class FailureAllowance:
    """Hold the retries that a service may send beyond the budget after failures.

    Only failures that are certain (no connection, broken link, snapshot not held)
    draw on it. In t seconds a process sends at most burst + t * refill of them.
    """

    settings: SearchSettings
    tokens: float = -1.0
    at: float = 0.0
    spent: int = 0

    def try_spend(self, at: float) -> bool:
        """Spend one token at a time in seconds; return whether there was one."""
        burst = self.settings.failure_burst
        if self.tokens < 0:
            self.tokens = burst
        else:
            income = max(0.0, at - self.at) * self.settings.failure_refill_per_s
            self.tokens = min(self.tokens + income, burst)
        self.at = at
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.spent += 1
        return True
