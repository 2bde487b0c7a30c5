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
    limits = BudgetLimits(RATIO, SLACK, WINDOW_S)
    count = rng.randint(1, 6)
    budgets = [RetryBudget(limits, count) for _ in range(count)]
    requests, extras = [], []
    replaced_at = 0.0
    at = 0.0
    while at < 60.0:
        at += rng.expovariate(rng.choice((5, 50, 200)))
        budget = rng.choice(budgets)
        requests.append(at)
        budget.record_request(at)
        while rng.random() < 0.8 and budget.try_spend(at, hedge=rng.random() < 0.5):
            extras.append(at)
        if at > replaced_at + WINDOW_S and rng.random() < 0.01:
            replaced_at = at
            started = BudgetLimits(RATIO, SLACK, WINDOW_S, at)
            budgets[rng.randrange(count)] = RetryBudget(started, count)
    for start in extras[:: max(1, len(extras) // 200)]:
        window = [x for x in extras if start <= x < start + WINDOW_S]
        # Requests count in the window, half a window before or the one before.
        asked = max(
            sum(begin <= x < begin + WINDOW_S for x in requests)
            for begin in (start, start - WINDOW_S / 2, start - WINDOW_S)
        )
        assert len(window) <= RATIO * asked + SLACK


def test_the_slack_is_there_again_after_a_window():
    """Guards against a large fleet whose shares are spent once and earned slowly."""
    budget = RetryBudget(BudgetLimits(RATIO, SLACK, WINDOW_S), 20)
    taken = [at / 10 for at in range(1000) if budget.try_spend(at / 10, hedge=False)]
    assert len([at for at in taken if at < WINDOW_S]) == 2
    assert len([at for at in taken if 90 <= at < 90 + WINDOW_S]) == 2


def test_a_new_instance_starts_with_a_part():
    """Guards against a slack that is spent twice, by an instance and its successor."""
    budget = RetryBudget(BudgetLimits(RATIO, SLACK, WINDOW_S, 100.0), 1)
    assert budget.remaining(101.0) < SLACK / 2 < budget.remaining(100.0 + WINDOW_S)


def test_hedges_leave_a_reserve_to_retries():
    """Guards against failures that cannot be retried because hedges took all."""
    budget = RetryBudget(BudgetLimits(RATIO, SLACK, WINDOW_S), 1)
    while budget.try_spend(1.0, hedge=True):
        pass
    assert budget.try_spend(1.0, hedge=False)


def test_a_share_shrinks_when_instances_join():
    """Guards against a full share that outlives the number that it was made for."""
    budget = RetryBudget(BudgetLimits(RATIO, SLACK, WINDOW_S), 1)
    budget.set_instance_count(4)
    assert budget.remaining(1.0) <= SLACK / 4
