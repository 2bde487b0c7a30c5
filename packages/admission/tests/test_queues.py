"""Tests of the queue decisions: what is sent, when, and with which outcome."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import HealthCheck, given, seed, settings, strategies as st

from fireflyrack.admission import (
    AdmissionSettings,
    RefusalReason,
    RunRequest,
    SearchWork,
)
from fireflyrack.admission.events import (
    BatchEnded,
    BatchResult,
    CancelWork,
    DeadlinePassed,
    DrainReported,
    FailExpiredWork,
    LimitsChanged,
    PauseEnded,
    ReconnectEnded,
    ReconnectStarted,
    RefuseWork,
    ServerReleased,
    ServerUnreachable,
    ServingReported,
    StartBatch,
    StartRun,
    WorkCancelled,
    WorkSubmitted,
)
from fireflyrack.admission.fairness import BatchGroup
from fireflyrack.admission.limits import BatchTimes
from fireflyrack.admission.queues import QueueState, decide
from fireflyrack.core import ShardSet


def work(name, deadline_at=10.0, service="docs", coordinator="e0"):
    shards = ShardSet.span(0, 1)
    return SearchWork(
        name, service, "1.1", shards, "q", 1, deadline_at, coordinator=coordinator
    )


def run(name, deadline_at=10.0):
    return RunRequest(name, "desk", b"{}", deadline_at, "f")


def new_state(slots=2, **changes):
    return QueueState(slots, AdmissionSettings(**changes))


def submit(state, *work_items, at=0.0):
    return [a for w in work_items for a in decide(WorkSubmitted(at, w), state).actions]


def test_waiting_work_is_divided_among_the_slots():
    """Fails if one slot takes all waiting work while others stay idle."""
    state = new_state()
    submit(state, *(work(name) for name in "abcdef"))
    assert len(state.batches) == 2
    (batch,) = decide(BatchEnded(0.1, 1), state).actions
    assert isinstance(batch, StartBatch)
    assert [w.id for w in batch.work_items] == ["c", "d"]


def test_a_run_shares_no_batch_with_searches():
    """Fails if a run is sent with other work or never."""
    state = new_state(slots=1)
    submit(state, work("a"), work("b"), run("r"), run("s"), work("c"))
    sent = []
    for number in range(1, 5):
        for action in decide(BatchEnded(number / 10, number), state).actions:
            sent.append(action)
    runs = [a.request.id for a in sent if isinstance(a, StartRun)]
    batches = [w.id for a in sent if isinstance(a, StartBatch) for w in a.work_items]
    assert runs == ["r", "s"]
    assert batches == ["b", "c"]


def test_work_that_cannot_finish_in_time_is_refused_at_once():
    """Fails if work queues although its estimated wait exceeds its deadline."""
    state = new_state(slots=1)
    submit(state, work("a"))
    decide(BatchEnded(1.0, 1), state)
    submit(state, work("b"), at=1.0)
    assert submit(state, work("c", deadline_at=1.5), at=1.0) == [
        RefuseWork("c", RefusalReason.OVERLOADED)
    ]
    assert submit(state, work("d", deadline_at=9.0), at=1.0) == []


def test_a_long_estimate_does_not_keep_an_idle_server_idle():
    """Fails if one slow batch makes the queue refuse all later work."""
    state = new_state(slots=1)
    submit(state, work("a", deadline_at=100.0))
    decide(BatchEnded(50.0, 1), state)
    (start,) = submit(state, work("b", deadline_at=50.2), at=50.0)
    assert isinstance(start, StartBatch)


def test_a_batch_does_not_grow_past_the_earliest_deadline_in_it():
    """Fails if a large batch makes its most urgent work late."""
    state = new_state(slots=1)
    submit(state, work("a", 99.0), at=20.0)
    times = state.times[BatchGroup("docs")] = BatchTimes()
    for size in (1, 2, 4, 8):
        times.observe(size, 0.01 + 0.01 * size)
    others = [work(f"x{i}", 99.0) for i in range(6)]
    submit(state, work("urgent", 20.1), *others, at=20.0)
    (start,) = decide(BatchEnded(20.02, state.started_batches), state).actions
    assert start.work_items[0].id == "urgent"
    expected_s = state.estimate(BatchGroup("docs"), len(start.work_items))
    assert expected_s <= (20.1 - 20.02) * state.settings.deadline_share
    assert 1 < len(start.work_items) < 7


def test_work_that_would_miss_its_deadline_in_the_batch_is_refused():
    """Fails if late work keeps the batches of a full queue small."""
    state = new_state(slots=1)
    submit(state, work("a", 99.0), at=20.0)
    times = state.times[BatchGroup("docs")] = BatchTimes()
    for size in (1, 2, 4, 8):
        times.observe(size, 0.01 + 0.01 * size)
    others = [work(f"x{i}", 99.0) for i in range(20)]
    submit(state, work("late", 20.1), *others, at=20.0)
    refused, start = decide(BatchEnded(20.02, state.started_batches), state).actions
    assert refused == RefuseWork("late", RefusalReason.DEADLINE)
    assert len(start.work_items) >= 8


def test_one_coordinator_does_not_starve_another():
    """Fails if a full queue refuses a light coordinator or serves it last."""
    state = new_state(slots=1, max_waiting=10)
    submit(state, work("first"))
    submit(state, *(work(f"a{i}", coordinator="e1") for i in range(20)))
    refused = submit(state, *(work(f"b{i}", coordinator="e2") for i in range(4)))
    assert {a.work[0] for a in refused} == {"a"}
    (start,) = decide(BatchEnded(0.1, 1), state).actions
    assert sum(w.id[0] == "b" for w in start.work_items) == 4


def test_services_get_similar_shares_of_slot_time():
    """Fails if a service with slow requests takes most of the slot time."""
    state = new_state(slots=1, max_batch=1, max_waiting=1000, deadline_share=1.0)
    for i in range(100):
        submit(state, work(f"a{i}", 999, "slow"), work(f"b{i}", 999, "quick"))
    at, used = 0.0, {"slow": 0.0, "quick": 0.0}
    for _ in range(80):
        (batch,) = state.batches.values()
        took_s = 0.1 if batch.group.service == "slow" else 0.01
        at += took_s
        used[batch.group.service] += took_s
        decide(BatchEnded(at, state.started_batches), state)
    assert used["slow"] <= used["quick"] * 1.5 + 0.2


def test_shedding_halves_the_limit_and_recovery_is_gradual():
    """Fails if sheds of requests in flight count twice, or the limit jumps back."""
    state = new_state(slots=4)
    submit(state, *(work(f"w{i}") for i in range(20)))
    decide(BatchEnded(0.1, 1, BatchResult.SHED), state)
    assert state.concurrency.limit() == 2
    # Sent before the reduction, so it did not test the reduced limit.
    decide(BatchEnded(0.1, 2, BatchResult.SHED), state)
    assert state.concurrency.limit() == 2
    decide(BatchEnded(0.2, 3), state)
    assert state.concurrency.limit() == 2
    for at in range(1, 9):
        state.concurrency.on_answered(float(at), state.settings)
    assert state.concurrency.limit() == 4


def test_shedding_at_a_limit_of_one_pauses_sending():
    """Fails if requests are sent at once to a server that shed the only one."""
    state = new_state(slots=1)
    submit(state, work("a"), work("b"))
    decide(BatchEnded(0.1, 1, BatchResult.SHED), state)
    assert not state.batches
    assert submit(state, work("c"), at=0.11) == []
    (start,) = decide(PauseEnded(0.121), state).actions
    assert isinstance(start, StartBatch)


def test_recovered_server_gets_small_batches_at_first():
    """Fails if a server with cold caches receives full load after a restart."""
    state = new_state(slots=3, ramp_s=5.0, max_batch=50)
    decide(ServerUnreachable(0.0), state)
    assert submit(state, work("a")) == [RefuseWork("a", RefusalReason.UNREACHABLE)]
    decide(ServingReported(1.0), state)
    submit(state, *(work(f"w{i}") for i in range(40)), at=1.5)
    (batch,) = state.batches.values()
    assert len(batch.work_items) <= 5


def test_stale_serving_status_does_not_end_draining():
    """Fails if a stale status ends draining, or the hold does not double."""
    state = new_state(drain_hold_s=5.0)
    decide(DrainReported(1.0), state)
    decide(ServingReported(1.2), state)
    assert submit(state, work("a"), at=1.3) == [RefuseWork("a", RefusalReason.DRAINING)]
    decide(ServingReported(6.1), state)
    (start,) = submit(state, work("b"), at=6.2)
    assert isinstance(start, StartBatch)
    decide(DrainReported(6.3), state)
    decide(ServingReported(12.0), state)
    assert state.draining


@pytest.mark.parametrize("order, first", [("oldest", "a"), ("newest", "c")])
def test_order_setting_selects_the_work_sent_first(order, first):
    """Fails if the order setting has no effect on the queue."""
    state = new_state(slots=1, max_batch=1, order=order)
    submit(state, work("running"), work("a"), work("b"), work("c"))
    (start,) = decide(BatchEnded(0.1, 1), state).actions
    assert start.work_items[0].id == first


EVENTS = (
    ["search"] * 6
    + ["run"] * 2
    + ["end"] * 6
    + ["cancel", "slots", "hold", "drain", "serving", "lost", "release", "pause"]
)


class ReferenceModel:
    """Check each action of a queue against what was submitted, sent and resolved."""

    def __init__(self, rng):
        self.rng = rng
        self.state = new_state(
            slots=rng.randint(1, 4),
            max_waiting=rng.randint(1, 8),
            max_batch=rng.randint(1, 5),
            order=rng.choice(["oldest", "newest"]),
        )
        self.at = 0.0
        self.work_items = {}
        self.sent = set()
        self.outcomes = {}
        self.running = {}

    def feed(self, event):
        if isinstance(event, BatchEnded):
            work_items = self.running.pop(event.batch)
            for name in work_items:
                # Work that failed at its deadline has its outcome already.
                self.outcomes.setdefault(name, []).append("batch")
                if len(self.outcomes[name]) == 2:
                    assert self.outcomes[name][0] == "deadline passed"
        state = self.state
        for action in decide(event, state).actions:
            self.check(action, state)

    def check(self, action, state):
        match action:
            case StartBatch(batch, work_items) | StartRun(batch, work_items):
                work_items = (
                    work_items if isinstance(work_items, tuple) else (work_items,)
                )
                assert work_items
                assert not (state.draining or state.reconnecting or state.released)
                assert state.reachable
                for w in work_items:
                    assert w.id not in self.sent
                    assert w.id not in self.outcomes
                    assert w.deadline_at > self.at
                self.sent.update(w.id for w in work_items)
                self.running[batch] = tuple(w.id for w in work_items)
                assert len(self.running) <= state.slots
            case RefuseWork(name, _):
                assert name not in self.sent
                assert name not in self.outcomes
                self.outcomes[name] = ["refused"]
            case FailExpiredWork(name):
                assert isinstance(self.work_items[name], SearchWork)
                assert name in self.sent
                assert name not in self.outcomes
                self.outcomes[name] = ["deadline passed"]
            case CancelWork(name):
                assert name in self.sent

    def step(self, kind):
        rng, state = self.rng, self.state
        self.at += rng.choice([0.0, 0.001, 0.01, 0.3])
        for name, w in self.work_items.items():
            due = w.deadline_at <= self.at and name not in self.outcomes
            # Timers may fire late.
            if due and rng.random() < 0.7:
                self.feed(DeadlinePassed(self.at, name))
        simple = {
            "drain": DrainReported,
            "serving": ServingReported,
            "lost": ServerUnreachable,
            "pause": PauseEnded,
            "hold": rng.choice([ReconnectStarted, ReconnectEnded]),
        }
        if kind in simple:
            self.feed(simple[kind](self.at))
        elif kind in ("search", "run"):
            name = f"w{len(self.work_items)}"
            deadline_at = self.at + rng.choice([0.0, 0.02, 0.5, 2.0])
            if kind == "run":
                new = run(name, deadline_at)
            else:
                service, coordinator = rng.choice("xy"), rng.choice("12")
                new = work(name, deadline_at, service, coordinator)
            self.work_items[name] = new
            self.feed(WorkSubmitted(self.at, new))
        elif kind == "end" and self.running:
            batch = rng.choice(list(self.running))
            result = rng.choice([BatchResult.ANSWERED] * 4 + list(BatchResult))
            self.feed(BatchEnded(self.at, batch, result))
        elif kind == "cancel" and self.work_items:
            self.feed(WorkCancelled(self.at, rng.choice(list(self.work_items))))
        elif kind == "slots":
            self.feed(LimitsChanged(self.at, rng.randint(1, 4)))
        elif kind == "release" and rng.random() < 0.05:
            self.feed(ServerReleased(self.at))
        assert set(state.in_flight) == {n for b in self.running.values() for n in b}


@seed(20261204)
@settings(
    max_examples=2000,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.randoms(use_true_random=False), st.integers(10, 60))
def test_random_events_keep_the_limits_and_give_one_outcome(source, steps):
    """Fails if an order of events sends work it must not, or loses an outcome."""
    reference = ReferenceModel(random.Random(source.getrandbits(64)))
    for _ in range(steps):
        reference.step(reference.rng.choice(EVENTS))
    reference.feed(ServerReleased(reference.at))
    for batch in list(reference.running):
        reference.feed(BatchEnded(reference.at, batch))
    assert set(reference.outcomes) == set(reference.work_items)
    assert not reference.state.waiting.by_id


def test_cancelling_a_run_has_an_effect_only_before_it_is_sent():
    """Fails if a sent run is cancelled, which would leave its outcome unknown."""
    state = new_state(slots=1)
    submit(state, run("sent"), run("queued"))
    refused = RefuseWork("queued", RefusalReason.CANCELLED)
    assert decide(WorkCancelled(0.1, "queued"), state).actions == (refused,)
    assert decide(WorkCancelled(0.1, "sent"), state).actions == ()
    search = dataclasses.replace(work("s"), service="other")
    decide(BatchEnded(0.2, 1), state)
    submit(state, search, at=0.2)
    assert decide(WorkCancelled(0.3, "s"), state).actions == (CancelWork("s"),)


def test_an_id_that_is_in_use_is_refused():
    """Fails if two pieces of work with one id mix up their outcomes."""
    state = new_state(slots=1)
    invalid = RefusalReason.INVALID
    submit(state, work("a"), work("b"))
    assert submit(state, work("a"), work("b")) == [
        RefuseWork("a", invalid),
        RefuseWork("b", invalid),
    ]
