"""Sending of first attempts, hedges and retries."""

from __future__ import annotations

import enum
import math
from typing import Any

from fireflyrack.availability import Obstacle

from .attempts import Attempt
from .choice import Selection, select_server
from .log_events import AttemptSent, ExtraAttemptWithheld
from .refusals import record_unmet_demand
from .requests import Cause
from .state import RequestState, Send, ShardProgress

# Minimum time before the deadline for an extra attempt to be useful.
MIN_ATTEMPT_S = 0.005
# Multiple of the hedge delay after which an attempt counts as hanging; a queue alone
# does not explain such a delay.
HANGING_FACTOR = 4.0
# A withheld hedge is reconsidered after this fraction of the hedge delay.
HEDGE_RECHECK_FRACTION = 0.5


class AttemptPurpose(enum.Enum):
    """Reason for which an attempt is sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


def select(state: RequestState, shard: ShardProgress, at: float) -> Selection | None:
    """Select a backend server that the shard has not tried yet, if any."""
    context = state.context
    return select_server(
        context.selection_context,
        context.servers_of(shard.service),
        context.fleet,
        context.availability,
        shard.max_connections,
        frozenset(shard.tried),
        at,
    )


def no_server_cause(state: RequestState, shard: ShardProgress, at: float) -> Cause:
    """Return why no backend server is available for the first attempt of a shard."""
    known = state.context.servers_of(shard.service)
    if not known:
        return Cause.NO_SERVER
    availability = state.context.availability
    obstacles = {availability.obstacle(server, at) for server in known}
    if obstacles <= {Obstacle.DRAINING, Obstacle.LEAVING}:
        return Cause.ALL_DRAINING
    if Obstacle.CLOSED in obstacles and None not in obstacles:
        return Cause.CLOSED
    if None not in obstacles:
        return Cause.RATE_LIMITED
    return Cause.SATURATED


def send(
    state: RequestState,
    number: int,
    selection: Selection,
    at: float,
    purpose: AttemptPurpose,
) -> Send:
    """Record a new attempt and return the action that sends it."""
    shard = state.shards[number]
    fleet = state.context.fleet
    attempt = Attempt(len(state.sent_at), number, selection.server, state.deadline_at)
    route = fleet.route(state.route.name, state.route.objective_s)
    state.sent_at[attempt.id] = at
    shard.attempts += 1
    shard.tried.add(selection.server.id)
    shard.outstanding[attempt.id] = attempt
    hedgeable = state.route.idempotent and shard.attempts < state.route.max_attempts
    single = len(shard.outstanding) == 1
    remaining_s = state.cutoff_at - at if state.search else math.inf
    hedge_at = at + route.hedge_after_s(remaining_s)
    shard.hedge_at = hedge_at if hedgeable and single else None
    state.context.availability.record_sent(selection.server, at)
    fleet.server(selection.server.id).start(
        (id(state), attempt.id), at, route.hedge_delay_s
    )
    state.trace.append(
        AttemptSent(
            request=state.request.id,
            attempt=attempt.id,
            purpose=purpose.value,
            service=shard.service,
            server=selection.server.id,
            after_s=at - state.request.received_at,
            cost=selection.cost,
            in_flight=selection.in_flight,
            slowness=selection.latency_ratio,
            failing=selection.failure_rate,
            late=selection.late_rate,
            candidates=selection.candidates,
            budget=fleet.budget(shard.service).remaining(at),
        )
    )
    return Send(attempt)


def hedge(
    state: RequestState, number: int, shard: ShardProgress, at: float
) -> tuple[Any, ...]:
    """Send a hedge for a late attempt of a shard, unless a limit forbids it."""
    shard.hedge_at = None
    if not shard.open or len(shard.outstanding) > 1:
        return ()
    fleet = state.context.fleet
    reason = None
    selection = select(state, shard, at)
    if selection is None:
        reason = "no other backend server"
    elif is_busy(state, selection, at) and not is_hanging(state, shard, at):
        # Hedges must not lengthen the queues of an overloaded service.
        reason = "the other backend servers are busy"
    elif at + MIN_ATTEMPT_S >= state.deadline_at:
        reason = "no time left"
    elif state.context.overloaded():
        # The attempt may be late only because this process is slow.
        reason = "this instance lacks processor time"
    elif not fleet.budget(shard.service).try_spend(at, hedge=True):
        reason = "no budget"
    if reason is None:
        return (send(state, number, selection, at, AttemptPurpose.HEDGE),)
    record_withheld(state, shard, AttemptPurpose.HEDGE, reason, at)
    route = fleet.route(state.route.name, state.route.objective_s)
    shard.hedge_at = at + HEDGE_RECHECK_FRACTION * route.hedge_delay_s
    return ()


def is_busy(state: RequestState, selection: Selection, at: float) -> bool:
    """Return whether one more attempt would be queued."""
    health = state.context.fleet.server(selection.server.id)
    return health.current_load(at) >= max(1, selection.server.slots)


def is_hanging(state: RequestState, shard: ShardProgress, at: float) -> bool:
    """Return whether an attempt is so late that its backend server probably hangs."""
    route = state.context.fleet.route(state.route.name, state.route.objective_s)
    oldest = min(state.sent_at[attempt_id] for attempt_id in shard.outstanding)
    return at - oldest >= HANGING_FACTOR * route.hedge_delay_s


def retry(
    state: RequestState, shard: ShardProgress, at: float, safe_to_retry: bool
) -> tuple[Any, ...]:
    """Retry on another backend server after a failure, unless a limit forbids it."""
    if shard.outstanding or shard.result is not None or not safe_to_retry:
        return ()
    if shard.attempts >= state.route.max_attempts:
        return ()
    fleet = state.context.fleet
    reason = None
    selection = select(state, shard, at)
    if selection is None:
        reason = "no other backend server"
        record_unmet_demand(state, (shard,), at)
    elif at + MIN_ATTEMPT_S >= state.deadline_at:
        reason = "no time left"
    elif shard.attempts and not fleet.budget(shard.service).try_spend(at, hedge=False):
        reason = "no budget"
    if reason is not None:
        record_withheld(state, shard, AttemptPurpose.RETRY, reason, at)
        return ()
    number = state.shards.index(shard)
    return (send(state, number, selection, at, AttemptPurpose.RETRY),)


def record_withheld(
    state: RequestState,
    shard: ShardProgress,
    purpose: AttemptPurpose,
    reason: str,
    at: float,
) -> None:
    """Add a log event for a hedge or retry that is not sent."""
    budget = state.context.fleet.budget(shard.service).remaining(at)
    state.trace.append(
        ExtraAttemptWithheld(
            state.request.id, purpose.value, shard.service, reason, budget
        )
    )
