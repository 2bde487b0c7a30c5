"""Guard against hedges and retries above 2% of the load of the whole fleet."""

from __future__ import annotations

import random

from hypothesis import given, settings, strategies as st

from fireflyrack.search import (
    PublishTransfers,
    RetryBudget,
    SearchSettings,
    TransfersReceived,
    TransferState,
    TransferTimerFired,
    decide_transfers,
)

INSTANCES = 4


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 1 << 32), st.sampled_from([0.0, 0.3]))
def test_lost_and_repeated_registers_never_add_budget(seed, lost):
    """Guards against tokens that are credited twice or survive a restart."""
    rng = random.Random(seed)
    states = [start(n, 0) for n in range(INSTANCES)]
    registers = []
    first = spent = 0
    for step in range(120):
        number = rng.randrange(INSTANCES)
        state = states[number]
        load = (5000, 200, 0, 0)[number]
        state.budget.earn(load)
        first += load
        spent += sum(state.budget.try_spend() for _ in range(rng.choice((0, 3, 200))))
        if rng.random() < 0.05:
            # A restart loses the budget and the credited totals.
            states[number] = start(number, step + 1)
        at = 10.0 * step
        for action in decide_transfers(TransferTimerFired(at), states[number]).actions:
            assert isinstance(action, PublishTransfers)
            registers.append(action.transfers)
        for receiver in states:
            for transfers in registers[-8:]:
                if rng.random() >= lost:
                    decide_transfers(TransfersReceived(at, transfers), receiver)
        assert spent <= 0.02 * first


def test_denied_instance_spends_the_surplus_of_another():
    """Guards against unused budget that never reaches instances in need."""
    donor, recipient = start(0, 0), start(1, 0)
    donor.budget.earn(10_000)
    assert not recipient.budget.try_spend()
    exchange(recipient, donor, 0.0)
    exchange(donor, recipient, 10.0)
    assert recipient.budget.try_spend()
    assert donor.budget.tokens + recipient.budget.tokens + 1 == 100


def start(number, run):
    budget = RetryBudget(SearchSettings())
    return TransferState(f"e{number}", f"e{number}-{run}", budget)


def exchange(sender, receiver, at):
    for action in decide_transfers(TransferTimerFired(at), sender).actions:
        decide_transfers(TransfersReceived(at, action.transfers), receiver)
