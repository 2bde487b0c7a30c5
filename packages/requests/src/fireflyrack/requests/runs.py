"""Runs at the owner of a backend server: each attempt is sent at most once.

A result is kept for `owner_keep_s`, so that an issuer whose link broke can query it.
A query for an attempt that has not been sent cancels the attempt permanently.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import singledispatch

from fireflyrack.core import Decision

from .results import AttemptOutcomeUnknown, AttemptResult, NotSent, UnknownCause
from .settings import RequestSettings

# Issuers for which the highest dropped sequence is kept.
MAX_ISSUERS = 4096


@dataclass(frozen=True, slots=True)
class RunId:
    """Identifier of an attempt across all issuers."""

    issuer: str
    sequence: int


class RunPhase(enum.Enum):
    """Phase of a run."""

    WAITING = "waiting"
    SENT = "sent"
    ENDED = "ended"


@dataclass(slots=True)
class Run:
    """Attempt at its owner, with the calls that wait for its result."""

    id: RunId
    backend_server: str
    deadline_at: float
    alone: bool
    phase: RunPhase = RunPhase.WAITING
    result: AttemptResult | None = None
    ended_at: float = 0.0
    calls: list[int] = field(default_factory=list)


@dataclass(slots=True)
class OwnerState:
    """Recent runs of one owner; updated in place."""

    incarnation: str
    settings: RequestSettings
    closed: bool = False
    runs: dict[RunId, Run] = field(default_factory=dict)
    # Highest dropped sequence by issuer, least recently changed first.
    highest_dropped: dict[str, int] = field(default_factory=dict)
    issuers_evicted: bool = False
    sent: dict[str, set[RunId]] = field(default_factory=dict)
    waiting: dict[str, dict[RunId, Run]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RunReceived:
    """An attempt arrived for a backend server that this instance owns."""

    at: float
    call: int
    id: RunId
    # Incarnation of the owner that the issuer addressed.
    owner: str
    backend_server: str
    deadline_at: float
    # A suspected request runs with nothing else on its backend server.
    alone: bool = False
    refusal: str = ""


@dataclass(frozen=True, slots=True)
class ResultRequested:
    """An issuer queried the result of an attempt."""

    at: float
    call: int
    id: RunId
    owner: str


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run that was sent returned a result."""

    at: float
    id: RunId
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class RunSweepTimerFired:
    """The timer for dropping old results and failing late runs fired."""

    at: float


@dataclass(frozen=True, slots=True)
class OwnerStopping:
    """This instance is stopping and accepts no more runs."""

    at: float


@dataclass(frozen=True, slots=True)
class SendRun:
    """Send an attempt to its backend server."""

    id: RunId
    backend_server: str


@dataclass(frozen=True, slots=True)
class ReturnResult:
    """Return the result of an attempt to a call of its issuer."""

    call: int
    result: AttemptResult


@singledispatch
def decide(event: object, state: OwnerState) -> Decision[OwnerState]:
    """Apply one event; return the new state and the actions that follow."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: RunReceived, state: OwnerState) -> Decision[OwnerState]:
    if event.owner != state.incarnation:
        # A link delivers a message at most once, so no other incarnation got it.
        return return_result(state, event.call, NotSent("owner_restarted"))
    if run := state.runs.get(event.id):
        return return_or_wait(state, run, event.call)
    if may_have_been_dropped(state, event.id):
        unknown = AttemptOutcomeUnknown(UnknownCause.OWNER_UNREACHABLE, final=True)
        return return_result(state, event.call, unknown)
    if len(state.runs) >= state.settings.max_owner_runs:
        # A duplicate of this message must not run after this refusal.
        record_dropped(state, event.id)
        return return_result(state, event.call, NotSent("owner_full"))
    run = Run(event.id, event.backend_server, event.deadline_at, event.alone)
    state.runs[run.id] = run
    run.calls.append(event.call)
    refusal = "owner_stopping" if state.closed else event.refusal
    if refusal:
        return Decision(state, finish_run(state, run, NotSent(refusal), event.at))
    state.waiting.setdefault(run.backend_server, {})[run.id] = run
    return Decision(state, send_waiting(state, run.backend_server, event.at))


@decide.register
def _(event: ResultRequested, state: OwnerState) -> Decision[OwnerState]:
    if event.owner != state.incarnation:
        unknown = AttemptOutcomeUnknown(UnknownCause.OWNER_RESTARTED, final=True)
        return return_result(state, event.call, unknown)
    run = state.runs.get(event.id)
    if run is None:
        if may_have_been_dropped(state, event.id):
            unknown = AttemptOutcomeUnknown(UnknownCause.OWNER_UNREACHABLE, final=True)
            return return_result(state, event.call, unknown)
        run = state.runs[event.id] = Run(event.id, "", 0.0, alone=False)
    if run.phase is RunPhase.WAITING:
        run.calls.append(event.call)
        return Decision(state, finish_run(state, run, NotSent("cancelled"), event.at))
    return return_or_wait(state, run, event.call)


@decide.register
def _(event: RunEnded, state: OwnerState) -> Decision[OwnerState]:
    run = state.runs.get(event.id)
    if run is None or run.phase is not RunPhase.SENT:
        return Decision(state)
    actions = finish_run(state, run, event.result, event.at)
    return Decision(
        state, (*actions, *send_waiting(state, run.backend_server, event.at))
    )


@decide.register
def _(event: OwnerStopping, state: OwnerState) -> Decision[OwnerState]:
    state.closed = True
    waiting = [run for runs in state.waiting.values() for run in runs.values()]
    refused = NotSent("owner_stopping")
    actions = [a for run in waiting for a in finish_run(state, run, refused, event.at)]
    return Decision(state, tuple(actions))


@decide.register
def _(event: RunSweepTimerFired, state: OwnerState) -> Decision[OwnerState]:
    actions: list[ReturnResult | SendRun] = []
    for backend_server in tuple(state.waiting):
        actions.extend(send_waiting(state, backend_server, event.at))
    before = event.at - state.settings.owner_keep_s
    for run in [r for r in state.runs.values() if r.phase is RunPhase.ENDED]:
        if run.ended_at <= before:
            record_dropped(state, run.id)
            del state.runs[run.id]
    return Decision(state, tuple(actions))


def send_waiting(
    state: OwnerState, backend_server: str, at: float
) -> tuple[ReturnResult | SendRun, ...]:
    """Send the runs that wait for a backend server, in order; suspects run alone."""
    actions: list[ReturnResult | SendRun] = []
    waiting = state.waiting.get(backend_server, {})
    for run in tuple(waiting.values()):
        if run.deadline_at <= at:
            actions.extend(finish_run(state, run, NotSent("deadline"), at))
            continue
        sent = state.sent.setdefault(backend_server, set())
        if sent and (run.alone or any(state.runs[run_id].alone for run_id in sent)):
            break
        del waiting[run.id]
        run.phase = RunPhase.SENT
        sent.add(run.id)
        actions.append(SendRun(run.id, backend_server))
    if not waiting:
        state.waiting.pop(backend_server, None)
    return tuple(actions)


def finish_run(
    state: OwnerState, run: Run, result: AttemptResult, at: float
) -> tuple[ReturnResult, ...]:
    """Store the result of a run and return it to the waiting calls."""
    if waiting := state.waiting.get(run.backend_server):
        waiting.pop(run.id, None)
    if sent := state.sent.get(run.backend_server):
        sent.discard(run.id)
        if not sent:
            del state.sent[run.backend_server]
    run.phase = RunPhase.ENDED
    run.result = result
    run.ended_at = at
    calls, run.calls = run.calls, []
    return tuple(ReturnResult(call, result) for call in calls)


def return_result(
    state: OwnerState, call: int, result: AttemptResult
) -> Decision[OwnerState]:
    """Return the decision that gives a result to one call."""
    return Decision(state, (ReturnResult(call, result),))


def return_or_wait(state: OwnerState, run: Run, call: int) -> Decision[OwnerState]:
    """Return the result of a run, or add the call to the waiting ones."""
    if run.result is None:
        run.calls.append(call)
        return Decision(state)
    return return_result(state, call, run.result)


def may_have_been_dropped(state: OwnerState, run: RunId) -> bool:
    """Return whether a run may have been received and dropped earlier."""
    highest = state.highest_dropped.get(run.issuer)
    return state.issuers_evicted if highest is None else run.sequence <= highest


def record_dropped(state: OwnerState, run: RunId) -> None:
    """Record that runs of an issuer up to this one may have been dropped."""
    highest = max(state.highest_dropped.pop(run.issuer, 0), run.sequence)
    state.highest_dropped[run.issuer] = highest
    if len(state.highest_dropped) > MAX_ISSUERS:
        del state.highest_dropped[next(iter(state.highest_dropped))]
        state.issuers_evicted = True
