"""Guard against work for draining, failing, cold and overloaded backend servers."""

from __future__ import annotations

import random

import pytest

from fireflyrack.core import ShardSet
from fireflyrack.search import (
    Candidate,
    FailureKind,
    Report,
    ServiceState,
    ServingState,
    Snapshot,
    choose_replicas,
    observe,
    observe_report,
    overloaded,
)
from fireflyrack.search.observations import (
    ReplyReceived,
    RequestAbandoned,
    RequestFailed,
    RequestRefused,
    RequestSent,
)
from fireflyrack.search.replicas import split_candidates

SNAPSHOT = Snapshot(1, 1)
SHARDS = ShardSet.span(0, 4)
NAMES = ("b0", "b1", "b2")


def service_state(names=NAMES):
    state = ServiceState()
    for name in names:
        report(state, name, 0.0)
    return state


def report(state, name, at, serving=ServingState.SERVING, queue_full=False):
    observe_report(state, Report(name, serving, {SNAPSHOT: SHARDS}, queue_full), at)


def record_outcome(state, event, times=1):
    for _ in range(times):
        observe(RequestSent(event.at, event.backend_server), state)
        observe(event, state)


def split_names(state, at, extra=False, rng=None):
    candidates = [Candidate(name, SHARDS) for name in state.servers]
    rng = rng or random.Random(3)
    groups = split_candidates(state, candidates, SNAPSHOT, at, rng, extra)
    return tuple({c.backend_server for c in group} for group in groups)


def test_draining_server_gets_no_sub_requests():
    """Guards against sub-requests that a draining server would refuse."""
    state = service_state()
    report(state, "b0", 1.0, ServingState.DRAINING)
    for extra in (False, True):
        assert split_names(state, 1.0, extra) == ({"b1", "b2"}, set())


def test_a_failing_server_is_ejected_probed_once_and_ramped_up():
    """Guards against load on a failing server and a burst on its recovery."""
    state = service_state()
    record_outcome(state, RequestFailed(1.0, "b0"), times=5)
    assert split_names(state, 1.1) == ({"b1", "b2"}, {"b0"})
    assert "b0" in split_names(state, 6.5)[0]
    observe(RequestSent(6.5, "b0"), state)
    assert "b0" in split_names(state, 6.5)[1]
    observe(ReplyReceived(6.6, "b0", 0.01), state)
    rng = random.Random(5)
    early = sum("b0" in split_names(state, 7.0, rng=rng)[0] for _ in range(500))
    late = sum("b0" in split_names(state, 30.0, rng=rng)[0] for _ in range(500))
    assert early < 100
    assert 350 < late < 450
    assert all("b0" in split_names(state, 37.0, rng=rng)[0] for _ in range(50))


def test_at_most_a_third_of_the_servers_is_ejected():
    """Guards against ejections that overload the remaining servers."""
    state = service_state([f"b{n}" for n in range(12)])
    for n in range(12):
        record_outcome(state, RequestFailed(1.0, f"b{n}"), times=9)
    assert len(state.ejected) == 4


def test_server_first_reported_later_is_ramped_up():
    """Guards against a burst of load on a newly started server."""
    state = service_state()
    report(state, "b9", 100.0)
    rng = random.Random(5)
    chosen = sum("b9" in split_names(state, 101.0, rng=rng)[0] for _ in range(500))
    assert 20 < chosen < 100


def test_shedding_or_full_server_gets_no_hedges_or_retries():
    """Guards against extra load on servers that are overloaded."""
    state = service_state()
    record_outcome(state, RequestRefused(1.0, "b0", FailureKind.SHED))
    report(state, "b1", 1.0, queue_full=True)
    assert split_names(state, 1.1, extra=True)[0] == {"b2"}
    assert split_names(state, 1.1)[0] == {"b0", "b1", "b2"}
    assert split_names(state, 2.1, extra=True)[0] == {"b0", "b2"}


@pytest.mark.parametrize(
    ("kind", "expected"), [(FailureKind.SHED, True), (FailureKind.DRAINING, False)]
)
def test_recent_shed_refusals_mean_overload_but_drains_do_not(kind, expected):
    """Guards against rolling restarts that look like overload."""
    state = service_state()
    record_outcome(state, RequestRefused(1.0, "b0", kind), times=4)
    assert overloaded(state, 1.5) is expected
    assert not overloaded(state, 2.1)


def test_slow_server_whose_replies_are_abandoned_is_avoided():
    """Guards against a slow server that looks fast because hedges win."""
    state = service_state()
    for name in NAMES:
        record_outcome(state, ReplyReceived(1.0, name, 0.01), times=20)
    for _ in range(10):
        record_outcome(state, RequestAbandoned(1.0, "b0", 0.1, timed_out=False))
    assert "b0" in split_names(state, 1.1, extra=True)[1]
    pool = split_candidates(
        state,
        [Candidate(n, SHARDS) for n in NAMES],
        SNAPSHOT,
        1.1,
        random.Random(1),
        False,
    )[0]
    rng = random.Random(2)
    chosen = [next(iter(choose_replicas(SHARDS, pool, rng))) for _ in range(50)]
    assert "b0" not in chosen


def test_short_caller_deadlines_do_not_eject_servers():
    """Guards against callers that eject healthy servers by short deadlines."""
    state = service_state()
    for name in NAMES:
        record_outcome(state, ReplyReceived(1.0, name, 0.01), times=20)
    record_outcome(state, RequestAbandoned(1.0, "b0", 0.001, timed_out=True), times=50)
    assert not state.ejected
