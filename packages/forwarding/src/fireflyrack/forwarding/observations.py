"""Health and crash observations from the end of an attempt."""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch
from typing import Any

from fireflyrack.availability import NoticeReceived

from .attempts import (
    Attempt,
    AttemptOutcome,
    Completed,
    Interrupted,
    NotConnected,
    Refusal,
    Refused,
)
from .health import Observation, observe, record_abandoned
from .log_events import AttemptFinished
from .state import ProbeServer, RecordNotice, RequestState
from .suspects import AttemptTimes


@singledispatch
def record_notice(
    outcome: AttemptOutcome, state: RequestState, attempt: Attempt, at: float
) -> tuple[RecordNotice, ...]:
    """Return the action that applies the notice of a response, if one is due."""
    return ()


@record_notice.register(Completed)
@record_notice.register(Refused)
def _(
    outcome: Completed | Refused, state: RequestState, attempt: Attempt, at: float
) -> tuple[RecordNotice, ...]:
    if isinstance(outcome, Refused) and outcome.reason is Refusal.REPLACED:
        # Another server now uses the address; its response says nothing about this one.
        return ()
    accepted = isinstance(outcome, Completed)
    event = NoticeReceived(at, attempt.server, outcome.notice, accepted)
    return (RecordNotice(event),) if state.context.availability.concerns(event) else ()


@singledispatch
def record_crash_evidence(
    outcome: AttemptOutcome, state: RequestState, attempt: Attempt, at: float
) -> tuple[Any, ...]:
    """Record evidence on whether a request crashes backend servers.

    Return the actions that follow.
    """
    return ()


@record_crash_evidence.register
def _(
    outcome: Completed, state: RequestState, attempt: Attempt, at: float
) -> tuple[Any, ...]:
    if outcome.succeeded:
        state.context.crashes.record_completed(state.request, at)
    return ()


@record_crash_evidence.register
def _(
    outcome: Interrupted, state: RequestState, attempt: Attempt, at: float
) -> tuple[Any, ...]:
    server = attempt.server
    crashes = state.context.crashes
    servers_to_probe = crashes.record_interrupted(
        state.request,
        server.id,
        server.incarnation,
        AttemptTimes(state.sent_at[attempt.id], at),
    )
    known = state.context.servers_of(server.service)
    return tuple(
        ProbeServer(s) for s in known if (s.id, s.incarnation) in servers_to_probe
    )


@record_crash_evidence.register
def _(
    outcome: NotConnected, state: RequestState, attempt: Attempt, at: float
) -> tuple[Any, ...]:
    server = attempt.server
    state.context.crashes.record_unavailable(server.id, server.incarnation, at)
    state.context.availability.record_not_sent(server, at)
    return ()


def observation_of(state: RequestState, attempt: Attempt, at: float) -> Observation:
    """Return the latency of an attempt with the thresholds of its route."""
    route = state.context.fleet.route(state.route.name, state.route.objective_s)
    latency_s = at - state.sent_at[attempt.id]
    return Observation(at, latency_s, route.typical_s, route.hedge_delay_s)


def observe_attempt(
    state: RequestState, attempt: Attempt, outcome: AttemptOutcome, at: float
) -> None:
    """Update server health and route latency with an ended attempt."""
    fleet = state.context.fleet
    health = fleet.server(attempt.server.id)
    health.end((id(state), attempt.id))
    observation = observation_of(state, attempt, at)
    overloaded = state.context.overloaded()
    if overloaded and isinstance(outcome, Completed) and outcome.succeeded:
        # The latency includes delays of this process, so it is not attributed to the
        # server.
        observation = replace(observation, latency_s=observation.typical_s)
    observe(outcome, health, observation)
    fleet.mark_for_report(attempt.server.id, at)
    if isinstance(outcome, Completed) and outcome.succeeded and not overloaded:
        route = fleet.route(state.route.name, state.route.objective_s)
        route.estimate.record(observation.latency_s)


def observe_abandoned(state: RequestState, attempt: Attempt, at: float) -> None:
    """Update server health with an attempt that is cancelled."""
    fleet = state.context.fleet
    health = fleet.server(attempt.server.id)
    health.end((id(state), attempt.id))
    if state.context.overloaded():
        # The attempt may have been late only because of delays of this process.
        return
    record_abandoned(health, observation_of(state, attempt, at))
    fleet.mark_for_report(attempt.server.id, at)


def log_attempt_end(
    state: RequestState, attempt: Attempt, outcome: AttemptOutcome, latency_s: float
) -> None:
    """Add a log event for the outcome of an attempt."""
    state.trace.append(
        AttemptFinished(
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
    """Return the details of an outcome for the log."""
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
