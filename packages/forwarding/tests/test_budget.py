from __future__ import annotations

import random

import pytest

from fireflyrack.forwarding import BudgetLimits, RetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 50.0, 10.0


@pytest.mark.parametrize("number", range(40))
def test_the_fleet_stays_within_its_allowance(number):
    """Guards against shares that add up to more than the whole when instances change.

    All instances spend all they may, while requests come in bursts and instances are
    replaced one at a time, each no sooner than a window after the last.
    """
    rng = random.Random(number)
    limits = BudgetLimits(RATIO, SLACK)
    count = rng.randint(1, 6)
    budgets = [RetryBudget(limits, count) for _ in range(count)]
    requests, extras = [], []
    replaced_at = 0.0
    at = 0.0
    while at < 60.0:
        at += rng.expovariate(rng.choice((5, 50, 200)))
        budget = rng.choice(budgets)
        requests.append(at)
        budget.earn()
        while rng.random() < 0.8 and budget.take(hedge=rng.random() < 0.5):
            extras.append(at)
        if at > replaced_at + WINDOW_S and rng.random() < 0.01:
            replaced_at = at
            budgets[rng.randrange(count)] = RetryBudget(limits, count)
    for start in extras[:: max(1, len(extras) // 200)]:
        window = [x for x in extras if start <= x < start + WINDOW_S]
        asked = [x for x in requests if start <= x < start + WINDOW_S]
        assert len(window) <= RATIO * len(asked) + SLACK


def test_hedges_leave_a_reserve_to_retries():
    """Guards against failures that cannot be retried because hedges took all."""
    budget = RetryBudget(BudgetLimits(RATIO, SLACK), 1)
    for _ in range(1000):
        budget.earn()
    while budget.take(hedge=True):
        pass
    assert budget.take(hedge=False)


def test_a_share_shrinks_when_instances_join():
    """Guards against a full bucket that outlives the share it was filled for."""
    budget = RetryBudget(BudgetLimits(RATIO, SLACK), 1)
    for _ in range(1000):
        budget.earn()
    budget.share_among(4)
    assert budget.tokens <= SLACK / 4
