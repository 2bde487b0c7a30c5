"""Transfer of unused budget between instances through registers.

Each instance publishes how much of its earned budget it has given to each other
instance in total. The giver deducts before it publishes and the taker counts only
what it has not seen, so lost, late and repeated registers never add budget.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import singledispatch

from fireflyrack.core import Decision

from .budgets import RetryBudget

# Takers named in one register; the totals of others stay with the giver.
MAX_RECIPIENTS = 8
# Tokens below this part of the burst are kept for the instance's own need.
RETAINED_BURST_FRACTION = 0.5
# Fleet-wide time between two publications for each known instance: at 830
# instances one publishes every 249 s, which is 3.3 registers per second in all.
PERIOD_PER_INSTANCE_S = 0.3
# Incarnations whose totals are remembered; about five days of restarts at the
# target size. The register of an older one is superseded by then.
MAX_CREDITED_INCARNATIONS = 4096
# Entries for which no register came in this many periods give no need any more.
STALE_PERIODS = 3


@dataclass(frozen=True, slots=True)
class BudgetTransfers:
    """Hold what one incarnation of an instance publishes of its budget."""

    instance: str
    incarnation: str
    # Hedges and retries denied since the register before.
    need: int
    # Tokens given in total, by incarnation of the taker.
    given: Mapping[str, float]


@dataclass(slots=True)
class TransferState:
    """Hold the budget of this process and the needs of others; updated in place."""

    instance: str
    incarnation: str
    budget: RetryBudget
    given: dict[str, float] = field(default_factory=dict)
    # Total already taken from each incarnation.
    credited: dict[str, float] = field(default_factory=dict)
    # Newest share of each other instance with the time of its arrival.
    peers: dict[str, tuple[float, BudgetTransfers]] = field(default_factory=dict)
    published_at: float | None = None
    published: BudgetTransfers | None = None
    # Tokens that came from others and that were given away, for metrics.
    received_total: float = 0.0
    given_total: float = 0.0


@dataclass(frozen=True, slots=True)
class TransfersReceived:
    """Report the share of another instance."""

    at: float
    transfers: BudgetTransfers


@dataclass(frozen=True, slots=True)
class TransferTimerFired:
    """Report that time has passed."""

    at: float


@dataclass(frozen=True, slots=True)
class PublishTransfers:
    """Ask the shell to publish this instance's share."""

    transfers: BudgetTransfers


@singledispatch
def decide_transfers(event: object, state: TransferState) -> Decision[TransferState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@decide_transfers.register
def _(event: TransfersReceived, state: TransferState) -> Decision[TransferState]:
    transfers = event.transfers
    if transfers.instance == state.instance:
        return Decision(state)
    state.peers[transfers.instance] = (event.at, transfers)
    total = transfers.given.get(state.incarnation, 0.0)
    increase = total - state.credited.get(transfers.incarnation, 0.0)
    if increase > 0:
        state.credited[transfers.incarnation] = total
        if len(state.credited) > MAX_CREDITED_INCARNATIONS:
            del state.credited[next(iter(state.credited))]
        state.received_total += increase
        budget = state.budget
        budget.tokens = min(budget.tokens + increase, budget.settings.budget_burst)
    return Decision(state)


@decide_transfers.register
def _(event: TransferTimerFired, state: TransferState) -> Decision[TransferState]:
    period_s = publication_period(state)
    last = state.published_at
    if last is not None and event.at < last + period_s:
        return Decision(state)
    grant_surplus(state, event.at - STALE_PERIODS * period_s)
    state.published_at = event.at
    need = state.budget.denied
    state.budget.denied = 0
    newest = dict(tuple(state.given.items())[-MAX_RECIPIENTS:])
    transfers = BudgetTransfers(state.instance, state.incarnation, need, newest)
    if transfers == state.published:
        # An unchanged share costs the fleet no message.
        return Decision(state)
    state.published = transfers
    return Decision(state, (PublishTransfers(transfers),))


def publication_period(state: TransferState) -> float:
    """Return the time between two publications in seconds."""
    instances = len(state.peers) + 1
    min_period_s = state.budget.settings.budget_period_s
    return max(min_period_s, PERIOD_PER_INSTANCE_S * instances)


def grant_surplus(state: TransferState, min_received_at: float) -> None:
    """Give tokens that this instance does not need to those that were denied some."""
    budget = state.budget
    surplus = budget.tokens - RETAINED_BURST_FRACTION * budget.settings.budget_burst
    if surplus < 1 or budget.denied:
        return
    recipients = sorted(
        (
            transfers
            for at, transfers in state.peers.values()
            if transfers.need and at > min_received_at
        ),
        key=lambda transfers: (-transfers.need, transfers.instance),
    )[:MAX_RECIPIENTS]
    needed = sum(transfers.need for transfers in recipients)
    # Other instances see the same need, so each gives only a part of it.
    grant = min(surplus, needed / (len(state.peers) or 1))
    for transfers in recipients:
        tokens = grant * transfers.need / needed
        # A taker moves to the end, where the newest registers name it.
        total = state.given.pop(transfers.incarnation, 0.0) + tokens
        state.given[transfers.incarnation] = total
        budget.tokens -= tokens
        state.given_total += tokens
