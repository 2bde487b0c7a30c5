"""Refusals: which requests are refused, and when their callers may return."""

from __future__ import annotations

import math

from .state import RequestState, ShardProgress, required_shards

# Shortest delay before a retry of callers that found the service full or unavailable.
MIN_RETRY_AFTER_S = 0.2
# Multiple of the time that most requests of a route take, within which nearly all end.
DURATION_FACTOR = 2.0
# Callers that are refused at the same moment return spread over this fraction of their
# delay.
RETRY_SPREAD_FRACTION = 0.25


def outlasts_instance(state: RequestState, at: float) -> bool:
    """Return whether a request may still be in flight when this instance exits.

    A request that may run only once is sent only if it has all of its time left: once
    it is cut off, nobody knows whether it ran. Others need the time that most take.
    """
    remaining_s = state.context.exit_at() - at
    if not math.isfinite(remaining_s):
        return False
    if not state.route.idempotent:
        return remaining_s < state.deadline_at - at
    health = state.context.fleet.route(state.route.name, state.route.objective_s)
    usual_s = health.estimate.high or state.route.objective_s
    return remaining_s < min(state.deadline_at - at, DURATION_FACTOR * usual_s)


def retry_after_s(state: RequestState, at: float) -> float:
    """Return the delay after which a refused request may find enough servers."""
    delay_s = max(MIN_RETRY_AFTER_S, servable_at(state, at) - at)
    rng = state.context.selection_context.rng
    return delay_s * (1 + RETRY_SPREAD_FRACTION * rng.random())


def servable_at(state: RequestState, at: float) -> float:
    """Return when enough shards have a server that takes requests, `at` if unknown."""
    times = sorted(shard_available_at(state, shard, at) for shard in state.shards)
    servable = times[required_shards(state) - 1]
    return servable if math.isfinite(servable) else at


def shard_available_at(state: RequestState, shard: ShardProgress, at: float) -> float:
    """Return when the first server of a shard takes a request, infinity if none."""
    context = state.context
    times = (
        context.availability.available_at(server, at)
        for server in context.servers_of(shard.service)
    )
    return min((time for time in times if time is not None), default=math.inf)


def record_unmet_demand(
    state: RequestState, shards: tuple[ShardProgress, ...], at: float
) -> None:
    """Record that a request was not sent to the servers of some shards."""
    context = state.context
    for shard in shards:
        servers = context.servers_of(shard.service)
        context.availability.record_unmet_demand(servers, at)
