"""Guard against wrong answers under any order of replies, faults and timers.

Answers are compared with a reference that merges all hits of the covered shards. Each
generated script defines the outcome of every sub-request and the changes of servers.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, replace

import pytest
from hypothesis import Phase, given, settings, strategies as st

from fireflyrack.configuration import BelowMinimum, Partition, Placement, Policy
from fireflyrack.core import EMPTY, ShardSet
from fireflyrack.search import (
    Candidate,
    CandidateChanged,
    Cause,
    DeadlineReached,
    FailureKind,
    FanoutState,
    Finish,
    Hit,
    Query,
    QueryStarted,
    ReplyArrived,
    SendSubRequests,
    ServiceState,
    Snapshot,
    StartTimer,
    SubRequestFailed,
    best_hits,
    decide,
    fanout,
)

SNAPSHOT = Snapshot(1, 7)
NEXT_SNAPSHOT = Snapshot(1, 8)
REPARTITIONED = Snapshot(2, 1)
DEADLINE_AT = 1.0
LIMIT = 5
DELAYING_OUTCOMES = ("reply", "duplicate", "late")
ALL_OUTCOMES = (
    *DELAYING_OUTCOMES,
    "lost",
    "partial",
    "too_much",
    "next_snapshot",
    "repartitioned",
    "unreachable",
    "broken",
    "shed",
    "draining",
)
SETTINGS = settings(max_examples=1500, deadline=None, derandomize=True, database=None)


@dataclass(frozen=True)
class Script:
    """Partition layout, outcomes of successive sub-requests and server changes."""

    servers: int
    replicas: int
    groups: int
    per_group: int
    outcomes: tuple[tuple[str, int], ...]
    # Time in percent of the deadline, server number, and whether it loses its shards.
    changes: tuple[tuple[int, int, bool], ...]
    wait: bool
    tokens: int
    seed: int


def scripts(outcomes, changes):
    return st.builds(
        Script,
        servers=st.integers(1, 6),
        replicas=st.integers(1, 3),
        groups=st.integers(1, 6),
        per_group=st.integers(1, 3),
        outcomes=st.lists(
            st.tuples(st.sampled_from(outcomes), st.integers(1, 60)),
            min_size=1,
            max_size=12,
        ).map(tuple),
        changes=st.lists(
            st.tuples(st.integers(0, 99), st.integers(0, 5), st.booleans()),
            max_size=changes,
        ).map(tuple),
        wait=st.booleans(),
        tokens=st.integers(0, 15),
        seed=st.integers(0, 1 << 16),
    )


def hits_of_shard(snapshot, shard):
    """Return the hits of a shard; documents and scores differ by snapshot."""
    return [
        Hit(f"{snapshot}/{shard}/{n}", float(hash((snapshot, shard, n)) % 17), shard)
        for n in range(2)
    ]


def hits_of(snapshot, shards):
    return tuple(hit for shard in shards for hit in hits_of_shard(snapshot, shard))


class FanoutSimulation:
    """Simulation of one script that checks each step of a decide function."""

    def __init__(self, script, decide):
        self.script = script
        self.decide = decide
        count = script.groups * script.per_group
        names = [f"b{n}" for n in range(script.servers)]
        placement = tuple(
            Placement(
                ShardSet.span(g * script.per_group, (g + 1) * script.per_group),
                tuple(
                    names[(g + r) % len(names)]
                    for r in range(min(script.replicas, len(names)))
                ),
            )
            for g in range(script.groups)
        )
        self.partition = Partition(1, count, placement)
        below = BelowMinimum.WAIT if script.wait else BelowMinimum.ANSWER
        policy = Policy(below_minimum=below)
        query = Query(
            "q", "s", "t", LIMIT, SNAPSHOT, self.partition, DEADLINE_AT, policy
        )
        self.service = ServiceState()
        # Enough latency samples for hedges after about 20 ms.
        for _ in range(64):
            self.service.latency.record(0.02)
        self.service.budget.tokens = script.tokens
        candidates = tuple(Candidate(n, self.partition.placed_on(n)) for n in names)
        rng = random.Random(script.seed)
        self.state = FanoutState(query, candidates, rng, self.service)
        self.events = []
        self.scheduled = self.sent = 0
        self.departed = {}
        self.sent_shards = {}
        self.searched_shards = EMPTY
        self.finish = None

    def schedule(self, at, event):
        self.scheduled += 1
        # Simultaneous events run in a shuffled but deterministic order.
        heapq.heappush(
            self.events, (at, self.scheduled * 37 % 101, self.scheduled, event)
        )

    def run(self):
        self.schedule(0.0, QueryStarted(0.0))
        self.schedule(DEADLINE_AT, DeadlineReached(DEADLINE_AT))
        for percent, number, loses_shards in self.script.changes:
            at = percent / 100
            name = f"b{number % self.script.servers}"
            shards = EMPTY if loses_shards else self.partition.placed_on(name)
            self.schedule(at, CandidateChanged(at, Candidate(name, shards)))
        while self.events:
            at, _, _, event = heapq.heappop(self.events)
            self.step(at, event)
        self.check_end()
        return self.finish

    def step(self, at, event):
        if isinstance(event, CandidateChanged):
            self.departed[event.candidate.backend_server] = not event.candidate.shards
        if isinstance(event, ReplyArrived) and self.finish is None:
            if event.snapshot == SNAPSHOT:
                self.searched_shards |= (
                    event.searched & self.sent_shards[event.sub_request]
                )
        for action in self.decide(event, self.state).actions:
            match action:
                case SendSubRequests():
                    for sub_request in action.sub_requests:
                        self.deliver(at, sub_request)
                case StartTimer():
                    assert action.event.at > at
                    self.schedule(action.event.at, action.event)
                case Finish():
                    assert self.finish is None, "answered twice"
                    assert at <= DEADLINE_AT, "answered after the deadline"
                    self.finish = action

    def deliver(self, at, sub_request):
        server = sub_request.backend_server
        assert self.finish is None, "sent after the answer"
        assert not self.departed.get(server), "sent to a server without shards"
        assert sub_request.shards <= self.partition.placed_on(server)
        outcome, delay = self.script.outcomes[self.sent % len(self.script.outcomes)]
        self.sent += 1
        self.sent_shards[sub_request.id] = sub_request.shards
        # The delays differ, so replies may arrive out of order.
        arrives_at = at + delay / 1000
        event = reply(sub_request, arrives_at)
        match outcome:
            case "lost":
                return
            case "duplicate":
                self.schedule(
                    arrives_at + delay / 500,
                    replace(event, at=arrives_at + delay / 500),
                )
            case "late":
                arrives_at = at + delay / 100 * 0.5
                event = reply(sub_request, arrives_at)
            case "partial":
                half = ShardSet.of(tuple(sub_request.shards)[::2])
                event = reply(sub_request, arrives_at, half)
            case "too_much":
                event = reply(sub_request, arrives_at, self.partition.all_shards())
            case "next_snapshot":
                event = reply(sub_request, arrives_at, snapshot=NEXT_SNAPSHOT)
            case "repartitioned":
                event = reply(sub_request, arrives_at, snapshot=REPARTITIONED)
            case "unreachable" | "broken":
                event = failure(
                    sub_request, arrives_at, Cause.FAILED, FailureKind(outcome)
                )
            case "shed" | "draining":
                event = failure(
                    sub_request, arrives_at, Cause.REFUSED, FailureKind(outcome)
                )
        self.schedule(arrives_at, event)

    def check_end(self):
        assert self.finish is not None, "no answer at the deadline"
        coverage = self.finish.coverage
        assert coverage.covered == self.searched_shards, "false coverage"
        lacking = EMPTY
        for shards in coverage.lacking.values():
            assert not shards & lacking, "two causes for one shard"
            lacking |= shards
        assert lacking == coverage.total - coverage.covered
        expected = best_hits(hits_of(SNAPSHOT, coverage.covered), LIMIT)
        assert self.finish.hits == expected, "mixed snapshots or lost hits"
        assert sum(len(s) for _, s in self.finish.answered) == len(coverage.covered)
        self.check_budget()
        assert all(s.in_flight == 0 for s in self.service.servers.values())

    def check_budget(self):
        budget, allowance = self.service.budget, self.service.allowance
        counts = self.finish.counts
        extra = counts.hedges + counts.retries
        first = counts.sub_requests - extra
        share = budget.settings.budget_share
        assert budget.spent <= first * share + self.script.tokens, "budget exceeded"
        assert extra - budget.spent <= budget.settings.failure_burst + 2
        assert extra == budget.spent + allowance.spent, "unpaid sub-requests"


def reply(sub_request, at, searched=None, snapshot=SNAPSHOT):
    searched = sub_request.shards if searched is None else searched
    hits = hits_of(snapshot, searched)
    return ReplyArrived(at, sub_request.id, snapshot, searched, hits)


def failure(sub_request, at, cause, kind):
    return SubRequestFailed(at, sub_request.id, cause, kind)


@SETTINGS
@given(scripts(DELAYING_OUTCOMES, changes=0))
def test_answer_without_failures_equals_the_reference(script):
    """Guards against lost or duplicate hits under delayed and repeated replies."""
    finish = FanoutSimulation(script, decide).run()
    shards = ShardSet.span(0, script.groups * script.per_group)
    assert finish.coverage.complete()
    assert finish.hits == best_hits(hits_of(SNAPSHOT, shards), LIMIT)


@SETTINGS
@given(scripts(ALL_OUTCOMES, changes=4))
def test_answer_with_failures_reports_its_exact_coverage(script):
    """Guards against false coverage, late answers and unpaid sub-requests."""
    FanoutSimulation(script, decide).run()


def check_scripts(decide):
    """Check a decide function with generated scripts, without shrinking."""

    @settings(SETTINGS, phases=[Phase.generate])
    @given(scripts(ALL_OUTCOMES, changes=4))
    def check(script):
        FanoutSimulation(script, decide).run()

    check()


def accept_any_snapshot(event, state):
    if isinstance(event, ReplyArrived):
        event = replace(event, snapshot=SNAPSHOT)
    return decide(event, state)


def trust_requested_shards(event, state):
    if isinstance(event, ReplyArrived) and event.sub_request in state.outstanding:
        shards = state.outstanding[event.sub_request].shards
        event = replace(event, searched=shards)
    return decide(event, state)


def ignore_the_deadline(event, state):
    if isinstance(event, DeadlineReached):
        event = CandidateChanged(event.at, Candidate("b0", EMPTY))
    return decide(event, state)


@pytest.mark.parametrize(
    ("broken", "found"),
    [
        (accept_any_snapshot, "false coverage|mixed snapshots"),
        (trust_requested_shards, "false coverage"),
        (ignore_the_deadline, "no answer"),
    ],
)
def test_check_detects_faulty_variants(broken, found):
    """Guards against a property check that misses wrong decisions."""
    with pytest.raises(AssertionError, match=found):
        check_scripts(broken)


def test_check_detects_sub_requests_beyond_the_budget(monkeypatch):
    """Guards against a property check that misses unpaid sub-requests."""

    def skip_budget(state, at, purpose):
        state.counts.hedges += purpose in fanout.HEDGE_PURPOSES
        state.counts.retries += purpose in (
            fanout.Purpose.RETRY,
            fanout.Purpose.REPLACEMENT,
        )
        return True

    monkeypatch.setattr(fanout, "charge_budget", skip_budget)
    with pytest.raises(AssertionError, match="unpaid|exceeded"):
        check_scripts(decide)
