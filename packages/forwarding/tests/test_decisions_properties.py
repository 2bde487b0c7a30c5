"""Generated interleavings of the events of one request."""

from __future__ import annotations

from forwarding_cases import DEADLINE_S, Case, completed, record
from hypothesis import given, seed, settings, strategies as st

from fireflyrack.forwarding import (
    Completed,
    Interrupted,
    Merged,
    NotConnected,
    NotRun,
    Refusal,
    Refused,
    Relayed,
    TimedOut,
)

OUTCOMES = (
    completed("ok", record(1)),
    completed("failed", status=500),
    Completed(200, (), b"", ""),
    Refused(Refusal.FULL, 503),
    Refused(Refusal.REPLACED, 421),
    NotConnected("refused"),
    Interrupted("reset"),
    TimedOut(),
)
MAY_HAVE_RUN = (Completed, Interrupted, TimedOut)

steps = st.lists(
    st.tuples(
        st.sampled_from(("end", "wake")),
        st.integers(0, 50),
        st.integers(0, len(OUTCOMES) - 1),
        st.floats(0.0, 0.05),
    ),
    max_size=60,
)


@seed(20261204)
@settings(max_examples=400, deadline=None)
@given(
    shards=st.integers(0, 5),
    coverage=st.sampled_from((0.0, 0.5, 0.89, 1.0)),
    idempotent=st.booleans(),
    max_attempts=st.integers(1, 3),
    burst=st.sampled_from((0.0, 5.0, 100.0)),
    steps=steps,
)
def test_any_order_of_events_preserves_the_invariants(
    shards, coverage, idempotent, max_attempts, burst, steps
):
    """Guards against double or wrong answers, excess attempts and leftover attempts."""
    case = Case(
        shards=shards,
        coverage=coverage,
        idempotent=idempotent or shards > 0,
        max_attempts=max_attempts,
        burst=burst,
    )
    case.start()
    at, ended, ran = 0.0, {}, False
    for kind, pick, outcome, wait_s in steps:
        at += wait_s
        if at >= DEADLINE_S:
            break
        open_attempts = [
            a for a in case.sent if a.id not in ended and a.id not in case.cancelled
        ]
        if kind == "wake":
            case.fire_timer(at)
        elif open_attempts:
            attempt = open_attempts[pick % len(open_attempts)]
            ended[attempt.id] = OUTCOMES[outcome]
            ran = ran or isinstance(OUTCOMES[outcome], MAY_HAVE_RUN)
            case.end(attempt, OUTCOMES[outcome], at)
    if case.answer is None:
        case.fire_timer(DEADLINE_S)

    assert case.answer is not None, "a request without an answer at its deadline"
    if isinstance(case.answer, NotRun):
        assert not ran and not case.cancelled
    for number, shard in enumerate(case.state.shards):
        sent = [a for a in case.sent if a.shard == number]
        reached = [a for a in sent if not isinstance(ended.get(a.id), NotConnected)]
        assert len(reached) <= max_attempts
        assert len({a.server.id for a in sent}) == len(sent)
        assert not shard.outstanding
    if not case.state.route.idempotent:
        may_run = [
            a
            for a in case.sent
            if a.id not in ended or isinstance(ended[a.id], MAY_HAVE_RUN)
        ]
        assert len(may_run) <= 1, "a non-idempotent request may run twice"
    if isinstance(case.answer, Merged):
        included = len(case.answer.signatures)
        assert included >= max(1, coverage * shards - 1e-9)
        assert included + case.answer.missing == shards
        assert set(case.answer.signatures) == {"ok"}
    if isinstance(case.answer, Relayed):
        assert case.answer.status in (200, 500)
    assert all(not health.outstanding for health in case.fleet.servers.values())
