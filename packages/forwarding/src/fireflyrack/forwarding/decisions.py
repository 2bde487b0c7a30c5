"""Decisions on one request: attempts, hedges, retries, cutoff and answer.

A request that is not a search is handled as a single shard. Each shard has at most one
hedge or retry in flight; the first usable response of a shard wins.
"""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from fireflyrack.core import Decision

from .answers import final_answer
from .attempts import (
    Attempt,
    AttemptOutcome,
    Completed,
    Interrupted,
    NotConnected,
    Refused,
    TimedOut,
)
from .observations import (
    log_attempt_end,
    observe_abandoned,
    observe_attempt,
    record_crash_evidence,
    record_notice,
)
from .refusals import (
    MIN_RETRY_AFTER_S,
    outlasts_instance,
    record_unmet_demand,
    retry_after_s,
)
from .requests import Cause, NotRun
from .sending import AttemptPurpose, hedge, no_server_cause, retry, select, send
from .state import (
    AttemptEnded,
    CallerDisconnected,
    Cancel,
    Finish,
    RequestState,
    SetTimer,
    ShardProgress,
    Started,
    TimerFired,
    required_shards,
)


@singledispatch
def decide(event: object, state: RequestState) -> Decision[RequestState]:
    """Return the new state and the actions that follow from one event."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: Started, state: RequestState) -> Decision[RequestState]:
    if outlasts_instance(state, event.at):
        state.finished = True
        return Decision(state, (Finish(NotRun(Cause.STOPPING, MIN_RETRY_AFTER_S)),))
    selections = [select(state, shard, event.at) for shard in state.shards]
    usable = sum(selection is not None for selection in selections)
    for shard, selection in zip(state.shards, selections, strict=True):
        state.context.fleet.budget(shard.service).record_request(event.at)
        if selection is None:
            shard.cause = no_server_cause(state, shard, event.at)
    unserved = tuple(shard for shard in state.shards if shard.cause is not None)
    if usable < required_shards(state):
        state.finished = True
        # The permits that this search found are kept for its repetition.
        record_unmet_demand(state, state.shards, event.at)
        refusal = NotRun(unserved[0].cause, retry_after_s(state, event.at))
        return Decision(state, (Finish(refusal),))
    record_unmet_demand(state, unserved, event.at)
    actions = [
        send(state, number, selection, event.at, AttemptPurpose.FIRST)
        for number, selection in enumerate(selections)
        if selection is not None
    ]
    return Decision(state, (*actions, *update_timer(state, event.at)))


@decide.register
def _(event: AttemptEnded, state: RequestState) -> Decision[RequestState]:
    shard, attempt = remove_attempt(state, event.attempt)
    if attempt is None or state.finished:
        return Decision(state)
    latency_s = event.at - state.sent_at[attempt.id]
    observe_attempt(state, attempt, event.outcome, event.at)
    actions = list(record_notice(event.outcome, state, attempt, event.at))
    actions += record_crash_evidence(event.outcome, state, attempt, event.at)
    log_attempt_end(state, attempt, event.outcome, latency_s)
    actions += apply_outcome(event.outcome, state, shard, event.at)
    return finish_or_wait(state, event.at, actions)


@decide.register
def _(event: TimerFired, state: RequestState) -> Decision[RequestState]:
    if state.finished:
        return Decision(state)
    state.timer_at = None
    if event.at >= state.deadline_at:
        for shard in state.shards:
            if shard.open:
                shard.cause = Cause.TIMED_OUT
        return finish(state, event.at)
    actions: list[Any] = []
    for number, shard in enumerate(state.shards):
        if shard.hedge_at is not None and event.at >= shard.hedge_at:
            actions += hedge(state, number, shard, event.at)
    return finish_or_wait(state, event.at, actions)


@decide.register
def _(event: CallerDisconnected, state: RequestState) -> Decision[RequestState]:
    state.finished = True
    return Decision(state, tuple(cancel_open(state, event.at)))


@singledispatch
def apply_outcome(
    outcome: AttemptOutcome, state: RequestState, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    """Apply the outcome of an attempt to its shard and retry if allowed."""
    raise TypeError(f"unsupported outcome type: {type(outcome).__name__}")


@apply_outcome.register
def _(
    outcome: Completed, state: RequestState, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    shard.may_have_run = True
    if outcome.succeeded:
        shard.result = outcome
        shard.hedge_at = None
        return tuple(cancel_shard(state, shard, at))
    shard.cause = Cause.SERVER_FAILED
    shard.failure = outcome
    if state.search is None and 300 <= outcome.status < 500:
        # The response concerns the request itself, so a retry would not change it. A
        # success without a signature does not.
        shard.result = outcome
        return tuple(cancel_shard(state, shard, at))
    return retry(state, shard, at, state.route.idempotent)


@apply_outcome.register
def _(
    outcome: Refused, state: RequestState, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    shard.cause = Cause.REFUSED
    return retry(state, shard, at, not shard.may_have_run or state.route.idempotent)


@apply_outcome.register
def _(
    outcome: NotConnected, state: RequestState, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    shard.cause = Cause.UNREACHABLE
    # Nothing was sent, so the attempt does not count against the route or the budget.
    shard.attempts -= 1
    if shard.attempts:
        state.context.fleet.budget(shard.service).refund()
    return retry(state, shard, at, not shard.may_have_run or state.route.idempotent)


@apply_outcome.register
def _(
    outcome: Interrupted, state: RequestState, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    shard.cause = Cause.INTERRUPTED
    shard.may_have_run = True
    return retry(state, shard, at, state.route.idempotent)


@apply_outcome.register
def _(
    outcome: TimedOut, state: RequestState, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    shard.cause = Cause.TIMED_OUT
    shard.may_have_run = True
    return retry(state, shard, at, state.route.idempotent)


def finish_or_wait(
    state: RequestState, at: float, actions: list[Any]
) -> Decision[RequestState]:
    """Finish if the answer is determined, else wait for the next event."""
    required = required_shards(state)
    covered = sum(shard.result is not None for shard in state.shards)
    pending = sum(shard.open for shard in state.shards)
    decided = (
        pending == 0
        or covered + pending < required
        or (at >= state.cutoff_at and covered >= required)
    )
    if decided:
        decision = finish(state, at)
        return Decision(state, (*actions, *decision.actions))
    return Decision(state, (*actions, *update_timer(state, at)))


def finish(state: RequestState, at: float) -> Decision[RequestState]:
    """Return the final answer and cancel the attempts in flight."""
    state.finished = True
    for shard in state.shards:
        if shard.open:
            shard.may_have_run = True
            shard.cause = shard.cause or Cause.TIMED_OUT
    cancelled = cancel_open(state, at)
    answer = final_answer(state, at)
    return Decision(state, (*cancelled, Finish(answer)))


def update_timer(state: RequestState, at: float) -> tuple[SetTimer, ...]:
    """Return the action that sets the timer, none if the time is unchanged."""
    times = [state.deadline_at]
    if at < state.cutoff_at:
        times.append(state.cutoff_at)
    times += [s.hedge_at for s in state.shards if s.hedge_at is not None and s.open]
    timer_at = min(times)
    if timer_at == state.timer_at:
        return ()
    state.timer_at = timer_at
    return (SetTimer(timer_at),)


def remove_attempt(
    state: RequestState, attempt_id: int
) -> tuple[ShardProgress | None, Attempt | None]:
    """Remove an attempt from those in flight and return it with its shard."""
    for shard in state.shards:
        attempt = shard.outstanding.pop(attempt_id, None)
        if attempt is not None:
            return shard, attempt
    return None, None


def cancel_shard(state: RequestState, shard: ShardProgress, at: float) -> list[Any]:
    """Cancel the attempts in flight of one shard."""
    actions = []
    for attempt in shard.outstanding.values():
        observe_abandoned(state, attempt, at)
        actions.append(Cancel(attempt.id))
    shard.outstanding.clear()
    return actions


def cancel_open(state: RequestState, at: float) -> list[Any]:
    """Cancel the attempts in flight of all shards."""
    return [a for shard in state.shards for a in cancel_shard(state, shard, at)]
