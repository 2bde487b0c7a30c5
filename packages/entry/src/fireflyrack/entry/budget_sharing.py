"""Exchange of unused hedge and retry budget with the other entry instances."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod

from fireflyrack.core import StateMachine
from fireflyrack.dissemination import Register, Spreader
from fireflyrack.search import (
    Budget,
    PublishShare,
    ShareModel,
    ShareReceived,
    SharesState,
    SharesTicked,
    decide_shares,
    share_model,
)

BUDGET_TOPIC = "search.budget"


class BudgetSharing:
    """Publish this instance's share and take those of others; run `follow`."""

    def __init__(
        self, instance: str, incarnation: str, budget: Budget, spreader: Spreader
    ) -> None:
        self.spreader = spreader
        self.loop = asyncio.get_running_loop()
        state = SharesState(instance, incarnation, budget)
        self.machine = StateMachine(state, decide_shares, self.perform)
        spreader.subscribe(BUDGET_TOPIC, self.receive)

    async def follow(self) -> None:
        """Give unused budget away at each period until cancelled."""
        period_s = self.machine.state.budget.settings.budget_period_s
        while True:
            await asyncio.sleep(period_s)
            self.machine.feed(SharesTicked(self.loop.time()))

    def receive(self, register: Register) -> None:
        """Take the share of another instance."""
        share = ShareModel.model_validate_json(register.body).to_domain()
        self.machine.feed(ShareReceived(self.loop.time(), share))

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the shares."""
        raise TypeError(f"not an action: {type(action).__name__}")

    @perform.register
    def _(self, action: PublishShare) -> None:
        body = share_model(action.share).model_dump_json().encode()
        self.spreader.publish(BUDGET_TOPIC, action.share.instance, body)
