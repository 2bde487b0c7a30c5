from __future__ import annotations

import random

import pytest

from fireflyrack.forwarding import BudgetLimits, RetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 50.0, 10.0


@pytest.mark.parametrize("number", range(40))
def test_extra_attempts_stay_within_the_fleet_wide_allowance(number):
    """Guards against shares that together exceed the allowance when instances change.

    All instances spend their whole budget while requests arrive in bursts and instances
    are replaced one at a time, at least one window apart.
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
        # Extra attempts follow their requests, so the requests are counted in the same
        # window, half a window earlier or a whole one earlier.
        request_count = max(
            sum(begin <= x < begin + WINDOW_S for x in requests)
            for begin in (start, start - WINDOW_S / 2, start - WINDOW_S)
        )
        assert len(window) <= RATIO * request_count + SLACK


def test_the_slack_is_restored_after_a_window():
    """Guards against instances of a large fleet whose small slack is never restored."""
    budget = RetryBudget(BudgetLimits(RATIO, SLACK, WINDOW_S), 20)
    spent = [at / 10 for at in range(1000) if budget.try_spend(at / 10, hedge=False)]
    assert len([at for at in spent if at < WINDOW_S]) == 2
    assert len([at for at in spent if 90 <= at < 90 + WINDOW_S]) == 2


def test_a_new_instance_starts_with_a_reduced_slack():
    """Guards against slack spent twice, by an instance and by its replacement."""
    budget = RetryBudget(BudgetLimits(RATIO, SLACK, WINDOW_S, 100.0), 1)
    assert budget.remaining(101.0) < SLACK / 2 < budget.remaining(100.0 + WINDOW_S)


def test_hedges_leave_a_reserve_for_retries():
    """Guards against hedges that use the whole budget, so that no retry is left."""
    budget = RetryBudget(BudgetLimits(RATIO, SLACK, WINDOW_S), 1)
    while budget.try_spend(1.0, hedge=True):
        pass
    assert budget.try_spend(1.0, hedge=False)


def test_the_share_shrinks_when_instances_join():
    """Guards against an instance that keeps the share of a smaller fleet."""
    budget = RetryBudget(BudgetLimits(RATIO, SLACK, WINDOW_S), 1)
    budget.set_instance_count(4)
    assert budget.remaining(1.0) <= SLACK / 4
