"""Guard against false coverage, mixed snapshots and searches that never finish."""

from __future__ import annotations

import random

from fireflyrack.configuration import BelowMinimum, Partition, Placement, Policy
from fireflyrack.core import ShardSet
from fireflyrack.search import (
    Candidate,
    CandidateChanged,
    Cause,
    DeadlineReached,
    FailureKind,
    FanoutState,
    Finish,
    HedgeTimerFired,
    Hit,
    Query,
    QueryStarted,
    ReplyArrived,
    SendSubRequests,
    ServiceState,
    Snapshot,
    SubRequestFailed,
    decide,
)

SNAPSHOT = Snapshot(1, 7)
PARTITION = Partition(1, 4, (Placement(ShardSet.span(0, 4), ("b0", "b1")),))


def start(candidates):
    query = Query("q", "docs", "text", 3, SNAPSHOT, PARTITION, deadline_at=1.0)
    state = FanoutState(query, tuple(candidates), random.Random(1))
    return state, decide(QueryStarted(0.0), state).actions


def reply(sub_request, snapshot=SNAPSHOT, searched=None, hits=()):
    searched = sub_request.shards if searched is None else searched
    return ReplyArrived(0.1, sub_request.id, snapshot, searched, hits)


def test_a_reply_from_another_snapshot_is_dropped_and_retried_elsewhere():
    """Guards against answers that mix hits of two snapshots."""
    state, (send,) = start(
        [Candidate("b0", ShardSet.span(0, 4)), Candidate("b1", ShardSet.span(0, 4))]
    )
    (first,) = send.sub_requests
    (retry,) = decide(reply(first, Snapshot(1, 8)), state).actions
    assert isinstance(retry, SendSubRequests)
    (second,) = retry.sub_requests
    assert second.backend_server != first.backend_server
    (finish,) = decide(reply(second, Snapshot(1, 8)), state).actions
    assert finish.coverage.lacking == {Cause.WRONG_SNAPSHOT: ShardSet.span(0, 4)}


def test_a_duplicate_reply_changes_nothing():
    """Guards against a second answer or duplicate hits after a repeated reply."""
    state, (send,) = start([Candidate("b0", ShardSet.span(0, 4))])
    (sub_request,) = send.sub_requests
    hits = (Hit("a", 1.0, 0),)
    (finish,) = decide(reply(sub_request, hits=hits), state).actions
    assert isinstance(finish, Finish)
    assert decide(reply(sub_request, hits=hits), state).actions == ()
    assert finish.hits == hits


def test_the_deadline_ends_the_search_with_true_coverage():
    """Guards against answers after the deadline and against false coverage."""
    state, (send,) = start(
        [Candidate("b0", ShardSet.span(0, 2)), Candidate("b1", ShardSet.span(2, 4))]
    )
    first, second = send.sub_requests
    decide(reply(first), state)
    cancel, finish = decide(DeadlineReached(1.0), state).actions
    assert cancel.sub_requests == (second,)
    assert finish.coverage.covered == first.shards
    assert finish.coverage.lacking == {Cause.DEADLINE: second.shards}


def test_shards_without_replica_are_reported_missing_at_once():
    """Guards against waiting for shards that no backend server holds."""
    state, (finish,) = start([])
    assert finish.coverage.lacking == {Cause.NO_REPLICA: ShardSet.span(0, 4)}


def test_a_failed_shard_is_tried_on_at_most_two_replicas():
    """Guards against retries that multiply load during an outage."""
    state, (send,) = start(
        [Candidate(name, ShardSet.span(0, 4)) for name in ("b0", "b1", "b2")]
    )
    (first,) = send.sub_requests
    (retry,) = decide(SubRequestFailed(0.1, first.id, Cause.FAILED), state).actions
    (second,) = retry.sub_requests
    (finish,) = decide(SubRequestFailed(0.2, second.id, Cause.REFUSED), state).actions
    assert finish.coverage.lacking == {Cause.REFUSED: ShardSet.span(0, 4)}


def start_with_wait_policy(names, **changes):
    query = Query(
        "q",
        "docs",
        "text",
        3,
        SNAPSHOT,
        PARTITION,
        1.0,
        Policy(below_minimum=BelowMinimum.WAIT),
    )
    candidates = tuple(Candidate(name, ShardSet.span(0, 4)) for name in names)
    state = FanoutState(query, candidates, random.Random(1), **changes)
    return state, decide(QueryStarted(0.0), state).actions


def test_below_minimum_coverage_wait_tries_again_after_a_delay():
    """Guards against giving up early and against immediate retries."""
    state, (send,) = start_with_wait_policy(["b0"])
    (timer,) = decide(
        SubRequestFailed(0.1, send.sub_requests[0].id, Cause.FAILED), state
    ).actions
    assert timer.event.at > 0.1
    (send,) = decide(timer.event, state).actions
    (finish,) = decide(reply(send.sub_requests[0]), state).actions
    assert finish.coverage.complete()


def test_wait_sends_nothing_while_the_service_is_overloaded():
    """Guards against retries that add to an overload."""
    state, (send,) = start_with_wait_policy(["b0", "b1"])
    state.service.refused_share = 0.5
    event = SubRequestFailed(0.1, send.sub_requests[0].id, Cause.REFUSED)
    actions = decide(event, state).actions
    delays = []
    while actions:
        (timer,) = actions
        assert not isinstance(timer, SendSubRequests)
        delays.append(timer.event.at)
        actions = decide(timer.event, state).actions
    assert len(delays) < 6
    (finish,) = decide(DeadlineReached(1.0), state).actions
    assert finish.coverage.lacking == {Cause.REFUSED: ShardSet.span(0, 4)}


def test_search_that_crashed_two_servers_is_not_retried():
    """Guards against a search that crashes one backend server after another."""
    state, (send,) = start_with_wait_policy(["b0", "b1", "b2", "b3"])
    for _ in range(2):
        failure = SubRequestFailed(
            0.1, send.sub_requests[0].id, Cause.FAILED, FailureKind.BROKEN
        )
        (send,) = decide(failure, state).actions
    assert isinstance(send, Finish)


def test_only_missing_shards_are_hedged_and_the_first_reply_wins():
    """Guards against hedges for answered shards and uncancelled slow replies."""
    service = ServiceState()
    for _ in range(64):
        service.latency.record(0.02)
    service.budget.tokens = 20
    query = Query("q", "docs", "text", 3, SNAPSHOT, PARTITION, 1.0)
    half = Candidate("b2", ShardSet.span(2, 4))
    candidates = (Candidate("b0", ShardSet.span(0, 2)), half)
    state = FanoutState(query, candidates, random.Random(1), service)
    send, timer = decide(QueryStarted(0.0), state).actions
    by_name = {s.backend_server: s for s in send.sub_requests}
    decide(reply(by_name["b0"]), state)
    decide(CandidateChanged(0.1, Candidate("b1", ShardSet.span(0, 4))), state)
    hedge = decide(HedgeTimerFired(0.1), state).actions[0]
    (second,) = hedge.sub_requests
    assert (second.backend_server, second.shards) == ("b1", half.shards)
    cancel, finish = decide(reply(second), state).actions
    assert cancel.sub_requests == (by_name["b2"],)
    assert finish.counts.hedges == 1
    assert finish.coverage.complete()
