"""Transfer of unused budget between instances through replicated registers.

Each instance publishes the cumulative number of tokens that it has given to each other
instance. The donor deducts tokens before it publishes and the recipient credits only
the increase, so lost, late and repeated registers never add budget.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import singledispatch

from fireflyrack.core import Decision

from .budgets import RetryBudget

# Recipients named in one register; the donor keeps the totals of all others.
MAX_RECIPIENTS = 8
# Fraction of the burst that an instance keeps for its own hedges and retries.
RETAINED_BURST_FRACTION = 0.5
# The publication period grows by this time per known instance: with 830 instances
# each publishes every 249 s, which is 3.3 registers per second in the whole fleet.
PERIOD_PER_INSTANCE_S = 0.3
# Incarnations whose credited totals are kept, about five days of restarts at the
# target size. The register of an older incarnation has been superseded by then.
MAX_CREDITED_INCARNATIONS = 4096
# The need of an instance expires after this many periods without a register.
STALE_PERIODS = 3


@dataclass(frozen=True, slots=True)
class BudgetTransfers:
    """Budget state that one incarnation of an instance publishes."""

    instance: str
    incarnation: str
    # Hedges and retries denied since the previous register.
    need: int
    # Cumulative tokens given, by incarnation of the recipient.
    given: Mapping[str, float]


@dataclass(slots=True)
class TransferState:
    """Budget of this process and the needs of its peers; updated in place."""

    instance: str
    incarnation: str
    budget: RetryBudget
    given: dict[str, float] = field(default_factory=dict)
    # Cumulative tokens already credited from each incarnation.
    credited: dict[str, float] = field(default_factory=dict)
    # Newest transfers of each other instance with the time of their arrival.
    peers: dict[str, tuple[float, BudgetTransfers]] = field(default_factory=dict)
    published_at: float | None = None
    published: BudgetTransfers | None = None
    # Tokens received from peers and given to them, for metrics.
    received_total: float = 0.0
    given_total: float = 0.0


@dataclass(frozen=True, slots=True)
class TransfersReceived:
    """The transfers of an instance arrived."""

    at: float
    transfers: BudgetTransfers


@dataclass(frozen=True, slots=True)
class TransferTimerFired:
    """The periodic timer fired."""

    at: float


@dataclass(frozen=True, slots=True)
class PublishTransfers:
    """Action: publish the transfers of this instance."""

    transfers: BudgetTransfers


@singledispatch
def decide_transfers(event: object, state: TransferState) -> Decision[TransferState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


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
        # Skip publishing unchanged transfers to save messages in the fleet.
        return Decision(state)
    state.published = transfers
    return Decision(state, (PublishTransfers(transfers),))


def publication_period(state: TransferState) -> float:
    """Return the time between two publications in seconds."""
    instances = len(state.peers) + 1
    min_period_s = state.budget.settings.budget_period_s
    return max(min_period_s, PERIOD_PER_INSTANCE_S * instances)


def grant_surplus(state: TransferState, min_received_at: float) -> None:
    """Give surplus tokens to peers whose hedges or retries were denied."""
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
    # All peers see the same need, so each covers only its fraction.
    grant = min(surplus, needed / (len(state.peers) or 1))
    for transfers in recipients:
        tokens = grant * transfers.need / needed
        # Move the recipient to the end; registers name only the latest recipients.
        total = state.given.pop(transfers.incarnation, 0.0) + tokens
        state.given[transfers.incarnation] = total
        budget.tokens -= tokens
        state.given_total += tokens
