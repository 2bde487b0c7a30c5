"""Token buckets that limit hedges and retries."""

from __future__ import annotations

from dataclasses import dataclass

from .settings import SearchSettings


@dataclass(slots=True)
class RetryBudget:
    """Token bucket of one process; each hedge or retry costs one token.

    First sub-requests earn the tokens before they can be spent, so that restarts and
    idle instances do not raise the fleet-wide share of hedges and retries.
    """

    settings: SearchSettings
    tokens: float = 0.0
    earned: float = 0.0
    spent: int = 0
    # Hedges and retries denied since the last published transfers.
    denied: int = 0

    def earn(self, sub_requests: int) -> None:
        """Add the tokens that first sub-requests earn, up to the burst."""
        added = sub_requests * self.settings.budget_share
        self.earned += added
        self.tokens = min(self.tokens + added, self.settings.budget_burst)

    def try_spend(self, reserve: int = 0) -> bool:
        """Spend one token if the reserve stays intact; return whether it was spent."""
        if self.tokens < 1 + reserve:
            self.denied += 1
            return False
        self.tokens -= 1
        self.spent += 1
        return True


@dataclass(slots=True)
class FailureAllowance:
    """Token bucket of retries that a service may send beyond the budget.

    Only retries after definite failures (no connection, broken link, snapshot not
    held) use it: at most burst + t * refill of them in t seconds per process.
    """

    settings: SearchSettings
    # Negative until the first use, which fills the bucket.
    tokens: float = -1.0
    # Time of the last refill in seconds.
    at: float = 0.0
    spent: int = 0

    def try_spend(self, at: float) -> bool:
        """Refill until `at`, in seconds; return whether a token was left and spent."""
        burst = self.settings.failure_burst
        if self.tokens < 0:
            self.tokens = burst
        else:
            added = max(0.0, at - self.at) * self.settings.failure_refill_per_s
            self.tokens = min(self.tokens + added, burst)
        self.at = at
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.spent += 1
        return True
