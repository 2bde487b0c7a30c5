"""Guard against budget transfers that get lost between instances."""

from __future__ import annotations

import asyncio

from fireflyrack.dissemination import Register
from fireflyrack.entry.budget_sharing import BUDGET_TOPIC, BudgetSharing
from fireflyrack.search import RetryBudget, SearchSettings, TransferTimerFired


class FakeDisseminator:
    """Deliver each published register to all subscribers, as the dissemination does."""

    def __init__(self) -> None:
        self.subscribers = []
        self.published = []

    def subscribe(self, topic, subscriber):
        assert topic == BUDGET_TOPIC
        self.subscribers.append(subscriber)

    def publish(self, topic, key, body):
        register = Register(topic, key, len(self.published) + 1, body)
        self.published.append(register)
        for subscriber in self.subscribers:
            subscriber(register)


async def test_unused_budget_is_transferred_to_denied_instance():
    """Guards against a transfer that does not reach the instance that lacks budget.

    Also guards against registers that grow to 100 bytes.
    """
    disseminator = FakeDisseminator()
    donor, recipient = (
        BudgetSharing(name, f"{name}-1", RetryBudget(SearchSettings()), disseminator)
        for name in ("e0", "e1")
    )
    donor.machine.state.budget.earn(10_000)
    assert not recipient.machine.state.budget.try_spend()
    now = asyncio.get_running_loop().time()
    recipient.machine.feed(TransferTimerFired(now))
    donor.machine.feed(TransferTimerFired(now))
    assert recipient.machine.state.budget.try_spend()
    assert [register.key for register in disseminator.published] == ["e1", "e0"]
    assert max(len(register.body) for register in disseminator.published) < 100
