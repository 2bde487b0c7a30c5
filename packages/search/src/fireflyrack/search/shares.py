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
MAX_TAKERS = 8
# Tokens below this part of the burst are kept for the instance's own need.
KEPT_PART = 0.5
# Fleet-wide time between two publications for each known instance: at 830
# instances one publishes every 249 s, which is 3.3 registers per second in all.
PERIOD_PER_INSTANCE_S = 0.3
# Incarnations whose totals are remembered; about five days of restarts at the
# target size. The register of an older one is superseded by then.
MAX_REMEMBERED = 4096
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
    taken: dict[str, float] = field(default_factory=dict)
    # Newest share of each other instance with the time of its arrival.
    others: dict[str, tuple[float, BudgetTransfers]] = field(default_factory=dict)
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
    state.others[transfers.instance] = (event.at, transfers)
    total = transfers.given.get(state.incarnation, 0.0)
    fresh = total - state.taken.get(transfers.incarnation, 0.0)
    if fresh > 0:
        state.taken[transfers.incarnation] = total
        if len(state.taken) > MAX_REMEMBERED:
            del state.taken[next(iter(state.taken))]
        state.received_total += fresh
        budget = state.budget
        budget.tokens = min(budget.tokens + fresh, budget.settings.budget_burst)
    return Decision(state)


@decide_transfers.register
def _(event: TransferTimerFired, state: TransferState) -> Decision[TransferState]:
    period_s = publication_period(state)
    last = state.published_at
    if last is not None and event.at < last + period_s:
        return Decision(state)
    give(state, event.at - STALE_PERIODS * period_s)
    state.published_at = event.at
    need = state.budget.denied
    state.budget.denied = 0
    newest = dict(tuple(state.given.items())[-MAX_TAKERS:])
    transfers = BudgetTransfers(state.instance, state.incarnation, need, newest)
    if transfers == state.published:
        # An unchanged share costs the fleet no message.
        return Decision(state)
    state.published = transfers
    return Decision(state, (PublishTransfers(transfers),))


def publication_period(state: TransferState) -> float:
    """Return the time between two publications in seconds."""
    instances = len(state.others) + 1
    least_s = state.budget.settings.budget_period_s
    return max(least_s, PERIOD_PER_INSTANCE_S * instances)


def give(state: TransferState, newer_than: float) -> None:
    """Give tokens that this instance does not need to those that were denied some."""
    budget = state.budget
    surplus = budget.tokens - KEPT_PART * budget.settings.budget_burst
    if surplus < 1 or budget.denied:
        return
    needy = sorted(
        (
            transfers
            for at, transfers in state.others.values()
            if transfers.need and at > newer_than
        ),
        key=lambda transfers: (-transfers.need, transfers.instance),
    )[:MAX_TAKERS]
    needed = sum(transfers.need for transfers in needy)
    # Other instances see the same need, so each gives only a part of it.
    part = min(surplus, needed / (len(state.others) or 1))
    for transfers in needy:
        tokens = part * transfers.need / needed
        # A taker moves to the end, where the newest registers name it.
        total = state.given.pop(transfers.incarnation, 0.0) + tokens
        state.given[transfers.incarnation] = total
        budget.tokens -= tokens
        state.given_total += tokens
