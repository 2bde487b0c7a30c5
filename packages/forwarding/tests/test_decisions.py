from __future__ import annotations

import dataclasses

import pytest
from forwarding_cases import CUTOFF_S, DEADLINE_S, Case, completed, record, server

from fireflyrack.discovery import ServerState
from fireflyrack.forwarding import (
    Cause,
    Completed,
    Interrupted,
    Merged,
    NotConnected,
    NotRun,
    Refusal,
    Refused,
    Relayed,
    TimedOut,
    Unknown,
)
from fireflyrack.forwarding.state import CallerDisconnected

FULL = Refused(Refusal.FULL, 503)


def test_a_response_is_relayed_unchanged():
    case = Case()
    (first,) = case.start()
    case.end(first, completed("sig", b"body"))
    assert case.answer == Relayed(200, (("x-name", "sig"),), b"body")


def test_a_refused_request_is_tried_on_another_server_and_then_given_up_as_not_run():
    """Guards against an untrue 'not run', and against a refusal that comes late."""
    case = Case()
    (first,) = case.start()
    (second,) = case.end(first, FULL)
    assert second.server.id != first.server.id
    assert case.end(second, FULL) == []
    assert isinstance(case.answer, NotRun)
    assert case.answer.retry_after_s > 0


@pytest.mark.parametrize("outcome", [Interrupted("reset"), TimedOut()])
def test_what_may_have_run_is_never_called_not_run(outcome):
    """Guards against a caller that repeats a booking that has run."""
    case = Case(idempotent=False)
    (first,) = case.start()
    assert case.end(first, outcome) == []
    assert isinstance(case.answer, Unknown)


def test_a_request_that_ran_and_was_refused_elsewhere_is_unknown():
    """Guards against the last outcome hiding that an earlier attempt ran."""
    case = Case()
    (first,) = case.start()
    (second,) = case.end(first, Interrupted("reset"))
    case.end(second, FULL)
    assert isinstance(case.answer, Unknown)


def test_a_non_idempotent_request_is_sent_again_only_if_it_did_not_run():
    """Guards against a hall that is booked twice."""
    case = Case(idempotent=False)
    (first,) = case.start()
    assert case.fire_timer(0.5) == []
    assert len(case.end(first, FULL, 0.5)) == 1
    case = Case(idempotent=False)
    (first,) = case.start()
    assert case.end(first, completed("sig", status=500)) == []
    assert case.answer.status == 500


def test_no_more_attempts_than_the_route_allows():
    """Guards against a hedge beside a retry, and hedges on routes that allow none."""
    case = Case(max_attempts=1)
    case.start()
    assert case.fire_timer(0.5) == []
    case = Case(max_attempts=2)
    (first,) = case.start()
    (hedge,) = case.fire_timer(0.06)
    assert case.end(first, FULL, 0.07) == []
    assert case.answer is None
    case.end(hedge, completed(), 0.08)
    assert isinstance(case.answer, Relayed)


def test_an_attempt_that_was_never_sent_costs_neither_attempts_nor_budget():
    """Guards against dead addresses that use up what live servers could answer."""
    case = Case(max_attempts=1)
    remaining = case.fleet.budget("s").remaining(0.0)
    (first,) = case.start()
    (second,) = case.end(first, NotConnected("refused"))
    (third,) = case.end(second, NotConnected("refused"))
    assert len({first.server.id, second.server.id, third.server.id}) == 3
    assert case.end(third, NotConnected("refused")) == []
    assert isinstance(case.answer, NotRun)
    assert case.fleet.budget("s").remaining(0.0) >= remaining


def test_without_budget_there_is_no_hedge_and_no_retry():
    """Guards against extra load beyond the fleet's allowance."""
    case = Case(burst=0.0)
    (first,) = case.start()
    assert case.fire_timer(0.06) == []
    assert case.end(first, FULL, 0.07) == []
    assert isinstance(case.answer, NotRun)


def test_hedges_wait_while_the_other_servers_are_busy():
    """Guards against hedges that make an overload worse."""
    case = Case()
    case.start()
    for name in ("s-0", "s-1", "s-2"):
        for number in range(3):
            case.fleet.server(name).start((9, number), 0.0, 1.0)
    assert case.fire_timer(0.06) == []
    assert case.state.shards[0].hedge_at > 0.06


def test_the_first_response_wins_and_the_other_attempt_is_cancelled():
    """Guards against backend servers that work on what nobody waits for."""
    case = Case()
    (first,) = case.start()
    (hedge,) = case.fire_timer(0.06)
    case.end(hedge, completed("hedge"), 0.07)
    assert case.cancelled == [first.id]
    assert case.end(first, completed("late"), 0.08) == []
    assert case.answer.headers == (("x-name", "hedge"),)


def test_a_success_without_signature_is_not_relayed():
    """Guards against foreign bytes passed on as a backend server's answer."""
    case = Case(max_attempts=1)
    (first,) = case.start()
    case.end(first, Completed(200, (), b"x", ""))
    assert case.answer == Unknown(Cause.SERVER_FAILED)


def test_a_promise_of_a_server_that_ran_the_request_is_not_relayed():
    """Guards against a 503 without 'not executed' that reads as 'not run'."""
    case = Case(max_attempts=1)
    (first,) = case.start()
    case.end(first, completed("sig", status=503))
    assert isinstance(case.answer, Unknown)


def test_draining_servers_get_no_attempts():
    """Guards against new work, hedges and retries on a server that leaves."""
    case = Case()
    case.servers["s"] = (
        server("s", 0, state=ServerState.DRAINING),
        server("s", 1),
    )
    (first,) = case.start()
    assert first.server.id == "s-1"
    assert case.fire_timer(0.06) == []
    assert case.end(first, FULL, 0.07) == []


def test_no_server_is_refused_at_once():
    """Guards against a request that is held although nothing can run it."""
    case = Case()
    case.servers.clear()
    assert case.start() == []
    assert case.answer == NotRun(Cause.NO_SERVER, case.answer.retry_after_s)


def test_connection_shares_are_hard_limits():
    """Guards against connections that a backend server resets."""
    case = Case()
    case.fleet.set_instance_count(4)
    for name in ("s-0", "s-1", "s-2"):
        for number in range(21):
            case.fleet.server(name).start((9, number), 0.0, 1.0)
    assert case.start() == []
    assert case.answer.cause is Cause.SATURATED


def test_a_search_merges_the_greatest_records_of_all_shards():
    case = Case(shards=3)
    attempts = case.start()
    for number, attempt in enumerate(attempts):
        body = record(number) + record(10 + number) + b"rest"
        case.end(attempt, completed(f"sig{number}", body))
    assert isinstance(case.answer, Merged)
    assert case.answer.body == record(12) + record(11) + record(10)
    assert set(case.answer.signatures) == {"sig0", "sig1", "sig2"}
    assert case.answer.missing == 0


def test_a_search_waits_for_all_shards_until_the_cut():
    """Guards against coverage given away while there is time."""
    case = Case(shards=5, max_attempts=1)
    attempts = case.start()
    for attempt in attempts[:4]:
        case.end(attempt, completed(str(attempt.id)))
    assert case.answer is None
    case.fire_timer(CUTOFF_S)
    assert case.answer.missing == 1
    assert case.cancelled == [attempts[4].id]


def test_a_search_below_its_minimum_waits_beyond_the_cut():
    """Guards against an answer that covers less than the operator allows."""
    case = Case(shards=5, max_attempts=1)
    attempts = case.start()
    for attempt in attempts[:3]:
        case.end(attempt, completed(str(attempt.id)))
    case.fire_timer(CUTOFF_S)
    assert case.answer is None
    case.end(attempts[3], completed("3"), 0.3)
    assert case.answer.missing == 1


def test_a_search_that_cannot_reach_its_minimum_ends_at_once():
    """Guards against callers held until the deadline for nothing."""
    case = Case(shards=5, max_attempts=1)
    attempts = case.start()
    case.end(attempts[0], Interrupted("reset"), 0.01)
    case.end(attempts[1], Interrupted("reset"), 0.01)
    assert case.answer == Unknown(Cause.COVERAGE)
    assert len(case.cancelled) == 3


def test_a_search_without_servers_for_enough_shards_is_not_run():
    """Guards against load for a search that cannot succeed."""
    case = Case(shards=5)
    del case.servers["s0"], case.servers["s1"]
    assert case.start() == []
    assert isinstance(case.answer, NotRun)


def test_a_search_with_one_shard_gone_is_answered_without_it():
    case = Case(shards=5)
    del case.servers["s0"]
    for attempt in case.start():
        case.end(attempt, completed(str(attempt.id)))
    assert case.answer.missing == 1


def test_a_failed_shard_is_not_a_part():
    """Guards against the signature of a failure among the shards that are in."""
    case = Case(shards=5, max_attempts=1)
    attempts = case.start()
    for attempt in attempts[:4]:
        case.end(attempt, completed(f"ok{attempt.id}"))
    case.end(attempts[4], completed("failed", record(9), status=500))
    assert case.answer.missing == 1
    assert "failed" not in case.answer.signatures


def test_the_deadline_ends_a_request():
    """Guards against callers kept beyond the operator's timeout."""
    case = Case()
    case.start()
    case.fire_timer(DEADLINE_S)
    assert case.answer == Unknown(Cause.TIMED_OUT)


def test_a_caller_that_leaves_ends_all_attempts():
    """Guards against backend servers that work for nobody."""
    case = Case(shards=5)
    attempts = case.start()
    case.feed(CallerDisconnected(0.01))
    assert case.cancelled == [attempt.id for attempt in attempts]
    assert all(not health.outstanding for health in case.fleet.servers.values())


def test_a_strained_instance_sends_no_hedges_and_blames_no_server():
    """Guards against hedges that double the work of a machine that is slow itself."""
    case = Case()
    case.overloaded = True
    (first,) = case.start()
    assert case.fire_timer(0.06) == []
    case.end(first, completed(), 0.5)
    assert case.fleet.server(first.server.id).latency_ratio == 1.0
    assert case.fleet.routes["r"].estimate.total == 0


def test_a_hanging_attempt_is_hedged_although_the_others_are_busy():
    """Guards against a request that waits out its time at a server that hangs."""
    case = Case()
    (first,) = case.start()
    for known in case.servers["s"]:
        if known.id != first.server.id:
            for number in range(known.slots):
                case.fleet.server(known.id).start((1, number), 0.0, 1.0)
    delay_s = case.fleet.route("r", 0.1).hedge_delay_s
    assert case.fire_timer(1.1 * delay_s) == []
    (hedge,) = case.fire_timer(4.1 * delay_s)
    assert hedge.server.id != first.server.id


def test_servers_that_all_leave_are_a_cause_of_their_own():
    """Guards against a log that blames the connection limit for a drain."""
    case = Case()
    case.servers["s"] = tuple(
        dataclasses.replace(known, state=ServerState.DRAINING)
        for known in case.servers["s"]
    )
    case.start()
    assert case.answer.cause is Cause.ALL_DRAINING
