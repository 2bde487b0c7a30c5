"""Guard against searches that crash every backend server they are sent to."""

from __future__ import annotations

import random

from fireflyrack.configuration import Partition, Placement
from fireflyrack.core import ShardSet
from fireflyrack.search import (
    CanaryTimerFired,
    Candidate,
    Cause,
    CompletedSearches,
    DeadlineReached,
    FailureKind,
    FanoutState,
    Finish,
    Query,
    QueryStarted,
    ReplyArrived,
    SendSubRequests,
    Snapshot,
    StartTimer,
    SubRequestFailed,
    canaries_for,
    decide,
)

SNAPSHOT = Snapshot(1, 7)
NAMES = tuple(f"b{number}" for number in range(6))
PARTITION = Partition(1, 6, (Placement(ShardSet.span(0, 6), NAMES),))
# Each backend server holds two adjacent shards.
CANDIDATES = tuple(
    Candidate(name, ShardSet.of((number, (number + 1) % 6)))
    for number, name in enumerate(NAMES)
)


def start(canaries=("b4", "b1")):
    query = Query("q", "docs", "text", 3, SNAPSHOT, PARTITION, 1.0, canaries=canaries)
    state = FanoutState(query, CANDIDATES, random.Random(1))
    return state, decide(QueryStarted(0.0), state).actions


def sent_in(actions):
    return [
        s for a in actions if isinstance(a, SendSubRequests) for s in a.sub_requests
    ]


def reply(sub_request, snapshot=SNAPSHOT):
    return ReplyArrived(0.01, sub_request.id, snapshot, sub_request.shards, ())


def failure(sub_request, kind=FailureKind.BROKEN):
    return SubRequestFailed(0.01, sub_request.id, Cause.FAILED, kind)


def test_other_sub_requests_wait_for_the_canary():
    """Guards against a fan-out that starts before the canary has replied."""
    state, actions = start()
    (canary,) = sent_in(actions)
    assert canary.backend_server == "b4"
    rest = sent_in(decide(reply(canary), state).actions)
    assert ShardSet.of(s for r in rest for s in r.shards) | canary.shards == (
        PARTITION.all_shards()
    )


def test_crashing_search_is_sent_to_two_canaries_only():
    """Guards against a crashing search that is sent to further servers."""
    state, actions = start()
    (first,) = sent_in(actions)
    (second,) = sent_in(decide(failure(first), state).actions)
    assert second.backend_server == "b1"
    (finish,) = decide(failure(second), state).actions
    assert isinstance(finish, Finish)
    assert finish.coverage.lacking == {Cause.FAILED: PARTITION.all_shards()}


def test_unreachable_canary_counts_as_a_possible_crash():
    """Guards against fan-out after another instance crashed the same canary."""
    state, actions = start()
    (first,) = sent_in(actions)
    unreachable = failure(first, FailureKind.UNREACHABLE)
    (second,) = sent_in(decide(unreachable, state).actions)
    assert second.backend_server == "b1"
    (finish,) = decide(failure(second, FailureKind.UNREACHABLE), state).actions
    assert isinstance(finish, Finish)


def test_one_crashed_canary_does_not_reduce_coverage():
    """Guards against giving up a search after an unrelated crash of its canary."""
    state, actions = start()
    (first,) = sent_in(actions)
    (second,) = sent_in(decide(failure(first), state).actions)
    rest = sent_in(decide(reply(second), state).actions)
    for sub_request in rest:
        actions = decide(reply(sub_request), state).actions
    assert actions[-1].coverage.complete()


def test_search_suspected_by_other_instances_is_not_fanned_out():
    """Guards against several instances trying a suspected search on many servers."""
    state, actions = start()
    (first,) = sent_in(actions)
    (second,) = sent_in(decide(failure(first), state).actions)
    assert sent_in(decide(CanaryTimerFired(0.3), state).actions) == []
    (finish,) = decide(failure(second, FailureKind.TIMED_OUT), state).actions
    assert finish.coverage.lacking == {Cause.FAILED: PARTITION.all_shards()}
    state, actions = start(canaries=("b4",))
    (first,) = sent_in(actions)
    (finish,) = decide(failure(first, FailureKind.TIMED_OUT), state).actions
    assert isinstance(finish, Finish)


def test_other_canary_failures_release_the_deferred_shards():
    """Guards against searches that wait for a full or draining canary."""
    for event in (
        lambda sub_request: failure(sub_request, FailureKind.SHED),
        lambda sub_request: reply(sub_request, Snapshot(1, 8)),
    ):
        state, actions = start()
        (canary,) = sent_in(actions)
        rest = sent_in(decide(event(canary), state).actions)
        sent = ShardSet.of(s for r in rest for s in r.shards)
        assert sent | canary.shards == PARTITION.all_shards()


def test_slow_canary_delays_the_search_for_a_bounded_time():
    """Guards against a slow canary that delays the whole fan-out."""
    state, actions = start()
    (timer,) = (a for a in actions if isinstance(a, StartTimer))
    assert isinstance(timer.event, CanaryTimerFired)
    assert timer.event.at < 0.2
    rest = sent_in(decide(timer.event, state).actions)
    assert len(rest) > 1
    assert sent_in(decide(timer.event, state).actions) == [], "shards sent twice"


def test_deadline_ends_a_search_with_deferred_shards():
    """Guards against searches that wait for the canary past their deadline."""
    state, actions = start()
    finish = decide(DeadlineReached(1.0), state).actions[-1]
    assert finish.coverage.lacking == {Cause.DEADLINE: PARTITION.all_shards()}


def test_canaries_without_shards_are_skipped():
    """Guards against searches that wait for a canary that holds no shard."""
    state, actions = start(canaries=("gone", "b2"))
    assert [s.backend_server for s in sent_in(actions)] == ["b2"]
    state, actions = start(canaries=("gone", "lost"))
    assert len(sent_in(actions)) > 1


def test_canary_choice_does_not_depend_on_the_instance():
    """Guards against a crash per instance that receives the same search."""
    names = canaries_for("f1", NAMES)
    assert names == canaries_for("f1", tuple(reversed(NAMES)))
    assert (
        len(names) == 2 and len({canaries_for(f"f{n}", NAMES) for n in range(50)}) > 5
    )


def test_completed_searches_evict_the_least_recent():
    """Guards against canary delays for known searches and unbounded memory."""
    completed = CompletedSearches(limit=2)
    assert not completed.has_completed("f1")
    for fingerprint in ("f1", "f2", "f1", "f3"):
        completed.add(fingerprint)
    assert completed.has_completed("f1") and completed.has_completed("f3")
    assert not completed.has_completed("f2"), "least recent search not evicted"
