"""Decisions on one request: attempts, hedges, retries, the cut and the answer.

A request that is no search is handled as one shard. Each shard has at most one hedge
or retry in flight; the first usable response of a shard wins.
"""

from __future__ import annotations

import enum
import math
from functools import singledispatch
from typing import Any

from fireflyrack.core import Decision
from fireflyrack.discovery import ServerState

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
from .choice import Choice, choose_server
from .health import Observation, note_abandoned, observe
from .log_events import AttemptOver, AttemptSent, ExtraAttemptWithheld
from .requests import Cause, NotRun
from .state import (
    AttemptEnded,
    CallerLeft,
    Cancel,
    CheckServer,
    Finish,
    RequestState,
    Send,
    ShardProgress,
    Started,
    WakeAt,
    Woken,
)

# Callers whose request met a full or missing service come back after this time.
RETRY_AFTER_S = 0.2
# Without this much time left an extra attempt can't be of use.
MIN_ATTEMPT_S = 0.005
# An attempt that is late by this multiple of the hedge delay is not merely queued.
HANGING_FACTOR = 4.0
# A hedge that could not be sent is considered again after this part of its delay.
HEDGE_RECHECK_PART = 0.5


class Purpose(enum.Enum):
    """Name why an attempt is sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


@singledispatch
def decide(event: object, state: RequestState) -> Decision[RequestState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@decide.register
def _(event: Started, state: RequestState) -> Decision[RequestState]:
    choices = [choose(state, shard, event.at) for shard in state.shards]
    usable = sum(choice is not None for choice in choices)
    for shard, choice in zip(state.shards, choices, strict=True):
        state.surroundings.fleet.budget(shard.service).earn(event.at)
        if choice is None:
            shard.cause = cause_without_choice(state, shard)
    if usable < least_shards(state):
        state.finished = True
        cause = next(s.cause for s in state.shards if s.cause is not None)
        return Decision(state, (Finish(NotRun(cause, RETRY_AFTER_S)),))
    actions = [
        send(state, number, choice, event.at, Purpose.FIRST)
        for number, choice in enumerate(choices)
        if choice is not None
    ]
    return Decision(state, (*actions, *wake(state, event.at)))


@decide.register
def _(event: AttemptEnded, state: RequestState) -> Decision[RequestState]:
    shard, attempt = take_attempt(state, event.attempt)
    if attempt is None or state.finished:
        return Decision(state)
    latency_s = event.at - state.sent_at[attempt.id]
    observe_attempt(state, attempt, event.outcome, event.at)
    actions = list(note_crash(event.outcome, state, attempt, event.at))
    tell_end(state, attempt, event.outcome, latency_s)
    actions += take_outcome(event.outcome, state, shard, event.at)
    return proceed(state, event.at, actions)


@decide.register
def _(event: Woken, state: RequestState) -> Decision[RequestState]:
    if state.finished:
        return Decision(state)
    state.wake_at = None
    if event.at >= state.deadline_at:
        for shard in state.shards:
            if shard.open:
                shard.cause = Cause.TIMED_OUT
        return finish(state, event.at)
    actions: list[Any] = []
    for number, shard in enumerate(state.shards):
        if shard.hedge_at is not None and event.at >= shard.hedge_at:
            actions += hedge(state, number, shard, event.at)
    return proceed(state, event.at, actions)


@decide.register
def _(event: CallerLeft, state: RequestState) -> Decision[RequestState]:
    state.finished = True
    return Decision(state, tuple(cancel_open(state, event.at)))


@singledispatch
def take_outcome(
    outcome: AttemptOutcome, state: RequestState, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    """Record the outcome of an attempt on its shard and try again where possible."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@take_outcome.register
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
    if state.search is None and outcome.status < 500:
        # A backend server's own verdict on the request; another has the same one.
        shard.result = outcome
        return tuple(cancel_shard(state, shard, at))
    return retry(state, shard, at, state.route.idempotent)


@take_outcome.register
def _(
    outcome: Refused, state: RequestState, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    shard.cause = Cause.REFUSED
    return retry(state, shard, at, not shard.may_have_run or state.route.idempotent)


@take_outcome.register
def _(
    outcome: NotConnected, state: RequestState, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    shard.cause = Cause.UNREACHABLE
    # Nothing was sent, so the attempt counts neither for the route nor the budget.
    shard.attempts -= 1
    if shard.attempts:
        state.surroundings.fleet.budget(shard.service).refund()
    return retry(state, shard, at, not shard.may_have_run or state.route.idempotent)


@take_outcome.register
def _(
    outcome: Interrupted, state: RequestState, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    shard.cause = Cause.INTERRUPTED
    shard.may_have_run = True
    return retry(state, shard, at, state.route.idempotent)


@take_outcome.register
def _(
    outcome: TimedOut, state: RequestState, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    shard.cause = Cause.TIMED_OUT
    shard.may_have_run = True
    return retry(state, shard, at, state.route.idempotent)


@singledispatch
def note_crash(
    outcome: AttemptOutcome, state: RequestState, attempt: Attempt, at: float
) -> tuple[Any, ...]:
    """Record what an outcome says of a request that may crash backend servers."""
    return ()


@note_crash.register
def _(
    outcome: Completed, state: RequestState, attempt: Attempt, at: float
) -> tuple[Any, ...]:
    if outcome.succeeded:
        state.surroundings.crashes.note_completed(state.request, at)
    return ()


@note_crash.register
def _(
    outcome: Interrupted, state: RequestState, attempt: Attempt, at: float
) -> tuple[Any, ...]:
    server = attempt.server
    crashes = state.surroundings.crashes
    doubted = crashes.note_interrupted(state.request, server.id, server.incarnation, at)
    known = state.surroundings.servers_of(server.service)
    return tuple(CheckServer(s) for s in known if (s.id, s.incarnation) in doubted)


@note_crash.register
def _(
    outcome: NotConnected, state: RequestState, attempt: Attempt, at: float
) -> tuple[Any, ...]:
    server = attempt.server
    state.surroundings.crashes.note_away(server.id, server.incarnation, at)
    return ()


def choose(state: RequestState, shard: ShardProgress, at: float) -> Choice | None:
    """Return the backend server for the next attempt of a shard."""
    surroundings = state.surroundings
    return choose_server(
        surroundings.chooser,
        surroundings.servers_of(shard.service),
        surroundings.fleet,
        shard.max_connections,
        frozenset(shard.tried),
        at,
    )


def cause_without_choice(state: RequestState, shard: ShardProgress) -> Cause:
    """Return why no backend server can take the first attempt of a shard."""
    known = state.surroundings.servers_of(shard.service)
    if not known:
        return Cause.NO_SERVER
    if all(server.state is not ServerState.READY for server in known):
        return Cause.LEAVING
    return Cause.SATURATED


def least_shards(state: RequestState) -> int:
    """Return how many shards a success needs."""
    search = state.search
    if search is None:
        return 1
    # Coverage is a decimal fraction; without the slack 0.9 * 10 rounds up to 10.
    return max(1, math.ceil(search.minimum_coverage * len(state.shards) - 1e-9))


def send(
    state: RequestState, number: int, choice: Choice, at: float, purpose: Purpose
) -> Send:
    """Record a new attempt and return its action."""
    shard = state.shards[number]
    fleet = state.surroundings.fleet
    attempt = Attempt(len(state.sent_at), number, choice.server, state.deadline_at)
    route = fleet.route(state.route.name, state.route.objective_s)
    state.sent_at[attempt.id] = at
    shard.attempts += 1
    shard.tried.add(choice.server.id)
    shard.outstanding[attempt.id] = attempt
    hedgeable = state.route.idempotent and shard.attempts < state.route.max_attempts
    single = len(shard.outstanding) == 1
    useful_s = state.cut_at - at if state.search else math.inf
    hedge_at = at + route.hedge_after_s(useful_s)
    shard.hedge_at = hedge_at if hedgeable and single else None
    fleet.server(choice.server.id).start(
        (id(state), attempt.id), at, route.hedge_delay_s
    )
    state.story.append(
        AttemptSent(
            request=state.request.id,
            attempt=attempt.id,
            purpose=purpose.value,
            service=shard.service,
            server=choice.server.id,
            after_s=at - state.request.received_at,
            cost=choice.cost,
            in_flight=choice.in_flight,
            slowness=choice.slowness,
            failing=choice.failing,
            candidates=choice.candidates,
            budget=fleet.budget(shard.service).left(at),
        )
    )
    return Send(attempt)


def hedge(
    state: RequestState, number: int, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    """Send a second attempt of a shard whose first one is late, if it is affordable."""
    shard.hedge_at = None
    if not shard.open or len(shard.outstanding) > 1:
        return ()
    fleet = state.surroundings.fleet
    reason = None
    choice = choose(state, shard, at)
    if choice is None:
        reason = "no other backend server"
    elif is_busy(state, choice, at) and not hangs(state, shard, at):
        # Hedges must not add to the queues of an overloaded service.
        reason = "the other backend servers are busy"
    elif at + MIN_ATTEMPT_S >= state.deadline_at:
        reason = "no time left"
    elif state.surroundings.strained():
        # The attempt may be late only because this process is.
        reason = "this instance lacks processor time"
    elif not fleet.budget(shard.service).take(at, hedge=True):
        reason = "no budget"
    if reason is None:
        return (send(state, number, choice, at, Purpose.HEDGE),)
    withhold(state, shard, Purpose.HEDGE, reason, at)
    route = fleet.route(state.route.name, state.route.objective_s)
    shard.hedge_at = at + HEDGE_RECHECK_PART * route.hedge_delay_s
    return ()


def is_busy(state: RequestState, choice: Choice, at: float) -> bool:
    """Return whether one more attempt would wait for a slot."""
    health = state.surroundings.fleet.server(choice.server.id)
    return health.load_now(at) >= max(1, choice.server.slots)


def hangs(state: RequestState, shard: ShardProgress, at: float) -> bool:
    """Return whether an attempt is so late that its backend server likely failed."""
    route = state.surroundings.fleet.route(state.route.name, state.route.objective_s)
    oldest = min(state.sent_at[attempt_id] for attempt_id in shard.outstanding)
    return at - oldest >= HANGING_FACTOR * route.hedge_delay_s


def retry(
    state: RequestState, shard: ShardProgress, at: float, harmless: bool
) -> tuple[Any, ...]:
    """Send another attempt after a failure, if it does no harm and is affordable."""
    if shard.outstanding or shard.result is not None or not harmless:
        return ()
    if shard.attempts >= state.route.max_attempts:
        return ()
    fleet = state.surroundings.fleet
    reason = None
    choice = choose(state, shard, at)
    if choice is None:
        reason = "no other backend server"
    elif at + MIN_ATTEMPT_S >= state.deadline_at:
        reason = "no time left"
    elif shard.attempts and not fleet.budget(shard.service).take(at, hedge=False):
        reason = "no budget"
    if reason is not None:
        withhold(state, shard, Purpose.RETRY, reason, at)
        return ()
    number = state.shards.index(shard)
    return (send(state, number, choice, at, Purpose.RETRY),)


def withhold(
    state: RequestState, shard: ShardProgress, purpose: Purpose, reason: str, at: float
) -> None:
    """Record that an extra attempt is not sent."""
    budget = state.surroundings.fleet.budget(shard.service).left(at)
    state.story.append(
        ExtraAttemptWithheld(
            state.request.id, purpose.value, shard.service, reason, budget
        )
    )


def proceed(
    state: RequestState, at: float, actions: list[Any]
) -> Decision[RequestState]:
    """Finish if the answer is known, else wait for the next event."""
    least = least_shards(state)
    covered = sum(shard.result is not None for shard in state.shards)
    pending = sum(shard.open for shard in state.shards)
    decided = (
        pending == 0
        or covered + pending < least
        or (at >= state.cut_at and covered >= least)
    )
    if decided:
        decision = finish(state, at)
        return Decision(state, (*actions, *decision.actions))
    return Decision(state, (*actions, *wake(state, at)))


def finish(state: RequestState, at: float) -> Decision[RequestState]:
    """Make the answer and cancel what is still in flight."""
    state.finished = True
    for shard in state.shards:
        if shard.open:
            shard.may_have_run = True
            shard.cause = shard.cause or Cause.TIMED_OUT
    cancelled = cancel_open(state, at)
    answer = final_answer(state, least_shards(state), RETRY_AFTER_S)
    return Decision(state, (*cancelled, Finish(answer)))


def wake(state: RequestState, at: float) -> tuple[WakeAt, ...]:
    """Return the time of the next event that nothing else brings about."""
    times = [state.deadline_at]
    if at < state.cut_at:
        times.append(state.cut_at)
    times += [s.hedge_at for s in state.shards if s.hedge_at is not None and s.open]
    wake_at = min(times)
    if wake_at == state.wake_at:
        return ()
    state.wake_at = wake_at
    return (WakeAt(wake_at),)


def take_attempt(
    state: RequestState, attempt_id: int
) -> tuple[ShardProgress | None, Attempt | None]:
    """Remove an attempt in flight and return it with its shard."""
    for shard in state.shards:
        attempt = shard.outstanding.pop(attempt_id, None)
        if attempt is not None:
            return shard, attempt
    return None, None


def cancel_shard(state: RequestState, shard: ShardProgress, at: float) -> list[Any]:
    """Cancel the attempts of a shard that are no longer needed."""
    actions = []
    for attempt in shard.outstanding.values():
        health = state.surroundings.fleet.server(attempt.server.id)
        health.end((id(state), attempt.id))
        note_abandoned(health, observation_of(state, attempt, at))
        state.surroundings.fleet.note_observed(attempt.server.id, at)
        actions.append(Cancel(attempt.id))
    shard.outstanding.clear()
    return actions


def cancel_open(state: RequestState, at: float) -> list[Any]:
    """Cancel all attempts in flight."""
    return [a for shard in state.shards for a in cancel_shard(state, shard, at)]


def observation_of(state: RequestState, attempt: Attempt, at: float) -> Observation:
    """Return what is needed to judge the latency of an attempt."""
    route = state.surroundings.fleet.route(state.route.name, state.route.objective_s)
    return Observation(at, at - state.sent_at[attempt.id], route.typical_s)


def observe_attempt(
    state: RequestState, attempt: Attempt, outcome: AttemptOutcome, at: float
) -> None:
    """Update the observations by an ended attempt."""
    fleet = state.surroundings.fleet
    health = fleet.server(attempt.server.id)
    health.end((id(state), attempt.id))
    observation = observation_of(state, attempt, at)
    strained = state.surroundings.strained()
    if strained and isinstance(outcome, Completed) and outcome.succeeded:
        # The latency includes the own lateness and says nothing about the server.
        observation = Observation(at, observation.typical_s, observation.typical_s)
    observe(outcome, health, observation)
    fleet.note_observed(attempt.server.id, at)
    if isinstance(outcome, Completed) and outcome.succeeded and not strained:
        route = fleet.route(state.route.name, state.route.objective_s)
        route.estimate.record(observation.latency_s)


def tell_end(
    state: RequestState, attempt: Attempt, outcome: AttemptOutcome, latency_s: float
) -> None:
    """Record the outcome of an attempt for the log."""
    state.story.append(
        AttemptOver(
            request=state.request.id,
            attempt=attempt.id,
            server=attempt.server.id,
            outcome=type(outcome).__name__,
            detail=describe(outcome),
            latency_s=latency_s,
        )
    )


@singledispatch
def describe(outcome: AttemptOutcome) -> str:
    """Return an outcome's particulars for the log."""
    return ""


@describe.register
def _(outcome: Completed) -> str:
    return str(outcome.status)


@describe.register
def _(outcome: Refused) -> str:
    return f"{outcome.status} {outcome.reason.value}"


@describe.register(NotConnected)
@describe.register(Interrupted)
def _(outcome: NotConnected | Interrupted) -> str:
    return outcome.detail
