"""Exchange of unused hedge and retry budget with the other entry instances."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod

from fireflyrack.core import StateMachine
from fireflyrack.dissemination import Disseminator, Register
from fireflyrack.search import (
    BudgetTransfersModel,
    PublishTransfers,
    RetryBudget,
    TransfersReceived,
    TransferState,
    TransferTimerFired,
    budget_transfers_model,
    decide_transfers,
)

BUDGET_TOPIC = "search.budget"


class BudgetSharing:
    """Publish budget transfers and apply those of others; run `run_loop` as a task."""

    def __init__(
        self,
        instance: str,
        incarnation: str,
        budget: RetryBudget,
        disseminator: Disseminator,
    ) -> None:
        self.disseminator = disseminator
        self.loop = asyncio.get_running_loop()
        state = TransferState(instance, incarnation, budget)
        self.machine = StateMachine(state, decide_transfers, self.perform)
        disseminator.subscribe(BUDGET_TOPIC, self.receive)

    async def run_loop(self) -> None:
        """Transfer unused budget once per period until cancelled."""
        period_s = self.machine.state.budget.settings.budget_period_s
        while True:
            await asyncio.sleep(period_s)
            self.machine.feed(TransferTimerFired(self.loop.time()))

    def receive(self, register: Register) -> None:
        """Apply the transfers of another instance."""
        transfers = BudgetTransfersModel.model_validate_json(register.body).to_domain()
        self.machine.feed(TransfersReceived(self.loop.time(), transfers))

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the budget transfers."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: PublishTransfers) -> None:
        body = budget_transfers_model(action.transfers).model_dump_json().encode()
        self.disseminator.publish(BUDGET_TOPIC, action.transfers.instance, body)
