"""Fan-out decisions of one search: canaries, hedges, retries and the deadline."""

from __future__ import annotations

import enum
from functools import singledispatch
from typing import Any

from fireflyrack.configuration import BelowMinimum
from fireflyrack.core import EMPTY, Decision, ShardSet

from .coverage import coverage_of
from .errors import Cause, FailureKind
from .hedging import hedge_delay
from .merge import best_hits
from .observations import (
    LATE_FACTOR,
    ReplyReceived,
    RequestAbandoned,
    RequestFailed,
    RequestRefused,
    RequestSent,
    SnapshotMissing,
    observe,
    overloaded,
)
from .replicas import Candidate, choose_replicas, split_candidates
from .subrequests import (
    CanaryTimerFired,
    CancelSubRequests,
    CandidateChanged,
    DeadlineReached,
    FanoutState,
    Finish,
    HedgeTimerFired,
    QueryStarted,
    ReplyArrived,
    RetryTimerFired,
    SendSubRequests,
    StartTimer,
    SubRequest,
    SubRequestFailed,
)

# A search during which this many backend servers crashed may have caused the crashes,
# so it is not sent to any others.
MAX_CRASHED_SERVERS = 2
# Hits are merged once this multiple of the limit has accumulated. Merging after each
# reply took most of the time of a large fan-out.
MERGE_FACTOR = 64
# Failures that are certain and not caused by load. Their retries may use the failure
# allowance of the service.
DEFINITE_FAILURES = frozenset(
    {
        FailureKind.DRAINING,
        FailureKind.OWNER_LOST,
        FailureKind.UNREACHABLE,
        FailureKind.BROKEN,
        FailureKind.WRONG_SNAPSHOT,
    }
)
# Canary failures that may mean that the search crashes backend servers: a crash, a
# server unreachable because the same search from another instance crashed it, or a
# refusal because other instances suspect the search.
POSSIBLE_CRASHES = frozenset(
    {FailureKind.BROKEN, FailureKind.UNREACHABLE, FailureKind.TIMED_OUT}
)


# Failure kinds of failures that are reported with a cause only.
DEFAULT_FAILURE_KINDS = {
    Cause.DEADLINE: FailureKind.TIMED_OUT,
    Cause.REFUSED: FailureKind.SHED,
    Cause.FAILED: FailureKind.UNREACHABLE,
    Cause.NO_REPLICA: FailureKind.UNREACHABLE,
    Cause.WRONG_SNAPSHOT: FailureKind.WRONG_SNAPSHOT,
}


class Purpose(enum.Enum):
    """Reason for sending a sub-request; decides which budget is charged."""

    FIRST = "first"
    HEDGE = "hedge"
    # Hedge of a late sub-request; may use the reserve of the budget.
    LATE_HEDGE = "late_hedge"
    RETRY = "retry"
    # Retry after a definite failure; may use the failure allowance.
    REPLACEMENT = "replacement"


HEDGE_PURPOSES = frozenset({Purpose.HEDGE, Purpose.LATE_HEDGE})


@singledispatch
def decide(event: object, state: FanoutState) -> Decision[FanoutState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: QueryStarted, state: FanoutState) -> Decision[FanoutState]:
    state.deferred = state.query.partition.all_shards()
    actions = send_canary(state, event.at) or send_deferred(state, event.at)
    return Decision(state, actions) if actions else wait_or_finish(state, event.at)


@decide.register
def _(event: ReplyArrived, state: FanoutState) -> Decision[FanoutState]:
    sub_request = state.outstanding.pop(event.sub_request, None)
    if sub_request is None or state.finished:
        # A duplicate, or too late: another replica replied or the search finished.
        state.counts.dropped_replies += 1
        return Decision(state)
    deferred_actions = send_deferred(state, event.at)
    decision = handle_reply(state, sub_request, event)
    return Decision(state, (*deferred_actions, *decision.actions))


def handle_reply(
    state: FanoutState, sub_request: SubRequest, event: ReplyArrived
) -> Decision[FanoutState]:
    """Record the reply to a sub-request and retry shards missing from it."""
    server = sub_request.backend_server
    if event.snapshot != state.query.snapshot:
        state.counts.dropped_replies += 1
        observe(SnapshotMissing(event.at, server, state.query.snapshot), state.service)
        return retry_elsewhere(
            state,
            sub_request.shards,
            Cause.WRONG_SNAPSHOT,
            FailureKind.WRONG_SNAPSHOT,
            event.at,
        )
    searched = event.searched & sub_request.shards
    if searched:
        latency_s = event.at - state.sent_at[sub_request.id]
        observe(ReplyReceived(event.at, server, latency_s), state.service)
    else:
        observe(RequestFailed(event.at, server), state.service)
    # Count the hits of a shard once even if two replicas searched it.
    newly_covered = searched - state.covered
    state.covered |= searched
    if newly_covered:
        state.answered.append((server, newly_covered))
    state.hits.extend(hit for hit in event.hits if hit.shard in newly_covered)
    if len(state.hits) > MERGE_FACTOR * state.query.limit:
        state.hits = list(best_hits(state.hits, state.query.limit))
    cancelled = cancel_redundant(state, newly_covered, event.at)
    decision = retry_elsewhere(
        state,
        sub_request.shards - searched,
        Cause.FAILED,
        FailureKind.UNREACHABLE,
        event.at,
    )
    return Decision(state, (*cancelled, *decision.actions))


@decide.register
def _(event: SubRequestFailed, state: FanoutState) -> Decision[FanoutState]:
    sub_request = state.outstanding.pop(event.sub_request, None)
    if sub_request is None or state.finished:
        return Decision(state)
    server = sub_request.backend_server
    kind = event.kind or DEFAULT_FAILURE_KINDS[event.cause]
    state.counts.refused += event.cause is Cause.REFUSED
    state.counts.failed += event.cause is not Cause.REFUSED
    if kind in (FailureKind.UNREACHABLE, FailureKind.BROKEN):
        observe(RequestFailed(event.at, server), state.service)
    else:
        observe(RequestRefused(event.at, server, kind), state.service)
    if kind is FailureKind.BROKEN:
        state.crashed.add(server)
    if sub_request.id == state.canary and (kind in POSSIBLE_CRASHES or state.crashed):
        return retry_canary(state, sub_request, event.at)
    deferred_actions = send_deferred(state, event.at)
    decision = retry_elsewhere(state, sub_request.shards, event.cause, kind, event.at)
    return Decision(state, (*deferred_actions, *decision.actions))


@decide.register
def _(event: CandidateChanged, state: FanoutState) -> Decision[FanoutState]:
    changed = event.candidate
    others = tuple(
        candidate
        for candidate in state.candidates
        if candidate.backend_server != changed.backend_server
    )
    state.candidates = (*others, changed)
    return Decision(state)


@decide.register
def _(event: HedgeTimerFired, state: FanoutState) -> Decision[FanoutState]:
    if state.finished or not state.outstanding:
        return Decision(state)
    missing = in_flight(state) - state.covered
    late = late_shards(state, event.at) & missing
    sub_requests = (
        *assign(state, late, event.at, Purpose.LATE_HEDGE),
        *assign(state, missing - late, event.at, Purpose.HEDGE),
    )
    timer = hedge_timer(state, event.at)
    if not sub_requests:
        return Decision(state, timer)
    return Decision(state, (SendSubRequests(sub_requests), *timer))


@decide.register
def _(event: CanaryTimerFired, state: FanoutState) -> Decision[FanoutState]:
    # After a crash, only a completed run shows that the search is harmless.
    if state.finished or state.canary is None or state.crashed:
        return Decision(state)
    return Decision(state, send_deferred(state, event.at))


@decide.register
def _(event: RetryTimerFired, state: FanoutState) -> Decision[FanoutState]:
    state.retry_scheduled = False
    if state.finished or state.outstanding:
        return Decision(state)
    missing = state.query.partition.all_shards() - state.covered
    # Start a new round, since replicas that failed may have recovered.
    state.tried = {name: tried - missing for name, tried in state.tried.items()}
    state.tried_twice -= missing
    refused = ShardSet.of(s for s in missing if state.causes.get(s) is Cause.REFUSED)
    sub_requests = (
        *assign(state, missing - refused, event.at, Purpose.REPLACEMENT),
        *assign(state, refused, event.at, Purpose.RETRY),
    )
    if not sub_requests:
        return wait_or_finish(state, event.at)
    return Decision(state, (SendSubRequests(sub_requests),))


@decide.register
def _(event: DeadlineReached, state: FanoutState) -> Decision[FanoutState]:
    if state.finished:
        return Decision(state)
    for sub_request in state.outstanding.values():
        for shard in sub_request.shards - state.covered:
            state.causes[shard] = Cause.DEADLINE
    for shard in state.deferred:
        state.causes[shard] = Cause.DEADLINE
    return finish(state, event.at, timed_out=True)


def send_canary(state: FanoutState, at: float) -> tuple[Any, ...]:
    """Return actions that send the search to the next canary; none without one."""
    by_name = {candidate.backend_server: candidate for candidate in state.candidates}
    for name in state.query.canaries:
        if name in state.tried or name not in by_name:
            continue
        shards = by_name[name].shards & state.deferred
        if not shards:
            continue
        charge_budget(state, at, Purpose.FIRST)
        sub_request = create_sub_request(state, name, shards, at, extra=False)
        state.canary = sub_request.id
        state.deferred -= shards
        timer = CanaryTimerFired(at + state.service.settings.canary_wait_s)
        return (SendSubRequests((sub_request,)), StartTimer(timer))
    return ()


def retry_canary(
    state: FanoutState, failed: SubRequest, at: float
) -> Decision[FanoutState]:
    """Send the search to another canary; finish without one or after two crashes."""
    state.deferred |= failed.shards
    if len(state.crashed) < MAX_CRASHED_SERVERS and (actions := send_canary(state, at)):
        return Decision(state, actions)
    for shard in state.deferred:
        state.causes[shard] = Cause.FAILED
    return finish(state, at)


def send_deferred(state: FanoutState, at: float) -> tuple[Any, ...]:
    """Return actions that send the shards deferred until the canary replied."""
    state.canary = None
    deferred, state.deferred = state.deferred, EMPTY
    sub_requests = assign(state, deferred, at, Purpose.FIRST) if deferred else ()
    if not sub_requests:
        return ()
    return (SendSubRequests(sub_requests), *hedge_timer(state, at))


def assign(
    state: FanoutState, shards: ShardSet, at: float, purpose: Purpose
) -> tuple[SubRequest, ...]:
    """Create the sub-requests that search the shards on replicas not yet tried."""
    extra = purpose is not Purpose.FIRST
    if extra:
        shards -= state.tried_twice
        if not shards or len(state.crashed) >= MAX_CRASHED_SERVERS:
            return ()
    candidates = [
        exclude_tried(state, candidate)
        for candidate in state.candidates
        if candidate.shards.bits & shards.bits
    ]
    ordinary, last_resort = split_candidates(
        state.service, candidates, state.query.snapshot, at, state.rng, extra
    )
    chosen = dict(choose_replicas(shards, ordinary, state.rng))
    if last_resort and purpose not in HEDGE_PURPOSES:
        unassigned = shards
        for assigned in chosen.values():
            unassigned -= assigned
        # Coverage matters more than the risk that a last resort fails again.
        chosen |= choose_replicas(unassigned, last_resort, state.rng)
    if not chosen:
        return ()
    if extra and overloaded(state.service, at):
        state.counts.withheld += len(chosen)
        return ()
    sub_requests = []
    for backend_server, assigned in chosen.items():
        if not charge_budget(state, at, purpose):
            state.counts.withheld += 1
            continue
        sub_requests.append(
            create_sub_request(state, backend_server, assigned, at, extra)
        )
    return tuple(sub_requests)


def exclude_tried(state: FanoutState, candidate: Candidate) -> Candidate:
    """Return a candidate without the shards already sent to it in this round."""
    tried = state.tried.get(candidate.backend_server)
    if not tried:
        return candidate
    return Candidate(candidate.backend_server, candidate.shards - tried)


def charge_budget(state: FanoutState, at: float, purpose: Purpose) -> bool:
    """Charge one sub-request to the budgets; return whether it may be sent."""
    budget = state.service.budget
    match purpose:
        case Purpose.FIRST:
            budget.earn(1)
            return True
        case Purpose.HEDGE:
            charged = budget.try_spend(budget.settings.budget_reserve)
            state.counts.hedges += charged
        case Purpose.LATE_HEDGE:
            charged = budget.try_spend()
            state.counts.hedges += charged
        case Purpose.RETRY:
            charged = budget.try_spend()
            state.counts.retries += charged
        case Purpose.REPLACEMENT:
            charged = budget.try_spend() or state.service.allowance.try_spend(at)
            state.counts.retries += charged
    return charged


def create_sub_request(
    state: FanoutState, backend_server: str, shards: ShardSet, at: float, extra: bool
) -> SubRequest:
    """Create a sub-request and record it in the state."""
    state.counts.sub_requests += 1
    sub_request = SubRequest(state.counts.sub_requests, backend_server, shards)
    state.outstanding[sub_request.id] = sub_request
    state.sent_at[sub_request.id] = at
    state.tried[backend_server] = state.tried.get(backend_server, EMPTY) | shards
    if extra:
        # A shard is sent to at most one more replica after the first.
        state.tried_twice |= shards
    observe(RequestSent(at, backend_server), state.service)
    return sub_request


def in_flight(state: FanoutState) -> ShardSet:
    """Return the shards of all outstanding sub-requests."""
    shards = EMPTY
    for sub_request in state.outstanding.values():
        shards |= sub_request.shards
    return shards


def late_shards(state: FanoutState, at: float) -> ShardSet:
    """Return the shards in flight for over LATE_FACTOR times the hedge percentile."""
    high = state.service.latency.high
    shards = EMPTY
    if high is None:
        return shards
    for sub_request in state.outstanding.values():
        if at - state.sent_at[sub_request.id] > LATE_FACTOR * high:
            shards |= sub_request.shards
    return shards


def hedge_timer(state: FanoutState, at: float) -> tuple[StartTimer, ...]:
    """Return the timer of the next hedge, or none if none may be sent in time."""
    delay_s = hedge_delay(state.service.latency, state.service.budget)
    if not state.query.policy.hedge or delay_s is None:
        return ()
    if at + delay_s >= state.query.deadline_at:
        return ()
    return (StartTimer(HedgeTimerFired(at + delay_s)),)


def retry_elsewhere(
    state: FanoutState, shards: ShardSet, cause: Cause, kind: FailureKind, at: float
) -> Decision[FanoutState]:
    """Send unanswered shards to other replicas, or wait or finish."""
    missing = shards - state.covered
    for shard in missing:
        state.causes[shard] = cause
    if missing:
        missing -= in_flight(state)
    if missing and kind is not FailureKind.TIMED_OUT:
        purpose = Purpose.REPLACEMENT if kind in DEFINITE_FAILURES else Purpose.RETRY
        if sub_requests := assign(state, missing, at, purpose):
            return Decision(state, (SendSubRequests(sub_requests),))
    return wait_or_finish(state, at)


def wait_or_finish(state: FanoutState, at: float) -> Decision[FanoutState]:
    """Wait for outstanding replies or schedule a retry; finish otherwise."""
    total = state.query.partition.all_shards()
    if state.covered == total:
        return finish(state, at)
    if state.outstanding or state.retry_scheduled:
        return Decision(state)
    policy = state.query.policy
    sufficient = len(state.covered) >= policy.minimum_coverage * len(total)
    if (
        sufficient
        or policy.below_minimum is BelowMinimum.ANSWER
        or len(state.crashed) >= MAX_CRASHED_SERVERS
    ):
        return finish(state, at)
    settings = state.service.settings
    state.retry_delay_s = min(
        max(settings.wait_retry_s, 2 * state.retry_delay_s), settings.wait_retry_max_s
    )
    # Without time for another retry, the search ends at its deadline.
    state.retry_scheduled = True
    retry_at = at + state.retry_delay_s
    if retry_at >= state.query.deadline_at:
        return Decision(state)
    return Decision(state, (StartTimer(RetryTimerFired(retry_at)),))


def cancel_redundant(
    state: FanoutState, newly_covered: ShardSet, at: float
) -> tuple[CancelSubRequests, ...]:
    """Cancel sub-requests whose shards other replicas have answered."""
    # Only shards sent to two replicas can make a sub-request redundant.
    if state.finished or not newly_covered & state.tried_twice:
        return ()
    redundant = tuple(
        s for s in state.outstanding.values() if s.shards <= state.covered
    )
    for sub_request in redundant:
        del state.outstanding[sub_request.id]
    record_abandoned(state, redundant, at, timed_out=False)
    return (CancelSubRequests(redundant),) if redundant else ()


def record_abandoned(
    state: FanoutState, sub_requests: tuple[SubRequest, ...], at: float, timed_out: bool
) -> None:
    """Count cancelled sub-requests and record how long each was awaited."""
    state.counts.cancelled += len(sub_requests)
    for sub_request in sub_requests:
        waited_s = at - state.sent_at[sub_request.id]
        event = RequestAbandoned(at, sub_request.backend_server, waited_s, timed_out)
        observe(event, state.service)


def finish(
    state: FanoutState, at: float, timed_out: bool = False
) -> Decision[FanoutState]:
    """Build the answer and cancel outstanding sub-requests."""
    state.finished = True
    abandoned = tuple(state.outstanding.values())
    state.outstanding.clear()
    record_abandoned(state, abandoned, at, timed_out)
    coverage = coverage_of(
        state.query.partition.all_shards(), state.covered, state.causes
    )
    ejected = tuple(sorted(state.service.ejected))
    answer = Finish(
        best_hits(state.hits, state.query.limit),
        coverage,
        state.counts,
        tuple(state.answered),
        ejected,
    )
    if abandoned:
        return Decision(state, (CancelSubRequests(abandoned), answer))
    return Decision(state, (answer,))
